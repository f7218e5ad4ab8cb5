//! Connections between control machines: what is sent on one arrives in order, unless it is cut or reset.

use crate::schedule::Chance;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// What a cut holds up for longer than this is lost, as its sender gives the connection up; in seconds.
const HELD_UP: f64 = 1.0;
/// Of a thousand messages that a connection which was given up holds, so many arrive late all the same.
const ARRIVES_LATE: u64 = 150;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Parcel {
    /// Who sent it.
    pub from: Voter,
    /// The sender's life.
    pub life: u64,
    /// For whom it is.
    pub to: Recipient,
    /// The connection on which it was sent.
    pub connection: u64,
    /// When it was sent.
    pub sent: f64,
    /// The message.
    pub message: PeerMessage,
}

/// The way from one machine to another.
#[derive(Clone, Debug, Default)]
struct Link {
    connection: u64,
    /// The life of the sender that opened it.
    life: u64,
    /// When the newest message arrives.
    last: f64,
    /// What a cut holds up.
    held: Vec<Parcel>,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    all: BTreeMap<(NodeId, NodeId), Link>,
    /// Nothing passes from the first to the second.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    connections: u64,
    /// Of a thousand messages so many break their connection, and are lost with all behind them.
    pub resets: u64,
}

impl Links {
    /// Whether nothing passes from one to the other.
    pub fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Cuts both ways between these two.
    pub fn cut_between(&mut self, one: NodeId, other: NodeId) {
        self.cut.insert((one, other));
        self.cut.insert((other, one));
    }

    /// The connection from this life of `from`, and whether it is a new one.
    pub fn connection(&mut self, from: NodeId, to: NodeId, life: u64) -> (u64, bool) {
        let link = self.all.entry((from, to)).or_default();
        let new = link.connection == 0 || link.life != life;
        if new {
            self.connections += 1;
            (link.connection, link.life) = (self.connections, life);
        }
        (link.connection, new)
    }

    /// Ends the connection: what is still on its way is lost, and the next message opens another one.
    pub fn reset(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.all.get_mut(&(from, to)) {
            link.connection = 0;
            link.held.clear();
        }
    }

    /// What waits to be sent is lost, as too much of it waits; the connection goes on.
    pub fn overflow(&mut self, from: NodeId, to: NodeId) {
        if let Some(link) = self.all.get_mut(&(from, to)) {
            link.held.clear();
        }
    }

    /// Whether this connection is the newest one.
    pub fn is_newest(&self, from: NodeId, to: NodeId, connection: u64) -> bool {
        self.all
            .get(&(from, to))
            .is_some_and(|link| link.connection == connection)
    }

    /// When a message that is sent now and takes so long arrives: none overtakes another.
    pub fn arrival(&mut self, from: NodeId, to: NodeId, now: f64, takes: f64) -> f64 {
        let link = self.all.entry((from, to)).or_default();
        link.last = (now + takes).max(link.last + 1e-5);
        link.last
    }

    /// A cut holds this up.
    pub fn hold(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        self.all.entry((from, to)).or_default().held.push(parcel);
    }

    /// What arrives now that nothing is cut between these any more: all of it, or what was sent a moment ago and by
    /// chance some of the rest.
    pub fn release(
        &mut self,
        from: NodeId,
        to: NodeId,
        now: f64,
        chance: &mut Chance,
    ) -> Vec<Parcel> {
        let Some(link) = self.all.get_mut(&(from, to)) else {
            return Vec::new();
        };
        let held = std::mem::take(&mut link.held);
        let given_up = held
            .first()
            .is_some_and(|oldest| now - oldest.sent > HELD_UP);
        if given_up {
            // The sender has opened another connection, or will.
            link.connection = 0;
        }
        held.into_iter()
            .filter(|_| !given_up || chance.of_thousand(ARRIVES_LATE))
            .collect()
    }

    /// Pairs between which something is held up and nothing is cut any more.
    pub fn to_release(&self) -> Vec<(NodeId, NodeId)> {
        let waits = |(pair, link): (&(NodeId, NodeId), &Link)| {
            (!link.held.is_empty() && !self.cut.contains(pair)).then_some(*pair)
        };
        self.all.iter().filter_map(waits).collect()
    }
}
