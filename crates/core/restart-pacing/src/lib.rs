//! Paces a router that returns after a restart or a stall: what it may do, how fast and in which order, until it is
//! back in full service.
//!
//! Most routers of a fleet may restart at the same moment. What is harmless in one router then becomes a thundering
//! herd: connections, probes and statements to nodes whose state no router knows. Each router decides alone, from what
//! nodes and discovery show it. The crate reads no clock, does no I/O and has no randomness of its own: times are
//! passed in as seconds, and draws come from the seed that it is given, so that equal routers act differently.
//!
//! Inputs record what happened; `may_send`, `may_probe` and `may_open` decide; `advance` moves from phase to phase.

mod connection_slots;
mod node;
mod phase;
mod settings;

#[cfg(test)]
mod tests;

pub use badgerstream_fleet_sharing::stable_hash;
pub use connection_slots::OPEN_WINDOW_S;
pub use phase::{Evidence, Phase};
pub use settings::Settings;

use connection_slots::ConnectionSlots;
use node::Node;
use phase::PhaseState;
use std::collections::BTreeMap;

/// Decision on opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OpenDecision {
    /// Open it now.
    Now,
    /// Ask again after this number of seconds, or once another connection to the node has opened or failed.
    After(f64),
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The node has reached its limit of connections.
    NodeFull,
    /// The node did not answer, or not in time.
    Unreachable,
}

/// Numbers of a router's connections to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are being opened.
    pub opening: usize,
    /// Open connections at work.
    pub busy: usize,
    /// Open connections without work.
    pub idle: usize,
}

/// Work that waits for the end of a phase asks again after this time.
const RECHECK_S: f64 = 0.02;
/// If a node holds fewer than this share of the connections expected from the other routers, these have not returned.
const HELD_SHARE: f64 = 0.5;
/// If the other routers open more than this share of the bound at a node, they may be returning, however many
/// connections the node holds.
const CALM_OPENS_SHARE: f64 = 0.125;
/// Advice to retry is spread from this share of the maximum up to the maximum.
const MIN_ADVICE_SHARE: f64 = 0.25;
/// First delay before a watch on discovery is opened again; it doubles up to the maximum.
const MIN_WATCH_DELAY_S: f64 = 0.05;
const MAX_WATCH_DELAY_S: f64 = 1.0;

/// Pacing state of one router. It exists as long as the router.
pub struct Recovery {
    settings: Settings,
    rng: fastrand::Rng,
    /// Number of routers in the fleet.
    routers: f64,
    slots: ConnectionSlots,
    phase_state: PhaseState,
    /// Time of the last call of `advance`: a long gap is a stall.
    last_advance: f64,
    /// The node chosen for the first connection, which shows whether other routers return too.
    sounded: Option<u32>,
    nodes: BTreeMap<u32, Node>,
    /// Whether the phase has changed since `advance` last returned.
    phase_changed: bool,
    log_lines: Vec<String>,
}

impl Recovery {
    /// `routers` is the number of routers in the fleet, `name` the name of this one.
    pub fn new(now: f64, settings: Settings, seed: u64, routers: f64, name: &str) -> Recovery {
        let mut rng = fastrand::Rng::with_seed(seed);
        let slots = connection_slots(&settings, &mut rng, routers, name);
        let routers = routers.max(settings.routers.len() as f64);
        Recovery {
            settings,
            rng,
            routers,
            slots,
            phase_state: PhaseState::starting(now),
            last_advance: now,
            sounded: None,
            nodes: BTreeMap::new(),
            phase_changed: false,
            log_lines: Vec::new(),
        }
    }

    /// Starts in full service, for a router that serves already when pacing is turned on.
    pub fn start_in_service(&mut self, now: f64) {
        self.phase_state = PhaseState::in_service(now);
    }

    /// Replaces the settings. The present phase and what is known of nodes stay.
    pub fn reset(&mut self, settings: Settings, name: &str) {
        self.routers = self.routers.max(settings.routers.len() as f64);
        self.slots = connection_slots(&settings, &mut self.rng, self.routers, name);
        self.settings = settings;
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Number of nodes that are remembered.
    pub fn known_nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase_state.phase
    }

    /// Takes the lines to write to the log.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }
}

