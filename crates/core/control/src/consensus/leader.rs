//! The leader: its lease, its heartbeats, and how it commits states.

use super::message::{HeartbeatTimes, MessageHeader};
use super::progress::Progress;
use super::{ByVoter, Consensus, ConsensusMessage, ConsensusOutput, Role, StateId};
use crate::digest::Digest;
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::Voter;
use std::rc::Rc;

/// Interval between two heartbeats of the leader, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 0.15;

/// The data of a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) elected_at: f64,
    /// The version of the newest committed state, or `None` until the state adopted at the election
    /// is committed.
    pub(super) committed_version: Option<u64>,
    /// What the leader knows about each machine, including itself.
    pub(super) progress: ByVoter<Progress>,
    /// When heartbeats were last sent; minus infinity if none were.
    heartbeats_sent_at: f64,
}

impl LeaderState {
    /// Creates the data of a leader that was elected at `now`. `accepted` gives the voters that
    /// elected it and the digests of their states.
    pub(super) fn new(
        term: Term,
        now: f64,
        accepted: impl Iterator<Item = (Voter, Digest)>,
    ) -> LeaderState {
        LeaderState {
            term,
            elected_at: now,
            committed_version: None,
            progress: accepted
                .map(|(voter, digest)| (voter, Progress::with_state(now, digest)))
                .collect(),
            heartbeats_sent_at: f64::NEG_INFINITY,
        }
    }

    /// Returns the progress of a machine, and begins to track it if necessary.
    pub(super) fn progress_mut(&mut self, voter: Voter) -> &mut Progress {
        let elected_at = self.elected_at;
        self.progress
            .entry(voter)
            .or_insert_with(|| Progress::new(elected_at))
    }

    /// Discards what was known about a machine that asks to join.
    pub(super) fn reset_progress(&mut self, voter: Voter, now: f64) {
        self.progress.insert(voter, Progress::new(now));
    }
}

impl Consensus {
    /// Returns the term in which this machine leads, or `None` until the state adopted at its
    /// election is committed.
    pub fn leader_term(&self) -> Option<Term> {
        match &self.role {
            Role::Leader(leader) if leader.committed_version.is_some() => Some(leader.term),
            _ => None,
        }
    }

    /// Returns the time until which this machine may act as the leader, because no other machine
    /// can be elected before then. Returns minus infinity if this machine doesn't lead.
    ///
    /// The lease begins when a heartbeat is sent, not when its responses arrive: a voter refuses to
    /// vote for others only for a limited time after it received the heartbeat (Raft thesis,
    /// 6.4.1).
    pub fn authority_until(&self) -> f64 {
        let Role::Leader(leader) = &self.role else {
            return f64::NEG_INFINITY;
        };
        if leader.committed_version.is_none() {
            return f64::NEG_INFINITY;
        }
        let heartbeat_sent_at = |voter| match leader.progress.get(&voter) {
            _ if voter == self.me => f64::INFINITY,
            Some(progress) => progress.answered_heartbeat_sent_at,
            None => f64::NEG_INFINITY,
        };
        self.hard_state
            .state
            .voters
            .quorum_seen_at(heartbeat_sent_at)
            + self.config.election_timeout_s
    }

