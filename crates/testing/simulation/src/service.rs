//! The database servers of the single simulated service, and the replication between them.

mod commands;
mod promotion;
mod replicas;
mod replication;
mod server;

pub use promotion::Promotion;
pub use replicas::Service;
pub use replication::AcknowledgementPath;
pub use server::{LogEntry, SERVICE, Server, ServerRole, heartbeat};
