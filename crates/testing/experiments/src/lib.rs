//! Experiments on real routers against the emulator, for `badgerstream-experiments` and for tests. All figures come from
//! simulated servers on loopback.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

pub use badgerstream_process_harness::router;

pub mod client;
pub mod cluster_fleet;
pub mod comeback;
pub mod crowd;
pub mod fleet;
pub mod honest_load;
pub mod primary_changes;
pub mod runs;
pub mod succession_cost;
pub mod tally;
