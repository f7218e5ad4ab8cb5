//! Prints the result of a command as JSON or as text.

use super::CliError;
use nanoserde::SerJson;
use std::io::{self, Write};

/// Writes bytes to the output. If the reader has closed its end, this is not an error.
pub(super) fn print(out: &mut impl Write, bytes: &[u8]) -> Result<(), CliError> {
    match out.write_all(bytes).and_then(|()| out.flush()) {
        // The reader, for example `head`, needs no more output.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(CliError::Output),
    }
}

/// Prints a value as one line of JSON, or as the text that `render` returns.
pub(super) fn print_value<T: SerJson>(
    out: &mut impl Write,
    json: bool,
    value: &T,
    render: impl Fn(&T) -> String,
) -> Result<(), CliError> {
    let text = if json {
        value.serialize_json() + "\n"
    } else {
        render(value)
    };
    print(out, text.as_bytes())
}
