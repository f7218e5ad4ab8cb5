//! Reads complete responses, line by line.

use thiserror::Error;

use crate::{ErrorCode, LineBuffer, LineError, Position, ResponseLine, TransactionState};

/// Why the rest of a response can't be read. The connection must be closed, and the statement may
/// have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A line is too long.
    #[error("{0}")]
    Line(#[from] LineError),
    /// The line is not a line of a response, or is not allowed at this point of a response.
    #[error("response contains an invalid line, or a line out of order")]
    UnexpectedLine,
}

/// How a complete response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementResult {
    /// The code of the failure; `None` for success.
    pub error: Option<ErrorCode>,
    /// Whether `COMPLETE` carried the stamp of a commit instead of `-`; false after a failure.
    pub has_commit_stamp: bool,
    /// The session's transaction state.
    pub state: TransactionState,
    /// The position that the server's log has reached, if the server reported it.
    pub position: Option<Position>,
}

/// Reads one response after another, and collects their lines for forwarding.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// The lines read so far with their CR LF, unchanged. A caller that has forwarded them before
    /// the end of the response may clear them.
    pub raw: Vec<u8>,
    /// The `COMPLETE` or `ERROR` line of a response whose `IDLE` line has not been read yet.
    completion: Option<Completion>,
}

/// A `COMPLETE` or `ERROR` line.
#[derive(Debug, Clone, Copy)]
struct Completion {
    error: Option<ErrorCode>,
    has_commit_stamp: bool,
}

impl ResponseReader {
    /// Reads the complete lines in `lines` up to the end of the response. Returns `None` if the end
    /// has not arrived yet. Lines after the end stay in the buffer.
    ///
    /// # Errors
    ///
    /// [`ResponseError`]; the connection must be closed.
    pub fn read(
        &mut self,
        lines: &mut LineBuffer,
    ) -> Result<Option<StatementResult>, ResponseError> {
        while let Some(line) = lines.next_line()? {
            let parsed = ResponseLine::parse(line).ok_or(ResponseError::UnexpectedLine)?;
            let result = self.advance(parsed)?;
            self.raw.extend_from_slice(line);
            self.raw.extend_from_slice(b"\r\n");
            if result.is_some() {
                return Ok(result);
            }
        }
        Ok(None)
    }

    /// Processes the next line of the response. Returns the result if it is the last line.
    fn advance(
        &mut self,
        line: ResponseLine<'_>,
    ) -> Result<Option<StatementResult>, ResponseError> {
        match (line, self.completion) {
            (ResponseLine::Row(_), None) => Ok(None),
            (ResponseLine::Complete(stamp), None) => {
                self.completion = Some(Completion {
                    error: None,
                    has_commit_stamp: stamp != "-",
                });
                Ok(None)
            }
            (ResponseLine::Error { code, .. }, None) => {
                self.completion = Some(Completion {
                    error: Some(code),
                    has_commit_stamp: false,
                });
                Ok(None)
            }
            (ResponseLine::Idle { state, position }, Some(completion)) => {
                self.completion = None;
                Ok(Some(StatementResult {
                    error: completion.error,
                    has_commit_stamp: completion.has_commit_stamp,
                    state,
                    position,
                }))
            }
            _ => Err(ResponseError::UnexpectedLine),
        }
    }
}
