//! What a client is told of its statement.

use badgerstream_pooling::pace::MIN_BACK_S;
use badgerstream_wire::{Code, State};

/// No client is told to come back later than this, in seconds.
const MAX_BACK_S: f64 = 2.0;

/// What to tell the client.
pub(super) enum Told {
    /// The server's answer, untouched.
    Answer(Vec<u8>),
    /// An error, and the state after it.
    Error(Code, String, State),
    /// Our own success.
    Done,
    /// It has gone.
    Gone,
}

pub(super) fn error(code: Code, text: impl Into<String>, state: State) -> Told {
    Told::Error(code, text.into(), state)
}

/// Nothing has run: come back in so many seconds.
pub(super) fn come_back(wait: f64, state: State) -> Told {
    error(Code::Retry, back_ms(wait).to_string(), state)
}

pub(super) fn back_ms(wait: f64) -> u32 {
    (wait.clamp(MIN_BACK_S, MAX_BACK_S) * 1000.0).round() as u32
}
