//! The program of every machine: sockets, clock and disk around the decisions.
//!
//! [`process`] starts the parts that the settings name:
//!
//! - a control machine: [`control`] drives the decisions of `badgerstream-control`, with
//!   [`server_commands`] to database servers and [`members_file`] on its disk;
//! - a router: [`data_plane`] and [`leader_session`], which writes what the data plane
//!   reads in [`view`].
//!
//! Both use [`frames`] between our processes, [`http`], [`exchange`], [`net`], [`notify`],
//! [`clock`] and [`counters`]; [`metrics`] reads both. [`cli`] has the operators' commands. A
//! module uses those below it only.
//!
//! A process has one thread. State is in `Rc<RefCell<_>>` and `Cell`s that one part owns, and
//! nothing is awaited while something is borrowed.

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
