//! The content of the store, as callers see it.

/// Maximum length of a value, in bytes. A save writes the new value next to the old one, and the
/// state directory of a control machine is limited to 128 MB.
pub const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// What a control machine must never forget: its hard state, and the incarnation of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The highest term in which this machine voted; 0 before its first vote.
    pub voted_term: u64,
    /// The term in which `value` was accepted; 0 before the first value.
    pub accepted_term: u64,
    /// The accepted state, encoded by the caller; at most [`MAX_VALUE_BYTES`].
    pub value: Vec<u8>,
    /// A random number, drawn when this disk was first used. A machine that restarts with a
    /// different number has lost its disk, and with it its votes.
    pub incarnation: u64,
}

/// Whether the disk held a store when it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// The disk held no store: it is new, or the old one was lost. In the latter case the machine
    /// doesn't know how it voted before.
    New,
    /// The disk held a store, whose record was read.
    Existing,
}

impl DiskState {
    /// Returns whether the disk held no store.
    pub fn is_new(self) -> bool {
        self == DiskState::New
    }
}
