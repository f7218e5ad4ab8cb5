//! The operations on the directory that holds the database file, and on its entries.

use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use redb::StorageBackend;

use crate::file_backend::FileBackend;

/// A directory and its entries.
///
/// Until the directory is synced, a power loss may undo the creation, renaming or removal of any
/// entry, independently of other entries. The first name of a new file is durable as soon as the
/// file has been synced once.
pub(crate) trait Directory {
    /// The file type that the database reads and writes.
    type File: StorageBackend;

    /// Creates the directory and its parents if they are missing.
    fn create_all(&self) -> io::Result<()>;

    /// Returns the names of all entries.
    fn entry_names(&self) -> io::Result<Vec<OsString>>;

    /// Creates an empty file. Fails if an entry of this name exists.
    fn create_file(&self, name: &str) -> io::Result<Self::File>;

    /// Opens the file of this name for reading and writing.
    fn open_file(&self, name: &str) -> io::Result<Self::File>;

    /// Removes the entry of this name.
    fn remove_file(&self, name: &str) -> io::Result<()>;

    /// Renames a file; an entry with the new name is replaced.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Makes the directory and its entries durable: once this returns, a power loss leaves them as
    /// they are.
    fn sync(&self) -> io::Result<()>;
}

/// A directory in the file system.
pub(crate) struct RealDirectory<'a>(pub(crate) &'a Path);

impl RealDirectory<'_> {
    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Directory for RealDirectory<'_> {
    type File = FileBackend;

    fn create_all(&self) -> io::Result<()> {
        fs::create_dir_all(self.0)
    }

    fn entry_names(&self) -> io::Result<Vec<OsString>> {
        fs::read_dir(self.0)?
            .map(|entry| entry.map(|entry| entry.file_name()))
            .collect()
    }

    fn create_file(&self, name: &str) -> io::Result<FileBackend> {
        OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(self.path(name))
            .map(FileBackend::new)
    }

    fn open_file(&self, name: &str) -> io::Result<FileBackend> {
        OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.path(name))
            .map(FileBackend::new)
    }

    fn remove_file(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(self.0)?.sync_all()?;
        // The directory's own entry is in its parent, which must be synced too.
        let parent = self.0.parent();
        match parent.filter(|parent| !parent.as_os_str().is_empty()) {
            Some(parent) => File::open(parent)?.sync_all(),
            None => Ok(()),
        }
    }
}
