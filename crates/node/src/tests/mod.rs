mod cli;
mod frames;
pub(crate) mod metric_names;
mod server_queries;
mod session;
