//! The control side in simulated time: the decisions that ship ([`badgerstream_control`]), and
//! around them machines with disks and a network, database servers, routers, the platform and
//! operators, all driven by one clock.
//!
//! A run is a function of its seed and of what is done to it. The layout, from the inside out:
//!
//! - [`kernel`]: clock, event queue and random source; [`event`]: what is scheduled
//! - [`control`], [`service`], [`edge`], [`platform`], [`operators`]: the parts, each of which owns
//!   its state, handles its events and schedules what follows
//! - [`oracle`]: what must hold: safety at every event, liveness whenever no more machines are lost
//!   than the fault budget allows; [`digest`]: one number for all that a run decided and when
//! - [`simulation`]: the parts together, and the loop over events
//! - [`faults`]: runs with random faults
//! - [`days`]: days for the users' bench, drawn from seeds; they use nothing of the simulation

pub mod control;
pub mod days;
pub mod digest;
pub mod edge;
pub mod event;
pub mod faults;
mod health;
pub mod kernel;
mod observer;
pub mod operators;
pub mod oracle;
pub mod platform;
mod requests;
pub mod service;
pub mod simulation;

pub use control::{ControlMachine, DiskHealth, HEALTHY_DISK, Isolation};
pub use health::Health;
pub use requests::{Response, Responses};
pub use service::{SERVICE, Server, ServerRole};
pub use simulation::Simulation;

#[cfg(test)]
mod tests {
    mod days;
}
