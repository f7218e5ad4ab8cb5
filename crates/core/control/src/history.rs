//! The newest changes of the agreed state, so that whoever holds a state of a moment ago is sent only what changed since.

use crate::difference::Difference;
use crate::digest::Digest;
use crate::state::{Change, State, Text};
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
    change: Rc<Change>,
    bytes: usize,
}

/// Changes that follow each other, up to the state that is held now. In memory only: a machine that restarts begins anew.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl History {
    /// The state `before` was changed to the one that is held now.
    pub fn push(&mut self, before: &State, before_digest: Digest, change: Rc<Change>) {
        let bytes = size(&change);
        self.entries.push_back(Entry {
            before: before_digest,
            epoch_before: before.epoch,
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
    pub fn since(&self, state: Digest) -> Option<Vec<Rc<Change>>> {
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
    pub fn configs_between(&self, from: u64, to: u64) -> Option<Vec<Rc<Difference>>> {
        let of = |entry: &Entry| match &*entry.change {
            Change::Config { epoch, text } => Some((entry.epoch_before, *epoch, text.clone())),
            _ => None,
        };
        let configs = self.entries.iter().filter_map(of);
        let since = configs.skip_while(|(before, _, _)| *before != from);
        let between: Vec<(u64, Text)> = since
            .map(|(_, epoch, text)| (epoch, text))
            .take_while(|(epoch, _)| *epoch <= to)
            .collect();
        if between.last().is_none_or(|(epoch, _)| *epoch != to) {
            return None;
        }
        let difference = |(_, text): (u64, Text)| match text {
            Text::Difference(difference) => Some(difference),
            Text::Whole(_) => None,
        };
        between.into_iter().map(difference).collect()
    }

    /// About how many bytes these changes take.
    pub fn size_of(changes: &[Rc<Change>]) -> usize {
        changes.iter().map(|change| size(change)).sum()
    }
}

fn size(change: &Change) -> usize {
    const FIELDS: usize = 64;
    match change {
        Change::Config {
            text: Text::Whole(text),
            ..
        } => FIELDS + text.len(),
        Change::Config {
            text: Text::Difference(difference),
            ..
        } => FIELDS + difference.size(),
        Change::Primary { service, primary } => FIELDS + service.len() + primary.id.len(),
        Change::Membership(_) => 4 * FIELDS,
    }
}
