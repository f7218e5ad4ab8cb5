//! The file that lists the database servers known to a control machine. With it, the machine need
//! not wait for the heartbeats of all servers after a power failure.
//!
//! The control driver owns the file and writes it when the membership has changed. An incomplete or
//! damaged file is ignored. A server in the file that has departed in the meantime times out like
//! any other server. A server reports only once that it drains or departs, so the report is written
//! to the file before it is acknowledged. A departed server stays in the file until other servers
//! are known to have its log.

use badgerstream_control::{Controller, MemberInfo};
use std::cell::Cell;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

/// Minimum interval between two writes of changes, in seconds.
const MIN_WRITE_INTERVAL_S: f64 = 0.5;
/// Maximum number of bytes of the file that are read.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// When the file was last written, and which changes of the membership that write covered.
#[derive(Clone, Copy)]
struct LastWrite {
    /// Seconds of the monotonic clock.
    at: f64,
    /// The membership's change count at that time; `None` if the write failed.
    change_count: Option<u64>,
}

/// The file that lists the known database servers.
pub struct MembersFile {
    path: PathBuf,
    last_write: Cell<LastWrite>,
}

impl MembersFile {
    /// Creates a handle of the file at this path. The file need not exist.
    pub fn new(path: PathBuf) -> MembersFile {
        let never = LastWrite {
            at: f64::NEG_INFINITY,
            change_count: Some(0),
        };
        MembersFile {
            path,
            last_write: Cell::new(never),
        }
    }

    /// Returns the servers in the file; none if the file is missing, incomplete or damaged.
    pub fn read(&self) -> Vec<MemberInfo> {
        self.try_read().unwrap_or_default()
    }

    fn try_read(&self) -> Option<Vec<MemberInfo>> {
        let mut bytes = Vec::new();
        let file = File::open(&self.path).ok()?;
        file.take(MAX_FILE_BYTES).read_to_end(&mut bytes).ok()?;
        let body = verify_checksum(&bytes)?;
        let config = bincode::config::standard().with_limit::<{ MAX_FILE_BYTES as usize }>();
        let (members, _) = bincode::decode_from_slice(body, config).ok()?;
        Some(members)
    }

    /// Writes the servers that the controller knows, if they have changed and the last write is
    /// long enough ago. A failed write is logged and repeated: the next incarnation of the process
    /// must know of every server that may have the only copy of a write.
    pub fn persist_if_changed(&self, now: f64, controller: &Controller) {
        let last_write = self.last_write.get();
        let change_count = Some(controller.members().change_count());
        if change_count == last_write.change_count || now - last_write.at < MIN_WRITE_INTERVAL_S {
            return;
        }
        self.persist(now, controller);
    }

    /// Writes the servers that the controller knows, and returns whether they are on the disk.
    pub fn persist(&self, now: f64, controller: &Controller) -> bool {
        let written = self.write(&controller.members().to_persist());
        if let Err(e) = &written {
            log::warn!("event=members_persist_failed error={e}");
        }
        let change_count = controller.members().change_count();
        self.last_write.set(LastWrite {
            at: now,
            change_count: written.is_ok().then_some(change_count),
        });
        written.is_ok()
    }

    /// Replaces the file atomically: the previous file stays complete until the rename.
    fn write(&self, members: &[MemberInfo]) -> std::io::Result<()> {
        let body = bincode::encode_to_vec(members, bincode::config::standard())
            .map_err(std::io::Error::other)?;
        let next = self.path.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&with_checksum(&body))?;
        file.sync_data()?;
        std::fs::rename(&next, &self.path)?;
        let directory = self.path.parent().unwrap_or(Path::new("."));
        File::open(directory)?.sync_all()
    }
}

/// Returns the bytes of the file: the CRC-32 of the body (little-endian), followed by the body.
fn with_checksum(body: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(body).to_le_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the body of the file, or `None` if the file is too short for a checksum or the checksum
/// doesn't match.
fn verify_checksum(bytes: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = bytes.split_first_chunk()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(body)).then_some(body)
}

#[cfg(test)]
#[path = "tests/members_file.rs"]
mod tests;
