//! The platform's protocols as state machines that are fed bytes: `PostgreSQL`'s version 3 towards clients and
//! nodes, HTTP towards discovery. No sockets and no decisions here; a driver reads, feeds and writes.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

pub mod client;
pub mod close;
pub mod comment;
pub mod discovery;
pub mod message;
pub mod node;
pub mod ring;

pub use close::Close;
pub use ring::{Memory, Ring};

#[cfg(test)]
mod tests;
