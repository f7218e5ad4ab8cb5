//! Reads the files that are named on the command line.

use super::CliError;
use std::io::{self, Read};
use std::path::Path;

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Returns the name of a file in messages.
pub(super) fn name(file: &Path) -> String {
    if file == Path::new(STANDARD_INPUT) {
        "standard input".to_owned()
    } else {
        file.display().to_string()
    }
}

/// Reads a whole file, or all of standard input.
pub(super) fn read(file: &Path) -> Result<Vec<u8>, CliError> {
    let bytes = if file == Path::new(STANDARD_INPUT) {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map(|_| bytes)
    } else {
        std::fs::read(file)
    };
    bytes.map_err(|error| CliError::ReadFile {
        file: name(file),
        error,
    })
}
