//! A disk in memory that records its changes, and a model of what a power loss leaves of them.

use std::io;
use std::sync::{Arc, Mutex};

use redb::StorageBackend;

/// The unit of a write. A torn write may keep any of its sectors.
const SECTOR_BYTES: usize = 512;

/// A change to a file.
#[derive(Clone, Debug)]
pub(super) enum Change {
    /// Writes these bytes at this offset.
    Write(u64, Vec<u8>),
    SetLength(u64),
    Sync,
}

/// A disk that records its changes in order. Clones share the content.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordingDisk {
    state: Arc<Mutex<DiskContent>>,
    /// Number of changes that still succeed before all changes fail; `None` for no limit.
    remaining_changes: Arc<Mutex<Option<u64>>>,
}

#[derive(Debug, Default)]
struct DiskContent {
    bytes: Vec<u8>,
    changes: Vec<Change>,
}

impl RecordingDisk {
    pub(super) fn with_content(bytes: Vec<u8>) -> RecordingDisk {
        let changes = Vec::new();
        RecordingDisk {
            state: Arc::new(Mutex::new(DiskContent { bytes, changes })),
            ..RecordingDisk::default()
        }
    }

    pub(super) fn content(&self) -> Vec<u8> {
        self.state.lock().unwrap().bytes.clone()
    }

    pub(super) fn changes(&self) -> Vec<Change> {
        self.state.lock().unwrap().changes.clone()
    }

    pub(super) fn change_count(&self) -> usize {
        self.state.lock().unwrap().changes.len()
    }

    /// Makes all changes fail after this many more, as on a full disk; `None` for no limit.
    pub(super) fn fail_after(&self, changes: Option<u64>) {
        *self.remaining_changes.lock().unwrap() = changes;
    }

    fn change(&self, change: Change) -> io::Result<()> {
        match &mut *self.remaining_changes.lock().unwrap() {
            Some(0) => return Err(io::ErrorKind::StorageFull.into()),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        let mut state = self.state.lock().unwrap();
        apply(&mut state.bytes, &change);
        state.changes.push(change);
        Ok(())
    }
}

impl StorageBackend for RecordingDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state.lock().unwrap().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let start = offset as usize;
        match state.bytes.get(start..start + out.len()) {
            Some(bytes) => out.copy_from_slice(bytes),
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::SetLength(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.change(Change::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write(offset, data.to_vec()))
    }
}

fn apply(content: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(offset, data) => {
            let start = *offset as usize;
            content.resize(content.len().max(start + data.len()), 0);
            content[start..start + data.len()].copy_from_slice(data);
        }
        Change::SetLength(length) => content.resize(*length as usize, 0),
        Change::Sync => {}
    }
}

/// What a power loss leaves of the writes since the last sync.
#[derive(Clone, Copy, Debug)]
pub(super) enum UnsyncedWrites {
    Lost,
    Written,
    /// Each write is kept, lost or torn, depending on random numbers from this seed.
    Random(u64),
}

/// Returns the next random number (xorshift64*).
pub(super) fn next_random(seed: &mut u64) -> u64 {
    *seed ^= *seed >> 12;
    *seed ^= *seed << 25;
    *seed ^= *seed >> 27;
    seed.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 16
}

/// Applies part of a write: a prefix of any length, or a random set of its sectors.
fn apply_torn(content: &mut Vec<u8>, offset: u64, data: &[u8], seed: &mut u64) {
    if next_random(seed).is_multiple_of(2) {
        let length = next_random(seed) as usize % (data.len() + 1);
        return apply(content, &Change::Write(offset, data[..length].to_vec()));
    }
    for (index, sector) in data.chunks(SECTOR_BYTES).enumerate() {
        if next_random(seed).is_multiple_of(2) {
            let sector_offset = offset + (SECTOR_BYTES * index) as u64;
            apply(content, &Change::Write(sector_offset, sector.to_vec()));
        }
    }
}

/// Returns the content of the disk after a power loss that follows the first `change_count`
/// changes.
pub(super) fn content_after_power_loss(
    start: &[u8],
    changes: &[Change],
    change_count: usize,
    unsynced: UnsyncedWrites,
) -> Vec<u8> {
    let synced_count = changes[..change_count]
        .iter()
        .rposition(|change| matches!(change, Change::Sync))
        .map_or(0, |last_sync| last_sync + 1);
    let mut content = start.to_vec();
    for change in &changes[..synced_count] {
        apply(&mut content, change);
    }
    let mut seed = match unsynced {
        UnsyncedWrites::Random(seed) => seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        UnsyncedWrites::Lost | UnsyncedWrites::Written => 1,
    };
    for change in &changes[synced_count..change_count] {
        match unsynced {
            UnsyncedWrites::Lost => {}
            UnsyncedWrites::Written => apply(&mut content, change),
            UnsyncedWrites::Random(_) => match (next_random(&mut seed) % 3, change) {
                (0, _) => {}
                (1, Change::Write(offset, data)) => {
                    apply_torn(&mut content, *offset, data, &mut seed);
                }
                _ => apply(&mut content, change),
            },
        }
    }
    content
}
