//! Connections between control machines, modelled on TCP: messages arrive in order, a partition
//! delays them, and a reset drops those that it has delayed.

use crate::event::Process;
use crate::kernel::RandomSource;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum time that a sender keeps a connection whose messages a partition holds back, in
/// seconds. After it the sender gives the connection up.
const HOLD_BACK_LIMIT_S: f64 = 1.0;

/// The probability that a message on a connection that was given up still arrives late, in
/// thousandths.
const LATE_ARRIVALS_PER_MILLE: u64 = 150;

/// The minimum time between two arrivals on a connection, in seconds.
const ARRIVAL_SPACING_S: f64 = 1e-5;

/// A message in transit.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: Voter,
    /// The recipient.
    pub to: Recipient,
    /// The connection on which the message was sent.
    pub connection: u64,
    /// The time of sending, in seconds of simulated time.
    pub sent_at: f64,
    /// The message.
    pub message: PeerMessage,
}

/// Identifies the link from one control machine to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId {
    from: NodeId,
    to: NodeId,
}

/// The link from one control machine to another, in this direction only.
#[derive(Clone, Debug, Default)]
struct Link {
    /// The open connection; 0 if there is none.
    connection: u64,
    /// The incarnation of the process that opened it.
    process_incarnation: u64,
    /// The arrival time of the newest message, in seconds of simulated time.
    last_arrival: f64,
    /// The messages that a partition holds back.
    held_back: Vec<PeerEnvelope>,
}

/// The connection on which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenConnection {
    /// The number of the connection.
    pub(super) id: u64,
    /// Whether the connection was opened for this message.
    pub(super) is_new: bool,
}

/// All links between control machines.
#[derive(Clone, Debug, Default)]
pub struct PeerNetwork {
    links: BTreeMap<LinkId, Link>,
    /// Pairs of sender and receiver between which a partition blocks all messages.
    pub blocked: BTreeSet<(NodeId, NodeId)>,
    last_connection: u64,
    /// The probability that sending a message resets its connection, in thousandths. The message is
    /// then lost, together with those that a partition holds back on the connection.
    pub resets_per_mille: u64,
}

impl PeerNetwork {
    /// Returns whether a partition blocks messages in this direction.
    pub(super) fn is_blocked(&self, from: NodeId, to: NodeId) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Blocks both directions between these two machines.
    pub fn block_both_ways(&mut self, one: NodeId, other: NodeId) {
        self.blocked.insert((one, other));
        self.blocked.insert((other, one));
    }

    /// Unblocks all links from and to this machine.
    pub(super) fn unblock_machine(&mut self, node: NodeId) {
        self.blocked
            .retain(|(from, to)| *from != node && *to != node);
    }

    /// Returns the connection of this process to another machine, and opens one if there is none.
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

    /// Closes the connection: messages that are held back are lost, and the next message opens a
    /// new connection.
    pub(super) fn reset(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&LinkId { from, to }) {
            link.connection = 0;
            link.held_back.clear();
        }
    }

    /// Drops the messages that are held back, as a sender does when its queue overflows. The
    /// connection stays open.
    pub fn drop_held_back(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&LinkId { from, to }) {
            link.held_back.clear();
        }
    }

    /// Returns the arrival time of a message that is sent now with this delay. Messages on a link
    /// never overtake each other.
    pub(super) fn arrival_time(&mut self, from: NodeId, to: NodeId, now: f64, delay: f64) -> f64 {
        let link = self.links.entry(LinkId { from, to }).or_default();
        link.last_arrival = (now + delay).max(link.last_arrival + ARRIVAL_SPACING_S);
        link.last_arrival
    }

    /// Holds this message back until its link is unblocked.
    pub(super) fn hold_back(&mut self, envelope: PeerEnvelope) {
        let id = LinkId {
            from: envelope.from.node,
            to: envelope.to.node(),
        };
        self.links.entry(id).or_default().held_back.push(envelope);
    }

    /// Removes and returns the messages that were held back on this link, which is no longer
    /// blocked, in order. If the sender has given the connection up meanwhile, returns only a
    /// random part of them.
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
            // The sender opens a new connection for its next message.
            link.connection = 0;
        }
        held_back
            .into_iter()
            .filter(|_| !given_up || random.per_mille(LATE_ARRIVALS_PER_MILLE))
            .collect()
    }

    /// Returns the unblocked pairs of sender and receiver for which messages are still held back.
    pub(super) fn releasable(&self) -> Vec<(NodeId, NodeId)> {
        self.links
            .iter()
            .filter(|(_, link)| !link.held_back.is_empty())
            .map(|(id, _)| (id.from, id.to))
            .filter(|pair| !self.blocked.contains(pair))
            .collect()
    }
}
