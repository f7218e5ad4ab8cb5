//! Access to the database file.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

use redb::StorageBackend;

/// A file with positioned reads and writes and `fdatasync`.
///
/// It replaces the backend of `redb`, which locks the file and probes which kinds of locks the
/// system supports. On the users' machines, every lock is granted and none is enforced.
#[derive(Debug)]
pub(crate) struct FileBackend {
    file: File,
}

impl FileBackend {
    pub(crate) fn new(file: File) -> FileBackend {
        FileBackend { file }
    }
}

impl StorageBackend for FileBackend {
    fn len(&self) -> io::Result<u64> {
        self.file.metadata().map(|metadata| metadata.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read_exact_at(out, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write_all_at(data, offset)
    }
}
