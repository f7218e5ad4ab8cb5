//! The HTTP API of control machines: requests and responses as
//! pairs of types. No I/O and no clock.
//!
//! [`dispatch`] says what a request wants of a control machine, [`members`] and [`status`] hold
//! what it carries, [`response`] encodes what it gets, and [`promotion`] encodes the one request to
//! the platform. The fields, paths and texts here are the users'; what they lead to is decided in
//! `badgerstream-control`.

pub mod dispatch;
pub mod error;
pub mod members;
pub mod promotion;
pub mod request;
pub mod response;
pub mod status;
#[cfg(test)]
mod tests;
