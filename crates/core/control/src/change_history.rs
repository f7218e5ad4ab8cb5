//! The newest changes of the agreed state, so that whoever holds a state of a moment ago is sent only what changed since.

use crate::digest::Digest;
use crate::state::{ConfigPayload, State, StateChange};
use crate::text_delta::TextDelta;
use std::collections::VecDeque;
use std::rc::Rc;

/// So many changes are kept, at most.
const MAX_CHANGES: usize = 512;
/// So many bytes of changes are kept, at most.
const MAX_BYTES: usize = 256 << 10;

#[derive(Clone, Debug)]
struct Entry {
    /// The state to which the change was made.
    before: Digest,
    epoch_before: u64,
    change: Rc<StateChange>,
    bytes: usize,
}

/// Changes that follow each other, up to the state that is held now. In memory only: a machine that restarts begins anew.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl ChangeHistory {
    /// The state `before` was changed to the one that is held now.
    pub fn push(&mut self, before: &State, before_digest: Digest, change: Rc<StateChange>) {
        let bytes = size(&change);
        self.entries.push_back(Entry {
            before: before_digest,
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

    /// The state that is held now didn't come from the one before by changes that are known.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// The changes since the state of this digest; none if it isn't one of those kept.
    pub fn since(&self, state: Digest) -> Option<Vec<Rc<StateChange>>> {
        let at = self
            .entries
            .iter()
            .position(|entry| entry.before == state)?;
        Some(
            self.entries
                .range(at..)
                .map(|entry| entry.change.clone())
                .collect(),
        )
    }

    /// The changes from the configuration of one epoch to that of another; none if they are not all known as differences.
    /// What is held now may be ahead of what is agreed on, so where the changes end has to be said.
    pub fn config_deltas(&self, from: u64, to: u64) -> Option<Vec<Rc<TextDelta>>> {
        let of = |entry: &Entry| match &*entry.change {
            StateChange::Config {
                epoch,
                config: text,
            } => Some((entry.epoch_before, *epoch, text.clone())),
            _ => None,
        };
        let configs = self.entries.iter().filter_map(of);
        let since = configs.skip_while(|(before, _, _)| *before != from);
        let between: Vec<(u64, ConfigPayload)> = since
            .map(|(_, epoch, text)| (epoch, text))
            .take_while(|(epoch, _)| *epoch <= to)
            .collect();
        if between.last().is_none_or(|(epoch, _)| *epoch != to) {
            return None;
        }
        let difference = |(_, text): (u64, ConfigPayload)| match text {
            ConfigPayload::Delta(difference) => Some(difference),
            ConfigPayload::Full(_) => None,
        };
        between.into_iter().map(difference).collect()
    }

    /// About how many bytes these changes take.
    pub fn size_of(changes: &[Rc<StateChange>]) -> usize {
        changes.iter().map(|change| size(change)).sum()
    }
}

fn size(change: &StateChange) -> usize {
    const FIELDS: usize = 64;
    match change {
        StateChange::Config {
            config: ConfigPayload::Full(text),
            ..
        } => FIELDS + text.len(),
        StateChange::Config {
            config: ConfigPayload::Delta(difference),
            ..
        } => FIELDS + difference.size(),
        StateChange::Primary { service, primary } => {
            FIELDS + service.len() + primary.server_id.len()
        }
        StateChange::Voters(_) => 4 * FIELDS,
    }
}
