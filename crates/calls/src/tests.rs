mod call;
mod config;
mod http;
mod json;
mod settings;
mod texts;
