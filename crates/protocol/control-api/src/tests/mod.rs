mod call;
mod texts;
