//! The control state on disk: what one core machine has promised and accepted, kept in a folder of its own so that a loss of
//! power at any moment leaves the last saved record or the one that was being saved, never less and never a mix of the two.
//!
//! The format and why `redb` keeps it: `docs/design/on-disk-format.md`.

mod backend;
mod error;
mod folder;
mod format;
#[cfg(test)]
mod tests;

use std::io;
use std::path::{Path, PathBuf};

use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition};

pub use crate::error::StoreError;
use crate::folder::{Folder, RealFolder};

/// The file that holds the record.
pub const FILE: &str = "control.redb";

/// The file under which a store is made; it takes the name [`FILE`] once it is whole.
const UNFINISHED: &str = "control.redb.new";

/// Pages that `redb` may keep, in bytes. Everything is read once, at the start, so a cache earns nothing.
const CACHE: usize = 64 * 1024;

/// One row for what changes with each ballot and one for what changes with each value: a promise, or the same value under
/// another ballot, then writes a few bytes, not the value again.
const CONTROL: TableDefinition<'_, u8, &[u8]> = TableDefinition::new("control");
const BALLOTS: u8 = 0;
const VALUE: u8 = 1;

/// What a core machine must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The highest ballot to which this machine has bound itself; 0 before the first.
    pub promised: u64,
    /// The ballot under which `value` was accepted; 0 before the first.
    pub accepted: u64,
    /// The accepted value, whose meaning the caller knows; [`MAX_VALUE`] bytes at most.
    pub value: Vec<u8>,
    /// The lot that was drawn when this disk was first used. A machine that comes back with another one has lost its disk.
    pub identity: u64,
}

/// The longest value that is kept, in bytes. Old and new lie on the disk at once, and the folder is bounded at 128 MB.
pub const MAX_VALUE: usize = 8 * 1024 * 1024;

/// Whether anything was on the disk when the store was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fresh {
    /// Nothing: the disk is new or was lost. Whatever this machine may once have promised is unknown to it.
    New,
    /// The record was read back.
    Kept,
}

impl Fresh {
    /// True for a disk that held nothing.
    pub fn is_new(self) -> bool {
        self == Fresh::New
    }
}

/// The open store. Dropping it closes the file, for which it may write and sync once more; nothing depends on that.
///
/// After an error of [`save`](Store::save) or [`save_ballots`](Store::save_ballots) either the old or the new record is on the disk: it
/// must be opened anew before anything is said about it.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
}

impl Store {
    /// Opens the store in the folder `dir`, which is made if it is missing. An empty folder gets a store with an empty record
    /// under `identity_if_new`, which is on the disk when this returns.
    ///
    /// # Errors
    /// Whatever can't be read or isn't ours is named, and left as it is: a start from nothing would break promises.
    pub fn open(dir: &Path, identity_if_new: u64) -> Result<(Store, Record, Fresh), StoreError> {
        Store::open_in(&RealFolder(dir), dir, identity_if_new)
    }

    /// As [`open`](Store::open), in this folder, which errors call `dir`.
    fn open_in<F: Folder>(
        folder: &F,
        dir: &Path,
        identity_if_new: u64,
    ) -> Result<(Store, Record, Fresh), StoreError> {
        folder.make().map_err(io_at("make", dir))?;
        let (mut kept, mut unfinished) = (false, false);
        for name in folder.names().map_err(io_at("list", dir))? {
            match name.to_str() {
                Some(FILE) => kept = true,
                Some(UNFINISHED) => unfinished = true,
                _ => return Err(StoreError::Foreign(dir.join(name))),
            }
        }
        let (path, making) = (dir.join(FILE), dir.join(UNFINISHED));
        if unfinished {
            // Power was lost while the first open was under way: it never returned, so nobody relies on it.
            folder
                .remove(UNFINISHED)
                .map_err(io_at("remove", &making))?;
        }
        if kept {
            // The process that made it may have been killed before it had synced the folder: what is saved from here on would
            // go with the name.
            folder.sync().map_err(io_at("sync", dir))?;
            let file = folder.open(FILE).map_err(io_at("open", &path))?;
            let (store, record) = Store::read(file, path)?;
            return Ok((store, record, Fresh::Kept));
        }
        let file = folder.create(UNFINISHED).map_err(io_at("make", &making))?;
        let (store, record) = Store::make(file, path.clone(), identity_if_new)?;
        // The name comes last, so a file under it is always whole; the open file keeps its place under the new name.
        folder
            .rename(UNFINISHED, FILE)
            .map_err(io_at("name", &path))?;
        folder.sync().map_err(io_at("sync", dir))?;
        Ok((store, record, Fresh::New))
    }

