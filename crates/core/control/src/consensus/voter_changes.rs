//! Changes of the voter set, at the leader. They use joint consensus (Raft thesis, 4.3) and change
//! one voter at a time.
//!
//! A machine that asks to join replaces its own former incarnation, or a voter that no longer
//! answers. If there is neither, it is added. A voter that shuts down or no longer answers is
//! removed, as long as enough voters remain for the fault budget.

use super::{Consensus, ConsensusOutput, Role};
use crate::state::StateChange;
use crate::voter_set::{NodeId, Voter};
use std::collections::BTreeMap;

/// Time after which a join request expires unless it is repeated, in seconds.
const JOIN_REQUEST_TTL_S: f64 = 0.8;
/// Time without an answered heartbeat after which a voter may be replaced by a machine that asks to
/// join, in seconds.
const REPLACEMENT_TIMEOUT_S: f64 = 1.0;
/// A voter is added only if every voter answered a heartbeat within this time, in seconds. One more
/// voter may make the quorum larger, and that quorum must not depend on voters that are absent.
const PRESENCE_TIMEOUT_S: f64 = 0.5;
/// Time without an answered heartbeat after which a voter is removed if enough voters remain, in
/// seconds.
const REMOVAL_TIMEOUT_S: f64 = 3.0;
/// Minimum interval between two changes of the voter set, in seconds. It leaves room for other
/// proposals.
const MIN_CHANGE_INTERVAL_S: f64 = 0.1;
/// Maximum number of voters. Each voter makes every proposal more expensive.
const MAX_VOTERS: usize = 9;
/// Minimum number of voters after a removal, regardless of the fault budget.
const MIN_VOTERS: usize = 3;
/// Maximum number of addresses of control machines that are remembered in addition to those of the
/// voters and the seeds.
const MAX_PEERS: usize = 32;

/// Requested changes of the voter set: at the leader the requests of other machines, elsewhere the
/// requests of this machine.
#[derive(Clone, Debug)]
pub(super) struct VoterChanges {
    /// Addresses of control machines that are named in the settings.
    pub(super) seeds: Vec<NodeId>,
    /// Addresses of control machines that sent a message or were named in one, oldest first.
    pub(super) peers: Vec<NodeId>,
    /// Machines that ask to join, and when each of them asked last.
    pub(super) join_requests: BTreeMap<Voter, f64>,
    /// Voters that ask to be removed.
    pub(super) leave_requests: Vec<Voter>,
    /// When this machine last asked to join or to leave.
    pub(super) last_request_at: f64,
    /// Whether this machine is shutting down.
    pub(super) shutting_down: bool,
    /// Whether a leader has confirmed that this machine, which is shutting down, is not a voter.
    pub(super) removal_confirmed: bool,
    /// When the last change of the voter set was completed.
    last_change_at: f64,
    /// Minimum number of voters after a removal. If as many of them fail as the fault budget
    /// allows, the rest are still a quorum.
    min_voters: usize,
}

impl VoterChanges {
    pub(super) fn new(now: f64) -> VoterChanges {
        VoterChanges {
            seeds: Vec::new(),
            peers: Vec::new(),
            join_requests: BTreeMap::new(),
            leave_requests: Vec::new(),
            last_request_at: now,
            shutting_down: false,
            removal_confirmed: false,
            last_change_at: f64::NEG_INFINITY,
            min_voters: MIN_VOTERS,
        }
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Records a leader's confirmation that this machine is not a voter. It is ignored unless this
    /// machine is shutting down: a late response to a request from before a restart has no effect.
    pub(super) fn confirm_removal(&mut self) {
        self.removal_confirmed = self.shutting_down;
    }

    /// Returns the machines that ask to join.
    pub(super) fn joining(&self) -> impl Iterator<Item = Voter> {
        self.join_requests.keys().copied()
    }

    /// Remembers the address of a control machine.
    pub(super) fn add_peer(&mut self, node: NodeId) {
        if self.peers.contains(&node) || self.seeds.contains(&node) {
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            self.peers.remove(0);
        }
        self.peers.push(node);
    }

    /// Remembers the addresses of voters that another machine named.
    pub(super) fn add_peers(&mut self, voters: &[Voter]) {
        for voter in voters {
            self.add_peer(voter.node);
        }
    }
}

impl Consensus {
    /// Sets how many voters may fail at the same time. A removal leaves at least
    /// `2 * fault_budget + 1` voters, and never fewer than three.
    pub fn set_fault_budget(&mut self, fault_budget: usize) {
        self.voter_changes.min_voters = (2 * fault_budget + 1).max(MIN_VOTERS);
    }

