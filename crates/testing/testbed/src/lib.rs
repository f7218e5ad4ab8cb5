//! Stand-ins on loopback for everything around the system, for the quick start and for tests of
//! whole processes: database servers and their heartbeats, the platform's `POST /promotions`, an
//! operator and clients.
//!
//! | concern | modules |
//! | --- | --- |
//! | what database servers and the platform do, without sockets or clock | [`database_cluster`], [`replica`], [`rule_checker`] |
//! | the same on sockets | [`cluster_host`], [`heartbeats`], [`platform`], [`admin_api`] |
//! | addresses, settings files and the first configuration | [`deployment`] |
//! | who calls the system | [`client`], [`operator`], [`http_client`] |
//! | processes and faults on their links | [`child_processes`], [`fault_relay`] |
//! | check of what operators were answered | [`history`] |
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
