//! The program of every machine: sockets, clock and disk around the decisions.

pub mod cli;
pub mod clock;
pub mod control;
pub mod counters;
pub mod edge;
pub mod exchange;
pub mod frames;
pub mod http;
pub mod leader_session;
pub mod members_file;
pub mod metrics;
pub mod net;
pub mod node;
pub mod notify;
pub mod server_commands;
pub mod view;

#[cfg(test)]
mod tests;
