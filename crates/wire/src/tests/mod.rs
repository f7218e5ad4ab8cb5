mod answers;
mod lines;
mod requests;
