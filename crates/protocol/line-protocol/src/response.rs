//! The lines of a response.

use crate::{ErrorCode, Position};

/// The transaction state of a session, which an `IDLE` line reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TransactionState {
    /// Outside a transaction (`I`).
    #[default]
    Idle,
    /// Inside a transaction (`T`).
    Open,
    /// Inside a transaction that failed (`E`).
    Failed,
}

impl TransactionState {
    /// Returns the letter in the protocol.
    pub fn as_char(self) -> char {
        match self {
            Self::Idle => 'I',
            Self::Open => 'T',
            Self::Failed => 'E',
        }
    }

    fn parse(letter: &str) -> Option<Self> {
        match letter {
            "I" => Some(Self::Idle),
            "T" => Some(Self::Open),
            "E" => Some(Self::Failed),
            _ => None,
        }
    }
}

/// A line of a response. A response consists of any number of rows, then `COMPLETE` or `ERROR`,
/// then `IDLE`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseLine<'a> {
    /// `ROW`: the received bytes of a row, which need not be UTF-8.
    Row(&'a [u8]),
    /// `COMPLETE`: success, with the server's commit stamp, or `-` without one.
    Complete(&'a str),
    /// `ERROR`: failure.
    Error {
        /// The code of the failure.
        code: ErrorCode,
        /// The rest of the line after the code: a message, or a value that belongs to the code,
        /// such as the delay of `RETRY`.
        text: &'a str,
    },
    /// `IDLE`: the end of a response.
    Idle {
        /// The session's transaction state.
        state: TransactionState,
        /// The position that the server's log has reached; `None` for `-`.
        position: Option<Position>,
    },
}

impl<'a> ResponseLine<'a> {
    /// Parses a line without its CR LF. Returns `None` if it is not a line of a response.
    pub fn parse(line: &'a [u8]) -> Option<Self> {
        if let Some(row) = line.strip_prefix(b"ROW") {
            return match row.split_first() {
                None => Some(Self::Row(row)),
                Some((b' ', row)) => Some(Self::Row(row)),
                _ => None,
            };
        }
        let line = std::str::from_utf8(line).ok()?;
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "COMPLETE" if !rest.is_empty() => Some(Self::Complete(rest)),
            "ERROR" if !rest.is_empty() => {
                let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let code = ErrorCode::parse(code);
                Some(Self::Error { code, text })
            }
            "IDLE" => Self::parse_idle(rest),
            _ => None,
        }
    }

    fn parse_idle(fields: &str) -> Option<Self> {
        let (state, position) = fields.split_once(' ')?;
        let state = TransactionState::parse(state)?;
        let position = match position {
            "-" => None,
            position => Some(position.parse().ok()?),
        };
        Some(Self::Idle { state, position })
    }
}
