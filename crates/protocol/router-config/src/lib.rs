//! What a router is handed at start, turned into the types of `badgerstream-routing`: one reading for every
//! front. Lines of path=value and nested JSON come to the same pairs.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

mod instance;
mod own;
mod pairs;
mod start;

pub use instance::{Reading, instance};
pub use own::{Fault, Own, json5_file};
pub use pairs::Pairs;
pub use start::Provision;

/// The figures of a load report that tell a node's position and role.
pub const POSITION: &str = "x0";
pub const ROLE: &str = "x1";

#[cfg(test)]
mod tests;
