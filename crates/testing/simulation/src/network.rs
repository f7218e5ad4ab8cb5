//! Connections between control machines: what is sent on one arrives in order, unless it is cut or reset.

use crate::schedule::RandomSource;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// What a cut holds up for longer than this is lost, as its sender gives the connection up; in seconds.
const HOLD_BACK_LIMIT_S: f64 = 1.0;
/// Of a thousand messages that a connection which was given up holds, so many arrive late all the same.
const LATE_ARRIVALS_PER_MILLE: u64 = 150;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// Who sent it.
    pub from: Voter,
    /// The sender's life.
    pub process_incarnation: u64,
    /// For whom it is.
    pub to: Recipient,
    /// The connection on which it was sent.
    pub connection: u64,
    /// When it was sent.
    pub sent_at: f64,
    /// The message.
    pub message: PeerMessage,
}

/// The way from one machine to another.
#[derive(Clone, Debug, Default)]
struct Link {
    connection: u64,
    /// The life of the sender that opened it.
    process_incarnation: u64,
    /// When the newest message arrives.
    last_arrival: f64,
    /// What a cut holds up.
    held_back: Vec<PeerEnvelope>,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub struct PeerNetwork {
    links: BTreeMap<(NodeId, NodeId), Link>,
    /// Nothing passes from the first to the second.
    pub blocked: BTreeSet<(NodeId, NodeId)>,
    last_connection: u64,
    /// Of a thousand messages so many break their connection, and are lost with all behind them.
    pub resets_per_mille: u64,
}

impl PeerNetwork {
    /// Whether nothing passes from one to the other.
    pub fn is_blocked(&self, from: NodeId, to: NodeId) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Cuts both ways between these two.
    pub fn block_both_ways(&mut self, one: NodeId, other: NodeId) {
        self.blocked.insert((one, other));
        self.blocked.insert((other, one));
    }

    /// The connection from this life of `from`, and whether it is a new one.
    pub fn connection(&mut self, from: NodeId, to: NodeId, life: u64) -> (u64, bool) {
        let link = self.links.entry((from, to)).or_default();
        let new = link.connection == 0 || link.process_incarnation != life;
        if new {
            self.last_connection += 1;
            (link.connection, link.process_incarnation) = (self.last_connection, life);
        }
        (link.connection, new)
    }

    /// Ends the connection: what is still on its way is lost, and the next message opens another one.
    pub fn reset(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&(from, to)) {
            link.connection = 0;
            link.held_back.clear();
        }
    }

    /// What waits to be sent is lost, as too much of it waits; the connection goes on.
    pub fn overflow(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.links.get_mut(&(from, to)) {
            link.held_back.clear();
        }
    }

    /// Whether this connection is the newest one.
    pub fn is_newest(&self, from: NodeId, to: NodeId, connection: u64) -> bool {
        self.links
            .get(&(from, to))
            .is_some_and(|link| link.connection == connection)
    }

    /// When a message that is sent now and takes so long arrives: none overtakes another.
    pub fn arrival_time(&mut self, from: NodeId, to: NodeId, now: f64, takes: f64) -> f64 {
        let link = self.links.entry((from, to)).or_default();
        link.last_arrival = (now + takes).max(link.last_arrival + 1e-5);
        link.last_arrival
    }

    /// A cut holds this up.
    pub fn hold_back(&mut self, from: NodeId, to: NodeId, envelope: PeerEnvelope) {
        self.links
            .entry((from, to))
            .or_default()
            .held_back
            .push(envelope);
    }

    /// What arrives now that nothing is cut between these any more: all of it, or what was sent a moment ago and by
    /// chance some of the rest.
    pub fn release(
        &mut self,
        from: NodeId,
        to: NodeId,
        now: f64,
        chance: &mut RandomSource,
    ) -> Vec<PeerEnvelope> {
        let Some(link) = self.links.get_mut(&(from, to)) else {
            return Vec::new();
        };
        let held = std::mem::take(&mut link.held_back);
        let given_up = held
            .first()
            .is_some_and(|oldest| now - oldest.sent_at > HOLD_BACK_LIMIT_S);
        if given_up {
            // The sender has opened another connection, or will.
            link.connection = 0;
        }
        held.into_iter()
            .filter(|_| !given_up || chance.per_mille(LATE_ARRIVALS_PER_MILLE))
            .collect()
    }

    /// Pairs between which something is held up and nothing is cut any more.
    pub fn releasable(&self) -> Vec<(NodeId, NodeId)> {
        let waits = |(pair, link): (&(NodeId, NodeId), &Link)| {
            (!link.held_back.is_empty() && !self.blocked.contains(pair)).then_some(*pair)
        };
        self.links.iter().filter_map(waits).collect()
    }
}
