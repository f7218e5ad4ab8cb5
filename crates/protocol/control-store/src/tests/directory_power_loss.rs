//! Tests that lose power, or kill the process, at every operation on the directory.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

use super::recording_disk::RecordingDisk;
use super::{INCARNATION, empty_record, record};
use crate::directory::Directory;
use crate::opening::open_in;
use crate::{DiskState, OpenedStore, Record, StoreError};

/// A directory in memory whose unsynced entries may be lost in a power loss. Its files keep
/// everything that was written.
#[derive(Clone, Default)]
struct RecordingDirectory {
    state: Arc<Mutex<DirectoryState>>,
}

#[derive(Clone, Default)]
struct DirectoryState {
    /// Whether the directory itself exists.
    existence: Durable<bool>,
    entries: BTreeMap<String, Durable<Option<RecordingDisk>>>,
    /// Number of operations that still succeed before the process is killed; `None` for no limit.
    remaining_operations: Option<u64>,
}

/// A value as it is now, and as it was at the last sync.
#[derive(Clone, Default)]
struct Durable<T> {
    current: T,
    synced: T,
}

impl<T: Clone> Durable<T> {
    fn new_synced(value: T) -> Durable<T> {
        Durable {
            current: value.clone(),
            synced: value,
        }
    }

    fn sync(&mut self) {
        self.synced = self.current.clone();
    }
}

impl RecordingDirectory {
    fn kill_after(&self, operations: Option<u64>) {
        self.state.lock().unwrap().remaining_operations = operations;
    }

    /// Counts an operation.
    ///
    /// # Errors
    ///
    /// If the process is killed before this operation.
    fn begin_operation(&self) -> io::Result<MutexGuard<'_, DirectoryState>> {
        let mut state = self.state.lock().unwrap();
        match &mut state.remaining_operations {
            Some(0) => return Err(io::Error::other("killed")),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        Ok(state)
    }

    /// Returns the directory after a power loss. Synced state always survives. The lowest bit of
    /// `survivors` says whether the directory itself survives if it was not synced; each further
    /// bit says whether the unsynced change of one entry survives.
    fn after_power_loss(&self, survivors: u64) -> RecordingDirectory {
        let state = self.state.lock().unwrap().clone();
        let survives = |bit: usize| survivors >> bit & 1 == 1;
        let exists = state.existence.synced || state.existence.current && survives(0);
        let mut after = DirectoryState {
            existence: Durable::new_synced(exists),
            ..DirectoryState::default()
        };
        for (index, (name, entry)) in state.entries.into_iter().enumerate() {
            let file = if survives(index + 1) {
                entry.current
            } else {
                entry.synced
            };
            if exists && let Some(file) = file {
                let file = RecordingDisk::with_content(file.content());
                after.entries.insert(name, Durable::new_synced(Some(file)));
            }
        }
        RecordingDirectory {
            state: Arc::new(Mutex::new(after)),
        }
    }

    fn open_store(&self) -> Result<OpenedStore, StoreError> {
        open_in(self, Path::new("/state"), INCARNATION)
    }
}

impl Directory for RecordingDirectory {
    type File = RecordingDisk;

    fn create_all(&self) -> io::Result<()> {
        self.begin_operation()?.existence.current = true;
        Ok(())
    }

    fn entry_names(&self) -> io::Result<Vec<OsString>> {
        let state = self.begin_operation()?;
        let existing = state
            .entries
            .iter()
            .filter(|(_, entry)| entry.current.is_some());
        Ok(existing.map(|(name, _)| name.into()).collect())
    }

    fn create_file(&self, name: &str) -> io::Result<RecordingDisk> {
        let file = RecordingDisk::default();
        // The entry is durable at once: the store syncs the file before its next operation on the
        // directory, and a file's first name is durable as soon as the file has been synced.
        let entry = Durable::new_synced(Some(file.clone()));
        self.begin_operation()?
            .entries
            .insert(name.to_owned(), entry);
        Ok(file)
    }

    fn open_file(&self, name: &str) -> io::Result<RecordingDisk> {
        let state = self.begin_operation()?;
        let found = state
            .entries
            .get(name)
            .and_then(|entry| entry.current.clone());
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn remove_file(&self, name: &str) -> io::Result<()> {
        if let Some(entry) = self.begin_operation()?.entries.get_mut(name) {
            entry.current = None;
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let file = state
            .entries
            .get_mut(from)
            .and_then(|entry| entry.current.take());
        state.entries.entry(to.to_owned()).or_default().current = file;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.existence.sync();
        state.entries.values_mut().for_each(Durable::sync);
        Ok(())
    }
}

/// Kills the process twice before operations on the directory, in all combinations. Then the
/// process starts again and saves a record, and a power loss leaves or undoes each unsynced entry.
/// The saved record must be read back in every case.
#[test]
fn saved_record_survives_loss_of_unsynced_entries() {
    const OPERATIONS: u64 = 8;
    for kills in 0..OPERATIONS * OPERATIONS {
        let directory = RecordingDirectory::default();
        for killed_after in [kills / OPERATIONS, kills % OPERATIONS] {
            directory.kill_after(Some(killed_after));
            let _ = directory.open_store();
            directory.kill_after(None);
        }
        let mut opened = directory.open_store().unwrap();
        let saved = Record {
            voted_term: 9,
            incarnation: opened.record.incarnation,
            ..record(4, 300)
        };
        opened.store.save(&saved).unwrap();
        std::mem::forget(opened.store);
        for survivors in 0..8 {
            let found = directory.after_power_loss(survivors).open_store().unwrap();
            assert_eq!(
                (&found.record, found.disk_state),
                (&saved, DiskState::Existing),
                "kill points {kills}, surviving entries {survivors:#b}"
            );
        }
    }
}

/// A power loss during the first open leaves a directory that can be opened, whichever entries
/// survive.
#[test]
fn first_open_may_lose_power_at_any_operation() {
    for killed_after in 0..8 {
        let directory = RecordingDirectory::default();
        directory.kill_after(Some(killed_after));
        let first_open = directory.open_store();
        directory.kill_after(None);
        for survivors in 0..8 {
            let found = directory.after_power_loss(survivors).open_store().unwrap();
            assert_eq!(found.record, empty_record());
            assert!(
                first_open.is_err() || found.disk_state == DiskState::Existing,
                "the first open returned, so its store must survive"
            );
        }
    }
}
