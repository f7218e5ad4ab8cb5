//! Decisions of the data plane: which server runs a statement, when the statement is admitted, and
//! which session state a pooled connection must hold before the statement runs.
//!
//! - [`session`]: the state of a client's session;
//! - [`choice`]: primary or replica, by the route's consistency and a proof of [`freshness`];
//! - [`acknowledged`]: up to which position clients were told of successes;
//! - [`queue`]: the order in which waiting statements are admitted to a server;
//! - [`connection_quota`]: how many connections and in-flight statements one router may have at a
//!   server;
//! - [`health`], [`latency`]: whether a server is usable and how fast it is, judged by its
//!   responses;
//! - [`connection`]: the session state that a server connection holds, and how to change it.
//!
//! The data plane of `badgerstream-pooler` owns all of these values and uses them from one thread.
//! Nothing here does I/O or reads a clock: every time is an `f64` in seconds on the caller's steady
//! clock, and every duration is an `f64` in seconds.

pub mod acknowledged;
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