    /// Puts `record` on the disk. When this returns, power may go.
    ///
    /// # Errors
    /// A value above [`MAX_VALUE`] is refused before anything is written; for all others see [`Store`].
    pub fn save(&mut self, record: &Record) -> Result<(), StoreError> {
        if record.value.len() > MAX_VALUE {
            return Err(StoreError::TooLarge(record.value.len()));
        }
        let ballots = format::Ballots {
            promised: record.promised,
            accepted: record.accepted,
        };
        let value = format::Value {
            identity: record.identity,
            value: &record.value,
        };
        self.write(&ballots, Some(value))
            .map_err(|cause| self.failed("save to", cause))
    }

    /// Puts new ballots on the disk and leaves the value as it is: a few pages, whatever the size of the value. When this
    /// returns, power may go.
    ///
    /// # Errors
    /// See [`Store`].
    pub fn save_ballots(&mut self, promised: u64, accepted: u64) -> Result<(), StoreError> {
        let ballots = format::Ballots { promised, accepted };
        self.write(&ballots, None)
            .map_err(|cause| self.failed("save to", cause))
    }

    fn make(
        backend: impl StorageBackend,
        path: PathBuf,
        identity: u64,
    ) -> Result<(Store, Record), StoreError> {
        let database = match builder().create_with_backend(backend) {
            Ok(database) => database,
            Err(cause) => return Err(StoreError::Database("make", path, Box::new(cause.into()))),
        };
        let mut store = Store { database, path };
        let record = Record {
            identity,
            ..Record::default()
        };
        store.save(&record)?;
        Ok((store, record))
    }

    fn read(backend: impl StorageBackend, path: PathBuf) -> Result<(Store, Record), StoreError> {
        // The name is given to whole files only, and redb would take an empty one for a database to be made.
        if backend
            .len()
            .map_err(|cause| StoreError::Io("measure", path.clone(), cause))?
            == 0
        {
            return Err(StoreError::Record(path, "is empty"));
        }
        let database = match builder().create_with_backend(backend) {
            Ok(database) => database,
            Err(cause) => return Err(StoreError::Database("open", path, Box::new(cause.into()))),
        };
        let store = Store { database, path };
        let (ballots, value) = store.rows().map_err(|cause| store.failed("read", cause))?;
        let wrong = |what| StoreError::Record(store.path.clone(), what);
        let ballots: format::Ballots =
            format::decode(&ballots.ok_or_else(|| wrong("holds no ballots"))?).map_err(wrong)?;
        let value: format::OwnedValue =
            format::decode(&value.ok_or_else(|| wrong("holds no value"))?).map_err(wrong)?;
        let record = Record {
            promised: ballots.promised,
            accepted: ballots.accepted,
            value: value.value,
            identity: value.identity,
        };
        Ok((store, record))
    }

    #[expect(clippy::type_complexity)]
    fn rows(&self) -> Result<(Option<Vec<u8>>, Option<Vec<u8>>), redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(CONTROL)?;
        let row = |key| Ok::<_, redb::Error>(table.get(key)?.map(|row| row.value().to_vec()));
        Ok((row(BALLOTS)?, row(VALUE)?))
    }

    fn write(
        &self,
        ballots: &format::Ballots,
        value: Option<format::Value<'_>>,
    ) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(CONTROL)?;
            let length = format::length(ballots);
            format::encode(ballots, table.insert_reserve(BALLOTS, length)?.as_mut());
            if let Some(value) = value {
                // Straight into the page: another copy of the value would be paid for as memory.
                let length = format::length(&value);
                format::encode(&value, table.insert_reserve(VALUE, length)?.as_mut());
            }
        }
        transaction.commit()?;
        Ok(())
    }

    fn failed(&self, doing: &'static str, cause: redb::Error) -> StoreError {
        StoreError::Database(doing, self.path.clone(), Box::new(cause))
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    // The check reads the file once at the start; without it a damaged file may end the program instead of being named.
    builder
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true);
    builder
}

fn io_at<'a>(doing: &'static str, path: &'a Path) -> impl FnOnce(io::Error) -> StoreError + 'a {
    move |cause| StoreError::Io(doing, path.to_path_buf(), cause)
}
