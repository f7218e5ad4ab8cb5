//! Lines out of bytes that arrive cut anywhere.

use quick_error::quick_error;

/// The longest message, without its CR LF: 1 MiB.
pub const MAX_LINE: usize = 1 << 20;

/// Below this an emptied buffer keeps its memory; above it the memory is given back.
const KEPT: usize = 512;

quick_error! {
    /// Why no further line can be had from this stream; it must be closed.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LineError {
        /// The message is longer than `MAX_LINE`.
        TooLong {
            display("a message of more than {} bytes", MAX_LINE)
        }
    }
}

/// Bytes that arrived and are not yet taken as lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the next line begins.
    start: usize,
    /// Up to here there is no end of line after `start`.
    searched: usize,
}

impl LineBuffer {
    /// Takes what arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.start > 0 && self.start == self.bytes.len() {
            self.bytes.clear();
            (self.start, self.searched) = (0, 0);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole line without its CR LF, or none yet. `TooLong` if no line of proper length can come.
    #[allow(
        clippy::should_implement_trait,
        reason = "a line borrows from the buffer, which no iterator's item may"
    )]
    pub fn next(&mut self) -> Result<Option<&[u8]>, LineError> {
        let from = self.searched.max(self.start);
        let Some(end) = find_end(&self.bytes[from..]).map(|i| from + i) else {
            if self.bytes.len() - self.start > MAX_LINE + 1 {
                return Err(LineError::TooLong);
            }
            // A CR at the very end may be half an end of line.
            self.searched = self.bytes.len().saturating_sub(1).max(self.start);
            self.compact();
            return Ok(None);
        };
        let start = self.start;
        if end - start > MAX_LINE {
            return Err(LineError::TooLong);
        }
        self.start = end + 2;
        self.searched = self.start;
        Ok(Some(&self.bytes[start..end]))
    }

    /// Nothing has arrived beyond the lines taken.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// How many bytes wait to be taken.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Gives memory back that an idle stream does not need.
    pub fn shrink(&mut self) {
        self.compact();
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.searched -= self.start;
            self.start = 0;
        }
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = Vec::new();
        }
    }
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes[from..].iter().position(|b| *b == b'\r') {
        let at = from + at;
        match bytes.get(at + 1) {
            Some(b'\n') => return Some(at),
            Some(_) => from = at + 1,
            None => return None,
        }
    }
    None
}
