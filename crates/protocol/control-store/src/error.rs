use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why the store can't be opened or written. Each names the file, and none is mended by beginning anew.
    #[derive(Debug)]
    pub enum StoreError {
        /// The operating system refused: what was tried, where, and its reason.
        Io(doing: &'static str, path: PathBuf, cause: io::Error) {
            display("can't {} {}: {}", doing, path.display(), cause)
            source(cause)
        }
        /// The file is damaged, or a read or write of it failed: what was tried, where, and the reason.
        Database(doing: &'static str, path: PathBuf, cause: Box<redb::Error>) {
            display("can't {} {}: {}", doing, path.display(), cause)
            source(&**cause)
        }
        /// The file can be read, but what it holds is no record that this version wrote.
        Record(path: PathBuf, what: &'static str) {
            display("{} {}", path.display(), what)
        }
        /// The folder holds something that no store put there: it may be a disk of something else.
        Foreign(path: PathBuf) {
            display("{} doesn't belong in a folder of the control state", path.display())
        }
        /// A save before this one failed, and the store wasn't opened anew yet.
        Closed(path: PathBuf) {
            display("{} has to be opened anew", path.display())
        }
        /// The value is longer than is kept, in bytes.
        TooLarge(length: usize) {
            display("a value of {} bytes is above the bound of {}", length, crate::MAX_VALUE)
        }
    }
}
