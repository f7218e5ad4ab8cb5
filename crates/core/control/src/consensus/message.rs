//! What the control machines say to each other to agree.

use crate::ballot::Ballot;
use crate::digest::Digest;
use crate::membership::Voter;
use crate::state::{Change, State};
use bincode::{Decode, Encode};
use std::rc::Rc;

/// What a machine has on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Holds {
    /// The ballot under which the state was accepted.
    pub accepted: Ballot,
    /// The number of the state.
    pub seq: u64,
    /// The digest of the state.
    pub digest: Digest,
}

impl Holds {
    /// Orders what was accepted: of two states a candidate goes on from the one that is higher.
    pub fn rank(&self) -> (Ballot, u64) {
        (self.accepted, self.seq)
    }
}

/// A state, for whoever has another one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Content {
    /// All of it.
    Whole(Rc<State>),
    /// What has changed.
    Changes {
        /// The state on which the changes build.
        base: Digest,
        /// The changes, in order; none if only the ballot is another one.
        changes: Vec<Rc<Change>>,
        /// The state to which they lead.
        result: Digest,
    },
}

/// One message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConsensusMessage {
    /// Would this ballot be promised? Asked before anything is promised, so that whoever is cut off raises no ballots.
    Canvass {
        /// The ballot.
        ballot: Ballot,
        /// What the machine that asks has.
        holds: Holds,
    },
    /// The answer.
    Canvassed {
        /// The ballot that was asked for.
        ballot: Ballot,
        /// Whether it would be promised.
        granted: bool,
        /// The highest ballot that was promised.
        promised: Ballot,
    },
    /// Asks for the promise to take part in nothing below this ballot.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// What the candidate has itself.
        holds: Holds,
    },
    /// The promise.
    Promise {
        /// The ballot.
        ballot: Ballot,
        /// What this machine has.
        holds: Holds,
        /// Its state, if it is newer than what the candidate has.
        newer: Option<Rc<State>>,
    },
    /// No: a higher ballot was promised, or another machine leads.
    Refuse {
        /// The ballot that is refused.
        ballot: Ballot,
        /// The highest that was promised.
        promised: Ballot,
    },
    /// Asks to accept a state.
    Accept {
        /// The leader's ballot.
        ballot: Ballot,
        /// The state.
        content: Content,
    },
    /// It is accepted and on disk.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// What is on disk.
        holds: Holds,
    },
    /// The changes build on another state than the one that this machine has.
    Mismatch {
        /// The leader's ballot.
        ballot: Ballot,
        /// What this machine has.
        holds: Holds,
    },
    /// The leader is there.
    Heartbeat {
        /// Its ballot.
        ballot: Ballot,
        /// When this was sent, in seconds of the leader's clock.
        sent: f64,
        /// When the newest answer that the leader has of this machine was sent, in seconds of this machine's clock; none
        /// if the leader isn't in contact with a majority.
        confirms: Option<f64>,
    },
    /// It was heard.
    HeartbeatAck {
        /// The leader's ballot.
        ballot: Ballot,
        /// As in the heartbeat.
        sent: f64,
        /// When this was sent, in seconds of this machine's clock.
        at: f64,
        /// What is on disk.
        holds: Holds,
    },
    /// The leader under this ballot ends, and acts no longer.
    Resign {
        /// Its ballot.
        ballot: Ballot,
    },
    /// Asks to be a voter.
    Join {
        /// What this machine has.
        holds: Holds,
    },
    /// Whom to ask instead.
    Contacts {
        /// Voters as far as they are known.
        voters: Vec<Voter>,
    },
    /// This machine is about to end: asks to be a voter no longer.
    Leave,
    /// It is none.
    Left,
}
