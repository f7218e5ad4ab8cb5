//! What the owner of a [`Consensus`](super::Consensus) has to do for it.

use super::message::ConsensusMessage;
use crate::voter_set::{NodeId, Voter};
use bincode::{Decode, Encode};

/// One thing to do; outputs are to be carried out in the order in which they come.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusOutput {
    /// Write [`hard_state`](super::Consensus::hard_state) to disk, then call
    /// [`persisted`](super::Consensus::persisted) or
    /// [`persist_failed`](super::Consensus::persist_failed) before anything else.
    Persist,
    /// Send a message to another control machine.
    Send(Recipient, ConsensusMessage),
    /// This machine leads from now on, and the state as it is now is committed.
    BecameLeader,
    /// This machine no longer leads.
    SteppedDown,
    /// The change that was proposed last is committed.
    Committed,
}

impl ConsensusOutput {
    /// A message to `voter`, in this incarnation of its disk only.
    pub(super) fn to_voter(voter: Voter, message: ConsensusMessage) -> ConsensusOutput {
        ConsensusOutput::Send(Recipient::Voter(voter), message)
    }

    /// A message to whoever has the address `node`.
    pub(super) fn to_node(node: NodeId, message: ConsensusMessage) -> ConsensusOutput {
        ConsensusOutput::Send(Recipient::Node(node), message)
    }
}

/// To whom a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Recipient {
    /// To this voter; a machine at its address in another incarnation must not process the message.
    Voter(Voter),
    /// To whoever has this address.
    Node(NodeId),
}

impl Recipient {
    /// The address to send to.
    pub fn node(self) -> NodeId {
        match self {
            Recipient::Voter(voter) => voter.node,
            Recipient::Node(node) => node,
        }
    }

    /// Whether `voter` is to process the message.
    pub fn matches(self, voter: Voter) -> bool {
        match self {
            Recipient::Voter(recipient) => recipient == voter,
            Recipient::Node(node) => node == voter.node,
        }
    }
}
