//! The decisions of the data plane: sessions, freshness, choice of server, queues. No I/O and no clock: seconds of
//! the steady clock are handed in as f64.

pub mod choice;
pub mod connection;
pub mod connection_quota;
pub mod freshness;
pub mod health;
pub mod latency;
pub mod queue;
pub mod session;

#[cfg(test)]
mod tests;
