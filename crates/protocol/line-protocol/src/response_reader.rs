//! Reading of complete responses, line by line.

use thiserror::Error;

use crate::{ErrorCode, LineBuffer, LineError, Position, ResponseLine, TransactionState};

/// Why a response can't be read further; the connection must be closed, and the statement may have
/// run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A line was too long.
    #[error("{0}")]
    Line(#[from] LineError),
    /// A line belongs to no response, or not at this point of one.
    #[error("not an answer, or out of place")]
    UnexpectedLine,
}

/// How a complete response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementResult {
    /// The failure; `None` for success.
    pub error: Option<ErrorCode>,
    /// Whether success came with the stamp of a commit, not with `-`.
    pub stamped: bool,
    /// The session's transaction state.
    pub state: TransactionState,
    /// The position of the server's log, where it reported one.
    pub position: Option<Position>,
}

/// Reads one response after the other, and collects their lines to be forwarded.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// The lines so far with their CR LF, unchanged. Whoever forwards some of them early may clear
    /// it.
    pub raw: Vec<u8>,
    /// The `COMPLETE` or `ERROR` line of a response whose `IDLE` is outstanding.
    completion: Option<Completion>,
}

/// A `COMPLETE` or `ERROR` line.
#[derive(Debug, Clone, Copy)]
struct Completion {
    error: Option<ErrorCode>,
    stamped: bool,
}

impl ResponseReader {
    /// Reads the complete lines in `lines` up to the end of the response; `None` until it is there.
    /// Lines after it stay in the buffer.
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

    /// Takes the next line of the response; the result if it is the last one.
    fn advance(
        &mut self,
        line: ResponseLine<'_>,
    ) -> Result<Option<StatementResult>, ResponseError> {
        match (line, self.completion) {
            (ResponseLine::Row(_), None) => Ok(None),
            (ResponseLine::Complete(stamp), None) => {
                self.completion = Some(Completion {
                    error: None,
                    stamped: stamp != "-",
                });
                Ok(None)
            }
            (ResponseLine::Error { code, .. }, None) => {
                self.completion = Some(Completion {
                    error: Some(code),
                    stamped: false,
                });
                Ok(None)
            }
            (ResponseLine::Idle { state, position }, Some(completion)) => {
                self.completion = None;
                Ok(Some(StatementResult {
                    error: completion.error,
                    stamped: completion.stamped,
                    state,
                    position,
                }))
            }
            _ => Err(ResponseError::UnexpectedLine),
        }
    }
}