    /// Returns whether enough voters remain if one is removed.
    pub(super) fn can_remove_voter(&self) -> bool {
        self.voters().len() > self.voter_changes.min_voters
    }

    /// Proposes the next change of the voter set, if this machine leads and a change is needed.
    pub fn advance_voter_change(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Some(state) = self.committed_state().cloned() else {
            return;
        };
        if self.authority_until() < now {
            return;
        }
        if !state.voters.contains(self.me) {
            // A former leader began to remove this machine, and this machine has completed the
            // change as the leader. It leads until the set without it is committed (Raft thesis,
            // 4.2.2).
            self.give_up_leadership(out);
            self.election_timer.restart(now);
            return;
        }
        self.expire_join_requests(now);
        let next = if state.voters.is_joint() {
            self.voter_changes.last_change_at = now;
            Some(state.voters.finalized())
        } else if now - self.voter_changes.last_change_at < MIN_CHANGE_INTERVAL_S {
            None
        } else {
            let voters = self.next_addition(now).or_else(|| self.next_removal(now));
            voters.and_then(|voters| state.voters.joint_with(voters))
        };
        if let Some(next) = next {
            log::info!(
                "event=voters_changed voters={} joint={}",
                comma_separated(next.voters()),
                next.is_joint()
            );
            self.propose(now, StateChange::Voters(next), out);
        }
    }

    /// Removes join requests that were not repeated in time, and those of machines that are voters.
    fn expire_join_requests(&mut self, now: f64) {
        let voters = self.hard_state.state.voters.voters();
        self.voter_changes
            .join_requests
            .retain(|voter, requested_at| {
                now - *requested_at < JOIN_REQUEST_TTL_S && !voters.contains(voter)
            });
    }

    /// Returns the voters with one more machine, which asks to join and has the state. The machine
    /// takes the place of its former incarnation or of a voter that no longer answers, if there is
    /// one. Returns `None` if no machine can join, or if there is neither a voter to replace nor
    /// room for another one.
    fn next_addition(&self, now: f64) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let is_ready = |voter: &Voter| self.has_accepted_state(*voter) && !voters.contains(voter);
        let joining = self.voter_changes.joining().find(is_ready)?;
        let unanswered = |voter: &Voter| self.seconds_unanswered(now, *voter);
        let former_incarnation = voters.iter().find(|voter| voter.node == joining.node);
        let replaceable = voters
            .iter()
            .max_by(|a, b| unanswered(a).total_cmp(&unanswered(b)))
            .filter(|voter| unanswered(voter) > REPLACEMENT_TIMEOUT_S);
        let all_present = voters
            .iter()
            .all(|voter| unanswered(voter) < PRESENCE_TIMEOUT_S);
        let removed = former_incarnation.or(replaceable).copied();
        let has_room = all_present && voters.len() < MAX_VOTERS;
        (removed.is_some() || has_room).then(|| {
            self.hard_state
                .state
                .voters
                .replacing(Some(joining), removed)
        })
    }

    /// Returns the voters without one that asks to leave or no longer answers, or `None` if there
    /// is no such voter or too few voters would remain.
    fn next_removal(&mut self, now: f64) -> Option<Vec<Voter>> {
        let voters = self.voters().to_vec();
        self.voter_changes
            .leave_requests
            .retain(|voter| voters.contains(voter));
        if !self.can_remove_voter() {
            self.voter_changes.leave_requests.clear();
            return None;
        }
        let leaving = self.voter_changes.leave_requests.pop();
        let is_absent = |voter: &Voter| self.seconds_unanswered(now, *voter) > REMOVAL_TIMEOUT_S;
        let removed = leaving.or_else(|| voters.into_iter().find(is_absent))?;
        Some(self.hard_state.state.voters.replacing(None, Some(removed)))
    }

    /// Returns the time in seconds since this leader sent the newest heartbeat that a voter
    /// answered. If the voter answered none, the time counts from when the leader began to track
    /// it.
    fn seconds_unanswered(&self, now: f64, voter: Voter) -> f64 {
        let Role::Leader(leader) = &self.role else {
            return 0.0;
        };
        if voter == self.me {
            return 0.0;
        }
        let last_answered = leader
            .progress
            .get(&voter)
            .map_or(leader.elected_at, |progress| {
                progress
                    .answered_heartbeat_sent_at
                    .max(progress.tracked_since)
            });
        now - last_answered
    }

    /// Returns whether a machine has accepted a state in this leader's term.
    fn has_accepted_state(&self, voter: Voter) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader
            .progress
            .get(&voter)
            .is_some_and(|progress| progress.accepted_version.is_some())
    }
}

fn comma_separated(voters: &[Voter]) -> String {
    let names: Vec<String> = voters.iter().map(Voter::to_string).collect();
    names.join(",")
}