fn connection_slots(
    settings: &Settings,
    rng: &mut fastrand::Rng,
    routers: f64,
    name: &str,
) -> ConnectionSlots {
    let mut names: Vec<&str> = settings.routers.iter().map(String::as_str).collect();
    names.sort_unstable();
    let count = (routers.max(1.0) as u64).max(names.len() as u64);
    // A router that the settings do not name draws its rank.
    let drawn = rng.u64(0..count);
    let rank = names.binary_search(&name).map_or(drawn, |rank| rank as u64);
    ConnectionSlots::new(rank, count, settings.opens_per_window(count as f64))
}

/// Inputs.
impl Recovery {
    /// Records that a node is listed under this name. It is remembered until `forget`.
    pub fn node_listed(&mut self, node: u32, name: &str) {
        self.nodes.entry(node).or_default().name_hash = stable_hash(name);
    }

    /// Drops all that is known of a node.
    pub fn forget(&mut self, node: u32) {
        self.nodes.remove(&node);
    }

    /// Records an answer of discovery, even one that says that nothing has changed.
    pub fn discovery_answered(&mut self, now: f64) {
        self.phase_state.discovery_answered();
        self.advance_phases(now);
    }

    /// Records that a connection to a node opened after `took_s` seconds.
    pub fn connection_opened(&mut self, now: f64, node: u32, took_s: f64) {
        self.nodes
            .get_mut(&node)
            .into_iter()
            .for_each(Node::connection_opened);
        if took_s * 1e3 > self.settings.handshake_ms {
            self.mark_crowded(now, node);
        } else if self.routers <= 1.0 {
            self.observe(now, Evidence::OthersInService);
        }
    }

    /// Records that a connection to a node failed to open.
    pub fn connection_failed(&mut self, now: f64, node: u32, why: OpenFailure) {
        let random = self.rng.f64();
        if let Some(known) = self.nodes.get_mut(&node) {
            known.connection_failed(now, &self.settings, random);
        }
        if why == OpenFailure::NodeFull || self.sounded == Some(node) {
            self.mark_crowded(now, node);
        }
    }

    /// Records the end of an execution at a node. `good` is whether its answer shows that the node works; it is false
    /// for an execution that was not answered or was turned away.
    pub fn execution_ended(&mut self, node: u32, good: bool) {
        self.nodes
            .get_mut(&node)
            .into_iter()
            .for_each(|known| known.execution_ended(good));
    }

    /// Records a load report: how many connections a node holds, and how many were opened there in the last 100 ms.
    /// This router's own are among them; a router that returns alone adds only a few.
    pub fn connections_reported(&mut self, now: f64, node: u32, held: f64, opened: f64) {
        if opened > self.settings.opens_per_window(self.routers) {
            return self.mark_crowded(now, node);
        }
        if self.phase_state.phase == Phase::Sounding {
            self.judge_report(now, held, opened);
        }
    }

    /// Concludes from a load report whether other routers return too. The first of a returning fleet may hold several
    /// connections each while the rest have not started, so the number of held connections counts only while hardly
    /// any are being opened. Otherwise the next report decides, or the end of sounding.
    fn judge_report(&mut self, now: f64, held: f64, opened: f64) {
        if held - 1.0 < HELD_SHARE * (self.routers - 1.0) {
            self.observe(now, Evidence::OthersReturning);
        } else if opened - 1.0 <= CALM_OPENS_SHARE * self.settings.opens_per_window(self.routers) {
            self.observe(now, Evidence::OthersInService);
        }
    }

    /// Marks a node as crowded: for one cycle, this router opens connections there only in its own slots.
    fn mark_crowded(&mut self, now: f64, node: u32) {
        let until = now + self.slots.cycle_s().max(OPEN_WINDOW_S);
        self.nodes
            .get_mut(&node)
            .into_iter()
            .for_each(|known| known.crowded_until = until);
        self.observe(now, Evidence::OthersReturning);
    }

    fn observe(&mut self, now: f64, evidence: Evidence) {
        let before = self.phase_state.phase;
        self.phase_state.observe(now, evidence);
        self.log_phase_change(now, before);
    }

