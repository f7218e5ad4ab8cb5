//! Durable storage for the hard state of a control machine: the state of the consensus protocol
//! that must survive a restart.
//!
//! The store holds one record, in a directory of its own. A power loss at any moment leaves the
//! last saved record or the one that was being saved, never an older one and never a mix of the
//! two. The caller, the `control` part of the pooler, decides what is saved and when. This crate
//! doesn't interpret the value, and it never replaces an unreadable store with an empty one.
//!
//! - `opening`: opens or creates a store; the names in the directory show whether the disk is new.
//! - `store`: reads and writes the rows of the open database.
//! - `format`: the encoding of a row, and its version.
//! - `directory`, `file_backend`: the operations on the file system, which tests replace.
//!
//! `docs/design/on-disk-format.md` describes the format, its versions and the choice of `redb`.

mod directory;
mod error;
mod file_backend;
mod format;
mod opening;
mod record;
mod store;
#[cfg(test)]
mod tests;

pub use crate::error::StoreError;
pub use crate::opening::{OpenedStore, STORE_FILE_NAME};
pub use crate::record::{DiskState, MAX_VALUE_BYTES, Record};
pub use crate::store::Store;
