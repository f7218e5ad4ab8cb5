//! The database servers of the one simulated service, and what they replicate.

mod commands;
mod promotion;
mod replicas;
mod replication;
mod server;

pub use promotion::Promotion;
pub use replicas::Service;
pub use server::{LogEntry, SERVICE, Server, ServerRole, heartbeat};
