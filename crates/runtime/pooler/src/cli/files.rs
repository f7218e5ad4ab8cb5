//! Reading the files that are named on the command line.

use super::CliError;
use std::io::{self, Read};
use std::path::Path;

/// The name of a file in messages; `-` is the standard input.
pub(super) fn name(file: &Path) -> String {
    if file == Path::new("-") {
        "standard input".to_owned()
    } else {
        file.display().to_string()
    }
}

/// Reads a file whole; `-` is the standard input.
pub(super) fn read(file: &Path) -> Result<Vec<u8>, CliError> {
    let mut bytes = Vec::new();
    let done = match file == Path::new("-") {
        true => io::stdin().read_to_end(&mut bytes).map(drop),
        false => std::fs::read(file).map(|read| bytes = read),
    };
    done.map(|()| bytes)
        .map_err(|e| CliError::File(name(file), e))
}
