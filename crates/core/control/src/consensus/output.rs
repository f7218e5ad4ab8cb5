//! The actions that a [`Consensus`](super::Consensus) requests from its owner.

use super::message::ConsensusMessage;
use crate::voter_set::{NodeId, Voter};
use bincode::{Decode, Encode};

/// One action for the owner. Outputs must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusOutput {
    /// Write [`hard_state`](super::Consensus::hard_state) to disk, then call
    /// [`persisted`](super::Consensus::persisted) or
    /// [`persist_failed`](super::Consensus::persist_failed) before any other call.
    Persist,
    /// Send a message to another control machine.
    Send(Recipient, ConsensusMessage),
    /// This machine leads from now on, and its present state is committed.
    BecameLeader,
    /// This machine no longer leads.
    SteppedDown,
    /// The change that was proposed last is committed.
    Committed,
}

impl ConsensusOutput {
    /// Returns an output that sends a message to `voter`, in this incarnation of its disk only.
    pub(super) fn to_voter(voter: Voter, message: ConsensusMessage) -> ConsensusOutput {
        ConsensusOutput::Send(Recipient::Voter(voter), message)
    }

    /// Returns an output that sends a message to the machine at the address `node`.
    pub(super) fn to_node(node: NodeId, message: ConsensusMessage) -> ConsensusOutput {
        ConsensusOutput::Send(Recipient::Node(node), message)
    }
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Recipient {
    /// This voter only. A machine at the same address with another incarnation must not process the
    /// message.
    Voter(Voter),
    /// The machine at this address, in any incarnation.
    Node(NodeId),
}

impl Recipient {
    /// Returns the address to send to.
    pub fn node(self) -> NodeId {
        match self {
            Recipient::Voter(voter) => voter.node,
            Recipient::Node(node) => node,
        }
    }

    /// Returns whether `voter` should process the message.
    pub fn matches(self, voter: Voter) -> bool {
        match self {
            Recipient::Voter(recipient) => recipient == voter,
            Recipient::Node(node) => node == voter.node,
        }
    }
}