    /// Moves from phase to phase, and detects a stall: a long time without a call. Returns whether the phase has
    /// changed since the last call, which may let waiting work go.
    pub fn advance(&mut self, now: f64) -> bool {
        let gap_s = now - std::mem::replace(&mut self.last_advance, now);
        if gap_s * 1e3 >= self.settings.stood_still_ms {
            self.log_lines.push(format!(
                "{now:.3} recovery: process stood still for {gap_s:.1} s; starting again at listing"
            ));
            self.phase_state = PhaseState::starting(now);
            self.sounded = None;
            self.nodes.values_mut().for_each(Node::reset_after_stall);
            self.phase_changed = true;
        }
        self.advance_phases(now);
        std::mem::take(&mut self.phase_changed)
    }

    fn advance_phases(&mut self, now: f64) {
        let before = self.phase_state.phase;
        while self
            .phase_state
            .advance(now, &self.settings, self.slots.cycle_s())
        {
            if self.phase_state.phase == Phase::Full {
                break;
            }
        }
        self.log_phase_change(now, before);
    }

    fn log_phase_change(&mut self, now: f64, before: Phase) {
        let phase = self.phase_state.phase;
        if phase != before {
            self.phase_changed = true;
            let from = format!("{before:?}").to_lowercase();
            let to = format!("{phase:?}").to_lowercase();
            self.log_lines
                .push(format!("{now:.3} recovery: from {from} to {to}"));
        }
    }
}

/// Decisions.
impl Recovery {
    /// Returns whether one more statement may go to a node that has `in_flight` statements already.
    pub fn may_send(&self, now: f64, node: u32, in_flight: usize) -> bool {
        let Some(known) = self.nodes.get(&node) else {
            return self.phase_state.phase == Phase::Full;
        };
        let within_limit = (in_flight as f64) < known.max_in_flight
            && (known.connected || known.backoff_left_s(now).is_none());
        match self.phase_state.phase {
            Phase::Full => true,
            Phase::Listing => false,
            Phase::Sounding => within_limit && (known.connected || self.sounded == Some(node)),
            Phase::Turns => {
                within_limit && (known.connected || self.usable_slot(now, known).is_some())
            }
            Phase::Climbing => known.is_trusted() || within_limit,
        }
    }

    /// Returns this router's slot for a node, if it is now, unused, and the node has no backoff.
    fn usable_slot(&self, now: f64, node: &Node) -> Option<u64> {
        self.slots
            .owned_slot(now, node.name_hash)
            .filter(|slot| node.is_slot_unused(*slot) && node.backoff_left_s(now).is_none())
    }

    /// Records that a statement goes to a node. If there is no connection yet and it goes in this router's slot, the
    /// statement uses that slot and may open its connection.
    pub fn statement_sent(&mut self, now: f64, node: u32) {
        let slot = self
            .nodes
            .get(&node)
            .filter(|n| !n.connected)
            .and_then(|n| self.usable_slot(now, n));
        if let (Phase::Turns, Some(known), Some(slot)) =
            (self.phase(), self.nodes.get_mut(&node), slot)
        {
            known.grant_connection(now, slot);
        }
    }

    /// Chooses the node whose first connection shows whether other routers return too, from the nodes that may be
    /// sent work. Returns it once. Routers choose by rank, so that each node is chosen by as many routers.
    pub fn choose_sounded_node(&mut self, candidates: &[u32]) -> Option<u32> {
        if self.phase() != Phase::Sounding || self.sounded.is_some() {
            return None;
        }
        let order = |node: &u32| {
            (
                self.nodes.get(node).map_or(0, |known| known.name_hash),
                *node,
            )
        };
        let mut candidates = candidates.to_vec();
        candidates.sort_by_key(order);
        let chosen = candidates
            .get(self.slots.rank() as usize % candidates.len().max(1))
            .copied()?;
        self.sounded = Some(chosen);
        Some(chosen)
    }

    /// Returns whether a node may be probed. Before full service this needs a connection, or this router's slot; a
    /// decision that waits for the probe asks again.
    pub fn may_probe(&self, now: f64, node: u32) -> bool {
        let Some(known) = self.nodes.get(&node) else {
            return self.phase_state.phase == Phase::Full;
        };
        match self.phase_state.phase {
            Phase::Full => {
                known.connected
                    || now >= known.crowded_until
                    || self.usable_slot(now, known).is_some()
            }
            Phase::Listing => false,
            Phase::Sounding => known.connected || self.sounded == Some(node),
            Phase::Turns | Phase::Climbing => {
                known.connected || self.usable_slot(now, known).is_some()
            }
        }
    }

