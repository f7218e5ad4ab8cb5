//! What a database answers, line by line and as a whole.

use crate::{LineBuffer, LineError, Position, Verdict};
use quick_error::quick_error;

/// Where a session stands towards transactions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// Outside a transaction (`I`).
    #[default]
    Idle,
    /// Inside a transaction (`T`).
    Open,
    /// Inside a transaction that failed (`E`).
    Failed,
}

impl State {
    /// Its letter on the wire.
    pub fn letter(self) -> char {
        match self {
            Self::Idle => 'I',
            Self::Open => 'T',
            Self::Failed => 'E',
        }
    }
}

/// The code of an `ERROR`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs, reason = "the words of the wire, explained there")]
pub enum Code {
    Retry,
    Unknown,
    Lagging,
    ReadOnly,
    WrongNode,
    ConnLimit,
    Failed,
    Timeout,
    Aborted,
    InDoubt,
    Malformed,
    NoDb,
    /// A word that this program does not know.
    Other,
}

impl Code {
    /// Reads the word of the wire.
    pub fn parse(word: &str) -> Self {
        match word {
            "RETRY" => Self::Retry,
            "UNKNOWN" => Self::Unknown,
            "LAGGING" => Self::Lagging,
            "READONLY" => Self::ReadOnly,
            "WRONGNODE" => Self::WrongNode,
            "CONNLIMIT" => Self::ConnLimit,
            "FAILED" => Self::Failed,
            "TIMEOUT" => Self::Timeout,
            "ABORTED" => Self::Aborted,
            "INDOUBT" => Self::InDoubt,
            "MALFORMED" => Self::Malformed,
            "NODB" => Self::NoDb,
            _ => Self::Other,
        }
    }

    /// The word of the wire.
    pub fn word(self) -> &'static str {
        match self {
            Self::Retry => "RETRY",
            Self::Unknown => "UNKNOWN",
            Self::Lagging => "LAGGING",
            Self::ReadOnly => "READONLY",
            Self::WrongNode => "WRONGNODE",
            Self::ConnLimit => "CONNLIMIT",
            Self::Failed => "FAILED",
            Self::Timeout => "TIMEOUT",
            Self::Aborted => "ABORTED",
            Self::InDoubt => "INDOUBT",
            Self::Malformed => "MALFORMED",
            Self::NoDb => "NODB",
            Self::Other => "FAILED",
        }
    }

    /// What it proves of the statement when a database answers it.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Retry
            | Self::Unknown
            | Self::Lagging
            | Self::ReadOnly
            | Self::WrongNode
            | Self::ConnLimit => Verdict::NotRun,
            Self::Failed | Self::Malformed => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// A line answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply<'a> {
    /// A row, untouched.
    Row(&'a [u8]),
    /// Success, with the database's stamp.
    Complete(&'a str),
    /// Failure.
    Error {
        /// Its code.
        code: Code,
        /// More words.
        text: &'a str,
    },
    /// The end of an answer.
    Idle {
        /// Where the session stands.
        state: State,
        /// Where the log stands; none for `-`.
        position: Option<Position>,
    },
}

impl<'a> Reply<'a> {
    /// Reads a line without its end; none if it is no answer.
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
                Some(Self::Error {
                    code: Code::parse(code),
                    text,
                })
            }
            "IDLE" => {
                let (state, position) = rest.split_once(' ')?;
                let state = match state {
                    "I" => State::Idle,
                    "T" => State::Open,
                    "E" => State::Failed,
                    _ => return None,
                };
                let position = if position == "-" {
                    None
                } else {
                    Some(position.parse().ok()?)
                };
                Some(Self::Idle { state, position })
            }
            _ => None,
        }
    }
}

quick_error! {
    /// Why an answer can't be read on; the connection must be closed and the statement may have run.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum AnswerError {
        /// A line was too long.
        Line(err: LineError) {
            from()
            display("{err}")
        }
        /// A line was no answer, or not in its place.
        Form {
            display("not an answer, or out of place")
        }
    }
}

/// How a whole answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The failure; none for success.
    pub error: Option<Code>,
    /// Success came with a stamp, not with `-`.
    pub stamped: bool,
    /// Where the session stands.
    pub state: State,
    /// Where the log stands.
    pub position: Option<Position>,
}

/// Gathers the lines of one answer, untouched.
#[derive(Debug, Default)]
pub struct Answer {
    /// The lines so far with their ends, as they are to be passed on; whoever passes some on early may clear it.
    pub raw: Vec<u8>,
    ended: Option<(Option<Code>, bool)>,
}

impl Answer {
    /// Takes the lines that are there; the outcome once the answer is whole. Lines after it stay in the buffer.
    pub fn take(&mut self, lines: &mut LineBuffer) -> Result<Option<Outcome>, AnswerError> {
        while let Some(line) = lines.next()? {
            let reply = Reply::parse(line).ok_or(AnswerError::Form)?;
            let outcome = match (reply, self.ended) {
                (Reply::Row(_), None) => None,
                (Reply::Complete(stamp), None) => {
                    self.ended = Some((None, stamp != "-"));
                    None
                }
                (Reply::Error { code, .. }, None) => {
                    self.ended = Some((Some(code), false));
                    None
                }
                (Reply::Idle { state, position }, Some((error, stamped))) => Some(Outcome {
                    error,
                    stamped,
                    state,
                    position,
                }),
                _ => return Err(AnswerError::Form),
            };
            self.raw.extend_from_slice(line);
            self.raw.extend_from_slice(b"\r\n");
            if outcome.is_some() {
                self.ended = None;
                return Ok(outcome);
            }
        }
        Ok(None)
    }
}
