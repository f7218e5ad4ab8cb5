//! The router's protocols as state machines without input and output: the `PostgreSQL` protocol, version 3, for
//! clients and nodes, and HTTP for discovery. The caller reads bytes from a socket into a [`RingBuffer`], and writes
//! the output.

pub mod client;
pub mod close;
pub mod comment;
pub mod discovery;
pub mod message;
pub mod node;
pub mod ring_buffer;

pub use close::Close;
pub use ring_buffer::{MemoryBudget, RingBuffer};

#[cfg(test)]
mod tests;
