//! badgerstream: routes the statements of a replicated store's clients.

// Decoded fields go straight into a call, and each part takes its own few settings.
#![allow(clippy::too_many_arguments)]

mod belief;
mod budget;
mod client;
mod decide;
mod ending;
mod execute;
mod gate;
mod listen;
mod pool;
mod probe;
mod reload;
mod shutdown;
mod spawn;
#[cfg(test)]
mod tests;
mod watch;
mod wire;

use async_io::Async;
use badgerstream_postgres_protocol::{Close, Memory};
use badgerstream_router_config::{Own, Pairs, Provision};
use futures_lite::future;
use lexopt::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Discovery is on the same machine: who waits longer for it would only keep clients waiting.
const FIRST_LIST: Duration = Duration::from_millis(250);

/// The parts of the memory that large answers and large statements may take at a time: each byte stands in up
/// to three places on its way, and the program itself needs some.
const FOR_ANSWERS: f64 = 0.2;
const FOR_STATEMENTS: f64 = 0.1;

const USAGE: &str = "\
badgerstream routes the statements of a replicated store's clients

usage: badgerstream serve          serve, as told by the file that RELAY_CONFIG names
       badgerstream check FILE     say what is wrong with such a file, without serving
                                   both take --settings FILE, our own settings in JSON5
       badgerstream version        print the version
       badgerstream help           print this

badgerstream serve --help and badgerstream check --help tell more.";

const SERVE: &str = "\
usage: badgerstream serve [--settings FILE]

Serves until SIGTERM or SIGINT, and then until all that was taken is answered. SIGHUP makes it read the file
again: discovery and limits.sockets take effect at once, for what else has changed a log line asks for a
restart. A file that is missing or wrong changes nothing.

--settings FILE    our own settings, JSON5; see deploy/settings.json5. Read again at SIGHUP, too. Without it
                   all that it can turn on is off
RELAY_CONFIG       the file to start from, JSON; see examples/router.json
RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY
                   where they are set, they go before what the file says at the start
BADGERSTREAM_LOG   what to log on standard error: error, warn, info (as without it) or debug";

const CHECK: &str = "\
usage: badgerstream check FILE [--settings FILE]

Reads FILE, and the settings, as serve would, opens nothing, and says in one line what is wrong, if anything is.";

/// What the binary does: the arguments are the process's own.
pub fn main() -> ExitCode {
    main_with(std::env::args_os().skip(1))
}

