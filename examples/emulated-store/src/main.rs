//! A toy store of one group, a primary and two replicas, with discovery beside it: enough to see badgerstream
//! route. It is the emulator with nothing going wrong, unless it is asked to change its primary.

use badgerstream_store_emulator::group::Replication;
use badgerstream_store_emulator::{Emulator, Shape};
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
emulated-store is a primary, two replicas and their discovery, on 127.0.0.1

usage: emulated-store [--port FIRST] [--discovery PORT] [--lag MS] [--change-every SECONDS]

The nodes listen on FIRST and the next two ports (7001), discovery on 8500; replicas are 20 ms behind.
With --change-every the primary drains, and another takes over, again and again.";

struct Asked {
    shape: Shape,
    every: Option<u64>,
}

fn main() -> ExitCode {
    let done = arguments().map_err(|e| format!("{e}\n{USAGE}"));
    match done.and_then(|asked| asked.map_or(Ok(()), store)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("emulated-store: {problem}");
            ExitCode::from(2)
        }
    }
}

fn arguments() -> Result<Option<Asked>, lexopt::Error> {
    let (mut port, mut discovery, mut lag_ms, mut every) = (7001, 8500, 20, None);
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("port") => port = arguments.value()?.parse()?,
            Long("discovery") => discovery = arguments.value()?.parse()?,
            Long("lag") => lag_ms = arguments.value()?.parse()?,
            Long("change-every") => every = Some(arguments.value()?.parse::<u64>()?.max(1)),
            Short('h') | Long("help") => {
                println!("{USAGE}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    let replication = Replication {
        synchronous: false,
        lag_ms,
        mark_memory_ms: 60_000,
    };
    let shape = Shape {
        replication,
        loud: true,
        ports: (port, discovery),
        ..Shape::default()
    };
    Ok(Some(Asked { shape, every }))
}

fn store(asked: Asked) -> Result<(), String> {
    let emulator =
        Emulator::start(asked.shape, &["s-one", "s-two", "s-three"]).map_err(|e| e.to_string())?;
    let (first, discovery) = (emulator.nodes[0].dial, emulator.discovery.address);
    println!("the store is up: nodes from {first} on, discovery at {discovery}");
    loop {
        std::thread::sleep(Duration::from_secs(asked.every.unwrap_or(3600)));
        let Some(primary) = emulator.primary(0).filter(|_| asked.every.is_some()) else {
            continue;
        };
        emulator.drain(0, primary, true);
        std::thread::sleep(Duration::from_millis(600));
        emulator.promote(0, None);
        emulator.drain(0, primary, false);
        let leads = emulator
            .primary(0)
            .map(|leads| emulator.nodes[leads].name.clone());
        println!("the primary is {} now", leads.unwrap_or_default());
    }
}