    /// Returns the state if this machine leads and no proposal is pending.
    pub fn committed_state(&self) -> Option<&Rc<State>> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        (leader.committed_version == Some(self.hard_state.state.version))
            .then_some(&self.hard_state.state)
    }

    /// Proposes a change and returns the version of the resulting state.
    /// [`ConsensusOutput::Committed`] follows once it is committed. Returns `None` if another
    /// proposal is pending, if this machine doesn't lead, or if the change doesn't apply to the
    /// state.
    pub fn propose(
        &mut self,
        now: f64,
        change: StateChange,
        out: &mut Vec<ConsensusOutput>,
    ) -> Option<u64> {
        if self.persist_in_flight {
            return None;
        }
        let before = self.committed_state()?.clone();
        let next = before.apply(&change)?;
        let version = next.version;
        self.history
            .push(&before, self.state_digest, Rc::new(change));
        self.state_digest = next.digest();
        self.hard_state.state = Rc::new(next);
        self.replicate(now, out);
        Some(version)
    }

    /// Becomes the leader, adopts `state`, which is the newest state among its voters, and proposes
    /// it in the new term. The machine may act as the leader only once that state is committed.
    pub(super) fn become_leader(
        &mut self,
        now: f64,
        leader_state: LeaderState,
        state: Rc<State>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let digest = state.digest();
        if digest != self.state_digest {
            self.history.clear();
            self.state_digest = digest;
            self.hard_state.state = state;
        }
        self.leader = Some(self.me);
        self.role = Role::Leader(leader_state);
        self.replicate(now, out);
    }

    /// Records that the leader's own disk has the state. It counts towards the quorum like any
    /// other disk.
    pub(super) fn on_own_state_persisted(&mut self, out: &mut Vec<ConsensusOutput>) {
        let version = self.hard_state.state.version;
        if let Role::Leader(leader) = &mut self.role {
            leader.progress_mut(self.me).accepted_version = Some(version);
        }
        self.advance_commit(out);
    }

    /// Commits the state once a quorum has accepted it.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<ConsensusOutput>) {
        let version = self.hard_state.state.version;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let has_accepted = |voter| {
            leader
                .progress
                .get(&voter)
                .is_some_and(|progress| progress.accepted_version == Some(version))
        };
        if leader.committed_version == Some(version)
            || !self.hard_state.state.voters.is_quorum(has_accepted)
        {
            return;
        }
        let is_first = leader.committed_version.replace(version).is_none();
        out.push(if is_first {
            ConsensusOutput::BecameLeader
        } else {
            ConsensusOutput::Committed
        });
    }

    /// Check quorum (Raft thesis, 6.2): returns whether the leader has been without a lease for a
    /// whole election timeout. A leader whose heartbeats still arrive, but which receives no
    /// responses, would otherwise prevent the others from starting an election.
    fn has_lost_quorum(&self, now: f64) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let authority_until = self
            .authority_until()
            .max(leader.elected_at + self.config.election_timeout_s);
        now > authority_until + self.config.election_timeout_s
    }

    pub(super) fn tick_leader(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.has_lost_quorum(now) {
            log::info!("event=quorum_lost");
            // Machines that still receive its messages need not wait for the election timeout.
            self.give_up_leadership(out);
            self.election_timer.restart(now);
            return;
        }
        self.send_heartbeats(now, out);
    }

    fn send_heartbeats(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let in_contact = self.authority_until() > now;
        let replicas = self.replicas();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now - leader.heartbeats_sent_at < HEARTBEAT_INTERVAL_S {
            return;
        }
        leader.heartbeats_sent_at = now;
        for voter in replicas {
            let newest_answer_at = leader.progress_mut(voter).newest_answer_at;
            let heartbeat = ConsensusMessage::Heartbeat {
                term: leader.term,
                sent_at: now,
                confirmed_answer_at: newest_answer_at.filter(|_| in_contact),
            };
            out.push(ConsensusOutput::to_voter(voter, heartbeat));
        }
    }

    pub(super) fn on_heartbeat_response(
        &mut self,
        header: MessageHeader,
        times: HeartbeatTimes,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let MessageHeader { now, from, term } = header;
        let digest = self.state_digest;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.term != term {
            return;
        }
        let progress = leader.progress_mut(from);
        progress.answered_heartbeat_sent_at = progress
            .answered_heartbeat_sent_at
            .max(times.heartbeat_sent_at);
        let newest_answer_at = progress.newest_answer_at;
        progress.newest_answer_at =
            Some(newest_answer_at.map_or(times.answered_at, |known| known.max(times.answered_at)));
        // A connection keeps the order of messages. So a state that was sent before this heartbeat,
        // and that the follower doesn't have, was lost.
        let has_lost_state = (last_state.digest != digest || last_state.accepted_term != term)
            && progress.state_sent_at < times.heartbeat_sent_at;
        self.record_accepted(from, term, last_state);
        if has_lost_state {
            self.send_state(now, from, last_state.digest, out);
        }
        self.advance_commit(out);
    }

    /// Gives up leadership and notifies the other voters, so that they need not wait for the
    /// election timeout. Has no effect on a machine that doesn't lead.
    pub(super) fn give_up_leadership(&mut self, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let resignation = ConsensusMessage::Resign { term: leader.term };
        self.become_follower(out);
        let send = |voter| ConsensusOutput::to_voter(voter, resignation.clone());
        out.extend(self.other_voters().map(send));
    }
}
