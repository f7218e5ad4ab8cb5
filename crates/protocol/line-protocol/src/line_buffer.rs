//! Lines out of bytes that arrive split anywhere.

use thiserror::Error;

/// The longest line, in bytes without its CR LF: 1 MiB.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// An empty buffer above this is freed: of thousands of idle connections each would hold one.
const MAX_IDLE_BUFFER_BYTES: usize = 512;

/// Why no further line can be read from a connection; it must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("a message of more than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// Bytes that arrived and are not yet taken as lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// The offset of the next line.
    line_start: usize,
    /// No line ends between `line_start` and this offset.
    searched_until: usize,
}

impl LineBuffer {
    /// Appends bytes as they arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.line_start > 0 && self.line_start == self.bytes.len() {
            self.bytes.clear();
            self.line_start = 0;
            self.searched_until = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete line without its CR LF, `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`LineError::TooLong`] once no line of allowed length can come.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, LineError> {
        let search_start = self.searched_until.max(self.line_start);
        let Some(line_end) = find_line_end(&self.bytes, search_start) else {
            // One byte more than a line may have, since a CR at the end may belong to its CR LF.
            if self.bytes.len() - self.line_start > MAX_LINE_BYTES + 1 {
                return Err(LineError::TooLong);
            }
            // A CR at the very end is searched again.
            self.searched_until = self.bytes.len().saturating_sub(1).max(self.line_start);
            self.compact();
            return Ok(None);
        };
        let line_start = self.line_start;
        if line_end - line_start > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        self.line_start = line_end + 2;
        self.searched_until = self.line_start;
        Ok(Some(&self.bytes[line_start..line_end]))
    }

    /// Whether nothing has arrived beyond the lines taken.
    pub fn is_empty(&self) -> bool {
        self.line_start == self.bytes.len()
    }

    /// How many bytes have arrived beyond the lines taken.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.line_start
    }

    /// Frees memory that an idle connection does not need.
    pub fn shrink(&mut self) {
        self.compact();
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }

    fn compact(&mut self) {
        if self.line_start > 0 {
            self.bytes.drain(..self.line_start);
            self.searched_until -= self.line_start;
            self.line_start = 0;
        }
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.bytes = Vec::new();
        }
    }
}

/// The offset of the first CR LF at or after `start`.
fn find_line_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut from = start;
    while let Some(distance) = bytes[from..].iter().position(|byte| *byte == b'\r') {
        let offset = from + distance;
        match bytes.get(offset + 1) {
            Some(b'\n') => return Some(offset),
            Some(_) => from = offset + 1,
            None => return None,
        }
    }
    None
}
