//! Keeps the sum of what many routers do on their own within a bound. What is harmless in one router overloads nodes
//! when three hundred do it: probes, trial executions at suspects, first executions at a node that has just started,
//! hedged requests and retries add up, and each router sees only its own. Routers exchange no messages. Each decides
//! alone, so that the sum stays bounded however many there are:
//!
//! - [`SlotSchedule`]: time slots on the clock that all routers share,
//! - [`ShareBudget`]: budgets that are a share of the statements executed in any case,
//! - [`subset`]: which replicas a router uses.
//!
//! The crate reads no clock, does no I/O and has no randomness of its own: times are passed in as seconds, and draws
//! come from the seed that it is given. It only restricts what routing would do, and never allows more.

mod router_count;
mod settings;
mod share_budget;
mod slot_schedule;
mod subset;

#[cfg(test)]
mod tests;

pub use router_count::RouterCount;
pub use settings::Settings;
pub use share_budget::ShareBudget;
pub use slot_schedule::{MIN_SLOT_S, Membership, SlotSchedule, mix64};
pub use subset::{assign_subsets, most_preferred, subset};

use std::collections::{BTreeMap, BTreeSet};

/// Hash of a name (FNV-1a). It is the same at every router and in every version, so that all routers agree on the
/// order of slots.
pub fn stable_hash(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// What a router does at a node only in its own slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A probe that no decision waits for.
    IdleProbe,
    /// A probe that a decision waits for.
    NeededProbe,
    /// An execution at a suspect.
    SuspectTrial,
    /// The first execution at a node that has just started.
    FirstSend,
}

const ACTIONS: usize = 4;
/// Where the settings give no rate, each router has a slot within this time; in the order of `Action`.
const DEFAULT_CYCLE_S: [f64; ACTIONS] = [8.0, 0.5, 1.0, 1.0];
/// A router that uses a subset returns to all replicas at this multiple of `little_per_s`. The gap keeps it from
/// switching back and forth.
const LEAVE_SUBSET_FACTOR: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct Node {
    name_hash: u64,
    /// The slot that each action used last.
    used_slots: [Option<u64>; ACTIONS],
}

/// The replicas that this router uses in one group.
#[derive(Clone, Debug, Default)]
struct GroupSubset {
    replicas: Vec<u32>,
    chosen: BTreeSet<u32>,
    /// Whether only the `chosen` replicas are used.
    restricted: bool,
    live_routers: f64,
}

/// This router's view of the fleet, and its share of what all routers may do.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    /// Hashes of the routers named in the settings, in the order of names.
    router_hashes: Vec<u64>,
    /// This router's index among them.
    own_index: Option<usize>,
    own_hash: u64,
    configured_routers: f64,
    membership: Membership,
    router_count: RouterCount,
    schedules: [SlotSchedule; ACTIONS],
    hedge_budget: ShareBudget,
    retry_budget: ShareBudget,
    /// Number of first executions: it feeds the draws of the two budgets.
    first_executions: u64,
    last_update: f64,
    nodes: BTreeMap<u32, Node>,
    groups: BTreeMap<u16, GroupSubset>,
    log_lines: Vec<String>,
}

