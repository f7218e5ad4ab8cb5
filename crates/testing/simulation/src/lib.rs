//! The control side in simulated time: the decisions that ship ([`badgerstream_control`]), round them machines with disks
//! and links, database servers, routers, the platform and operators, all driven by one clock.
//!
//! A run is a function of its seed and of what is done to it. Safety is checked at every event, and liveness whenever no
//! more machines are lost than the fault budget allows ([`oracle`]). Days for the users' bench are drawn here, too ([`days`]).

#![allow(missing_docs, reason = "to be documented file by file")]

pub mod control_machine;
pub mod days;
pub mod digest;
pub mod disk;
pub mod faults;
pub mod network;
pub mod operators;
pub mod oracle;
pub mod platform;
pub mod routers;
pub mod schedule;
pub mod servers;
pub mod simulation;

pub use control_machine::ControlMachine;
pub use routers::Router;
pub use servers::{Health, SERVICE, Server};
pub use simulation::{Simulation, timing};

#[cfg(test)]
mod tests {
    mod days;
}
