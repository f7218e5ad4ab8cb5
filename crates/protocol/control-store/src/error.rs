//! The errors of the store.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::MAX_VALUE_BYTES;

/// Why the store can't be opened or written. None of these is repaired by starting from an empty
/// record: a machine that forgets its votes breaks the safety of the agreement.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The operating system refused an operation on the directory or the file.
    #[error("can't {action} {}: {source}", path.display())]
    Io {
        /// What was tried, as a verb.
        action: &'static str,
        /// The file or directory it was tried on.
        path: PathBuf,
        /// The reason of the operating system.
        source: io::Error,
    },
    /// The database file is damaged, or a read or write of it failed.
    #[error("can't {action} {}: {source}", path.display())]
    Database {
        /// What was tried, as a verb.
        action: &'static str,
        /// The database file.
        path: PathBuf,
        /// The reason of `redb`.
        source: Box<redb::Error>,
    },
    /// The database can be read, but its rows are no record that this version wrote.
    #[error("{} {problem}", path.display())]
    InvalidRecord {
        /// The database file.
        path: PathBuf,
        /// What is wrong with its rows.
        problem: &'static str,
    },
    /// The directory holds a file that no store put there: it may be the disk of something else.
    #[error("{} doesn't belong in a folder of the control state", .0.display())]
    ForeignFile(PathBuf),
    /// A save before this one failed, and the store wasn't opened anew since.
    #[error("{} has to be opened anew", .0.display())]
    Closed(PathBuf),
    /// The value has this many bytes, more than [`MAX_VALUE_BYTES`].
    #[error("a value of {0} bytes is above the bound of {MAX_VALUE_BYTES}")]
    ValueTooLarge(usize),
}
