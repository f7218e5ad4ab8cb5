//! The database servers of the one simulated service, and what they replicate.

mod commands;
mod replication;
mod server;

pub use replication::{Promotion, Service};
pub use server::{LogEntry, SERVICE, Server, ServerRole, heartbeat};