/// The same with these arguments, for rigs that run a router as a process of their own.
pub fn main_with(arguments: impl IntoIterator<Item = impl Into<std::ffi::OsString>>) -> ExitCode {
    match command(arguments) {
        Ok(Command::Serve(files)) => report(start(files)),
        Ok(Command::Check(files)) => {
            report(checked(&files).map(|_| println!("{} can be served", files.file)))
        }
        Ok(Command::Tell(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("badgerstream: {problem}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

/// What a router is set by.
#[derive(Clone, Default)]
struct Files {
    file: String,
    settings: Option<String>,
}

enum Command {
    Serve(Option<String>),
    Check(Files),
    Tell(&'static str),
}

fn command(
    arguments: impl IntoIterator<Item = impl Into<std::ffi::OsString>>,
) -> Result<Command, lexopt::Error> {
    let (mut arguments, mut words, mut help) =
        (lexopt::Parser::from_args(arguments), Vec::new(), false);
    let mut settings = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Short('h') | Long("help") => help = true,
            Short('V') | Long("version") if words.is_empty() => words.push("version".to_string()),
            Long("settings") if settings.is_none() => settings = Some(arguments.value()?.string()?),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if settings.is_some() && !matches!(words.first(), Some(&("serve" | "check"))) {
        return Err("--settings belongs to serve or check".into());
    }
    match (&words[..], help) {
        (["help"], _) | ([], true) => Ok(Command::Tell(USAGE)),
        (["serve"], true) => Ok(Command::Tell(SERVE)),
        (["check", ..], true) => Ok(Command::Tell(CHECK)),
        (["version"], _) => Ok(Command::Tell(concat!(
            "badgerstream ",
            env!("CARGO_PKG_VERSION")
        ))),
        (["serve"], false) => Ok(Command::Serve(settings)),
        (["check", file], false) => Ok(Command::Check(Files {
            file: file.to_string(),
            settings,
        })),
        (["check"], false) => Err("check needs a file".into()),
        ([], false) => Err("a sub-command is missing".into()),
        _ => Err(format!("there is no such command: {}", words.join(" ")).into()),
    }
}

fn report(done: Result<(), String>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("badgerstream: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// What the environment says goes before the file at the start; a reload takes the file by itself.
fn start(settings: Option<String>) -> Result<(), String> {
    let told = |variable: &str| std::env::var(variable).ok();
    let file = told("RELAY_CONFIG").ok_or("the variable RELAY_CONFIG is missing")?;
    let files = Files { file, settings };
    let (provision, own) = read(&files)?;
    let address = |variable: &str, told_by_file: SocketAddr| {
        let parsed = told(variable).map_or(Ok(told_by_file), |text| text.parse());
        parsed.map_err(|e| format!("the variable {variable} can't be read: {e}"))
    };
    let listen = address("RELAY_LISTEN", provision.listen)?;
    let discovery = address("RELAY_DISCOVERY", provision.discovery)?;
    let name = told("RELAY_NAME").unwrap_or(provision.name.clone());
    serve(files, provision, own, &name, listen, discovery)
}

/// The part of a memory limit, in bytes.
fn part(provision: &Provision, part: f64) -> usize {
    (provision.memory_mb * part * f64::from(1 << 20)) as usize
}

fn read(files: &Files) -> Result<(Provision, Own), String> {
    let text = |file: &str| std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"));
    let file = &files.file;
    let provision = Provision::read(&text(file)?).map_err(|e| format!("{file}: {e}"))?;
    let own = match &files.settings {
        None => Own::default(),
        Some(file) => Own::read(&text(file)?, part(&provision, FOR_STATEMENTS))
            .map_err(|e| format!("{file}: {e}"))?,
    };
    Ok((provision, own))
}

/// Files that can be served: whatever is wrong with them is found here.
fn checked(files: &Files) -> Result<(Provision, Own), String> {
    let (provision, own) = read(files)?;
    router(&provision, own.clone()).map_err(|e| format!("{}: {e}", files.file))?;
    Ok((provision, own))
}

/// What the file comes to before anything is opened.
struct Ready {
    desk: Rc<execute::Router>,
    roster: Rc<watch::Roster>,
    names: Rc<client::Names>,
    seq: u64,
    dial_limit: f64,
    node_idle_limit: f64,
}

fn router(provision: &Provision, own: Own) -> Result<Ready, String> {
    let pairs = &provision.pairs;
    let (mut instance, reading) = badgerstream_router_config::instance(provision.seed, pairs)?;
    instance.configure_succession(own.succession, provision.seed);
    let clock = decide::Clock::new();
    instance.set_restart_pacing(clock.now(), own.recovery, provision.seed, &provision.name);
    instance.set_fleet_sharing(own.fleet, provision.seed, &provision.name);
    let zones = pairs
        .text("zones")?
        .split(',')
        .map(str::to_string)
        .collect();
    let roster = watch::Roster::new(zones);
    let seq = roster
        .list(&mut instance, clock.now(), &provision.known)
        .map_err(|e| format!("/known: {e}"))?;
    let names = client::Names::new(
        pairs.names("classes")?,
        reading.workloads,
        pairs.names("tenants")?,
    );
    Ok(Ready {
        desk: decide::Desk::new(instance, clock),
        roster,
        names: Rc::new(names),
        seq,
        dial_limit: positive(pairs, "policy_limits.dial_timeout_ms")?,
        node_idle_limit: positive(pairs, "policy_limits.keepalive_ms")?,
    })
}

/// Without any time, no connection would ever come up or be kept.
fn positive(pairs: &Pairs, path: &str) -> Result<f64, String> {
    let told = pairs.seconds(path)?;
    if told > 0.0 {
        Ok(told)
    } else {
        Err(format!("setting {path} is no time: 0"))
    }
}

fn serve(
    files: Files,
    provision: Provision,
    own: Own,
    name: &str,
    address: SocketAddr,
    discovery: SocketAddr,
) -> Result<(), String> {
    let level = tracing_subscriber::EnvFilter::try_from_env("BADGERSTREAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    let Ready {
        desk,
        roster,
        names,
        seq,
        dial_limit,
        node_idle_limit,
    } = router(&provision, own)?;
    let hangups = reload::signals()?;
    let listener =
        Async::<TcpListener>::bind(address).map_err(|e| format!("listening on {address}: {e}"))?;
    let (tasks, budget) = (
        spawn::Tasks::default(),
        budget::Budget::new(provision.descriptors),
    );
    let memory = |of: f64| Memory::new(part(&provision, of));
    let (answers, statements) = (memory(FOR_ANSWERS), memory(FOR_STATEMENTS));
    let gate = gate::Gate::of(&desk);
    let pool = pool::Pool::new(
        tasks.clone(),
        budget.clone(),
        answers,
        gate,
        dial_limit,
        node_idle_limit,
    );
    let carry = {
        let (tasks, desk, pool, roster) =
            (tasks.clone(), desk.clone(), pool.clone(), roster.clone());
        move |order| {
            let work = execute::carry(desk.clone(), pool.clone(), roster.clone(), order);
            tasks.spawn("an execution", work).detach();
        }
    };
    let decisions = tasks.spawn("the decisions", desk.clone().run(carry));
    let (heard, first_list) = async_channel::bounded(1);
    let watches = reload::Watches::begin(
        tasks.clone(),
        desk.clone(),
        roster.clone(),
        discovery,
        seq,
        heard,
    );
    tasks
        .spawn("idle clients", listen::thin_out(budget.clone()))
        .detach();
    tasks
        .spawn("what is gone", watch::forget(desk.clone(), roster))
        .detach();
    let reload = reload::reload(
        hangups,
        provision,
        move || checked(&files),
        watches,
        budget.clone(),
    );
    tasks.spawn("reload", reload).detach();
    tasks
        .spawn("what is believed", belief::tell(desk.clone(), pool.clone()))
        .detach();
    tasks.spawn("the pool", pool.clone().retire()).detach();
    let accept = listen::listen(
        listener,
        tasks.clone(),
        desk,
        names,
        statements,
        budget.clone(),
    );
    let accept = tasks.spawn("the listener", async move {
        // The list that was handed over may be old: what discovery has to tell comes first, if it is there.
        let heard = async { first_list.recv().await.map_err(|_| Close::Left) };
        let _ = wire::within(FIRST_LIST, Close::Silent, heard).await;
        accept.await;
    });
    tracing::info!("{name} serves on {address}");
    // These two all clients need: without them it is better to start anew.
    let broken = async {
        future::or(decisions, accept).await;
        Err("the decisions or the listener have ended".to_string())
    };
    let ended = async {
        shutdown::shutdown(budget).await;
        Ok(())
    };
    async_io::block_on(tasks.run(future::or(ended, broken)))
}
