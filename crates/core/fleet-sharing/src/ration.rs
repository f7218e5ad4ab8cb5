//! Budgets of all routers together, without a word between them. Time is cut into slots, and each slot has its
//! owners: where routers are named, so many of them by rank, the next ones in the next slot; else whoever draws
//! it by a lot of its own. One who is silent in its slot passes nothing on and keeps nothing: the next slot is the
//! next ones'. So the sum never grows by what was left unused, however many routers there are.

/// A slot is at least so long, as routers look at what waits this often.
pub const LEAST_SLOT_S: f64 = 0.05;
/// Turns of the dead are taken over up to so many times one's own: who counts too few never takes more.
const TAKEN_OVER: f64 = 3.0;

/// Who takes turns.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranks {
    /// This router's place among the named, and how many these are; none where they are not named.
    pub named: Option<(u64, u64)>,
    /// Draws its lots: another one for each router and start.
    pub seed: u64,
    /// How many routers live, as far as this one can tell, and how many there are by what it was told.
    pub living: f64,
    pub told: f64,
}

/// Who is not named draws as if at least this part of those that it was told of lived.
const LEAST_LIVING: f64 = 0.25;

impl Ranks {
    /// Ranks hold while the named are about as many as live.
    pub fn exact(&self) -> Option<(u64, u64)> {
        self.named
            .filter(|(_, count)| self.living <= *count as f64 * 1.25)
    }

    fn count(&self) -> f64 {
        self.exact()
            .map_or(self.drawing(), |(_, count)| count as f64)
            .max(1.0)
    }

    fn drawing(&self) -> f64 {
        self.living.max(self.told * LEAST_LIVING).max(1.0)
    }
}

/// Spreads bits evenly (the finaliser of `SplitMix64`).
pub fn mixed(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// A number from 0 to 1 for a seed, a slot and a place.
fn lot(seed: u64, slot: u64, place: u64) -> f64 {
    let bits = mixed(seed ^ mixed(slot.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ mixed(place)));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// A budget of one kind: so many a second at each place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    pub slot: f64,
    /// How many own a slot, at least one.
    pub owners: f64,
}

impl Ration {
    /// `per_s` for all routers together; where it is 0, as many as give each of `routers` a turn within `within`.
    pub fn new(per_s: f64, routers: f64, within: f64) -> Ration {
        let per_s = if per_s > 0.0 {
            per_s
        } else {
            (routers.max(1.0) / within).max(1.0 / within)
        };
        let slot = LEAST_SLOT_S.max(1.0 / per_s);
        Ration {
            slot,
            owners: (per_s * slot).round().max(1.0),
        }
    }

    pub fn slot(&self, now: f64) -> u64 {
        (now.max(0.0) / self.slot) as u64
    }

    /// How long until everybody has had a turn at a place.
    pub fn cycle(&self, ranks: &Ranks) -> f64 {
        (ranks.count() / self.owners).ceil().max(1.0) * self.slot
    }

    /// The number of the slot at this moment, if it is this router's at the place.
    pub fn turn(&self, now: f64, place: u64, ranks: &Ranks) -> Option<u64> {
        let slot = self.slot(now);
        self.owns(slot, place, ranks).then_some(slot)
    }

    fn owns(&self, slot: u64, place: u64, ranks: &Ranks) -> bool {
        let drawn = || lot(ranks.seed, slot, place);
        let Some((rank, count)) = ranks.exact() else {
            // One alone has every turn.
            return drawn() * ranks.drawing() < self.owners;
        };
        let owners = (self.owners as u64).min(count);
        let first = (slot % count * owners + place % count) % count;
        if (rank + count - first) % count < owners {
            return true;
        }
        // The turns of the dead: each of the living draws as many as there are for it.
        let (count, living) = (count as f64, ranks.living.clamp(1.0, count as f64));
        let dead = (count - living) / living;
        drawn() < dead.min(TAKEN_OVER) * self.owners / count
    }
}
