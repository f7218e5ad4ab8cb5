//! What the control machines say to each other to agree.

use crate::digest::Digest;
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::Voter;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// What a machine has on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StateId {
    /// The ballot under which the state was accepted.
    pub accepted_term: Term,
    /// The number of the state.
    pub version: u64,
    /// The digest of the state.
    pub digest: Digest,
}

impl StateId {
    /// Orders what was accepted: of two states a candidate goes on from the one that is higher.
    pub fn rank(&self) -> (Term, u64) {
        (self.accepted_term, self.version)
    }
}

/// A state, for whoever has another one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum StatePayload {
    /// All of it.
    Snapshot(Rc<State>),
    /// What has changed.
    Delta {
        /// The state on which the changes build.
        base: Digest,
        /// The changes, in order; none if only the ballot is another one.
        steps: Vec<Rc<StateChange>>,
        /// The state to which they lead.
        result: Digest,
    },
}

/// One message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConsensusMessage {
    /// Would this ballot be promised? Asked before anything is promised, so that whoever is cut off raises no ballots.
    PreVoteRequest {
        /// The ballot.
        term: Term,
        /// What the machine that asks has.
        last_state: StateId,
    },
    /// The answer.
    PreVoteResponse {
        /// The ballot that was asked for.
        term: Term,
        /// Whether it would be promised.
        granted: bool,
        /// The highest ballot that was promised.
        voted_term: Term,
    },
    /// Asks for the promise to take part in nothing below this ballot.
    VoteRequest {
        /// The ballot.
        term: Term,
        /// What the candidate has itself.
        last_state: StateId,
    },
    /// The promise.
    VoteResponse {
        /// The ballot.
        term: Term,
        /// What this machine has.
        last_state: StateId,
        /// Its state, if it is newer than what the candidate has.
        newer_state: Option<Rc<State>>,
    },
    /// No: a higher ballot was promised, or another machine leads.
    TermRejected {
        /// The ballot that is refused.
        term: Term,
        /// The highest that was promised.
        voted_term: Term,
    },
    /// Asks to accept a state.
    AppendRequest {
        /// The leader's ballot.
        term: Term,
        /// The state.
        payload: StatePayload,
    },
    /// It is accepted and on disk.
    AppendResponse {
        /// The leader's ballot.
        term: Term,
        /// What is on disk.
        last_state: StateId,
    },
    /// The changes build on another state than the one that this machine has.
    AppendMismatch {
        /// The leader's ballot.
        term: Term,
        /// What this machine has.
        last_state: StateId,
    },
    /// The leader is there.
    Heartbeat {
        /// Its ballot.
        term: Term,
        /// When this was sent, in seconds of the leader's clock.
        sent_at: f64,
        /// When the newest answer that the leader has of this machine was sent, in seconds of this machine's clock; none
        /// if the leader isn't in contact with a majority.
        confirmed_answer_at: Option<f64>,
    },
    /// It was heard.
    HeartbeatResponse {
        /// The leader's ballot.
        term: Term,
        /// As in the heartbeat.
        heartbeat_sent_at: f64,
        /// When this was sent, in seconds of this machine's clock.
        answered_at: f64,
        /// What is on disk.
        last_state: StateId,
    },
    /// The leader under this ballot ends, and acts no longer.
    Resign {
        /// Its ballot.
        term: Term,
    },
    /// Asks to be a voter.
    JoinRequest {
        /// What this machine has.
        last_state: StateId,
    },
    /// Whom to ask instead.
    KnownVoters {
        /// Voters as far as they are known.
        voters: Vec<Voter>,
    },
    /// This machine is about to end: asks to be a voter no longer.
    LeaveRequest,
    /// It is none.
    LeaveResponse,
}
