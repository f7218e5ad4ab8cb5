mod cli;
mod frames;
mod server_queries;
mod session;
