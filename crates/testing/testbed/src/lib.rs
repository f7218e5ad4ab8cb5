//! A stand-in of the outside world on loopback, for tests and for the quick start: database services, their beats, the
//! platform's `POST /promotions`, an operator and clients.

pub mod admin_api;
pub mod child_processes;
pub mod client;
pub mod cluster_host;
pub mod database_cluster;
pub mod deployment;
pub mod fault_relay;
pub mod heartbeats;
pub mod history;
pub mod http_client;
pub mod operator;
pub mod replica;
pub mod rule_checker;
pub mod up;

#[cfg(test)]
mod tests;
