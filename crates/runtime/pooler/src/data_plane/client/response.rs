//! Responses to the statements of clients.

use crate::counters::StatementEnd;
use badgerstream_line_protocol::{ErrorCode, TransactionState};
use badgerstream_pooling::latency::MIN_RETRY_AFTER_S;

/// Maximum retry delay given to a client, in seconds.
const MAX_RETRY_AFTER_S: f64 = 2.0;

/// The response to a client's statement.
pub(super) enum Response {
    /// The bytes of the server's answer.
    Forward(Vec<u8>),
    /// An error raised by the router.
    Error {
        /// Its code.
        code: ErrorCode,
        /// The text after the code; may be empty.
        text: String,
        /// The transaction state of the session afterwards.
        state: TransactionState,
    },
    /// The router has completed the statement itself.
    Done,
    /// No response: the client has disconnected, or its connection is to be closed.
    ClientDisconnected,
}

impl Response {
    /// Returns how the statement ended, for the counters.
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

/// Builds an error raised by the router.
pub(super) fn error(code: ErrorCode, text: impl Into<String>, state: TransactionState) -> Response {
    Response::Error {
        code,
        text: text.into(),
        state,
    }
}

/// Builds a `RETRY` error: nothing has run, and the client should try again after this many
/// seconds.
pub(super) fn retry_later(retry_after_s: f64, state: TransactionState) -> Response {
    error(
        ErrorCode::Retry,
        retry_after_ms(retry_after_s).to_string(),
        state,
    )
}

/// Converts a retry delay to milliseconds as `RETRY` carries them, clamped to its bounds.
pub(super) fn retry_after_ms(retry_after_s: f64) -> u32 {
    (retry_after_s.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) * 1000.0).round() as u32
}
