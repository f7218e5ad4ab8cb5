//! Open-loop load for any server of the protocol, counted without coordinated omission: statements are sent on
//! a schedule drawn ahead, whatever the server does, and every wait is charged to the statement that waited.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

pub mod arrivals;
pub mod attempts;
pub mod compare;
pub mod connection;
pub mod count;
pub mod engine;
pub mod keep;
pub mod plot;
pub mod record;
pub mod run;
pub mod scenario;
pub mod search;
pub mod series;
pub mod sheet;
pub mod slab;
mod soonest;
pub mod trace;
pub mod traffic;
pub mod work;

#[cfg(test)]
mod tests;
