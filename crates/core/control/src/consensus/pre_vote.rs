//! Pre-vote (Raft thesis, 9.6): before a machine raises its term, it asks whether it could win an
//! election. So a machine that was partitioned or removed doesn't depose a working leader when it
//! returns.

use super::message::MessageHeader;
use super::{Consensus, ConsensusMessage, ConsensusOutput, Role, StateId};
use crate::term::Term;
use crate::voter_set::Voter;
use std::collections::BTreeSet;

/// Interval between two requests for a vote or pre-vote to a voter that has not granted it, in
/// seconds.
pub(super) const VOTE_REQUEST_INTERVAL_S: f64 = 0.1;
/// Time after which a pre-vote without a quorum is abandoned, in seconds.
const PRE_VOTE_TIMEOUT_S: f64 = 0.35;

/// The data of a pre-candidate.
#[derive(Clone, Debug)]
pub(super) struct PreCandidateState {
    /// The term in which it would request votes.
    term: Term,
    /// The voters that granted the pre-vote.
    granted: BTreeSet<Voter>,
    started_at: f64,
    requests_sent_at: f64,
}

impl Consensus {
    /// Starts a pre-vote if the election timeout has passed without a message of a leader.
    pub(super) fn tick_follower(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let timed_out = self
            .election_timer
            .has_expired(now, self.config.election_timeout_s);
        let may_stand =
            self.hard_state.state.voters.contains(self.me) && !self.removed_by_newer_state;
        if timed_out && may_stand && !self.voter_changes.is_shutting_down() {
            self.become_pre_candidate(now, out);
        }
    }

    fn become_pre_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let term = self.next_own_term();
        self.leader = None;
        self.role = Role::PreCandidate(PreCandidateState {
            term,
            granted: BTreeSet::from([self.me]),
            started_at: now,
            requests_sent_at: now,
        });
        let request = ConsensusMessage::PreVoteRequest {
            term,
            last_state: self.last_state(),
        };
        let send = |voter| ConsensusOutput::to_voter(voter, request.clone());
        out.extend(self.other_voters().map(send));
        self.start_election_if_granted(now, out);
    }

    /// Returns the lowest term above all terms seen in which this machine may lead.
    pub(super) fn next_own_term(&self) -> Term {
        self.highest_seen_term
            .max(self.hard_state.voted_term)
            .next_for(self.me.node)
    }

    pub(super) fn tick_pre_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::PreCandidate(pre_candidate) = &mut self.role else {
            return;
        };
        if now - pre_candidate.started_at > PRE_VOTE_TIMEOUT_S {
            self.back_off_from_election(now);
            return;
        }
        if now - pre_candidate.requests_sent_at <= VOTE_REQUEST_INTERVAL_S {
            return;
        }
        pre_candidate.requests_sent_at = now;
        let request = ConsensusMessage::PreVoteRequest {
            term: pre_candidate.term,
            last_state,
        };
        let voters = self.hard_state.state.voters.all();
        let unanswered = voters.filter(|voter| !pre_candidate.granted.contains(voter));
        out.extend(unanswered.map(|voter| ConsensusOutput::to_voter(voter, request.clone())));
    }

    /// Becomes a follower after a failed pre-vote or election. It tries again after the election
    /// delay alone, without the election timeout. The delay is a little longer than usual, so that
    /// other machines can try first.
    pub(super) fn back_off_from_election(&mut self, now: f64) {
        self.role = Role::Follower;
        let rank = self.rank();
        self.election_timer
            .back_off(now, self.config.election_timeout_s, rank);
    }

    pub(super) fn on_pre_vote_request(
        &mut self,
        header: MessageHeader,
        candidate_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let voted_term = self.hard_state.voted_term;
        // A machine that was removed while it was down doesn't know it. It would disturb the others
        // with elections that it can't win (Raft thesis, 4.2.3).
        let was_removed = !self.hard_state.state.voters.contains(header.from)
            && self.last_state().rank() > candidate_state.rank();
        let granted = header.term > voted_term
            && !was_removed
            && !self.supports_another_leader(header.now, header.from);
        let response = ConsensusMessage::PreVoteResponse {
            term: header.term,
            granted,
            voted_term,
        };
        out.push(ConsensusOutput::to_voter(header.from, response));
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        header: MessageHeader,
        granted: bool,
        voted_term: Term,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.observe_term(voted_term);
        let Role::PreCandidate(pre_candidate) = &mut self.role else {
            return;
        };
        if pre_candidate.term == header.term && granted {
            pre_candidate.granted.insert(header.from);
            self.start_election_if_granted(header.now, out);
        }
    }

    /// Starts an election if a quorum has granted the pre-vote.
    fn start_election_if_granted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::PreCandidate(pre_candidate) = &self.role else {
            return;
        };
        let voters = &self.hard_state.state.voters;
        if voters.is_quorum(|voter| pre_candidate.granted.contains(&voter)) {
            self.become_candidate(now, out);
        }
    }
}
