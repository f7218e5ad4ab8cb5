mod cli;
mod frame_bytes;
mod frames;
pub(crate) mod hex;
pub(crate) mod metric_names;
mod server_commands;
mod session;
