//! The response of a client's statement.

use crate::counters::StatementEnd;
use badgerstream_line_protocol::{ErrorCode, TransactionState};
use badgerstream_pooling::latency::MIN_RETRY_AFTER_S;

/// The longest retry delay that a client is given, in seconds.
const MAX_RETRY_AFTER_S: f64 = 2.0;

/// How a client's statement is answered.
pub(super) enum Response {
    /// With the server's answer, unchanged.
    Forward(Vec<u8>),
    /// With an error of the router.
    Error {
        /// Its code.
        code: ErrorCode,
        /// What follows the code; may be empty.
        text: String,
        /// The state of the session afterwards.
        state: TransactionState,
    },
    /// With a success of the router.
    Done,
    /// Not at all: the client has disconnected.
    ClientDisconnected,
}

impl Response {
    /// How the statement ended, for the counters.
    pub(super) fn end(&self) -> StatementEnd {
        match self {
            Self::Forward(raw) => match raw.strip_prefix(b"ERROR ") {
                Some(error) => StatementEnd::Error(ErrorCode::parse(first_word(error))),
                None => StatementEnd::Complete,
            },
            Self::Error { code, .. } => StatementEnd::Error(*code),
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

/// An error of the router.
pub(super) fn error(code: ErrorCode, text: impl Into<String>, state: TransactionState) -> Response {
    Response::Error {
        code,
        text: text.into(),
        state,
    }
}

/// `RETRY`: nothing has run, and the client should try again after this many seconds.
pub(super) fn retry_later(retry_after_s: f64, state: TransactionState) -> Response {
    error(
        ErrorCode::Retry,
        retry_after_ms(retry_after_s).to_string(),
        state,
    )
}

/// A retry delay within its bounds, as `RETRY` carries it.
pub(super) fn retry_after_ms(retry_after_s: f64) -> u32 {
    (retry_after_s.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) * 1000.0).round() as u32
}
