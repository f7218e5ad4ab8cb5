mod cli;
mod frame_bytes;
mod frames;
pub(crate) mod metric_names;
pub(crate) mod hex;
mod server_queries;
mod session;
