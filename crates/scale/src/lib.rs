//! What control costs as the system grows: real control processes on loopback beside hollow routers, which only hold
//! their session with control, and hollow database servers, which only beat, tell their status and are promoted.
//!
//! The figures of `docs/CAPACITY.md` come from here.

pub mod days;
pub mod decisions;
pub mod figures;
pub mod machines;
pub mod plan;
pub mod routers;
pub mod run;
pub mod servers;

#[cfg(test)]
mod tests;
