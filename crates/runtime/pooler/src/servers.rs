//! The servers that a control machine knows, kept on its disk: after a loss of power it need not wait for all their beats.
//!
//! A file that can't be read whole is passed over, and whoever is named there but gone is missed as any other. What a server
//! says only once is in it before that is acknowledged.

use badgerstream_control::{Controller, MemberInfo};
use std::cell::Cell;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

/// Changes are written at most this often, in seconds.
const WRITE_INTERVAL_S: f64 = 0.5;
/// What is read at most, in bytes.
const MAX_BYTES: u64 = 4 << 20;

/// The file.
pub struct Servers {
    path: PathBuf,
    written: Cell<(f64, u64)>,
}

impl Servers {
    /// The file at this path; it need not be there.
    pub fn new(path: PathBuf) -> Servers {
        Servers {
            path,
            written: Cell::new((f64::NEG_INFINITY, 0)),
        }
    }

    /// What was kept; nothing if it can't be read whole.
    pub fn read(&self) -> Vec<MemberInfo> {
        let mut bytes = Vec::new();
        let read =
            File::open(&self.path).and_then(|file| file.take(MAX_BYTES).read_to_end(&mut bytes));
        if read.is_err() {
            return Vec::new();
        }
        let Some(body) = unpack(&bytes) else {
            return Vec::new();
        };
        let read = bincode::decode_from_slice(
            body,
            bincode::config::standard().with_limit::<{ MAX_BYTES as usize }>(),
        );
        read.map(|(kept, _)| kept).unwrap_or_default()
    }

    /// Keeps what is known if it has changed. A disk in trouble is no reason to stop: the next life waits for beats then.
    pub fn keep(&self, now: f64, controller: &Controller) {
        let (at, changes) = self.written.get();
        let known = controller.members().change_count();
        if known == changes || now - at < WRITE_INTERVAL_S {
            return;
        }
        self.keep_now(now, controller);
    }

    /// Keeps what is known; whether that is on the disk.
    pub fn keep_now(&self, now: f64, controller: &Controller) -> bool {
        self.written.set((now, controller.members().change_count()));
        let written = self.write(&controller.members().to_persist());
        if let Err(e) = &written {
            log::warn!("event=servers_not_kept error={e}");
        }
        written.is_ok()
    }

    /// Puts a new file in the place of the one before, which is there whole until then.
    fn write(&self, kept: &[MemberInfo]) -> std::io::Result<()> {
        let body = bincode::encode_to_vec(kept, bincode::config::standard())
            .map_err(std::io::Error::other)?;
        let next = self.path.with_extension("next");
        let mut file = File::create(&next)?;
        file.write_all(&pack(&body))?;
        file.sync_data()?;
        std::fs::rename(&next, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()
    }
}

/// The bytes of the file: the CRC-32 of the body (little-endian) and the body.
fn pack(body: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(body).to_le_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

/// The body of the file; none if it is torn.
fn unpack(bytes: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = bytes.split_first_chunk()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(body)).then_some(body)
}

#[cfg(test)]
#[path = "tests/servers.rs"]
mod tests;
