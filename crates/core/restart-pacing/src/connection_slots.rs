//! Time slots for opening connections, without messages between routers. Time is cut into slots, and in each slot one
//! router of the fleet may open a connection to a given node. All routers use the same clock and the hash of the
//! node's name, so that their sum at a node stays within the bound however many they are, and each router has its
//! slots for different nodes at different times.

/// The time window in which new connections at a node are bounded, in seconds.
pub const OPEN_WINDOW_S: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct ConnectionSlots {
    rank: u64,
    routers: u64,
    slot_s: f64,
}

impl ConnectionSlots {
    /// `opens_per_window` bounds the new connections of all routers together at one node in `OPEN_WINDOW_S`.
    pub(crate) fn new(rank: u64, routers: u64, opens_per_window: f64) -> ConnectionSlots {
        let routers = routers.max(1);
        ConnectionSlots {
            rank: rank % routers,
            routers,
            slot_s: OPEN_WINDOW_S / opens_per_window.max(1.0),
        }
    }

    pub(crate) fn rank(&self) -> u64 {
        self.rank
    }

    /// Seconds until each router has owned a slot for a node.
    pub(crate) fn cycle_s(&self) -> f64 {
        self.routers as f64 * self.slot_s
    }

    fn slot_at(&self, now: f64) -> u64 {
        (now.max(0.0) / self.slot_s) as u64
    }

    /// Returns the number of the slot at `now` if this router owns it for the node.
    pub(crate) fn owned_slot(&self, now: f64, node_hash: u64) -> Option<u64> {
        let slot = self.slot_at(now);
        (self.slots_until_own(slot, node_hash) == 0).then_some(slot)
    }

    /// Number of slots from `slot` to this router's next slot for the node.
    fn slots_until_own(&self, slot: u64, node_hash: u64) -> u64 {
        let own = (self.rank + node_hash % self.routers) % self.routers;
        (own + self.routers - slot % self.routers) % self.routers
    }

    /// Seconds until this router's next slot for the node begins, not counting the slot at `now`.
    pub(crate) fn next_slot_after_s(&self, now: f64, node_hash: u64) -> f64 {
        let slot = self.slot_at(now) + 1;
        let begins = (slot + self.slots_until_own(slot, node_hash)) as f64 * self.slot_s;
        // A little after the beginning, so that rounding does not give the slot before.
        (begins - now + self.slot_s * 0.05).max(0.0)
    }
}
