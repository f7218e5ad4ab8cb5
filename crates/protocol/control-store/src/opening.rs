//! Opens a store. The names in its directory show whether the disk is new.
//!
//! A new store is created under a temporary name, and renamed once its first record is synced. A
//! file under the final name is therefore always complete. A directory with any other entry is
//! rejected.

use std::io;
use std::path::{Path, PathBuf};

use crate::directory::{Directory, RealDirectory};
use crate::{DiskState, Record, Store, StoreError};

/// Name of the file that contains the record.
pub const STORE_FILE_NAME: &str = "control.redb";

/// Temporary name of a new store's file, until its first record is synced.
pub(crate) const UNFINISHED_FILE_NAME: &str = "control.redb.new";

/// The result of [`Store::open`].
#[derive(Debug)]
pub struct OpenedStore {
    /// The open store.
    pub store: Store,
    /// The record in the store.
    pub record: Record,
    /// Whether the store existed before.
    pub disk_state: DiskState,
}

impl Store {
    /// Opens the store in `directory`, which is created if it is missing.
    ///
    /// In an empty directory, this creates a store with an empty record that has the incarnation
    /// `incarnation_if_new`. The new store is durable when this returns.
    ///
    /// # Errors
    ///
    /// [`StoreError`]. Files that are unreadable or unexpected are left as they are, because
    /// starting from an empty record would forget votes.
    pub fn open(directory: &Path, incarnation_if_new: u64) -> Result<OpenedStore, StoreError> {
        open_in(&RealDirectory(directory), directory, incarnation_if_new)
    }
}

/// As [`Store::open`], for any implementation of [`Directory`]. Errors name the directory `path`.
pub(crate) fn open_in<D: Directory>(
    directory: &D,
    path: &Path,
    incarnation_if_new: u64,
) -> Result<OpenedStore, StoreError> {
    directory.create_all().map_err(io_error("create", path))?;
    let entries = find_entries(directory, path)?;
    if entries.has_unfinished {
        // The first open was interrupted, by a power loss for example. It never returned, so
        // nothing relies on this store.
        directory
            .remove_file(UNFINISHED_FILE_NAME)
            .map_err(io_error("remove", &path.join(UNFINISHED_FILE_NAME)))?;
    }
    if entries.has_store {
        open_existing(directory, path)
    } else {
        create_new(directory, path, incarnation_if_new)
    }
}

/// Which of the store's two file names exist in its directory.
#[derive(Default)]
struct Entries {
    has_store: bool,
    has_unfinished: bool,
}

fn find_entries<D: Directory>(directory: &D, path: &Path) -> Result<Entries, StoreError> {
    let mut entries = Entries::default();
    for name in directory.entry_names().map_err(io_error("list", path))? {
        match name.to_str() {
            Some(STORE_FILE_NAME) => entries.has_store = true,
            Some(UNFINISHED_FILE_NAME) => entries.has_unfinished = true,
            _ => return Err(StoreError::UnexpectedEntry(path.join(name))),
        }
    }
    Ok(entries)
}

fn open_existing<D: Directory>(directory: &D, path: &Path) -> Result<OpenedStore, StoreError> {
    // The process that created the store may have been killed after the rename and before the sync
    // of the directory. Without a sync, a power loss could then still undo the rename, and
    // everything saved from here on would be lost.
    directory.sync().map_err(io_error("sync", path))?;
    let store_path = path.join(STORE_FILE_NAME);
    let file = directory
        .open_file(STORE_FILE_NAME)
        .map_err(io_error("open", &store_path))?;
    let (store, record) = Store::read(file, store_path)?;
    Ok(OpenedStore {
        store,
        record,
        disk_state: DiskState::Existing,
    })
}

fn create_new<D: Directory>(
    directory: &D,
    path: &Path,
    incarnation: u64,
) -> Result<OpenedStore, StoreError> {
    let store_path = path.join(STORE_FILE_NAME);
    let file = directory
        .create_file(UNFINISHED_FILE_NAME)
        .map_err(io_error("create", &path.join(UNFINISHED_FILE_NAME)))?;
    let (store, record) = Store::create(file, store_path.clone(), incarnation)?;
    // Renamed last, so that a file under the final name is always complete. The open file remains
    // valid under its new name.
    directory
        .rename(UNFINISHED_FILE_NAME, STORE_FILE_NAME)
        .map_err(io_error("rename a new store to", &store_path))?;
    directory.sync().map_err(io_error("sync", path))?;
    Ok(OpenedStore {
        store,
        record,
        disk_state: DiskState::New,
    })
}

fn io_error(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path: PathBuf = path.to_path_buf();
    move |source| StoreError::Io {
        action,
        path,
        source,
    }
}
