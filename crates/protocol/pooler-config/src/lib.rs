//! Parses and validates the operator's configuration and the settings file of a process.
//!
//! The crate turns text into typed values or typed errors; it reads no file, socket or clock.
//! [`config`] parses the configuration that the operator sends (routes, services, limits).
//! [`settings`] parses the file that gives a process its addresses and bounds. [`json`] checks JSON
//! from outside the process before it is parsed. The fields have the names that the user
//! documentation gives them.

pub mod config;
pub mod json;
pub mod settings;
#[cfg(test)]
mod tests;

pub use json::JsonError;
