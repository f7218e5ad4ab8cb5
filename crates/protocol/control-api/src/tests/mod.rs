mod requests;
mod texts;
