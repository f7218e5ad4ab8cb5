mod execution_outcomes;
mod line_buffer;
mod positions;
mod requests;
mod responses;
mod statements;
