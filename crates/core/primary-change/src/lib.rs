//! Decisions of a router while the primary of a replication group changes (failover or planned switchover): which
//! node leads, which statements are held and for how long, in which order and at what rate they are released, what
//! is done with writes that may have run, and which acknowledged commits are lost.
//!
//! The crate does no I/O and reads no clock: the caller passes in evidence and the present time (`f64` seconds on its
//! clock) and gets decisions back. Random numbers come from the seed. The reasons for this design are in
//! docs/design/primary-changes.md.

mod doubt;
mod durations;
mod hold;
mod loss;
mod release;
mod settings;
mod term;

pub use doubt::{RepeatEffect, Resolution, resolve_doubt};
pub use durations::ChangeDurations;
pub use hold::{AdmissionRequest, HoldQueue, HoldSize};
pub use loss::{CommitLoss, LossTracker};
pub use release::ReleaseWindow;
pub use settings::Settings;
pub use term::{Evidence, NEVER, Phase, Term};

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between trials: while no leader is known, one statement is sent to a node that may lead. It does
/// no harm if the node turns it away.
const TRIAL_INTERVAL_S: f64 = 0.1;
/// Time after a connection to the leader broke for which it is uncertain whether the leader lives: three probes take
/// less.
const LEADER_UNCERTAIN_S: f64 = 1.0;
/// Time without held statements and failures after which a leader is settled, so that a further failure before it
/// counts as part of the same change.
const SETTLE_QUIET_S: f64 = 0.25;

/// Decision on a statement that needs the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The statement may be sent to the leader, or as a trial to a node that may lead.
    Send,
    /// The statement is held.
    Hold,
    /// The statement would be held in vain, or there is no room for it.
    Reject {
        /// Seconds after which the client should try again.
        retry_after_s: f64,
    },
}

/// Number and size of the held statements of all groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldUsage {
    /// Those held now.
    pub current: HoldSize,
    /// The most held at the same time since the start.
    pub peak: HoldSize,
}

#[derive(Clone, Debug, Default)]
struct GroupState {
    term: Term,
    release: ReleaseWindow,
    /// Statement in flight as a trial, if any.
    trial_stmt: Option<u32>,
    /// Start of the last trial.
    last_trial_at: f64,
    /// Last time when evidence changed the term, a statement was held, or an execution at the leader failed.
    last_activity_at: f64,
}

/// State of the primary changes of all groups. It lives as long as the router's process.
#[derive(Clone, Debug)]
pub struct Succession {
    settings: Settings,
    /// Number of routers of the service.
    routers: f64,
    rng: fastrand::Rng,
    groups: BTreeMap<u16, GroupState>,
    /// Groups to look at in `settle`: those that are not settled.
    unsettled: BTreeSet<u16>,
    hold: HoldQueue,
    durations: ChangeDurations,
    losses: LossTracker,
    /// Statements removed from the queue to make room for others; they are rejected when they ask next.
    evicted: Vec<u32>,
    log_lines: Vec<String>,
}

