//! Elections: phase 1 of Paxos (Paxos Made Simple, 2.2), which corresponds to Raft's `RequestVote`.
//!
//! A candidate requests votes for a term of its own. Each vote names the state that the voter has
//! accepted, and carries that state if it is newer than the candidate's. With votes from a quorum,
//! the candidate becomes the leader and adopts the newest of these states. At least one of the
//! voters in the quorum has the newest committed state or a newer one.

use super::leader::LeaderState;
use super::message::MessageHeader;
use super::pre_vote::VOTE_REQUEST_INTERVAL_S;
use super::{ByVoter, Consensus, ConsensusMessage, ConsensusOutput, Role, StateId};
use crate::digest::Digest;
use crate::state::State;
use crate::term::Term;
use crate::voter_set::Voter;
use std::rc::Rc;

/// Time after which a candidate without a quorum of votes gives up, in seconds.
const CANDIDACY_TIMEOUT_S: f64 = 0.6;

/// The data of a candidate.
#[derive(Clone, Debug)]
pub(super) struct CandidateState {
    /// The term in which it requests votes.
    term: Term,
    /// The votes received, including the candidate's own.
    votes: ByVoter<Vote>,
    started_at: f64,
    requests_sent_at: f64,
}

/// A vote for the candidate.
#[derive(Clone, Debug)]
struct Vote {
    /// The state on the voter's disk.
    last_state: StateId,
    /// The voter's state, if it is newer than the candidate's own.
    newer_state: Option<Rc<State>>,
}

impl CandidateState {
    /// Returns the newest state that came with a vote, or `None` if the candidate's own state,
    /// whose digest is `own_digest`, is the newest. If a voter has the same state as the candidate,
    /// that state ranks by the term in which the voter accepted it.
    fn newest_state(&self, own_digest: Digest) -> Option<&Rc<State>> {
        let known = self
            .votes
            .values()
            .filter(|vote| vote.newer_state.is_some() || vote.last_state.digest == own_digest);
        known
            .max_by_key(|vote| vote.last_state.rank())?
            .newer_state
            .as_ref()
    }
}

impl Consensus {
    /// Starts an election in a new term of this machine's own.
    pub(super) fn become_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let term = self.next_own_term();
        self.highest_seen_term = term;
        self.hard_state.voted_term = term;
        self.leader = None;
        self.role = Role::Candidate(CandidateState {
            term,
            votes: ByVoter::new(),
            started_at: now,
            requests_sent_at: now,
        });
        self.persist(None, out);
    }

    /// Requests votes from the others. This happens only once the candidate's own vote is on disk.
    /// Otherwise it could vote for another candidate after a restart.
    pub(super) fn on_own_vote_persisted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        let own_vote = Vote {
            last_state,
            newer_state: None,
        };
        candidate.votes.insert(self.me, own_vote);
        let request = ConsensusMessage::VoteRequest {
            term: candidate.term,
            last_state,
        };
        let send = |voter| ConsensusOutput::to_voter(voter, request.clone());
        out.extend(self.other_voters().map(send));
        self.try_become_leader(now, out);
    }

    pub(super) fn tick_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if now - candidate.started_at > CANDIDACY_TIMEOUT_S {
            log::info!("event=election_failed term={}", candidate.term.0);
            self.back_off_from_election(now);
            return;
        }
        if now - candidate.requests_sent_at <= VOTE_REQUEST_INTERVAL_S {
            return;
        }
        candidate.requests_sent_at = now;
        // Earlier requests may have been lost, and the newest known state may have voters that this
        // machine's own state doesn't have.
        let newest_voters = candidate
            .newest_state(self.state_digest)
            .map(|state| state.voters.clone())
            .unwrap_or_default();
        let own_voters = &self.hard_state.state.voters;
        let added = newest_voters
            .all()
            .filter(|voter| !own_voters.contains(*voter));
        let request = ConsensusMessage::VoteRequest {
            term: candidate.term,
            last_state,
        };
        let unanswered = own_voters
            .all()
            .chain(added)
            .filter(|voter| !candidate.votes.contains_key(voter));
        out.extend(unanswered.map(|voter| ConsensusOutput::to_voter(voter, request.clone())));
    }

    /// Returns whether a leader other than `candidate` may still hold a lease that relies on a
    /// response of this machine, or whether this machine itself leads. A vote before that lease has
    /// ended would violate it (Raft thesis, 4.2.3 and 6.4.1). The leader of the term that this
    /// machine voted for last is an exception: by starting an election, it has given up its lease.
    pub(super) fn supports_another_leader(&self, now: f64, candidate: Voter) -> bool {
        let is_present_leader =
            Some(candidate) == self.leader || self.hard_state.voted_term.leader() == candidate.node;
        let supports =
            !is_present_leader && now - self.leader_seen_at < self.config.election_timeout_s;
        let leads = matches!(&self.role, Role::Leader(_)) && self.authority_until() > now;
        supports || leads
    }

    pub(super) fn on_vote_request(
        &mut self,
        header: MessageHeader,
        candidate_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let MessageHeader { now, from, term } = header;
        self.observe_term(term);
        let voted_term = self.hard_state.voted_term;
        // A candidate that already has this machine's vote may request it again, because the
        // response may have been lost.
        let is_repeated = term == voted_term && term.leader() == from.node;
        let is_too_low = term < voted_term || term == voted_term && !is_repeated;
        if is_too_low || self.supports_another_leader(now, from) {
            self.reject_term(header, out);
            return;
        }
        self.become_follower(out);
        self.leader = None;
        self.reset_election_timer(now);
        let last_state = self.last_state();
        let is_newer = last_state.rank() > candidate_state.rank()
            && last_state.digest != candidate_state.digest;
        let vote = ConsensusMessage::VoteResponse {
            term,
            last_state,
            newer_state: is_newer.then(|| self.hard_state.state.clone()),
        };
        let vote = ConsensusOutput::to_voter(from, vote);
        if is_repeated {
            out.push(vote);
        } else {
            self.hard_state.voted_term = term;
            self.persist(Some(vote), out);
        }
    }

    pub(super) fn on_vote_response(
        &mut self,
        header: MessageHeader,
        last_state: StateId,
        newer_state: Option<Rc<State>>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.term == header.term {
            let vote = Vote {
                last_state,
                newer_state,
            };
            candidate.votes.insert(header.from, vote);
            self.try_become_leader(header.now, out);
        }
    }

    /// Becomes the leader if the votes are a quorum of the voter set in the newest known state.
    fn try_become_leader(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let newest = candidate
            .newest_state(self.state_digest)
            .unwrap_or(&self.hard_state.state)
            .clone();
        let voted = |voter| candidate.votes.contains_key(&voter);
        if !newest.voters.is_quorum(voted) {
            return;
        }
        if !newest.voters.contains(self.me) {
            self.removed_by_newer_state = true;
            self.back_off_from_election(now);
            return;
        }
        let accepted = candidate.votes.iter();
        let accepted = accepted.map(|(voter, vote)| (*voter, vote.last_state.digest));
        let leader_state = LeaderState::new(candidate.term, now, accepted);
        self.become_leader(now, leader_state, newest, out);
    }

    pub(super) fn on_term_rejected(
        &mut self,
        header: MessageHeader,
        voted_term: Term,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.observe_term(voted_term);
        let leads = matches!(&self.role, Role::Leader(leader) if leader.term == header.term);
        if leads && voted_term > header.term {
            self.become_follower(out);
            self.reset_election_timer(header.now);
        }
    }
}
