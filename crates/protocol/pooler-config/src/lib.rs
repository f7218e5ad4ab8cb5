//! The operator's configuration and the settings file of a process, read and checked.
//!
//! Nothing here reads a file, a socket or a clock: texts are handed in, typed values or typed errors come out.
//! [`config`] reads the configuration that the operator sends (routes, services, limits), [`settings`] the file
//! that tells a process its addresses and bounds, and [`json`] checks any JSON from outside before it is read.

pub mod config;
pub mod json;
pub mod settings;

pub use json::JsonError;

#[cfg(test)]
mod tests;