impl Succession {
    /// Creates the state without any group. `routers` is the number of routers of the service.
    pub fn new(settings: Settings, seed: u64, routers: f64) -> Succession {
        Succession {
            routers: routers.max(1.0),
            rng: fastrand::Rng::with_seed(seed),
            groups: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            hold: HoldQueue::new(settings.hold_group, settings.hold),
            durations: ChangeDurations::new(settings.expected_change_ms / 1e3),
            losses: LossTracker::new(settings.answered_kept),
            evicted: Vec::new(),
            log_lines: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. Held statements and everything observed so far are kept.
    pub fn set_settings(&mut self, settings: Settings) {
        self.hold.set_limits(settings.hold_group, settings.hold);
        self.losses.set_max_acknowledged(settings.answered_kept);
        if self.durations.changes() == 0 {
            self.durations = ChangeDurations::new(settings.expected_change_ms / 1e3);
        }
        self.settings = settings;
    }

    /// Present settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes one piece of evidence about a node of the group; returns whether it changed the group's leader, candidate
    /// or phase.
    pub fn observe(&mut self, now: f64, group: u16, node: u32, evidence: Evidence) -> bool {
        let state = self.groups.entry(group).or_default();
        let phase_before = state.term.phase;
        let number_before = state.term.number;
        let leader_before = state.term.leader;
        if !state.term.observe(now, node, evidence) {
            return false;
        }
        let phase = state.term.phase;
        let number = state.term.number;
        let leader = state.term.leader;
        state.last_activity_at = now;
        self.unsettled.insert(group);
        if phase == Phase::Settling && (phase_before, number_before) != (phase, number) {
            let spread_s = self.settings.release_spread_ms / 1e3;
            state
                .release
                .start(now, self.routers, spread_s, self.rng.f64());
        }
        let held = self.hold.group_size(group);
        self.log_lines.push(format!(
            "{now:.3} group {group}: term {number} {phase:?}, leader {leader:?} (before: {phase_before:?}, leader {leader_before:?}; evidence: node {node} {evidence:?}), holds {} statements, {} bytes",
            held.statements, held.bytes
        ));
        true
    }

    /// Node that last said that it leads the group; also while it is suspected.
    pub fn leader(&self, group: u16) -> Option<u32> {
        self.groups.get(&group).and_then(|state| state.term.leader)
    }

    /// Number of the group's present term; 0 if no leader was ever known.
    pub fn term(&self, group: u16) -> u64 {
        self.groups.get(&group).map_or(0, |state| state.term.number)
    }

    /// Present phase of the group's leadership.
    pub fn phase(&self, group: u16) -> Phase {
        self.groups
            .get(&group)
            .map_or(Phase::NoLeader, |state| state.term.phase)
    }

    /// Returns whether a node leads the group and nothing is held: the ordinary case, in which statements need no
    /// admission.
    pub fn is_settled(&self, group: u16) -> bool {
        self.phase(group) == Phase::Settled
    }

    /// Returns whether a node says that it leads the group and nothing speaks against it.
    fn has_leader(&self, group: u16) -> bool {
        matches!(self.phase(group), Phase::Settled | Phase::Settling)
    }

    /// Number and size of the statements held now, and their maximum since the start.
    pub fn hold_usage(&self) -> HoldUsage {
        HoldUsage {
            current: self.hold.size(),
            peak: self.hold.peak,
        }
    }

    /// Returns whether the statement is held.
    pub fn is_held(&self, stmt: u32) -> bool {
        self.hold.contains(stmt)
    }

    /// Decides whether a statement that needs a primary and is not in flight may be sent now. The caller asks again
    /// for each such statement whenever something has happened.
    pub fn admit(&mut self, now: f64, stmt: u32, request: &AdmissionRequest) -> Admission {
        let state = self.groups.entry(request.group).or_default();
        if state.term.phase == Phase::Settled {
            return Admission::Send;
        }
        if state.term.change_began_at == NEVER && state.term.number > 0 {
            state.term.change_began_at = now;
        }
        if let Some(index) = self.evicted.iter().position(|other| *other == stmt) {
            self.evicted.swap_remove(index);
            return self.reject(now, request.group);
        }
        let send_now = match state.term.phase {
            Phase::Settled => true,
            Phase::Settling if state.release.is_in_flight(stmt) => return Admission::Send,
            // Below, once the statement is held: the next to be released is chosen among all that are.
            Phase::Settling => false,
            // A draining primary still takes statements for the first part of its drain. An unreachable one gets
            // probes only, as an answer to a statement may never come.
            Phase::Suspected => {
                state.term.leader_leaving
                    && !state.term.leader_unreachable
                    && request.taken_by_draining_leader
                    && self.hold.is_first(stmt, request)
            }
            Phase::NoLeader | Phase::Candidate => {
                request.may_be_trial
                    && self.hold.is_first(stmt, request)
                    && state.takes_trial(now, stmt)
            }
        };
        if send_now {
            self.hold.remove(stmt);
            return Admission::Send;
        }
        state.release.remove(stmt);
        if self.would_wait_in_vain(now, request)
            || !self.hold.insert(stmt, *request, &mut self.evicted)
        {
            self.hold.remove(stmt);
            return self.reject(now, request.group);
        }
        let state = self.groups.get_mut(&request.group).expect("made above");
        let settling = state.term.phase == Phase::Settling;
        if settling
            && self.hold.is_among_first(
                stmt,
                request.group,
                state.release.free(now),
                |stmt, request| state.release.blocks(stmt, request),
            )
        {
            state.release.release(stmt, request.session);
            return Admission::Send;
        }
        state.last_activity_at = now;
        Admission::Hold
    }

    /// Records that an admitted statement was sent: it is no longer held.
    pub fn record_sent(&mut self, stmt: u32) {
        self.hold.remove(stmt);
    }

    /// Returns whether the change is unlikely to end before the statement's deadline, judged by past changes.
    fn would_wait_in_vain(&self, now: f64, request: &AdmissionRequest) -> bool {
        let term = &self.groups[&request.group].term;
        // The durations of changes say nothing in two cases, and only the deadline counts: the leader is known and
        // held statements leave as it completes others; or no leader was ever known, as at a start, which is no
        // change.
        if term.phase == Phase::Settling || term.number == 0 {
            return now >= request.deadline;
        }
        let wait_s = request
            .deadline
            .min(request.arrived + self.settings.longest_hold_ms / 1e3)
            - now;
        wait_s <= 0.0
            || self
                .durations
                .chance_to_end_within(now - term.change_began_at, wait_s)
                < self.settings.least_chance
    }

    /// Rejects a statement. Each rejected client gets a random time beyond the expected end of the change, as
    /// otherwise all of them would return at the same time.
    fn reject(&mut self, now: f64, group: u16) -> Admission {
        let began_at = self.groups[&group].term.change_began_at;
        let remaining_s = self.durations.remaining_s(if began_at == NEVER {
            0.0
        } else {
            now - began_at
        });
        Admission::Reject {
            retry_after_s: remaining_s * (1.0 + self.rng.f64()),
        }
    }

    /// Records that an execution of a statement at a node ended; does nothing while the group is settled.
    /// `completed` and `failed` are both false for an execution that tells nothing of the node, such as a cancelled
    /// one.
    pub fn record_execution_end(
        &mut self,
        now: f64,
        group: u16,
        stmt: u32,
        node: u32,
        completed: bool,
        failed: bool,
    ) {
        let Some(state) = self
            .groups
            .get_mut(&group)
            .filter(|state| state.term.phase != Phase::Settled)
        else {
            return;
        };
        state.trial_stmt = state.trial_stmt.filter(|trial| *trial != stmt);
        if state.term.leader != Some(node) {
            state.release.remove(stmt);
            return;
        }
        if completed {
            state.release.record_completion();
        } else if failed {
            state.release.record_failure(now);
            state.release.remove(stmt);
            state.last_activity_at = now;
        }
    }

    /// Records that a node acknowledged a write, with the position of its commit in seconds; does nothing if the
    /// position is not finite.
    pub fn record_acknowledged(&mut self, group: u16, node: u32, position: f64) {
        if position.is_finite() {
            self.losses.record_acknowledged(group, node, position);
        }
    }

    /// Returns whether a later term deposed the node and it has not said since that it follows. It may be partitioned
    /// with a diverged log, so the position that it reports says nothing about the group's log.
    pub fn is_deposed(&self, group: u16, node: u32) -> bool {
        self.groups
            .get(&group)
            .is_some_and(|state| state.term.deposed.contains_key(&node))
    }

    /// Returns whether to trust a node that reports a write as completed. In a store that can lose commits, a deposed
    /// node answers from a branch of the log that is given up: the write may have run, and no more is known.
    pub fn trusts_completion(&self, group: u16, node: u32) -> bool {
        self.settings.branch_field.is_empty() || !self.is_deposed(group, node)
    }

    /// Records what a node reports of the log that it leads or follows: the position `branch` up to which the term's
    /// primary took the log over, and the time `promoted` since when that primary leads, both in seconds.
    pub fn record_promotion(
        &mut self,
        now: f64,
        group: u16,
        node: u32,
        branch: f64,
        promoted: f64,
    ) {
        if let Some(loss) =
            self.losses
                .record_promotion(group, branch, promoted, self.leader(group))
        {
            let or_more = if loss.exact { "" } else { " or more" };
            self.log_lines.push(format!(
                "{now:.3} group {group}: LOSS, node {node} reports that the log continues without the commits after {:.3} up to {:.3}: {}{or_more} acknowledged writes are lost",
                loss.after, loss.to, loss.writes
            ));
        }
    }

    /// Returns whether the positions that replicas report are uncertain: while no leader is certain, a replica of a
    /// store that can lose commits may already follow a diverged log.
    pub fn positions_uncertain(&self, group: u16) -> bool {
        !self.has_leader(group) && !self.settings.branch_field.is_empty()
    }

    /// Returns whether the commit at this position is known to be lost, so that no read can see it.
    pub fn is_lost(&self, group: u16, position: f64) -> bool {
        self.losses.is_lost(group, position)
    }

    /// Forgets a statement that has its final answer or whose client has left.
    pub fn forget_statement(&mut self, group: u16, stmt: u32) {
        self.hold.remove(stmt);
        self.evicted.retain(|other| *other != stmt);
        if let Some(state) = self.groups.get_mut(&group) {
            state.release.remove(stmt);
            state.trial_stmt = state.trial_stmt.filter(|trial| *trial != stmt);
        }
    }

    /// Forgets a node that left the group.
    pub fn forget_node(&mut self, group: u16, node: u32) {
        if let Some(state) = self.groups.get_mut(&group) {
            state.term.forget_node(node);
        }
    }

    /// Settles the groups that have a leader, hold nothing and were quiet for a while. Call it as time passes.
    ///
    /// Returns the statements evicted to make room for others: the caller must ask for their admission again, which
    /// rejects them.
    pub fn settle(&mut self, now: f64) -> Vec<u32> {
        let mut settled = Vec::new();
        for group in &self.unsettled {
            let Some(state) = self.groups.get_mut(group) else {
                continue;
            };
            let quiet_s = now - state.last_activity_at;
            let quiet = self.hold.group_size(*group).statements == 0 && quiet_s >= SETTLE_QUIET_S;
            if state.term.phase == Phase::Settling && quiet && now >= state.release.starts_at() {
                // The quiet time at the end is not part of the change.
                let took_s = (state.term.settle(now) - quiet_s).max(0.0);
                if took_s > 0.0 && state.release.leader_proved {
                    self.durations.record(took_s);
                }
                state.release = ReleaseWindow::default();
                settled.push(*group);
                let number = state.term.number;
                let peak = self.hold.peak;
                self.log_lines.push(format!(
                    "{now:.3} group {group}: settled in term {number} after {took_s:.3} s, most held so far {} statements, {} bytes",
                    peak.statements, peak.bytes
                ));
            }
        }
        settled
            .iter()
            .for_each(|group| _ = self.unsettled.remove(group));
        self.evicted.clone()
    }

    /// Returns the lines for the log since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Returns whether it is uncertain which node leads: the leader is suspected or none is known, or a connection to
    /// the leader broke less than `LEADER_UNCERTAIN_S` ago and it has not said since that it leads.
    pub fn leader_uncertain(&self, now: f64, group: u16) -> bool {
        let silent_since_break = |term: &Term| {
            term.connection_broke_at > term.claimed_at
                && now - term.connection_broke_at < LEADER_UNCERTAIN_S
        };
        !self.has_leader(group)
            || self
                .groups
                .get(&group)
                .is_some_and(|state| silent_since_break(&state.term))
    }

    /// Returns whether to probe the group's members at short intervals to find the leader. That is so while the leader
    /// is uncertain and statements are held; or, where the store answers inquiries for outcomes, while the resolution
    /// of a write in flight at a broken connection depends on whether the leader lives.
    pub fn needs_leader_probes(&self, now: f64, group: u16) -> bool {
        let wanted = if self.has_leader(group) {
            self.settings.outcomes
        } else {
            self.hold.group_size(group).statements > 0
        };
        wanted && self.leader_uncertain(now, group)
    }
}

impl GroupState {
    /// Returns whether the statement is the trial in flight, or becomes the next one.
    fn takes_trial(&mut self, now: f64, stmt: u32) -> bool {
        let takes = self.trial_stmt == Some(stmt)
            || self.trial_stmt.is_none() && now - self.last_trial_at >= TRIAL_INTERVAL_S;
        if takes && self.trial_stmt.is_none() {
            self.trial_stmt = Some(stmt);
            self.last_trial_at = now;
        }
        takes
    }
}
