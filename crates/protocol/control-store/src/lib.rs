//! The hard state of a control machine on its disk.
//!
//! One record in a directory of its own. A loss of power at any moment leaves the last saved record
//! or the one that was being saved, never an older one and never a mix of the two. The caller, the
//! `control` part of the pooler, decides what is saved and when; this crate doesn't know what the
//! value means and never starts from nothing where something unreadable is on the disk.
//!
//! - `opening`: decides by the names in the directory whether the disk is new.
//! - `store`: the rows of the open database.
//! - `format`: the bytes of a row, and their version.
//! - `directory`, `file_backend`: the operations on the file system, replaced in tests.
//!
//! The format, its versions and why `redb` holds it: `docs/design/on-disk-format.md`.

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
