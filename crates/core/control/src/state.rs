//! What the control machines agree on, and the changes from one such state to the next.

use crate::digest::Digest;
use crate::text_delta::TextDelta;
use crate::voter_set::{NodeId, VoterSet};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use std::rc::Rc;

/// So many configurations are remembered, so that a repeated order is told from one that came too late.
pub const APPLIED_CONFIGS_KEPT: usize = 1024;

/// A state is no longer than this on a link or a disk, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The server that is, or is about to be, the primary of a service: the one with this id, once it leads a term above
/// that one. Agreed on before the platform is asked to promote, so that whoever takes over knows of it; and again with
/// the term that it leads, once no router can use another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryRecord {
    /// Its id.
    pub server_id: String,
    /// The highest term known when it was chosen; its own once the change to it is complete.
    pub min_term: u64,
}

/// An order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AppliedConfig {
    /// The epoch of its configuration.
    pub epoch: u64,
    /// The digest of its body.
    pub digest: Digest,
}

/// The whole of it, one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Rises with every change.
    pub version: u64,
    /// Who decides.
    pub voters: VoterSet,
    /// The configuration's epoch; 0 before the first.
    pub config_epoch: u64,
    /// The configuration as the operator sent it.
    pub config: Rc<[u8]>,
    /// Orders that were taken, the newest last; the oldest are forgotten beyond [`APPLIED_CONFIGS_KEPT`].
    pub applied_configs: Vec<AppliedConfig>,
    /// Primaries by service, of services whose primary was changed by us.
    pub primaries: BTreeMap<String, PrimaryRecord>,
}

/// What becomes of a configuration that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceVerdict {
    /// It is the next one, to be agreed on.
    Apply,
    /// Just this one was taken before.
    AlreadyApplied,
    /// Another version is in place.
    Conflict,
    /// Its epoch is not above the current one's.
    Stale,
    /// So old that nothing is known any more of orders of its time.
    Unknown,
}

/// One change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum StateChange {
    /// A configuration, as the operator sent it.
    Config {
        /// Its epoch.
        epoch: u64,
        /// Its text.
        config: ConfigPayload,
    },
    /// The primary of a service.
    Primary {
        /// The service.
        service: String,
        /// Its primary.
        primary: PrimaryRecord,
    },
    /// Who decides.
    Voters(VoterSet),
}

/// A text, whole or against another one that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigPayload {
    /// All of it.
    Full(Rc<[u8]>),
    /// What is other than in the configuration before.
    Delta(Rc<TextDelta>),
}

impl ConfigPayload {
    /// The cheaper way to send `new` to whoever has `old`.
    pub fn relative_to(old: &[u8], new: &Rc<[u8]>) -> ConfigPayload {
        match TextDelta::between(old, new) {
            Some(difference) => ConfigPayload::Delta(Rc::new(difference)),
            None => ConfigPayload::Full(new.clone()),
        }
    }

    /// The text, for whoever has `old`; none if `old` isn't the one against which it was written.
    pub fn resolve(&self, old: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigPayload::Full(text) => Some(text.clone()),
            ConfigPayload::Delta(difference) => difference.apply(old).map(Rc::from),
        }
    }
}

impl State {
    /// The state of machines that start for the first time.
    pub fn founding(nodes: Vec<NodeId>) -> State {
        State {
            voters: VoterSet::founding(nodes),
            ..State::default()
        }
    }

    /// What is to be done with a valid configuration of this epoch that builds on that version.
    pub fn check_replace(&self, base: u64, epoch: u64, body: &[u8]) -> ReplaceVerdict {
        let digest = Digest::of(body);
        let oldest = self.applied_configs.first().map_or(0, |order| order.epoch);
        let forgets = self.applied_configs.len() >= APPLIED_CONFIGS_KEPT;
        if self
            .applied_configs
            .contains(&AppliedConfig { epoch, digest })
        {
            ReplaceVerdict::AlreadyApplied
        } else if forgets && epoch < oldest {
            ReplaceVerdict::Unknown
        } else if base != self.config_epoch {
            ReplaceVerdict::Conflict
        } else if epoch <= self.config_epoch {
            ReplaceVerdict::Stale
        } else {
            ReplaceVerdict::Apply
        }
    }

    /// The change to this configuration.
    pub fn config_change(&self, epoch: u64, body: &Rc<[u8]>) -> StateChange {
        StateChange::Config {
            epoch,
            config: ConfigPayload::relative_to(&self.config, body),
        }
    }

    /// The state after this change; none if the change was not made for this state.
    pub fn apply(&self, change: &StateChange) -> Option<State> {
        let mut next = State {
            version: self.version + 1,
            ..self.clone()
        };
        match change {
            StateChange::Config {
                epoch,
                config: text,
            } => {
                next.config = text.resolve(&self.config)?;
                next.config_epoch = *epoch;
                next.applied_configs.push(AppliedConfig {
                    epoch: *epoch,
                    digest: Digest::of(&next.config),
                });
                let forgotten = next
                    .applied_configs
                    .len()
                    .saturating_sub(APPLIED_CONFIGS_KEPT);
                next.applied_configs.drain(..forgotten);
            }
            StateChange::Primary { service, primary } => {
                next.primaries.insert(service.clone(), primary.clone());
            }
            StateChange::Voters(membership) => next.voters = membership.clone(),
        }
        Some(next)
    }

    /// Stands for the whole state: equal digests mean equal states.
    pub fn digest(&self) -> Digest {
        // The configuration stands in the newest order by its digest.
        let parts = (
            self.version,
            &self.voters,
            self.config_epoch,
            &self.applied_configs,
            &self.primaries,
        );
        let bytes = bincode::encode_to_vec(parts, bincode::config::standard());
        Digest::of(&bytes.expect("a state can be written to memory"))
    }

    /// As bytes, for disks and links.
    pub fn encode(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard())
            .expect("a state can be written to memory")
    }

    /// From bytes; none if they are not a whole state.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        let limits = bincode::config::standard().with_limit::<MAX_BYTES>();
        let read = bincode::decode_from_slice(bytes, limits);
        read.ok()
            .filter(|(_, used)| *used == bytes.len())
            .map(|(state, _)| state)
    }
}
