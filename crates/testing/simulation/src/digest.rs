//! The digest of a run: a hash of all decisions of the run and of their times.
//!
//! It hashes the numbers and bytes that result from decisions: times, leaders, terms, epochs and
//! states. It contains no names or texts of types, variants or events, so renaming code does not
//! change it. Computing it draws no random numbers and changes no event.

use std::fmt;

/// The offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// The kinds of entries in a digest. The numbers never change their meaning, so that digests stay
/// comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum EntryKind {
    Leader = 1,
    StateCommitted = 2,
    ConfigChangeAcknowledged = 3,
    ConfigChangeRejected = 4,
    ConfigRead = 5,
    ConfigActive = 6,
    PrimaryGranted = 7,
    PromotionRequested = 8,
    Promoted = 9,
    CommitAcknowledged = 10,
    End = 11,
}

/// The 64-bit FNV-1a hash of a run, updated with each decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDigest(u64);

impl Default for RunDigest {
    fn default() -> RunDigest {
        RunDigest(OFFSET_BASIS)
    }
}

impl RunDigest {
    /// Adds bytes and their length, so that two consecutive texts give another digest than the same
    /// bytes split at another place.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds a time with all its bits.
    pub fn time(&mut self, seconds: f64) {
        self.number(seconds.to_bits());
    }

    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}

impl fmt::Display for RunDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
