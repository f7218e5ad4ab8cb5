//! The newest changes of the state. With them, a receiver that has a recent state is sent a delta
//! instead of a snapshot.

use crate::digest::Digest;
use crate::state::{ConfigPayload, State, StateChange};
use crate::text_delta::TextDelta;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of changes in the history.
const MAX_CHANGES: usize = 512;
/// Maximum size of all changes in the history, in bytes.
const MAX_HISTORY_BYTES: usize = 256 << 10;
/// Approximate encoded size of the fixed fields of a change, in bytes.
const CHANGE_HEADER_BYTES: usize = 64;

/// One change of the state.
#[derive(Clone, Debug)]
struct Entry {
    /// The digest of the state to which the change was applied.
    digest_before: Digest,
    /// The configuration epoch of that state.
    epoch_before: u64,
    change: Rc<StateChange>,
    /// The approximate encoded size of the change, in bytes.
    bytes: usize,
}

/// Consecutive changes that lead to the present state, oldest first. They are kept in memory only:
/// after a restart the history is empty.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    entries: VecDeque<Entry>,
    /// The approximate encoded size of all entries, in bytes.
    bytes: usize,
}

impl ChangeHistory {
    /// Records that `change` was applied to the state `before` and led to the present state.
    pub fn push(&mut self, before: &State, digest_before: Digest, change: Rc<StateChange>) {
        let bytes = estimated_change_bytes(&change);
        self.entries.push_back(Entry {
            digest_before,
            epoch_before: before.config_epoch,
            change,
            bytes,
        });
        self.bytes += bytes;
        while self.entries.len() > MAX_CHANGES || self.bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Removes all changes. This is needed when the state is replaced without a known change from
    /// the previous one.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the changes since the state with this digest, or `None` if the history doesn't reach
    /// back to that state.
    pub fn changes_since(&self, state_digest: Digest) -> Option<Vec<Rc<StateChange>>> {
        let first = self
            .entries
            .iter()
            .position(|entry| entry.digest_before == state_digest)?;
        let changes = self.entries.range(first..);
        Some(changes.map(|entry| entry.change.clone()).collect())
    }

    /// Returns the deltas from the configuration of `from_epoch` to that of `to_epoch`, or `None`
    /// if the history doesn't have all of them as deltas.
    ///
    /// The caller names `to_epoch` because the present state may have a pending configuration,
    /// which must not be sent to routers.
    pub fn config_deltas(&self, from_epoch: u64, to_epoch: u64) -> Option<Vec<Rc<TextDelta>>> {
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
            .skip_while(|(epoch_before, _, _)| *epoch_before != from_epoch)
            .map(|(_, epoch, config)| (epoch, config))
            .take_while(|(epoch, _)| *epoch <= to_epoch)
            .collect();
        if changes.last().is_none_or(|(epoch, _)| *epoch != to_epoch) {
            return None;
        }
        let delta = |(_, config): (u64, ConfigPayload)| match config {
            ConfigPayload::Delta(delta) => Some(delta),
            ConfigPayload::Full(_) => None,
        };
        changes.into_iter().map(delta).collect()
    }

    /// Returns the approximate encoded size of `changes`, in bytes.
    pub fn estimated_bytes(changes: &[Rc<StateChange>]) -> usize {
        changes
            .iter()
            .map(|change| estimated_change_bytes(change))
            .sum()
    }
}

/// Returns the approximate encoded size of `change`, in bytes.
fn estimated_change_bytes(change: &StateChange) -> usize {
    match change {
        StateChange::Config {
            config: ConfigPayload::Full(text),
            ..
        } => CHANGE_HEADER_BYTES + text.len(),
        StateChange::Config {
            config: ConfigPayload::Delta(delta),
            ..
        } => CHANGE_HEADER_BYTES + delta.estimated_bytes(),
        StateChange::Primary { service, primary } => {
            CHANGE_HEADER_BYTES + service.len() + primary.server_id.len()
        }
        // A voter set takes about a dozen bytes per voter.
        StateChange::Voters(_) => 4 * CHANGE_HEADER_BYTES,
    }
}
