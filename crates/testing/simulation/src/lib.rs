//! A deterministic simulation of the whole system in simulated time. It runs the production code of
//! the control machines ([`badgerstream_control`]) and simulates everything around it: machines
//! with disks and a network, database servers, routers, the platform and operators.
//!
//! A run depends only on its seed and on the calls that its caller makes. The modules, from the
//! innermost outwards:
//!
//! - [`kernel`]: the clock, the event queue and the random source; [`event`]: the event types
//! - [`control`], [`service`], [`edge`], [`platform`], [`operators`]: the components; each owns its
//!   state, handles its events and schedules further events
//! - [`oracle`]: checks safety after every event, and liveness while the number of lost machines is
//!   within the fault budget; [`digest`]: a hash of all decisions of a run and their times
//! - [`simulation`]: combines the components and runs the event loop
//! - [`faults`]: runs with random faults
//! - [`days`]: generates scenarios for the users' bench from seeds, independently of the simulation

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
