//! Divides a rate among all routers without messages between them. Time is cut into slots, and each slot has owners.
//! Where routers have ranks, the next ranks own the next slot; otherwise each router draws at random whether it owns
//! a slot. An unused slot is neither passed on nor saved: the next slot has other owners. So unused slots never add
//! to the rate, however many routers there are.

/// Minimum length of a slot: routers look at waiting work this often.
pub const MIN_SLOT_S: f64 = 0.05;
/// A router takes over slots of routers that have gone, up to this multiple of its own. The bound holds the rate when
/// a router counts too few others.
const MAX_TAKEOVER_FACTOR: f64 = 3.0;
/// A router without a rank draws as if at least this share of the expected routers were running.
const MIN_LIVE_SHARE: f64 = 0.25;

/// What a router knows of the fleet that it shares slots with.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// This router's rank among the routers named in the settings, and their number; `None` where it is not named.
    pub rank_and_count: Option<(u64, u64)>,
    /// Seed of the draws, different for each router and start.
    pub seed: u64,
    /// Estimated number of running routers.
    pub live_routers: f64,
    /// Number of routers according to the configuration.
    pub expected_routers: f64,
}

impl Membership {
    /// Returns rank and count while they apply: as long as no more routers run than are named, within a quarter.
    pub fn exact_rank(&self) -> Option<(u64, u64)> {
        self.rank_and_count
            .filter(|(_, count)| self.live_routers <= *count as f64 * 1.25)
    }

    fn sharing_routers(&self) -> f64 {
        self.exact_rank()
            .map_or(self.drawing_routers(), |(_, count)| count as f64)
            .max(1.0)
    }

    fn drawing_routers(&self) -> f64 {
        self.live_routers
            .max(self.expected_routers * MIN_LIVE_SHARE)
            .max(1.0)
    }
}

/// Mixes bits evenly (the finaliser of `SplitMix64`).
pub fn mix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns a pseudo-random number from 0 to 1 for a router's seed, a slot and a key.
fn draw(seed: u64, slot: u64, key: u64) -> f64 {
    let bits = mix64(seed ^ mix64(slot.wrapping_add(0x9e37_79b9_7f4a_7c15) ^ mix64(key)));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Slots that share one rate among all routers. Each key, such as a node, has its own sequence of owners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotSchedule {
    /// Length of a slot, in seconds.
    pub slot_s: f64,
    /// Number of routers that own a slot; a whole number, at least one.
    pub owners: f64,
}

impl SlotSchedule {
    /// `per_s` is the rate of all routers together. Where it is 0, the rate gives each of `routers` a slot within
    /// `default_cycle_s` seconds.
    pub fn new(per_s: f64, routers: f64, default_cycle_s: f64) -> SlotSchedule {
        let per_s = if per_s > 0.0 {
            per_s
        } else {
            (routers.max(1.0) / default_cycle_s).max(1.0 / default_cycle_s)
        };
        let slot_s = MIN_SLOT_S.max(1.0 / per_s);
        SlotSchedule {
            slot_s,
            owners: (per_s * slot_s).round().max(1.0),
        }
    }

    /// Returns the number of the slot at `now`, in seconds of the shared clock.
    pub fn slot_at(&self, now: f64) -> u64 {
        (now.max(0.0) / self.slot_s) as u64
    }

    /// Seconds until each router has owned a slot of a key.
    pub fn cycle_s(&self, membership: &Membership) -> f64 {
        (membership.sharing_routers() / self.owners).ceil().max(1.0) * self.slot_s
    }

    /// Returns the number of the slot at `now` if this router owns it for `key`.
    pub fn owned_slot(&self, now: f64, key: u64, membership: &Membership) -> Option<u64> {
        let slot = self.slot_at(now);
        self.owns(slot, key, membership).then_some(slot)
    }

    fn owns(&self, slot: u64, key: u64, membership: &Membership) -> bool {
        let drawn = || draw(membership.seed, slot, key);
        let Some((rank, count)) = membership.exact_rank() else {
            // A single router owns every slot.
            return drawn() * membership.drawing_routers() < self.owners;
        };
        let owners = (self.owners as u64).min(count);
        let first = (slot % count * owners + key % count) % count;
        if (rank + count - first) % count < owners {
            return true;
        }
        // The slots of routers that have gone: each running router draws its share of them.
        let count = count as f64;
        let live = membership.live_routers.clamp(1.0, count);
        let gone_per_live = (count - live) / live;
        drawn() < gone_per_live.min(MAX_TAKEOVER_FACTOR) * self.owners / count
    }
}
