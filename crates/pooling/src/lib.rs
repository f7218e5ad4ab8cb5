//! The decisions of the data plane: sessions, freshness, choice of server, queues. No I/O and no clock: seconds of
//! the steady clock are handed in as f64.

pub mod choice;
pub mod conn;
pub mod freshness;
pub mod pace;
pub mod queue;
pub mod session;
pub mod share;
pub mod standing;

#[cfg(test)]
mod tests;
