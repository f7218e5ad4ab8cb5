mod cli;
mod frame_bytes;
mod frames;
pub(crate) mod hex;
mod leader_session;
pub(crate) mod metric_names;
mod server_commands;
