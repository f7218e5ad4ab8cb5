//! Operators filter the log by its targets, and a command sums up the line of counts: these tests fix targets and keys.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The discard service (RFC 863), which test machines do not run: connections are refused.
const NOBODY_LISTENS: &str = "127.0.0.1:9";

/// A router process that is killed when its test ends.
struct Serving(Child);

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the first line that a router logs with this filter, without its time.
fn first_line(filter: &str) -> String {
    let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../../examples/router.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerstream"));
    command
        .arg("serve")
        .env("RELAY_CONFIG", example)
        .env("RELAY_LISTEN", "127.0.0.1:0")
        .env("RELAY_DISCOVERY", NOBODY_LISTENS)
        .env("RELAY_NAME", "pinned-name")
        .env("BADGERSTREAM_LOG", filter)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    let mut serving = Serving(command.spawn().unwrap());
    let lines = BufReader::new(serving.0.stderr.take().unwrap()).lines();
    let line = lines.map_while(Result::ok).next().unwrap_or_default();
    let (_, rest) = line.split_once(' ').unwrap_or_default();
    rest.trim_start().to_string()
}

#[test]
fn counts_have_a_target_and_keys_of_their_own() {
    assert_eq!(
        first_line("off,badgerstream::tally=debug"),
        "DEBUG badgerstream::tally: tally taken=0 sent=0 probes=0 given_up[] in_the_way[] waits_for[]"
    );
}

#[test]
fn the_program_logs_under_its_own_name() {
    let line = first_line("off,badgerstream=info");
    assert!(line.starts_with("INFO badgerstream: "), "{line}");
    assert!(line.contains("pinned-name"), "{line}");
}
