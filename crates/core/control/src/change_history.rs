//! The newest changes of the state, so that a receiver with a recent state is sent a delta and not
//! a snapshot.

use crate::digest::Digest;
use crate::state::{ConfigPayload, State, StateChange};
use crate::text_delta::TextDelta;
use std::collections::VecDeque;
use std::rc::Rc;

/// Largest number of changes that are remembered.
const MAX_CHANGES: usize = 512;
/// Largest size of the remembered changes, in bytes.
const MAX_BYTES: usize = 256 << 10;
/// About how many bytes the fixed fields of a change take.
const CHANGE_HEADER_BYTES: usize = 64;

#[derive(Clone, Debug)]
struct Entry {
    /// The state to which the change was applied, and its configuration epoch.
    digest_before: Digest,
    epoch_before: u64,
    change: Rc<StateChange>,
    bytes: usize,
}

/// Consecutive changes that lead to the present state, the oldest first. They are in memory only:
/// after a restart the history is empty.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl ChangeHistory {
    /// Records that `change` was applied to the state `before`, which makes the present state.
    pub fn push(&mut self, before: &State, digest_before: Digest, change: Rc<StateChange>) {
        let bytes = size(&change);
        self.entries.push_back(Entry {
            digest_before,
            epoch_before: before.config_epoch,
            change,
            bytes,
        });
        self.bytes += bytes;
        while self.entries.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Forgets all changes, as the present state didn't come from the one before by a known change.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// The changes since the state with this digest; none if they are not all remembered.
    pub fn since(&self, state: Digest) -> Option<Vec<Rc<StateChange>>> {
        let first = self
            .entries
            .iter()
            .position(|entry| entry.digest_before == state)?;
        let changes = self.entries.range(first..);
        Some(changes.map(|entry| entry.change.clone()).collect())
    }

    /// The deltas from the configuration of epoch `from` to that of epoch `to`; none if they are
    /// not all remembered as deltas.
    ///
    /// `to` is needed as the present state may have a pending configuration, which must not be sent
    /// to routers.
    pub fn config_deltas(&self, from: u64, to: u64) -> Option<Vec<Rc<TextDelta>>> {
        let config_change = |entry: &Entry| match &*entry.change {
            StateChange::Config { epoch, config } => {
                Some((entry.epoch_before, *epoch, config.clone()))
            }
            _ => None,
        };
        let changes: Vec<(u64, ConfigPayload)> = self
            .entries
            .iter()
            .filter_map(config_change)
            .skip_while(|(epoch_before, _, _)| *epoch_before != from)
            .map(|(_, epoch, config)| (epoch, config))
            .take_while(|(epoch, _)| *epoch <= to)
            .collect();
        if changes.last().is_none_or(|(epoch, _)| *epoch != to) {
            return None;
        }
        let delta = |(_, config): (u64, ConfigPayload)| match config {
            ConfigPayload::Delta(delta) => Some(delta),
            ConfigPayload::Full(_) => None,
        };
        changes.into_iter().map(delta).collect()
    }

    /// About how many bytes these changes take when encoded.
    pub fn size_of(changes: &[Rc<StateChange>]) -> usize {
        changes.iter().map(|change| size(change)).sum()
    }
}

fn size(change: &StateChange) -> usize {
    match change {
        StateChange::Config {
            config: ConfigPayload::Full(text),
            ..
        } => CHANGE_HEADER_BYTES + text.len(),
        StateChange::Config {
            config: ConfigPayload::Delta(delta),
            ..
        } => CHANGE_HEADER_BYTES + delta.size(),
        StateChange::Primary { service, primary } => {
            CHANGE_HEADER_BYTES + service.len() + primary.server_id.len()
        }
        // A voter set has a dozen bytes a voter.
        StateChange::Voters(_) => 4 * CHANGE_HEADER_BYTES,
    }
}
