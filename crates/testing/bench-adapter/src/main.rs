//! Runs badgerstream's routing policy behind the simulator's binary protocol: reads batches from standard input and
//! writes replies to standard output.

mod codec;
mod link;
#[cfg(test)]
mod tests;

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the policy is reported in a record of the reply instead of on standard error.
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
