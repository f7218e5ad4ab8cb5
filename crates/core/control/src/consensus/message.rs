//! The messages of the consensus protocol.
//!
//! They are encoded with bincode: the order of variants and fields is part of the format and must
//! not change.

use crate::digest::Digest;
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::Voter;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// Names a state that a machine has accepted and has on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StateId {
    /// The term under which the state was accepted.
    pub accepted_term: Term,
    /// The version of the state.
    pub version: u64,
    /// The digest of the state.
    pub digest: Digest,
}

impl StateId {
    /// Orders accepted states: a candidate adopts the highest of its quorum (Paxos Made Simple,
    /// 2.2).
    pub fn rank(&self) -> (Term, u64) {
        (self.accepted_term, self.version)
    }
}

/// A state, in the form that suits what the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum StatePayload {
    /// The complete state.
    Snapshot(Rc<State>),
    /// The changes that lead from a state of the receiver to the one that is sent.
    Delta {
        /// The digest of the state to which the changes apply.
        base: Digest,
        /// The changes, the first one first; empty if the receiver has the state under an earlier
        /// term.
        steps: Vec<Rc<StateChange>>,
        /// The digest of the state to which they lead.
        result: Digest,
    },
}

/// A message between control machines. Seconds are of the clock of the machine that is named with
/// them.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConsensusMessage {
    /// Pre-candidate to voters: would you vote for me under this term? (Raft thesis, 9.6)
    PreVoteRequest {
        /// The term that the sender would stand for.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Answer to a pre-vote request. It binds the sender to nothing.
    PreVoteResponse {
        /// The term of the request.
        term: Term,
        /// Whether the sender would vote so.
        granted: bool,
        /// The highest term that the sender has voted for.
        voted_term: Term,
    },
    /// Candidate to voters: vote for me under this term, and take part in no lower one (Paxos 1a,
    /// prepare).
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// The state on the candidate's disk.
        last_state: StateId,
    },
    /// The vote, which is on the sender's disk (Paxos 1b, promise).
    VoteResponse {
        /// The candidate's term.
        term: Term,
        /// The state on the voter's disk.
        last_state: StateId,
        /// That state, if it is newer than the candidate's.
        newer_state: Option<Rc<State>>,
    },
    /// A request is rejected: the sender voted for a higher term, or supports another leader.
    TermRejected {
        /// The term of the request.
        term: Term,
        /// The highest term that the sender has voted for.
        voted_term: Term,
    },
    /// Leader to followers: accept this state (Paxos 2a, accept; Raft's `AppendEntries`).
    AppendRequest {
        /// The leader's term.
        term: Term,
        /// The state.
        payload: StatePayload,
    },
    /// The state is accepted and on the sender's disk (Paxos 2b, accepted).
    AppendResponse {
        /// The leader's term.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// The delta applies to another state than the sender has.
    AppendMismatch {
        /// The leader's term.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Leader to followers: I am still the leader.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// When this was sent, in seconds of the leader's clock.
        sent_at: f64,
        /// When the receiver sent the newest answer that the leader has, in seconds of the
        /// receiver's clock; none if the leader is not in contact with a quorum.
        confirmed_answer_at: Option<f64>,
    },
    /// Answer to a heartbeat.
    HeartbeatResponse {
        /// The leader's term.
        term: Term,
        /// `sent_at` of the heartbeat, in seconds of the leader's clock.
        heartbeat_sent_at: f64,
        /// When this was sent, in seconds of the sender's clock.
        answered_at: f64,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Leader to followers: I no longer lead under this term, an election need not wait for a
    /// time-out.
    Resign {
        /// The term under which the sender led.
        term: Term,
    },
    /// To any control machine: take me in as a voter.
    JoinRequest {
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Answer to a join request of a machine that doesn't lead.
    KnownVoters {
        /// The voters as far as the sender knows them; one of them may lead.
        voters: Vec<Voter>,
    },
    /// To the voters, of one that shuts down: remove me from the voter set.
    LeaveRequest,
    /// Answer to a leave request: the receiver is not in the committed voter set.
    LeaveResponse,
}

/// What a message of one term has in common with all others of this kind, as its handlers need it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MessageHeader {
    /// When it is processed, in seconds of this machine's clock.
    pub(super) now: f64,
    /// Its sender.
    pub(super) from: Voter,
    /// The term that it names.
    pub(super) term: Term,
}

/// The times in a [`ConsensusMessage::HeartbeatResponse`]: two seconds of two different clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatTimes {
    /// In seconds of the leader's clock.
    pub(super) heartbeat_sent_at: f64,
    /// In seconds of the follower's clock.
    pub(super) answered_at: f64,
}
