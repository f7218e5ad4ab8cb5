//! The digest of a run: one number for all that it decided and when.
//!
//! It is fed with numbers and bytes that the decisions settle on: times, leaders, terms, epochs,
//! states. Nothing in it is the name or the text of a type, a variant or an event, so renaming code
//! leaves it as it is. It draws nothing and changes no event.

use std::fmt;

/// FNV-1a with 64 bits.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The kinds of entries, as numbers that never change their meaning.
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

/// A hash that runs along with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDigest(u64);

impl Default for RunDigest {
    fn default() -> RunDigest {
        RunDigest(OFFSET_BASIS)
    }
}

impl RunDigest {
    /// Adds bytes with their length, so that two texts in a row differ from another split of them.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds a time, to its last bit.
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
