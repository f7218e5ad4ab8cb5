//! Splits a byte stream into lines. The bytes may arrive split at any point.

use thiserror::Error;

/// Maximum length of a line without its CR LF, in bytes: 1 MiB.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// An empty buffer with a larger capacity, in bytes, is freed: otherwise each of thousands of idle
/// connections would keep one.
const MAX_IDLE_BUFFER_BYTES: usize = 512;

/// Why no further line can be read from a connection, which must then be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// Buffer for received bytes that have not yet been taken as lines.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Offset in `bytes` where the next line starts; the bytes before it have been taken.
    line_start: usize,
    /// Offset in `bytes` up to which no CR LF was found after `line_start`.
    searched_until: usize,
}

impl LineBuffer {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.line_start > 0 && self.line_start == self.bytes.len() {
            self.bytes.clear();
            self.line_start = 0;
            self.searched_until = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the next complete line, without its CR LF. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`LineError::TooLong`] as soon as the next line is certain to be longer than
    /// [`MAX_LINE_BYTES`].
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, LineError> {
        let search_start = self.searched_until.max(self.line_start);
        let Some(line_end) = find_line_end(&self.bytes, search_start) else {
            // One byte more than a line may have is allowed, because a CR at the end may be the
            // first byte of CR LF.
            if self.bytes.len() - self.line_start > MAX_LINE_BYTES + 1 {
                return Err(LineError::TooLong);
            }
            // The last byte is searched again: it may be the CR of a CR LF.
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

    /// Returns whether all received bytes have been taken as lines.
    pub fn is_empty(&self) -> bool {
        self.line_start == self.bytes.len()
    }

    /// Returns the number of received bytes that have not been taken as lines.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.line_start
    }

    /// Frees memory that an idle connection does not need. Bytes that have not been taken stay.
    pub fn shrink(&mut self) {
        self.compact();
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }

    /// Removes the bytes that have been taken, and frees a large buffer that is empty.
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

/// Returns the offset of the first CR LF at or after `start`.
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
