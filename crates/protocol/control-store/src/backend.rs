//! The file below the database.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

use redb::StorageBackend;

/// Plain positioned reads and writes and `fdatasync`: all that counts on our disks. The file's own backend in `redb` would
/// take locks besides and probe which kinds the system has; our machines grant every lock and heed none.
#[derive(Debug)]
pub(crate) struct Disk {
    file: File,
}

impl Disk {
    pub(crate) fn new(file: File) -> Disk {
        Disk { file }
    }
}

impl StorageBackend for Disk {
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
