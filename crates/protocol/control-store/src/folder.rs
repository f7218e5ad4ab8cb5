//! The folder that holds the file, by the names in it.

use crate::backend::Disk;
use redb::StorageBackend;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// Names in a folder. A name that was made, given or removed may be kept or lost by a loss of power, each by itself, until the
/// folder is synced; a new file's own name lasts from its first sync on.
pub(crate) trait Folder {
    /// What the database writes to.
    type File: StorageBackend;

    /// Makes the folder, and those above it, where they are missing.
    fn make(&self) -> io::Result<()>;

    /// The names in it.
    fn names(&self) -> io::Result<Vec<OsString>>;

    /// A new, empty file under a name that nothing has.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// The file of this name.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Takes a name away.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// When this returns, the folder and the names in it outlive a loss of power as they are.
    fn sync(&self) -> io::Result<()>;
}

/// One of the file system.
pub(crate) struct RealFolder<'a>(pub(crate) &'a Path);

impl RealFolder<'_> {
    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Folder for RealFolder<'_> {
    type File = Disk;

    fn make(&self) -> io::Result<()> {
        fs::create_dir_all(self.0)
    }

    fn names(&self) -> io::Result<Vec<OsString>> {
        fs::read_dir(self.0)?
            .map(|entry| entry.map(|entry| entry.file_name()))
            .collect()
    }

    fn create(&self, name: &str) -> io::Result<Disk> {
        OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(self.path(name))
            .map(Disk::new)
    }

    fn open(&self, name: &str) -> io::Result<Disk> {
        File::options()
            .read(true)
            .write(true)
            .open(self.path(name))
            .map(Disk::new)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(self.0)?.sync_all()?;
        match self
            .0
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
        {
            Some(parent) => File::open(parent)?.sync_all(),
            None => Ok(()),
        }
    }
}
