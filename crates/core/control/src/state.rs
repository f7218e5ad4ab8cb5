//! The replicated state that the control machines agree on, and the changes from one state to the
//! next.
//!
//! Only the leader changes the state, with [`crate::Consensus::propose`]. A [`State`] is never
//! modified: each change produces a new one. State and changes are encoded with bincode, both on
//! disk and in messages, so the order of fields and variants is part of the format and must not
//! change.

use crate::digest::Digest;
use crate::text_delta::TextDelta;
use crate::voter_set::{NodeId, VoterSet};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of applied configurations in the state. They tell a repeated request from an
/// outdated one.
pub const MAX_APPLIED_CONFIGS: usize = 1024;

/// Maximum size of a state that is decoded, in bytes. It limits how much memory a corrupted length
/// field can make the decoder reserve.
const MAX_ENCODED_STATE_BYTES: usize = 16 << 20;

/// The server that is, or is about to become, the primary of a service.
///
/// The record is committed before the platform is asked to promote the server, so that the next
/// leader knows about the promotion. The server is the primary once it reports a primary term above
/// `min_term`. The record is committed again, with the server's own primary term, once the
/// promotion is complete and no router can use another server as the primary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryRecord {
    /// The server's id.
    pub server_id: String,
    /// The highest primary term that was known when the server was chosen. Once the promotion is
    /// complete, the server's own primary term.
    pub min_term: u64,
}

/// Identifies a configuration that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AppliedConfig {
    /// The epoch of the configuration.
    pub epoch: u64,
    /// The digest of its text, which is the body of the request.
    pub digest: Digest,
}

/// The value that the control machines agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// The number of changes since the founding state.
    pub version: u64,
    /// The machines whose votes count.
    pub voters: VoterSet,
    /// The epoch of the configuration; 0 before the first one.
    pub config_epoch: u64,
    /// The configuration: the JSON text as the operator sent it.
    pub config: Rc<[u8]>,
    /// The newest [`MAX_APPLIED_CONFIGS`] applied configurations, newest last.
    pub applied_configs: Vec<AppliedConfig>,
    /// The primaries by service name. Only services whose primary was changed by this system have
    /// an entry.
    pub primaries: BTreeMap<String, PrimaryRecord>,
}

/// How to treat a request to replace the configuration. See [`State::check_replace`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceVerdict {
    /// The request is to be proposed.
    Apply,
    /// The same configuration was applied before. The request is a retry, and succeeds without
    /// effect.
    AlreadyApplied,
    /// The request is based on a configuration that is not the present one.
    Conflict,
    /// The epoch of the request is not above that of the present configuration.
    Stale,
    /// The epoch of the request is below those of all remembered configurations, so it is unknown
    /// whether the request was applied.
    Unknown,
}

/// One proposed change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum StateChange {
    /// Replaces the configuration.
    Config {
        /// The epoch of the new configuration.
        epoch: u64,
        /// The text of the new configuration.
        config: ConfigPayload,
    },
    /// Sets the primary of a service.
    Primary {
        /// The name of the service.
        service: String,
        /// Its new primary.
        primary: PrimaryRecord,
    },
    /// Replaces the voter set.
    Voters(VoterSet),
}

/// The text of a configuration: either complete, or as a delta from a text that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigPayload {
    /// The complete text.
    Full(Rc<[u8]>),
    /// The delta from another configuration to this one.
    Delta(Rc<TextDelta>),
}

impl ConfigPayload {
    /// Returns the smaller form of `text`, for a receiver that has `base`.
    pub fn relative_to(base: &[u8], text: &Rc<[u8]>) -> ConfigPayload {
        match TextDelta::between(base, text) {
            Some(delta) => ConfigPayload::Delta(Rc::new(delta)),
            None => ConfigPayload::Full(text.clone()),
        }
    }

    /// Returns the complete text, for a receiver that has `base`. Returns `None` if the payload is
    /// a delta from another text.
    pub fn resolve(&self, base: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigPayload::Full(text) => Some(text.clone()),
            ConfigPayload::Delta(delta) => delta.apply(base).map(Rc::from),
        }
    }
}

impl State {
    /// Returns the initial state of a system that starts for the first time, on empty disks and
    /// with `nodes` as the voters.
    pub fn founding(nodes: Vec<NodeId>) -> State {
        State {
            voters: VoterSet::founding(nodes),
            ..State::default()
        }
    }

    /// Returns how to treat a request that replaces the configuration of `base_epoch` by the valid
    /// configuration `body` with `epoch`.
    ///
    /// Retries are checked for first. So a request whose response was lost can be repeated at any
    /// later time, even after further changes.
    pub fn check_replace(&self, base_epoch: u64, epoch: u64, body: &[u8]) -> ReplaceVerdict {
        let digest = Digest::of(body);
        let oldest_epoch = self
            .applied_configs
            .first()
            .map_or(0, |applied| applied.epoch);
        let has_forgotten = self.applied_configs.len() >= MAX_APPLIED_CONFIGS;
        if self
            .applied_configs
            .contains(&AppliedConfig { epoch, digest })
        {
            ReplaceVerdict::AlreadyApplied
        } else if has_forgotten && epoch < oldest_epoch {
            ReplaceVerdict::Unknown
        } else if base_epoch != self.config_epoch {
            ReplaceVerdict::Conflict
        } else if epoch <= self.config_epoch {
            ReplaceVerdict::Stale
        } else {
            ReplaceVerdict::Apply
        }
    }

    /// Returns the change that replaces the configuration by `body`.
    pub fn config_change(&self, epoch: u64, body: &Rc<[u8]>) -> StateChange {
        StateChange::Config {
            epoch,
            config: ConfigPayload::relative_to(&self.config, body),
        }
    }

    /// Returns the state after `change`, or `None` if the change is a delta from a configuration
    /// that this state doesn't have.
    pub fn apply(&self, change: &StateChange) -> Option<State> {
        let mut next = State {
            version: self.version + 1,
            ..self.clone()
        };
        match change {
            StateChange::Config { epoch, config } => {
                next.config = config.resolve(&self.config)?;
                next.config_epoch = *epoch;
                next.applied_configs.push(AppliedConfig {
                    epoch: *epoch,
                    digest: Digest::of(&next.config),
                });
                let excess = next
                    .applied_configs
                    .len()
                    .saturating_sub(MAX_APPLIED_CONFIGS);
                next.applied_configs.drain(..excess);
            }
            StateChange::Primary { service, primary } => {
                next.primaries.insert(service.clone(), primary.clone());
            }
            StateChange::Voters(voters) => next.voters = voters.clone(),
        }
        Some(next)
    }

    /// Computes the digest of the state. Two states with the same digest are equal.
    pub fn digest(&self) -> Digest {
        // The text of the configuration is left out, because the newest entry of `applied_configs`
        // has its digest.
        let parts = (
            self.version,
            &self.voters,
            self.config_epoch,
            &self.applied_configs,
            &self.primaries,
        );
        let bytes = bincode::encode_to_vec(parts, bincode::config::standard());
        Digest::of(&bytes.expect("bincode can encode every type in a state"))
    }

    /// Encodes the state with bincode, as it is written to disk.
    pub fn encode(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard())
            .expect("bincode can encode every type in a state")
    }

    /// Decodes a state from bincode. Returns `None` if `bytes` are not exactly one state.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        let limits = bincode::config::standard().with_limit::<MAX_ENCODED_STATE_BYTES>();
        let (state, read_bytes) = bincode::decode_from_slice(bytes, limits).ok()?;
        (read_bytes == bytes.len()).then_some(state)
    }
}
