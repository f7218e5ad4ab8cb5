//! Turns without talk: time is cut into slots, and in each slot one router of the fleet may open a connection at
//! a given node. All routers go by the same clock and by a node's name, so that their sum at a node stays under
//! the bound however many there are, and each has its slots at different nodes at different times.

/// The time over which openings at a node are bounded.
pub const WINDOW_S: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct Turns {
    rank: u64,
    routers: u64,
    step: f64,
}

impl Turns {
    /// `opens` is the bound of all routers together, a node and window.
    pub(crate) fn new(rank: u64, routers: u64, opens: f64) -> Turns {
        let routers = routers.max(1);
        Turns {
            rank: rank % routers,
            routers,
            step: WINDOW_S / opens.max(1.0),
        }
    }

    pub(crate) fn rank(&self) -> u64 {
        self.rank
    }

    /// How long it takes until everybody has had a turn at a node.
    pub(crate) fn cycle(&self) -> f64 {
        self.routers as f64 * self.step
    }

    fn slot(&self, now: f64) -> u64 {
        (now.max(0.0) / self.step) as u64
    }

    /// The number of the slot at this moment, if it is this router's at the node.
    pub(crate) fn turn(&self, now: f64, place: u64) -> Option<u64> {
        let slot = self.slot(now);
        (self.wait(slot, place) == 0).then_some(slot)
    }

    /// Slots from this one until the next of this router's at the node.
    fn wait(&self, slot: u64, place: u64) -> u64 {
        let mine = (self.rank + place % self.routers) % self.routers;
        (mine + self.routers - slot % self.routers) % self.routers
    }

    /// How long until the next turn behind the slot at this moment begins.
    pub(crate) fn next(&self, now: f64, place: u64) -> f64 {
        let slot = self.slot(now) + 1;
        let begins = (slot + self.wait(slot, place)) as f64 * self.step;
        // A little inside, so that rounding does not put it into the slot before.
        (begins - now + self.step * 0.05).max(0.0)
    }
}
