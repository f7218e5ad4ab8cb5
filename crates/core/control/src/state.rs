//! What the control machines agree on, and the changes from one such state to the next.

use crate::difference::Difference;
use crate::digest::Digest;
use crate::membership::{Membership, Node};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use std::rc::Rc;

/// So many configurations are remembered, so that a repeated order is told from one that came too late.
pub const REMEMBERED_ORDERS: usize = 1024;

/// A state is no longer than this on a link or a disk, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The server that is, or is about to be, the primary of a service: the one with this id, once it leads a term above
/// that one. Agreed on before the platform is asked to promote, so that whoever takes over knows of it; and again with
/// the term that it leads, once no router can use another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Primary {
    /// Its id.
    pub id: String,
    /// The highest term known when it was chosen; its own once the change to it is complete.
    pub above: u64,
}

/// An order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Order {
    /// The epoch of its configuration.
    pub epoch: u64,
    /// The digest of its body.
    pub digest: Digest,
}

/// The whole of it, one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Rises with every change.
    pub seq: u64,
    /// Who decides.
    pub membership: Membership,
    /// The configuration's epoch; 0 before the first.
    pub epoch: u64,
    /// The configuration as the operator sent it.
    pub config: Rc<[u8]>,
    /// Orders that were taken, the newest last; the oldest are forgotten beyond [`REMEMBERED_ORDERS`].
    pub orders: Vec<Order>,
    /// Primaries by service, of services whose primary was changed by us.
    pub primaries: BTreeMap<String, Primary>,
}

/// What becomes of a configuration that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next one, to be agreed on.
    Next,
    /// Just this one was taken before.
    AlreadyTaken,
    /// Another version is in place.
    Conflict,
    /// Its epoch is not above the current one's.
    Stale,
    /// So old that nothing is known any more of orders of its time.
    Forgotten,
}

/// One change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// A configuration, as the operator sent it.
    Config {
        /// Its epoch.
        epoch: u64,
        /// Its text.
        text: Text,
    },
    /// The primary of a service.
    Primary {
        /// The service.
        service: String,
        /// Its primary.
        primary: Primary,
    },
    /// Who decides.
    Membership(Membership),
}

/// A text, whole or against another one that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Text {
    /// All of it.
    Whole(Rc<[u8]>),
    /// What is other than in the configuration before.
    Difference(Rc<Difference>),
}

impl Text {
    /// The cheaper way to send `new` to whoever has `old`.
    pub fn from_to(old: &[u8], new: &Rc<[u8]>) -> Text {
        match Difference::between(old, new) {
            Some(difference) => Text::Difference(Rc::new(difference)),
            None => Text::Whole(new.clone()),
        }
    }

    /// The text, for whoever has `old`; none if `old` isn't the one against which it was written.
    pub fn resolve(&self, old: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            Text::Whole(text) => Some(text.clone()),
            Text::Difference(difference) => difference.apply(old).map(Rc::from),
        }
    }
}

impl State {
    /// The state of machines that start for the first time.
    pub fn first(nodes: Vec<Node>) -> State {
        State {
            membership: Membership::founding(nodes),
            ..State::default()
        }
    }

    /// What is to be done with a valid configuration of this epoch that builds on that version.
    pub fn judge(&self, base: u64, epoch: u64, body: &[u8]) -> Verdict {
        let digest = Digest::of(body);
        let oldest = self.orders.first().map_or(0, |order| order.epoch);
        let forgets = self.orders.len() >= REMEMBERED_ORDERS;
        if self.orders.contains(&Order { epoch, digest }) {
            Verdict::AlreadyTaken
        } else if forgets && epoch < oldest {
            Verdict::Forgotten
        } else if base != self.epoch {
            Verdict::Conflict
        } else if epoch <= self.epoch {
            Verdict::Stale
        } else {
            Verdict::Next
        }
    }

    /// The change to this configuration.
    pub fn change_config(&self, epoch: u64, body: &Rc<[u8]>) -> Change {
        Change::Config {
            epoch,
            text: Text::from_to(&self.config, body),
        }
    }

    /// The state after this change; none if the change was not made for this state.
    pub fn after(&self, change: &Change) -> Option<State> {
        let mut next = State {
            seq: self.seq + 1,
            ..self.clone()
        };
        match change {
            Change::Config { epoch, text } => {
                next.config = text.resolve(&self.config)?;
                next.epoch = *epoch;
                next.orders.push(Order {
                    epoch: *epoch,
                    digest: Digest::of(&next.config),
                });
                let forgotten = next.orders.len().saturating_sub(REMEMBERED_ORDERS);
                next.orders.drain(..forgotten);
            }
            Change::Primary { service, primary } => {
                next.primaries.insert(service.clone(), primary.clone());
            }
            Change::Membership(membership) => next.membership = membership.clone(),
        }
        Some(next)
    }

    /// Stands for the whole state: equal digests mean equal states.
    pub fn digest(&self) -> Digest {
        // The configuration stands in the newest order by its digest.
        let parts = (
            self.seq,
            &self.membership,
            self.epoch,
            &self.orders,
            &self.primaries,
        );
        let bytes = bincode::encode_to_vec(parts, bincode::config::standard());
        Digest::of(&bytes.expect("a state can be written to memory"))
    }

    /// As bytes, for disks and links.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard())
            .expect("a state can be written to memory")
    }

    /// From bytes; none if they are not a whole state.
    pub fn read(bytes: &[u8]) -> Option<State> {
        let limits = bincode::config::standard().with_limit::<MAX_BYTES>();
        let read = bincode::decode_from_slice(bytes, limits);
        read.ok()
            .filter(|(_, used)| *used == bytes.len())
            .map(|(state, _)| state)
    }
}