impl Fleet {
    /// `configured_routers` is the number of routers that the platform gives, `name` the name of this one.
    pub fn new(settings: Settings, seed: u64, configured_routers: f64, name: &str) -> Fleet {
        let mut names = settings.routers.clone();
        names.sort_unstable();
        let own_index = names.binary_search_by(|n| n.as_str().cmp(name)).ok();
        let expected_routers = configured_routers.max(names.len() as f64).max(1.0);
        let membership = Membership {
            rank_and_count: own_index.map(|index| (index as u64, names.len() as u64)),
            seed: mix64(seed ^ stable_hash(name)),
            live_routers: expected_routers,
            expected_routers,
        };
        Fleet {
            router_hashes: names.iter().map(|name| stable_hash(name)).collect(),
            own_index,
            own_hash: stable_hash(name),
            configured_routers,
            membership,
            router_count: RouterCount::new(expected_routers, settings.forget_ms / 1e3),
            schedules: schedules(&settings, expected_routers),
            hedge_budget: ShareBudget::new(settings.copies),
            retry_budget: ShareBudget::new(settings.repeats),
            first_executions: 0,
            last_update: f64::NEG_INFINITY,
            nodes: BTreeMap::new(),
            groups: BTreeMap::new(),
            log_lines: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. The nodes stay known; all else starts anew.
    pub fn reset(&mut self, settings: Settings, seed: u64, name: &str) {
        let nodes = std::mem::take(&mut self.nodes);
        *self = Fleet {
            nodes,
            ..Fleet::new(settings, seed, self.configured_routers, name)
        };
    }

    /// Number of routers that the platform gives.
    pub fn configured_routers(&self) -> f64 {
        self.configured_routers
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Estimated number of running routers, this one included.
    pub fn live_routers(&self) -> f64 {
        self.router_count.live()
    }

    /// Takes the lines to write to the log.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Number of nodes that are remembered.
    pub fn known_nodes(&self) -> usize {
        self.nodes.len()
    }
}

fn schedules(settings: &Settings, routers: f64) -> [SlotSchedule; ACTIONS] {
    let rates = [
        settings.idle_probes_per_s,
        settings.searches_per_s,
        settings.trials_per_s,
        settings.first_sends_per_s,
    ];
    std::array::from_fn(|action| SlotSchedule::new(rates[action], routers, DEFAULT_CYCLE_S[action]))
}

/// Inputs.
impl Fleet {
    /// Records that a node is listed under this name. It is remembered until `forget`.
    pub fn node_listed(&mut self, node: u32, name: &str) {
        self.nodes.entry(node).or_default().name_hash = stable_hash(name);
    }

    /// Drops all that is known of a node.
    pub fn forget(&mut self, node: u32) {
        self.nodes.remove(&node);
        self.router_count.forget(node);
    }

    /// Records a load report: a node holds `held` connections, `own` of them from this router.
    pub fn connections_reported(&mut self, now: f64, node: u32, held: f64, own: f64) {
        self.router_count.reported(now, node, held, own);
    }

    /// Records the first execution of a statement: it may earn a hedged request and a retry.
    pub fn first_execution_sent(&mut self, now: f64) {
        self.first_executions += 1;
        let draw = |salt: u64| {
            (mix64(self.membership.seed ^ mix64(self.first_executions ^ salt)) >> 11) as f64
                / (1u64 << 53) as f64
        };
        let for_hedge = draw(1 << 62);
        let for_retry = draw(1 << 63);
        self.hedge_budget.earn(now, for_hedge);
        self.retry_budget.earn(now, for_retry);
    }

    /// Returns whether the periodic update is due, about once in `MIN_SLOT_S`; if so, the period starts anew.
    pub fn update_due(&mut self, now: f64) -> bool {
        let due = now - self.last_update >= MIN_SLOT_S * 0.9;
        self.last_update = if due { now } else { self.last_update };
        due
    }

    /// Updates the estimated number of running routers. Returns whether it has changed, and with it the slots.
    pub fn update_router_count(&mut self, now: f64) -> bool {
        let before = self.router_count.live();
        if !self.router_count.update(now) {
            return false;
        }
        self.membership.live_routers = self.router_count.live();
        self.schedules = schedules(&self.settings, self.membership.live_routers);
        self.log_lines.push(format!(
            "{now:.3} fleet: {:.0} routers live, {before:.0} before",
            self.membership.live_routers
        ));
        true
    }

    /// Chooses which of a group's replicas in service this router uses; see `uses_replica`. `per_replica` is the
    /// number of statements per second for each replica.
    pub fn update_subset(&mut self, group: u16, replicas: &[u32], per_replica: f64) {
        let subset_state = self.groups.entry(group).or_default();
        let little = self.settings.little_per_s;
        let limit = if subset_state.restricted {
            LEAVE_SUBSET_FACTOR * little
        } else {
            little
        };
        let live_routers = self.membership.live_routers;
        let restricted = per_replica < limit && self.settings.subset > 0 && live_routers > 1.0;
        let unchanged = subset_state.restricted == restricted
            && subset_state.live_routers == live_routers
            && subset_state.replicas == replicas;
        subset_state.restricted = restricted;
        subset_state.live_routers = live_routers;
        if unchanged {
            return;
        }
        subset_state.replicas = replicas.to_vec();
        if !restricted {
            subset_state.chosen.clear();
            return;
        }
        // Ordered by hash of name, because node ids differ from router to router.
        let mut by_hash: Vec<(u64, u32)> = replicas
            .iter()
            .map(|id| (self.nodes.get(id).map_or(0, |node| node.name_hash), *id))
            .collect();
        by_hash.sort_unstable();
        let hashes: Vec<u64> = by_hash.iter().map(|pair| pair.0).collect();
        let size = self.settings.subset;
        let enough_routers = live_routers * size as f64 >= 2.0 * hashes.len() as f64;
        let chosen = match self
            .own_index
            .filter(|_| self.membership.exact_rank().is_some())
        {
            Some(own) => subset(&self.router_hashes, own, &hashes, size),
            None if enough_routers && size < hashes.len() => {
                most_preferred(self.own_hash, &hashes, size)
            }
            None => (0..hashes.len()).collect(),
        };
        subset_state.chosen = chosen.into_iter().map(|at| by_hash[at].1).collect();
    }
}

/// Decisions.
impl Fleet {
    /// Returns whether this router may take an action at a node now: it owns the slot, and has not used it.
    pub fn may_act(&self, action: Action, now: f64, node: u32) -> bool {
        // A single router is not restricted.
        if self.membership.live_routers <= 1.0 {
            return true;
        }
        let Some(known) = self.nodes.get(&node) else {
            return true;
        };
        let key = known.name_hash ^ action as u64;
        let slot = self.schedules[action as usize].owned_slot(now, key, &self.membership);
        slot.is_some() && slot != known.used_slots[action as usize]
    }

    /// Records that the action was taken, which uses up the slot.
    pub fn record_action(&mut self, action: Action, now: f64, node: u32) {
        let slot = self.schedules[action as usize].slot_at(now);
        self.nodes
            .get_mut(&node)
            .into_iter()
            .for_each(|known| known.used_slots[action as usize] = Some(slot));
    }

    /// Seconds until each router has owned a slot for this action at a node.
    pub fn cycle_s(&self, action: Action) -> f64 {
        self.schedules[action as usize].cycle_s(&self.membership)
    }

    /// Returns whether a late execution may have a second copy (a hedged request).
    pub fn may_hedge(&self, now: f64) -> bool {
        self.membership.live_routers <= 1.0 || self.hedge_budget.allows(now)
    }

    /// Records that a second copy was sent.
    pub fn record_hedge(&mut self) {
        self.hedge_budget.spend();
    }

    /// Returns whether a statement may be executed again after a failed execution.
    pub fn may_retry(&self, now: f64) -> bool {
        self.membership.live_routers <= 1.0 || self.retry_budget.allows(now)
    }

    /// Records that a statement was executed again.
    pub fn record_retry(&mut self) {
        self.retry_budget.spend();
    }

    /// Returns whether a replica is one of those that this router uses in its group.
    pub fn uses_replica(&self, group: u16, node: u32) -> bool {
        self.groups
            .get(&group)
            .is_none_or(|subset| !subset.restricted || subset.chosen.contains(&node))
    }
}
