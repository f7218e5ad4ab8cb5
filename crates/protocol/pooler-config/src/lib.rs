//! The operator's configuration and the settings file of a process, parsed and checked.
//!
//! Nothing here reads a file, a socket or a clock: texts come in, typed values or typed errors go
//! out. [`config`] parses the configuration that the operator sends (routes, services, limits),
//! [`settings`] the file that gives a process its addresses and bounds, and [`json`] checks any
//! JSON from outside before it is parsed. Their fields have the names of the users' pages.

pub mod config;
pub mod json;
pub mod settings;
#[cfg(test)]
mod tests;

pub use json::JsonError;
