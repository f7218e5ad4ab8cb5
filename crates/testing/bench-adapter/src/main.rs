//! Plays badgerstream's decisions on the simulator's wire: batches on standard input, replies on standard
//! output.

mod codec;
mod link;
#[cfg(test)]
mod tests;

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the module is told over the wire, in one record.
    std::panic::set_hook(Box::new(|_| {}));
    let (input, output) = (stdin().lock(), stdout().lock());
    match link::serve(
        &mut BufReader::with_capacity(1 << 16, input),
        &mut BufWriter::new(output),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}
