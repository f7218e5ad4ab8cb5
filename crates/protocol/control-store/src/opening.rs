//! Opening a store: whether the disk is new is decided by the names in its directory.
//!
//! A new store is created under a second name and renamed once its first record is synced, so a
//! file under the first name is always complete. Anything unknown in the directory is refused.

use std::io;
use std::path::{Path, PathBuf};

use crate::directory::{Directory, RealDirectory};
use crate::{DiskState, Record, Store, StoreError};

/// The name of the file that holds the record.
pub const STORE_FILE_NAME: &str = "control.redb";

/// The name under which a store is created, until its first record is synced.
pub(crate) const UNFINISHED_FILE_NAME: &str = "control.redb.new";

/// What [`Store::open`] found.
#[derive(Debug)]
pub struct OpenedStore {
    /// The open store.
    pub store: Store,
    /// The record in it.
    pub record: Record,
    /// Whether the store was there before.
    pub disk_state: DiskState,
}

impl Store {
    /// Opens the store in `directory`, which is created if it is missing. An empty directory gets a
    /// store with an empty record under `incarnation_if_new`, which is synced when this returns.
    ///
    /// # Errors
    ///
    /// [`StoreError`], with whatever can't be read or isn't ours left as it is: starting from
    /// nothing would forget votes.
    pub fn open(directory: &Path, incarnation_if_new: u64) -> Result<OpenedStore, StoreError> {
        open_in(&RealDirectory(directory), directory, incarnation_if_new)
    }
}

/// As [`Store::open`], in this directory, which errors call `path`.
pub(crate) fn open_in<D: Directory>(
    directory: &D,
    path: &Path,
    incarnation_if_new: u64,
) -> Result<OpenedStore, StoreError> {
    directory.create_all().map_err(io_error("make", path))?;
    let entries = find_entries(directory, path)?;
    if entries.has_unfinished {
        // Power was lost during the first open: it never returned, so nobody relies on that store.
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

/// Which of the store's two names are in its directory.
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
            _ => return Err(StoreError::ForeignFile(path.join(name))),
        }
    }
    Ok(entries)
}

fn open_existing<D: Directory>(directory: &D, path: &Path) -> Result<OpenedStore, StoreError> {
    // The process that created it may have been killed after the rename and before the sync of the
    // directory: a loss of power would then take away what is saved from here on.
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
        .map_err(io_error("make", &path.join(UNFINISHED_FILE_NAME)))?;
    let (store, record) = Store::create(file, store_path.clone(), incarnation)?;
    // Renamed last, so that a file under the first name is always complete. The open file stays the
    // same under its new name.
    directory
        .rename(UNFINISHED_FILE_NAME, STORE_FILE_NAME)
        .map_err(io_error("name", &store_path))?;
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
