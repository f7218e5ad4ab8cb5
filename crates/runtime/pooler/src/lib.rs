//! The program that runs on every machine. It connects the decisions of the core crates to sockets,
//! a clock and a disk.
//!
//! [`process`] starts the roles that the settings name:
//!
//! - a control machine: [`control`] executes the decisions of `badgerstream-control`, sends
//!   [`server_commands`] to database servers and stores known servers in [`members_file`];
//! - a router: [`data_plane`] serves clients, and [`leader_session`] writes the [`view`] that the
//!   data plane reads.
//!
//! Both use [`frames`] between processes of the system, [`http`], [`exchange`], [`net`],
//! [`notify`], [`clock`] and [`counters`]. [`metrics`] reads both. [`cli`] contains the operators'
//! commands. A module uses only modules of the layers below it.
//!
//! A process has one thread. Each `Rc<RefCell<_>>` or `Cell` is owned by one part, and nothing is
//! awaited while a `RefCell` is borrowed.

pub mod cli;
pub mod clock;
pub mod control;
pub mod counters;
pub mod data_plane;
pub mod exchange;
pub mod frames;
pub mod http;
pub mod leader_session;
pub mod members_file;
pub mod metrics;
pub mod net;
pub mod notify;
pub mod process;
pub mod server_commands;
pub mod view;

#[cfg(test)]
mod tests;
