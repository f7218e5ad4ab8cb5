//! The program of every machine: sockets, clock and disk around the decisions.

pub mod asker;
pub mod cli;
pub mod clock;
pub mod control;
pub mod edge;
pub mod frames;
pub mod http;
pub mod node;
pub mod notify;
pub mod servers;
pub mod session;
pub mod view;

#[cfg(test)]
mod tests;
