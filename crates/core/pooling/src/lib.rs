//! Decisions of the data plane: where a statement goes, when it is admitted, and what a pooled
//! connection must hold before it runs.
//!
//! - [`session`]: the state of a client's session;
//! - [`choice`]: primary or replica, by the route's consistency and a proof of [`freshness`];
//! - [`queue`], [`connection_quota`]: how much one router may have open and in flight at a server;
//! - [`health`], [`latency`]: what a server's answers say of it;
//! - [`connection`]: the session state that a server connection holds.
//!
//! The data plane of `badgerstream-pooler` owns all of these values and calls them from one thread.
//! Nothing here does I/O or reads a clock: times are seconds of the caller's steady clock, as `f64`.

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