    /// Decides whether one more connection to a node may be opened. `OpenDecision::Now` uses the slot that allows it.
    pub fn may_open(&mut self, now: f64, node: u32, counts: ConnectionCounts) -> OpenDecision {
        let phase = self.phase_state.phase;
        // A node that is no longer listed: before full service nothing is opened there.
        let Some(known) = self.nodes.get_mut(&node) else {
            return if phase == Phase::Full {
                OpenDecision::Now
            } else {
                OpenDecision::After(RECHECK_S)
            };
        };
        if let Some(backoff_left_s) = known.backoff_left_s(now) {
            return OpenDecision::After(backoff_left_s);
        }
        if known.redeem_grant(now) {
            return OpenDecision::Now;
        }
        match phase {
            Phase::Listing => return OpenDecision::After(RECHECK_S),
            Phase::Sounding
                if self.sounded == Some(node) && !known.connected && counts.opening == 0 =>
            {
                return OpenDecision::Now;
            }
            Phase::Sounding => return OpenDecision::After(RECHECK_S),
            Phase::Turns | Phase::Climbing | Phase::Full => {}
        }
        let held = counts.busy + counts.idle;
        // After turns, too, one more connection from each of many routers is a burst. A router that has a connection
        // can wait for its slot. A router with many connections is one of few.
        let has_few = held < self.settings.turns_below && (held > 0 || phase == Phase::Climbing);
        if phase == Phase::Turns || now < known.crowded_until || has_few {
            let slot = self
                .slots
                .owned_slot(now, known.name_hash)
                .filter(|slot| known.is_slot_unused(*slot));
            let Some(slot) = slot.filter(|_| counts.opening == 0) else {
                return OpenDecision::After(self.slots.next_slot_after_s(now, known.name_hash));
            };
            known.use_slot(slot);
            return OpenDecision::Now;
        }
        // Slow start: at most as many at once as are open, and half as many while climbing.
        let max_opening = if phase == Phase::Climbing {
            held / 2
        } else {
            held
        };
        if counts.opening < max_opening.max(1) {
            OpenDecision::Now
        } else {
            OpenDecision::After(RECHECK_S)
        }
    }

    /// Seconds until this router's next slot at a node that it has no connection to, in the phase in which statements
    /// wait for slots; otherwise `None`. Waiting statements should be looked at then.
    pub fn next_slot_after_s(&self, now: f64) -> Option<f64> {
        let next_slots = self
            .nodes
            .values()
            .filter(|node| !node.connected)
            .map(|node| self.slots.next_slot_after_s(now, node.name_hash));
        Some(next_slots.fold(f64::INFINITY, f64::min))
            .filter(|next| self.phase_state.phase == Phase::Turns && next.is_finite())
    }

    /// Seconds after which a rejected client should retry, at most `max_s`. The advice is spread, so that rejected
    /// clients do not all return together.
    pub fn retry_advice_s(&mut self, max_s: f64) -> f64 {
        max_s * (MIN_ADVICE_SHARE + (1.0 - MIN_ADVICE_SHARE) * self.rng.f64())
    }

    /// Seconds until a watch on discovery that has ended is opened again, after `tries` consecutive ends.
    pub fn watch_delay_s(&mut self, tries: u32) -> f64 {
        let longest_s =
            (MIN_WATCH_DELAY_S * f64::from(tries.min(20)).exp2()).min(MAX_WATCH_DELAY_S);
        longest_s * (0.5 + 0.5 * self.rng.f64())
    }

    /// Timeout for opening a connection, in seconds.
    pub fn connect_timeout_s(&self) -> f64 {
        self.settings.longest_handshake_ms / 1e3
    }

    /// Time in which an execution that nobody waits for may still end on its connection, in seconds.
    pub fn linger_s(&self) -> f64 {
        self.settings.linger_ms / 1e3
    }

    /// Number of idle connections to keep at a node. Connections that were needed only while other routers were down
    /// are closed again.
    pub fn idle_to_keep(&mut self, now: f64, node: u32, counts: ConnectionCounts) -> usize {
        let period_s = self.settings.surplus_ms / 1e3;
        let Some(known) = self.nodes.get_mut(&node) else {
            return 0;
        };
        known
            .peak_in_use(now, counts.busy, period_s)
            .max(1)
            .saturating_sub(counts.busy)
    }
}
