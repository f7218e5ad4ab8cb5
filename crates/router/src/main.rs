//! badgerstream: routes the statements of a replicated store's clients.

// Decoded fields go straight into a call, and each part takes its own few settings.
#![allow(clippy::too_many_arguments)]

mod budget;
mod client;
mod decide;
mod ending;
mod execute;
mod listen;
mod pool;
mod probe;
mod shutdown;
mod spawn;
#[cfg(test)]
mod tests;
mod watch;
mod wire;

use async_io::Async;
use badgerstream_protocol::Close;
use badgerstream_provision::{Pairs, Provision};
use futures_lite::future;
use lexopt::prelude::*;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Discovery is on the same machine: who waits longer for it would only keep clients waiting.
const FIRST_LIST: Duration = Duration::from_millis(250);

const USAGE: &str = "\
badgerstream routes the statements of a replicated store's clients

usage: badgerstream serve          serve, as told by the file that RELAY_CONFIG names
       badgerstream check FILE     say what is wrong with such a file, without serving
       badgerstream version        print the version
       badgerstream help           print this

badgerstream serve --help and badgerstream check --help tell more.";

const SERVE: &str = "\
usage: badgerstream serve

Serves until SIGTERM or SIGINT, and then until all that was taken is answered.

RELAY_CONFIG       the file to start from, JSON; see examples/router.json
RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY
                   where they are set, they go before what the file says
BADGERSTREAM_LOG   what to log on standard error: error, warn, info (as without it) or debug";

const CHECK: &str = "\
usage: badgerstream check FILE

Reads FILE as serve would, opens nothing, and says in one line what is wrong with it, if anything is.";

fn main() -> ExitCode {
    match command() {
        Ok(Command::Serve) => report(start().and_then(|provision| serve(&provision))),
        Ok(Command::Check(file)) => report(check(&file).map(|()| println!("{file} can be served"))),
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

enum Command {
    Serve,
    Check(String),
    Tell(&'static str),
}

fn command() -> Result<Command, lexopt::Error> {
    let (mut arguments, mut words, mut help) = (lexopt::Parser::from_env(), Vec::new(), false);
    while let Some(argument) = arguments.next()? {
        match argument {
            Short('h') | Long("help") => help = true,
            Short('V') | Long("version") if words.is_empty() => words.push("version".to_string()),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match (&words[..], help) {
        (["help"], _) | ([], true) => Ok(Command::Tell(USAGE)),
        (["serve"], true) => Ok(Command::Tell(SERVE)),
        (["check", ..], true) => Ok(Command::Tell(CHECK)),
        (["version"], _) => Ok(Command::Tell(concat!("badgerstream ", env!("CARGO_PKG_VERSION")))),
        (["serve"], false) => Ok(Command::Serve),
        (["check", file], false) => Ok(Command::Check(file.to_string())),
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

fn start() -> Result<Provision, String> {
    let told = |variable: &str| std::env::var(variable).ok();
    let mut provision = read(&told("RELAY_CONFIG").ok_or("the variable RELAY_CONFIG is missing")?)?;
    provision.name = told("RELAY_NAME").unwrap_or(provision.name);
    let addresses = [("RELAY_LISTEN", &mut provision.listen), ("RELAY_DISCOVERY", &mut provision.discovery)];
    for (variable, address) in addresses {
        if let Some(text) = told(variable) {
            *address = text.parse().map_err(|e| format!("the variable {variable} can't be read: {e}"))?;
        }
    }
    Ok(provision)
}

fn read(file: &str) -> Result<Provision, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    Provision::read(&text).map_err(|e| format!("{file}: {e}"))
}

fn check(file: &str) -> Result<(), String> {
    router(&read(file)?).map(drop).map_err(|e| format!("{file}: {e}"))
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

fn router(provision: &Provision) -> Result<Ready, String> {
    let pairs = &provision.pairs;
    let (mut instance, reading) = badgerstream_provision::instance(provision.seed, pairs)?;
    let clock = decide::Clock::new();
    let zones = pairs.text("zones")?.split(',').map(str::to_string).collect();
    let roster = watch::Roster::new(zones);
    let seq =
        roster.list(&mut instance, clock.now(), &provision.known).map_err(|e| format!("/known: {e}"))?;
    let names = client::Names::new(pairs.names("classes")?, reading.workloads, pairs.names("tenants")?);
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
    if told > 0.0 { Ok(told) } else { Err(format!("setting {path} is no time: 0")) }
}

fn serve(provision: &Provision) -> Result<(), String> {
    let level = tracing_subscriber::EnvFilter::try_from_env("BADGERSTREAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(level).with_ansi(false).with_writer(std::io::stderr).init();
    let Ready { desk, roster, names, seq, dial_limit, node_idle_limit } = router(provision)?;
    let address = provision.listen;
    let listener = Async::<TcpListener>::bind(address).map_err(|e| format!("listening on {address}: {e}"))?;
    let (tasks, budget) = (spawn::Tasks::default(), budget::Budget::new(provision.descriptors));
    let pool = pool::Pool::new(tasks.clone(), budget.clone(), dial_limit, node_idle_limit);
    let clients = listen::Clients::new();
    let carry = {
        let (tasks, desk, pool, roster) = (tasks.clone(), desk.clone(), pool.clone(), roster.clone());
        move |order| {
            let work = execute::carry(desk.clone(), pool.clone(), roster.clone(), order);
            tasks.spawn("an execution", work).detach();
        }
    };
    let decisions = tasks.spawn("the decisions", desk.clone().run(carry));
    let (heard, first_list) = async_channel::bounded(1);
    let watch = watch::watch(desk.clone(), roster, provision.discovery, seq, heard);
    tasks.spawn("discovery", watch).detach();
    tasks.spawn("the pool", pool.clone().retire()).detach();
    let accept = listen::listen(listener, tasks.clone(), desk, names, clients.clone(), pool, budget);
    let accept = tasks.spawn("the listener", async move {
        // The list that was handed over may be old: what discovery has to tell comes first, if it is there.
        let heard = async { first_list.recv().await.map_err(|_| Close::Left) };
        let _ = wire::within(FIRST_LIST, Close::Silent, heard).await;
        accept.await;
    });
    tracing::info!("{} serves on {address}", provision.name);
    // These two all clients need: without them it is better to start anew.
    let broken = async {
        future::or(decisions, accept).await;
        Err("the decisions or the listener have ended".to_string())
    };
    let ended = async {
        shutdown::shutdown(clients).await;
        Ok(())
    };
    async_io::block_on(tasks.run(future::or(ended, broken)))
}
