//! What the store holds, as its users see it.

/// The longest value that is stored, in bytes. A save writes the new value beside the old one, and
/// the state folder of a control machine is bounded at 128 MB.
pub const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// What a control machine must not forget: its hard state and the incarnation of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The highest term in which this machine voted; 0 before the first.
    pub voted_term: u64,
    /// The term in which `value` was accepted; 0 before the first.
    pub accepted_term: u64,
    /// The accepted state, encoded by the caller; [`MAX_VALUE_BYTES`] at most.
    pub value: Vec<u8>,
    /// The random number drawn when this disk was first used. A machine that comes back with
    /// another one has lost its disk, and with it its votes.
    pub incarnation: u64,
}

/// Whether the disk held a store when it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// Nothing: the disk is new or was lost. What this machine voted for before is unknown to it.
    New,
    /// A store, whose record was read back.
    Existing,
}

impl DiskState {
    /// True for a disk that held no store.
    pub fn is_new(self) -> bool {
        self == DiskState::New
    }
}
