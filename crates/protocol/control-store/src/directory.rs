//! The directory that holds the database file, by the operations on its entries.

use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use redb::StorageBackend;

use crate::file_backend::FileBackend;

/// The entries of a directory. An entry that was created, renamed or removed may survive a loss of
/// power or not, each by itself, until the directory is synced; the first name of a new file
/// survives from the file's first sync on.
pub(crate) trait Directory {
    /// What the database writes to.
    type File: StorageBackend;

    /// Creates the directory and its parents where they are missing.
    fn create_all(&self) -> io::Result<()>;

    /// The names of all entries.
    fn entry_names(&self) -> io::Result<Vec<OsString>>;

    /// Creates an empty file under a name that no entry has.
    fn create_file(&self, name: &str) -> io::Result<Self::File>;

    /// Opens the file of this name.
    fn open_file(&self, name: &str) -> io::Result<Self::File>;

    /// Removes the entry of this name.
    fn remove_file(&self, name: &str) -> io::Result<()>;

    /// Renames a file.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// When this returns, the directory and its entries survive a loss of power as they are.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
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
        // The entry of the directory itself lies in its parent.
        let parent = self.0.parent();
        match parent.filter(|parent| !parent.as_os_str().is_empty()) {
            Some(parent) => File::open(parent)?.sync_all(),
            None => Ok(()),
        }
    }
}
