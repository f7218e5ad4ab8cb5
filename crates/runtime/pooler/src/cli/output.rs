//! Printing what a command found, as JSON or as text.

use super::CliError;
use nanoserde::SerJson;
use std::io::{self, Write};

/// Writes bytes out; a reader that has closed its end is no error.
pub(super) fn print(out: &mut impl Write, bytes: &[u8]) -> Result<(), CliError> {
    match out.write_all(bytes).and_then(|()| out.flush()) {
        // Who reads has seen enough, `head` say.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done.map_err(CliError::Output),
    }
}

/// Prints a value as one line of JSON, or as `text` renders it.
pub(super) fn show<T: SerJson>(
    out: &mut impl Write,
    json: bool,
    what: &T,
    text: impl Fn(&T) -> String,
) -> Result<(), CliError> {
    let text = if json {
        what.serialize_json() + "\n"
    } else {
        text(what)
    };
    print(out, text.as_bytes())
}
