//! Experiments on real routers against the emulator, for `badgerlab` and for tests. All figures come from
//! simulated servers on loopback.

pub mod client;
pub mod honest_load;
pub mod primary_changes;
pub mod router;
pub mod succession_cost;
