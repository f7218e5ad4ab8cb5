//! The store of the hard state on the disk of a control machine, and a copy of its contents in
//! memory.
//!
//! All operations are synchronous. `persistence` is the only writer. After a failed write the
//! contents of the disk are unknown, so the store stays closed until it is reopened.

use badgerstream_control::{HardState, NodeId, State, Term};
use badgerstream_control_store::{Record, Store, StoreError};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;

/// Name of the store's directory below the state directory of the settings.
const STORE_DIRECTORY_NAME: &str = "agreed";

/// The reason why the stored state of this machine can't be used.
#[derive(Debug, Error)]
pub enum StateStoreError {
    /// The store can't be opened or initialized at the start of the process.
    #[error("can't open the state store {}: {error}", directory.display())]
    Open {
        /// The directory of the store.
        directory: PathBuf,
        /// The error from the store.
        error: StoreError,
    },
    /// The store can't be reopened, or still accepts no writes.
    #[error("can't reopen the state store: {0}")]
    Reopen(StoreError),
    /// The bytes in the store are not a state in the encoding of this version.
    #[error("the state in the state store can't be decoded")]
    Undecodable,
    /// The store was emptied or replaced: this machine would forget its votes.
    #[error("the state store was emptied or replaced while this process ran")]
    Emptied,
}

/// The store and a copy of its contents.
pub(super) struct StateStore {
    directory: PathBuf,
    /// `None` after a failed write, until the store is reopened.
    store: Option<Store>,
    incarnation: u64,
    hard_state: HardState,
}

impl StateStore {
    /// Opens the store below the state directory. An empty store is initialized with the
    /// incarnation `incarnation_if_new` and a state that has `founders` as its voters.
    ///
    /// # Errors
    ///
    /// [`StateStoreError::Open`] or [`StateStoreError::Undecodable`].
    pub(super) fn open(
        state_dir: &Path,
        incarnation_if_new: u64,
        founders: &[NodeId],
    ) -> Result<StateStore, StateStoreError> {
        let directory = state_dir.join(STORE_DIRECTORY_NAME);
        let open_error = |error| StateStoreError::Open {
            directory: directory.clone(),
            error,
        };
        let opened = Store::open(&directory, incarnation_if_new).map_err(open_error)?;
        let (mut store, record) = (opened.store, opened.record);
        let is_empty = record.value.is_empty();
        let state = if is_empty {
            State::founding(founders.to_vec())
        } else {
            State::decode(&record.value).ok_or(StateStoreError::Undecodable)?
        };
        if is_empty {
            // The initial state must be on the disk before this machine sends any message.
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
            directory,
        })
    }

    /// Returns the incarnation of the disk.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the hard state that is on the disk.
    pub(super) fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Writes this hard state to the disk. If the state itself is stored already, only the terms
    /// are written.
    ///
    /// # Errors
    ///
    /// [`StoreError`]. After an error nothing is written until the store is reopened.
    pub(super) fn save(&mut self, hard_state: &HardState) -> Result<(), StoreError> {
        let Some(store) = &mut self.store else {
            return Err(StoreError::Closed(self.directory.clone()));
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

    /// Reopens the store and continues with the hard state in it. The store must have the same
    /// incarnation as before and must accept a write.
    ///
    /// # Errors
    ///
    /// [`StateStoreError::Reopen`], [`StateStoreError::Emptied`] or
    /// [`StateStoreError::Undecodable`].
    pub(super) fn reopen(&mut self) -> Result<(), StateStoreError> {
        let opened =
            Store::open(&self.directory, self.incarnation).map_err(StateStoreError::Reopen)?;
        let (mut store, record) = (opened.store, opened.record);
        if opened.disk_state.is_new() || record.incarnation != self.incarnation {
            return Err(StateStoreError::Emptied);
        }
        store.save(&record).map_err(StateStoreError::Reopen)?;
        let state = State::decode(&record.value).ok_or(StateStoreError::Undecodable)?;
        // If the state is unchanged, the previous allocation is kept: the next save then finds by
        // the pointer, without a comparison, that the state is stored.
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

/// Combines the terms of a record with its decoded state.
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
