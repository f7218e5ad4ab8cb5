//! The answer that a client gets to its statement.

use crate::counters::StatementEnd;
use badgerstream_line_protocol::{Code, State};
use badgerstream_pooling::latency::MIN_RETRY_AFTER_S;

/// No client is told to come back later than this, in seconds.
const MAX_RETRY_AFTER_S: f64 = 2.0;

/// How the client is answered.
pub(super) enum Response {
    /// The server's answer, untouched.
    Forward(Vec<u8>),
    /// An error, and the state after it.
    Error(Code, String, State),
    /// Our own success.
    Done,
    /// Not at all: the client has closed its connection.
    ClientDisconnected,
}

impl Response {
    /// How the statement ended for its client.
    pub(super) fn end(&self) -> StatementEnd {
        match self {
            Self::Forward(raw) => match raw.strip_prefix(b"ERROR ") {
                Some(rest) => StatementEnd::Error(Code::parse(first_word(rest))),
                None => StatementEnd::Complete,
            },
            Self::Error(code, ..) => StatementEnd::Error(*code),
            Self::Done => StatementEnd::Complete,
            Self::ClientDisconnected => StatementEnd::ClientGone,
        }
    }
}

fn first_word(line: &[u8]) -> &str {
    let end = line
        .iter()
        .position(u8::is_ascii_whitespace)
        .unwrap_or(line.len());
    std::str::from_utf8(&line[..end]).unwrap_or_default()
}

pub(super) fn error(code: Code, text: impl Into<String>, state: State) -> Response {
    Response::Error(code, text.into(), state)
}

/// Nothing has run: come back in so many seconds.
pub(super) fn retry_later(wait: f64, state: State) -> Response {
    error(Code::Retry, retry_after_ms(wait).to_string(), state)
}

pub(super) fn retry_after_ms(wait: f64) -> u32 {
    (wait.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) * 1000.0).round() as u32
}
