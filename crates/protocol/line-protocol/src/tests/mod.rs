mod answers;
mod lines;
mod requests;
mod verdicts;
