//! The HTTP API of control: requests and answers as pairs of types.
//!
//! Nothing here reads a socket or a clock: [`call`] says what a request asks of the system, [`members`] and
//! [`status`] read what it carries, and [`promotion`] makes the one call to the platform.

pub mod call;
pub mod members;
pub mod promotion;
pub mod status;

#[cfg(test)]
mod tests;
