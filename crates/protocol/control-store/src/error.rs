//! The errors of the store.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::MAX_VALUE_BYTES;

/// Why the store can't be opened or written.
///
/// Starting from an empty record is never a remedy: a machine that forgets its votes violates the
/// safety of the consensus protocol.
#[derive(Debug, Error)]
pub enum StoreError {
    /// An operation on the directory or the file failed in the operating system.
    #[error("can't {action} {}: {source}", path.display())]
    Io {
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The file or directory that it was applied to.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The database file is damaged, or reading or writing it failed.
    #[error("can't {action} {}: {source}", path.display())]
    Database {
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The database file.
        path: PathBuf,
        /// The error of `redb`.
        source: Box<redb::Error>,
    },
    /// The database can be read, but it does not contain a valid record in the format of this
    /// version.
    #[error("invalid record: {} {problem}", path.display())]
    InvalidRecord {
        /// The database file.
        path: PathBuf,
        /// What is wrong with the record, as a verb and its object.
        problem: String,
    },
    /// The directory contains an entry that the store did not create, so the disk may belong to
    /// something else.
    #[error("unexpected entry {} in the directory of the control state", .0.display())]
    UnexpectedEntry(PathBuf),
    /// An earlier save failed, and the store has not been reopened since.
    #[error(
        "can't save to {}: an earlier save failed and the store has not been reopened",
        .0.display()
    )]
    Closed(PathBuf),
    /// The value has this many bytes, which is more than [`MAX_VALUE_BYTES`].
    #[error("can't save a value of {0} bytes: the limit is {MAX_VALUE_BYTES} bytes")]
    ValueTooLarge(usize),
}
