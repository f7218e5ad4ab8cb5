//! The program of every machine: sockets, clock and disk around the decisions.

pub mod bell;
pub mod clock;
pub mod view;
