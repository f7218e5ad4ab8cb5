//! The store of the hard state on the disk of a control machine, and a copy in memory of what is in
//! it.
//!
//! Synchronous; `persistence` is the only caller. After a failed write the store is closed until it
//! is opened anew, as it isn't known what is on the disk by then.

use badgerstream_control::{HardState, NodeId, State, Term};
use badgerstream_control_store::{Record, Store, StoreError};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;

/// The folder of the store below the state folder of the settings.
const FOLDER: &str = "agreed";

/// Why the state of this machine can't be used.
#[derive(Debug, Error)]
pub enum StateStoreError {
    /// The store can't be opened or initialized at the start of the process.
    #[error("{}: {error}", folder.display())]
    Open {
        /// The folder of the store.
        folder: PathBuf,
        /// The error of the store.
        error: StoreError,
    },
    /// The store can't be opened anew, or still takes no writes.
    #[error("{0}")]
    Reopen(StoreError),
    /// The state in the store is none that this version wrote.
    #[error("the state on disk can't be read")]
    Undecodable,
    /// The disk is another one than before: this machine would forget its votes.
    #[error("the disk was emptied while this process ran")]
    Emptied,
}

/// The store, and what it holds.
pub(super) struct StateStore {
    folder: PathBuf,
    /// `None` after a write has failed, until it is opened anew.
    store: Option<Store>,
    incarnation: u64,
    hard_state: HardState,
}

impl StateStore {
    /// Opens the store below this folder. An empty one gets the incarnation `incarnation_if_new`
    /// and a state with these control machines as voters.
    ///
    /// # Errors
    ///
    /// [`StateStoreError::Open`] or [`StateStoreError::Undecodable`].
    pub(super) fn open(
        state_dir: &Path,
        incarnation_if_new: u64,
        founders: &[NodeId],
    ) -> Result<StateStore, StateStoreError> {
        let folder = state_dir.join(FOLDER);
        let open_error = |error| StateStoreError::Open {
            folder: folder.clone(),
            error,
        };
        let opened = Store::open(&folder, incarnation_if_new).map_err(open_error)?;
        let (mut store, record) = (opened.store, opened.record);
        let is_empty = record.value.is_empty();
        let state = if is_empty {
            State::founding(founders.to_vec())
        } else {
            State::decode(&record.value).ok_or(StateStoreError::Undecodable)?
        };
        if is_empty {
            // What this machine starts from is on its disk before anybody learns of it.
            let first = Record {
                value: state.encode(),
                ..record.clone()
            };
            store.save(&first).map_err(open_error)?;
        }
        Ok(StateStore {
            store: Some(store),
            incarnation: record.incarnation,
            hard_state: hard_state_of(&record, Rc::new(state)),
            folder,
        })
    }

    /// The incarnation of the disk.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The hard state on the disk.
    pub(super) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Writes this hard state to the disk; a state that is there already isn't written again.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; after it nothing is written before the store is opened anew.
    pub(super) fn save(&mut self, hard_state: &HardState) -> Result<(), StoreError> {
        let Some(store) = &mut self.store else {
            return Err(StoreError::Closed(self.folder.clone()));
        };
        let voted_term = hard_state.voted_term.0;
        let accepted_term = hard_state.accepted_term.0;
        let stored = &self.hard_state.state;
        let is_stored = Rc::ptr_eq(&hard_state.state, stored) || hard_state.state == *stored;
        let saved = if is_stored {
            store.save_terms(voted_term, accepted_term)
        } else {
            store.save(&Record {
                voted_term,
                accepted_term,
                value: hard_state.state.encode(),
                incarnation: self.incarnation,
            })
        };
        match saved {
            Ok(()) => self.hard_state = hard_state.clone(),
            Err(_) => self.store = None,
        }
        saved
    }

    /// Opens the store anew and goes on from what is in it. It has to be the same disk, and to take
    /// a write.
    ///
    /// # Errors
    ///
    /// [`StateStoreError::Reopen`], [`StateStoreError::Emptied`] or
    /// [`StateStoreError::Undecodable`].
    pub(super) fn reopen(&mut self) -> Result<(), StateStoreError> {
        let opened =
            Store::open(&self.folder, self.incarnation).map_err(StateStoreError::Reopen)?;
        let (mut store, record) = (opened.store, opened.record);
        if opened.disk_state.is_new() || record.incarnation != self.incarnation {
            return Err(StateStoreError::Emptied);
        }
        store.save(&record).map_err(StateStoreError::Reopen)?;
        let state = State::decode(&record.value).ok_or(StateStoreError::Undecodable)?;
        // The same allocation as before lets the next save find that it is stored without a
        // comparison.
        let state = if state == *self.hard_state.state {
            self.hard_state.state.clone()
        } else {
            Rc::new(state)
        };
        self.hard_state = hard_state_of(&record, state);
        self.store = Some(store);
        Ok(())
    }
}

/// The hard state of a record whose state is decoded.
fn hard_state_of(record: &Record, state: Rc<State>) -> HardState {
    HardState {
        voted_term: Term(record.voted_term),
        accepted_term: Term(record.accepted_term),
        state,
    }
}

#[cfg(test)]
#[path = "../tests/state_store.rs"]
mod tests;
