//! Simulates on loopback everything that the system talks to, for the quick start and for tests of
//! whole processes: database servers and their heartbeats, the platform's `POST /promotions`, an
//! operator and clients.
//!
//! | concern | modules |
//! | --- | --- |
//! | behavior of database servers and platform, without sockets or clock | [`database_cluster`], [`replica`], [`rule_checker`] |
//! | sockets and timers for that behavior | [`cluster_host`], [`heartbeats`], [`platform`], [`admin_api`] |
//! | addresses, settings files and first configuration | [`deployment`] |
//! | callers of the system | [`client`], [`operator`], [`http_client`] |
//! | child processes, and faults on the connections between them | [`child_processes`], [`fault_relay`] |
//! | linearizability check of the responses to operators | [`history`] |
//! | the quick start | [`up`] |

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
pub mod platform;
pub mod replica;
pub mod rule_checker;
pub mod up;

#[cfg(test)]
mod tests;
