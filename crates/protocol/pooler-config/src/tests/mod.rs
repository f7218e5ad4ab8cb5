mod config;
mod json;
mod settings;
