//! The HTTP API of the control machines: each request type with the type of its response. The crate
//! does no I/O and reads no clock.
//!
//! [`dispatch`] parses an HTTP request into an operation. [`members`] and [`status`] define the
//! bodies of requests and responses, and [`response`] encodes the responses. [`promotion`] encodes
//! the only request that a control machine sends to the platform. Paths, field names and texts
//! are part of the public API; `badgerstream-control` decides what an operation does.

pub mod dispatch;
pub mod error;
pub mod members;
pub mod promotion;
pub mod request;
pub mod response;
pub mod status;
#[cfg(test)]
mod tests;
