//! The state that the control machines agree on, and the changes from one state to the next.
//!
//! Only the leader changes it, by [`crate::Consensus::propose`]; a [`State`] itself is never
//! modified, each change makes a new one. State and changes are encoded with bincode, on disk and
//! between machines: the order of fields and variants is part of the format and must not change.

use crate::digest::Digest;
use crate::text_delta::TextDelta;
use crate::voter_set::{NodeId, VoterSet};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of applied configurations that are remembered, to tell a repeated request from an
/// outdated one.
pub const MAX_APPLIED_CONFIGS: usize = 1024;

/// Largest encoded state that is decoded, in bytes; it bounds what a damaged length can make us
/// reserve.
const MAX_ENCODED_BYTES: usize = 16 << 20;

/// The server that is, or is about to be, the primary of a service: it is, once it reports a
/// primary term above `min_term`.
///
/// The record is committed before the platform is asked to promote the server, so that the next
/// leader knows of the promotion. It is committed again, with the server's own term, once the
/// promotion is complete and no router can use another server as the primary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryRecord {
    /// The server's id.
    pub server_id: String,
    /// The highest primary term known when the server was chosen; its own primary term once the
    /// promotion is complete.
    pub min_term: u64,
}

/// A configuration that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AppliedConfig {
    /// The epoch of the configuration.
    pub epoch: u64,
    /// The digest of the body of its request.
    pub digest: Digest,
}

/// The one value that the control machines agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// The number of the state: each change adds one.
    pub version: u64,
    /// The machines whose votes count.
    pub voters: VoterSet,
    /// The epoch of the configuration; 0 before the first one.
    pub config_epoch: u64,
    /// The configuration, in JSON as the operator sent it.
    pub config: Rc<[u8]>,
    /// The newest configurations that were applied, the newest last; at most
    /// [`MAX_APPLIED_CONFIGS`].
    pub applied_configs: Vec<AppliedConfig>,
    /// Primaries by service, of the services whose primary this system has changed.
    pub primaries: BTreeMap<String, PrimaryRecord>,
}

/// What is to be done with a request to replace the configuration. See [`State::check_replace`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceVerdict {
    /// It is to be proposed.
    Apply,
    /// The same configuration was applied before: the request is a retry and succeeds without
    /// effect.
    AlreadyApplied,
    /// It builds on another configuration than the present one.
    Conflict,
    /// Its epoch is not above that of the present configuration.
    Stale,
    /// It is older than all remembered configurations, so whether it was applied is not known.
    Unknown,
}

/// One change of the state, as it is proposed.
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

/// The text of a configuration, complete or as a delta to one that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigPayload {
    /// The complete text.
    Full(Rc<[u8]>),
    /// The delta from another configuration.
    Delta(Rc<TextDelta>),
}

impl ConfigPayload {
    /// The smaller form of `text`, for a receiver that has `base`.
    pub fn relative_to(base: &[u8], text: &Rc<[u8]>) -> ConfigPayload {
        match TextDelta::between(base, text) {
            Some(delta) => ConfigPayload::Delta(Rc::new(delta)),
            None => ConfigPayload::Full(text.clone()),
        }
    }

    /// The complete text, for a receiver that has `base`; none if it is a delta from another text.
    pub fn resolve(&self, base: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigPayload::Full(text) => Some(text.clone()),
            ConfigPayload::Delta(delta) => delta.apply(base).map(Rc::from),
        }
    }
}

impl State {
    /// The state on empty disks, of a system that starts for the first time with the voters
    /// `nodes`.
    pub fn founding(nodes: Vec<NodeId>) -> State {
        State {
            voters: VoterSet::founding(nodes),
            ..State::default()
        }
    }

    /// What is to be done with a valid configuration of `epoch` that builds on the one of
    /// `base_epoch`.
    ///
    /// A retry is recognised first, so that a request whose answer was lost can be repeated however
    /// much later.
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

    /// The change that replaces the configuration by `body`.
    pub fn config_change(&self, epoch: u64, body: &Rc<[u8]>) -> StateChange {
        StateChange::Config {
            epoch,
            config: ConfigPayload::relative_to(&self.config, body),
        }
    }

    /// The state after `change`; none if the change holds a delta from another configuration than
    /// this state has.
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

    /// The digest of the state: two states with the same digest are equal.
    pub fn digest(&self) -> Digest {
        // The configuration is left out, as the newest of the applied configurations has its
        // digest.
        let parts = (
            self.version,
            &self.voters,
            self.config_epoch,
            &self.applied_configs,
            &self.primaries,
        );
        let bytes = bincode::encode_to_vec(parts, bincode::config::standard());
        Digest::of(&bytes.expect("a state has no type that bincode can't encode"))
    }

    /// The state in bincode, as it is written to disk.
    pub fn encode(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard())
            .expect("a state has no type that bincode can't encode")
    }

    /// Decodes a state in bincode; none if `bytes` are not exactly one state.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        let limits = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
        let (state, read_bytes) = bincode::decode_from_slice(bytes, limits).ok()?;
        (read_bytes == bytes.len()).then_some(state)
    }
}
