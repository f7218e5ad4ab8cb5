//! HTTP calls as pairs of types, the operator's configuration and the settings file, read and checked.
//!
//! Nothing here reads a socket, a file or a clock: bytes and texts are handed in, messages and bytes come
//! out. [`http`] cuts messages out of bytes, [`call`] says what a request asks of the system, [`config`],
//! [`members`], [`settings`] and [`status`] read what it carries, and [`promotion`] makes the one call to the
//! platform.

pub mod call;
pub mod config;
pub mod http;
mod json;
pub mod members;
pub mod promotion;
pub mod settings;
pub mod status;

pub use json::JsonError;

#[cfg(test)]
mod tests;
