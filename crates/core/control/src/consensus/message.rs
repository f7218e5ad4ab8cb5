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

/// Identifies a state that a machine has accepted and written to its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StateId {
    /// The term in which the state was accepted.
    pub accepted_term: Term,
    /// The version of the state.
    pub version: u64,
    /// The digest of the state.
    pub digest: Digest,
}

impl StateId {
    /// Returns the key by which accepted states are ordered. A candidate adopts the highest state
    /// of its quorum (Paxos Made Simple, 2.2).
    pub fn rank(&self) -> (Term, u64) {
        (self.accepted_term, self.version)
    }
}

/// A state, complete or as a delta from a state that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum StatePayload {
    /// The complete state.
    Snapshot(Rc<State>),
    /// The changes that lead from the receiver's state to the state that is sent.
    Delta {
        /// The digest of the state to which the changes apply.
        base: Digest,
        /// The changes in the order in which they apply. Empty if the receiver already has the
        /// state, accepted in an earlier term.
        steps: Vec<Rc<StateChange>>,
        /// The digest of the resulting state.
        result: Digest,
    },
}

/// A message between control machines. Times are in seconds of the steady clock of the machine that
/// each field names.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConsensusMessage {
    /// Pre-candidate to voters: asks whether the receiver would vote for the sender in this term
    /// (Raft thesis, 9.6).
    PreVoteRequest {
        /// The term in which the sender would become a candidate.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Response to a pre-vote request. It doesn't commit the sender to anything.
    PreVoteResponse {
        /// The term of the request.
        term: Term,
        /// Whether the sender would grant the vote.
        granted: bool,
        /// The highest term that the sender has voted for.
        voted_term: Term,
    },
    /// Candidate to voters: requests a vote for this term. A voter that grants it rejects all lower
    /// terms from then on (Paxos 1a, prepare).
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// The state on the candidate's disk.
        last_state: StateId,
    },
    /// A granted vote, which is on the sender's disk (Paxos 1b, promise).
    VoteResponse {
        /// The candidate's term.
        term: Term,
        /// The state on the voter's disk.
        last_state: StateId,
        /// The complete state, if it is newer than the candidate's.
        newer_state: Option<Rc<State>>,
    },
    /// Rejects a request, because the sender voted for a higher term or supports another leader.
    TermRejected {
        /// The term of the request.
        term: Term,
        /// The highest term that the sender has voted for.
        voted_term: Term,
    },
    /// Leader to followers: asks to accept this state (Paxos 2a, accept; Raft's `AppendEntries`).
    AppendRequest {
        /// The leader's term.
        term: Term,
        /// The state.
        payload: StatePayload,
    },
    /// Response to an append request: the sender has a state on its disk that it accepted in the
    /// leader's term (Paxos 2b, accepted).
    AppendResponse {
        /// The leader's term.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Response to an append request: the delta doesn't apply to the state that the sender has.
    AppendMismatch {
        /// The leader's term.
        term: Term,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Leader to followers: the sender still leads.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// When the heartbeat was sent, in seconds of the leader's clock.
        sent_at: f64,
        /// When the receiver sent the newest heartbeat response that the leader has received from
        /// it, in seconds of the receiver's clock. `None` if there is no such response or the
        /// leader is not in contact with a quorum.
        confirmed_answer_at: Option<f64>,
    },
    /// Response to a heartbeat.
    HeartbeatResponse {
        /// The leader's term.
        term: Term,
        /// `sent_at` of the heartbeat, in seconds of the leader's clock.
        heartbeat_sent_at: f64,
        /// When the response was sent, in seconds of the sender's clock.
        answered_at: f64,
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Leader to followers: the sender no longer leads in this term, so an election need not wait
    /// for the election timeout.
    Resign {
        /// The term in which the sender led.
        term: Term,
    },
    /// To any control machine: asks to be added as a voter.
    JoinRequest {
        /// The state on the sender's disk.
        last_state: StateId,
    },
    /// Response to a join request, from a machine that doesn't lead.
    KnownVoters {
        /// The voters as known to the sender. One of them may be the leader.
        voters: Vec<Voter>,
    },
    /// To the voters, from a voter that shuts down: asks to be removed from the voter set.
    LeaveRequest,
    /// Response to a leave request: the receiver is not in the committed voter set.
    LeaveResponse,
}

/// The data that handlers need of every message that names a term.
#[derive(Clone, Copy, Debug)]
pub(super) struct MessageHeader {
    /// When the message is processed, in seconds of this machine's clock.
    pub(super) now: f64,
    /// The sender.
    pub(super) from: Voter,
    /// The term that the message names.
    pub(super) term: Term,
}

/// The times in a [`ConsensusMessage::HeartbeatResponse`], which are from two different clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatTimes {
    /// When the leader sent the heartbeat, in seconds of the leader's clock.
    pub(super) heartbeat_sent_at: f64,
    /// When the follower sent the response, in seconds of the follower's clock.
    pub(super) answered_at: f64,
}
