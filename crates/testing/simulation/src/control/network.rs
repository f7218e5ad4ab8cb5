//! Connections between control machines, as TCP gives them: messages arrive in order, a partition
//! holds them back, and a reset loses what is under way.

use crate::event::Process;
use crate::kernel::RandomSource;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// A sender gives up a connection, and with it what was held back, after so many seconds.
const HOLD_BACK_LIMIT_S: f64 = 1.0;

/// Of the messages on a connection that was given up, so many arrive late all the same.
const LATE_ARRIVALS_PER_MILLE: u64 = 150;

/// The least time between two arrivals on a connection, in seconds.
const ARRIVAL_SPACING_S: f64 = 1e-5;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// Who sent it.
    pub from: Voter,
    /// For whom it is.
    pub to: Recipient,
    /// The connection it was sent on.
    pub connection: u64,
    /// When it was sent, in seconds of simulated time.
    pub sent_at: f64,
    /// The message.
    pub message: PeerMessage,
}

/// A link from one machine to another; both are nodes of the control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId {
    from: NodeId,
    to: NodeId,
}

/// One direction between two machines.
#[derive(Clone, Debug, Default)]
struct Link {
    /// The open connection; 0 if there is none.
    connection: u64,
    /// The incarnation of the process that opened it.
    process_incarnation: u64,
    /// When the newest message arrives.
    last_arrival: f64,
    /// What a partition holds back.
    held_back: Vec<PeerEnvelope>,
}

/// The connection on which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenConnection {
    /// Its number.
    pub(super) id: u64,
    /// It was opened for this message.
    pub(super) is_new: bool,
}

/// All links between control machines.
#[derive(Clone, Debug, Default)]
pub struct PeerNetwork {
    links: BTreeMap<LinkId, Link>,
    /// Nothing passes from the first to the second.
    pub blocked: BTreeSet<(NodeId, NodeId)>,
    last_connection: u64,
    /// Of the messages so many reset their connection, and are lost with all behind them.
    pub resets_per_mille: u64,
}

impl PeerNetwork {
    /// Whether nothing passes from one to the other.
    pub(super) fn is_blocked(&self, from: NodeId, to: NodeId) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Blocks both directions between these two.
    pub fn block_both_ways(&mut self, one: NodeId, other: NodeId) {
        self.blocked.insert((one, other));
        self.blocked.insert((other, one));
    }

    /// Unblocks everything from and to this machine.
    pub(super) fn unblock_machine(&mut self, node: NodeId) {
        self.blocked
            .retain(|(from, to)| *from != node && *to != node);
    }

    /// The connection of this process to another machine; it is opened if there is none.
    pub(super) fn connection(&mut self, from: Process, to: NodeId) -> OpenConnection {
        let id = LinkId {
            from: from.node,
            to,
        };
        let link = self.links.entry(id).or_default();
        let is_new = link.connection == 0 || link.process_incarnation != from.incarnation;
        if is_new {
            self.last_connection += 1;
            link.connection = self.last_connection;
            link.process_incarnation = from.incarnation;
        }
        OpenConnection {
            id: link.connection,
            is_new,
        }
    }

    /// Ends the connection: what is held back is lost, and the next message opens another one.
    pub(super) fn reset(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&LinkId { from, to }) {
            link.connection = 0;
            link.held_back.clear();
        }
    }

    /// What is held back is lost, as too much of it waits; the connection goes on.
    pub fn overflow(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&LinkId { from, to }) {
            link.held_back.clear();
        }
    }

    /// When a message that is sent now with this delay arrives: none overtakes another.
    pub(super) fn arrival_time(&mut self, from: NodeId, to: NodeId, now: f64, delay: f64) -> f64 {
        let link = self.links.entry(LinkId { from, to }).or_default();
        link.last_arrival = (now + delay).max(link.last_arrival + ARRIVAL_SPACING_S);
        link.last_arrival
    }

    /// A partition holds this message back.
    pub(super) fn hold_back(&mut self, envelope: PeerEnvelope) {
        let id = LinkId {
            from: envelope.from.node,
            to: envelope.to.node(),
        };
        self.links.entry(id).or_default().held_back.push(envelope);
    }

    /// Takes what was held back between these two, which are no longer blocked, in order: all
    /// of it, or a random part if the sender has given the connection up meanwhile.
    pub(super) fn release(
        &mut self,
        from: NodeId,
        to: NodeId,
        now: f64,
        random: &mut RandomSource,
    ) -> Vec<PeerEnvelope> {
        let Some(link) = self.links.get_mut(&LinkId { from, to }) else {
            return Vec::new();
        };
        let held_back = std::mem::take(&mut link.held_back);
        let given_up = held_back
            .first()
            .is_some_and(|oldest| now - oldest.sent_at > HOLD_BACK_LIMIT_S);
        if given_up {
            // The sender has opened another connection, or will.
            link.connection = 0;
        }
        held_back
            .into_iter()
            .filter(|_| !given_up || random.per_mille(LATE_ARRIVALS_PER_MILLE))
            .collect()
    }

    /// Pairs between which something is held back and nothing is blocked any more.
    pub(super) fn releasable(&self) -> Vec<(NodeId, NodeId)> {
        self.links
            .iter()
            .filter(|(_, link)| !link.held_back.is_empty())
            .map(|(id, _)| (id.from, id.to))
            .filter(|pair| !self.blocked.contains(pair))
            .collect()
    }
}
