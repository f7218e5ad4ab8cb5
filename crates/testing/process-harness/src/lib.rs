//! A rig that shows how many processes of the router behave together when parts of the system break: routers,
//! the store and the clients are processes of their own, every link between them runs through a relay, faults
//! come by a script and a seed, and one judge reads what all sides saw. All on loopback, without privileges;
//! all figures are of simulated clients and nodes.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

pub mod clients;
pub mod judge;
pub mod play;
pub mod relay;
pub mod router;
pub mod run_delay;
pub mod script;
pub mod store;

#[cfg(test)]
mod tests;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_micros() as u64)
}

/// A rig's own part of the loopback network: what is down for a while keeps its address, and nothing of another
/// rig, on the same machine at the same time, ever listens there.
#[derive(Clone, Copy, Debug)]
pub struct Ground(u8, u8);

static GROUNDS: AtomicU8 = AtomicU8::new(0);
/// Last parts of addresses: routers listen from 1 on, and call from these on.
const CALLERS: u8 = 101;

impl Ground {
    /// Another one for each rig of this process, and of other processes.
    pub fn new() -> Ground {
        Ground(
            64 + (std::process::id() % 128) as u8,
            GROUNDS.fetch_add(1, Ordering::Relaxed),
        )
    }

    fn at(self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, last)
    }

    /// Where a router listens.
    pub fn door(self, router: usize) -> Ipv4Addr {
        self.at(router as u8 + 1)
    }

    /// From where a router's relays call nodes: by it a node tells who calls.
    pub fn caller(self, router: usize) -> Ipv4Addr {
        self.at(router as u8 + CALLERS)
    }

    pub fn relays(self) -> Ipv4Addr {
        self.at(200)
    }

    pub fn nodes(self) -> Ipv4Addr {
        self.at(201)
    }
}

impl Default for Ground {
    fn default() -> Ground {
        Ground::new()
    }
}

/// The router whose relays call from this address.
pub fn router_of(address: Ipv4Addr) -> Option<usize> {
    let [127, 64..=255, _, last @ CALLERS..200] = address.octets() else {
        return None;
    };
    Some(usize::from(last - CALLERS))
}
