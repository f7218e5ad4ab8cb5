//! The router process: speaks the Postgres wire protocol to clients and nodes, and routes each statement to a
//! node of its replication group.

// Decoded message fields and individual settings are passed as separate arguments.
#![allow(clippy::too_many_arguments)]

mod budget;
mod client;
mod decide;
mod execute;
mod listen;
mod outcome;
mod pool;
mod probe;
mod reload;
mod restart_pacing;
mod shutdown;
mod spawn;
mod status_log;
#[cfg(test)]
mod tests;
mod watch;
mod wire;

use async_io::Async;
use badgerstream_postgres_protocol::{Close, MemoryBudget};
use badgerstream_router_config::{FlatSettings, RouterSettings, StartConfig};
use futures_lite::future;
use lexopt::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait for the first list from discovery before the first client is accepted. Discovery runs on the
/// same machine; a longer wait would only delay clients.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);

/// Shares of the memory limit for large answers and for large statements. Each byte can be held in up to three
/// buffers at once, and the process itself needs memory too.
const ANSWER_MEMORY_SHARE: f64 = 0.2;
const STATEMENT_MEMORY_SHARE: f64 = 0.1;

const USAGE: &str = "\
badgerstream routes the statements of a replicated store's clients

usage: badgerstream serve          serve clients, using the start file named by RELAY_CONFIG
       badgerstream check FILE     validate a start file without serving
                                   both accept --settings FILE, the router's settings in JSON5
       badgerstream version        print the version
       badgerstream help           print this text

See badgerstream serve --help and badgerstream check --help for details.";

const SERVE_USAGE: &str = "\
usage: badgerstream serve [--settings FILE]

Serves clients until SIGTERM or SIGINT, then exits once every accepted statement is answered. SIGHUP reloads the
start file: changes to discovery and limits.sockets take effect at once; each other change is logged as needing
a restart. If a file is missing or invalid, nothing changes.

--settings FILE    the router's settings, JSON5; see deploy/settings.json5. Reloaded at SIGHUP too. Without it,
                   every feature that it can enable is off
RELAY_CONFIG       the start file, JSON; see examples/router.json
RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY
                   override the start file's name, listen and discovery at start
BADGERSTREAM_LOG   log level on standard error: error, warn, info (the default) or debug";

const CHECK_USAGE: &str = "\
usage: badgerstream check FILE [--settings FILE]

Validates FILE and the settings as serve would, without opening a socket, and prints the first error on one line.";

/// Entry point of the binary; uses the arguments of the process.
pub fn main() -> ExitCode {
    main_with(std::env::args_os().skip(1))
}

/// Runs the router with the given arguments, for test programs that start a router as their own child process.
pub fn main_with(arguments: impl IntoIterator<Item = impl Into<std::ffi::OsString>>) -> ExitCode {
    match command(arguments) {
        Ok(Command::Serve(files)) => report(start(files)),
        Ok(Command::Check(files)) => {
            report(check(&files).map(|_| println!("{} is valid", files.file)))
        }
        Ok(Command::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(problem) => {
            eprintln!("badgerstream: {problem}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

/// Paths of the start file and of the optional settings file.
#[derive(Clone, Default)]
struct ConfigFiles {
    file: String,
    settings: Option<String>,
}

enum Command {
    Serve(Option<String>),
    Check(ConfigFiles),
    Print(&'static str),
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
        (["help"], _) | ([], true) => Ok(Command::Print(USAGE)),
        (["serve"], true) => Ok(Command::Print(SERVE_USAGE)),
        (["check", ..], true) => Ok(Command::Print(CHECK_USAGE)),
        (["version"], _) => Ok(Command::Print(concat!(
            "badgerstream ",
            env!("CARGO_PKG_VERSION")
        ))),
        (["serve"], false) => Ok(Command::Serve(settings)),
        (["check", file], false) => Ok(Command::Check(ConfigFiles {
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

/// Starts the router. Environment variables override the start file here; a reload uses the file alone.
fn start(settings: Option<String>) -> Result<(), String> {
    let env = |variable: &str| std::env::var(variable).ok();
    let file = env("RELAY_CONFIG").ok_or("the variable RELAY_CONFIG is missing")?;
    let files = ConfigFiles { file, settings };
    let (start_config, router_settings) = read(&files)?;
    let address = |variable: &str, from_file: SocketAddr| {
        let parsed = env(variable).map_or(Ok(from_file), |text| text.parse());
        parsed.map_err(|e| {
            format!("the variable {variable} can't be parsed as an address and port: {e}")
        })
    };
    let listen = address("RELAY_LISTEN", start_config.listen)?;
    let discovery = address("RELAY_DISCOVERY", start_config.discovery)?;
    let name = env("RELAY_NAME").unwrap_or(start_config.name.clone());
    serve(
        files,
        start_config,
        router_settings,
        &name,
        listen,
        discovery,
    )
}

/// Returns the given share of the memory limit, in bytes.
fn memory_share_bytes(start_config: &StartConfig, share: f64) -> usize {
    (start_config.memory_mb * share * f64::from(1 << 20)) as usize
}

fn read(files: &ConfigFiles) -> Result<(StartConfig, RouterSettings), String> {
    let text = |file: &str| std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"));
    let file = &files.file;
    let start_config = StartConfig::parse(&text(file)?).map_err(|e| format!("{file}: {e}"))?;
    let router_settings = match &files.settings {
        None => RouterSettings::default(),
        Some(file) => RouterSettings::parse(
            &text(file)?,
            memory_share_bytes(&start_config, STATEMENT_MEMORY_SHARE),
        )
        .map_err(|e| format!("{file}: {e}"))?,
    };
    Ok((start_config, router_settings))
}

/// Reads and fully validates the files: every error in them is found here.
fn check(files: &ConfigFiles) -> Result<(StartConfig, RouterSettings), String> {
    let (start_config, router_settings) = read(files)?;
    prepare(&start_config, router_settings.clone()).map_err(|e| format!("{}: {e}", files.file))?;
    Ok((start_config, router_settings))
}

/// Everything that is built from the files before a socket is opened.
struct Prepared {
    dispatcher: Rc<execute::StatementDispatcher>,
    registry: Rc<watch::NodeRegistry>,
    names: Rc<client::NameIndex>,
    seq: u64,
    dial_timeout: f64,
    node_idle_timeout: f64,
}

fn prepare(
    start_config: &StartConfig,
    router_settings: RouterSettings,
) -> Result<Prepared, String> {
    let platform_settings = &start_config.settings;
    let (mut instance, front) =
        badgerstream_router_config::instance(start_config.seed, platform_settings)?;
    instance.configure_succession(router_settings.succession, start_config.seed);
    let clock = decide::Clock::new();
    instance.set_restart_pacing(
        clock.now(),
        router_settings.recovery,
        start_config.seed,
        &start_config.name,
    );
    instance.set_fleet_sharing(router_settings.fleet, start_config.seed, &start_config.name);
    let zones = platform_settings
        .text("zones")?
        .split(',')
        .map(str::to_string)
        .collect();
    let registry = watch::NodeRegistry::new(zones);
    let seq = registry
        .apply_list(&mut instance, clock.now(), &start_config.known)
        .map_err(|e| format!("/known: {e}"))?;
    let names = client::NameIndex::new(
        platform_settings.names("classes")?,
        front.workloads,
        platform_settings.names("tenants")?,
    );
    Ok(Prepared {
        dispatcher: decide::Dispatcher::new(instance, clock),
        registry,
        names: Rc::new(names),
        seq,
        dial_timeout: positive_seconds(platform_settings, "policy_limits.dial_timeout_ms")?,
        node_idle_timeout: positive_seconds(platform_settings, "policy_limits.keepalive_ms")?,
    })
}

/// Reads a duration in seconds that must be above zero: with zero, no connection could be opened or kept.
fn positive_seconds(platform_settings: &FlatSettings, path: &str) -> Result<f64, String> {
    let seconds = platform_settings.seconds(path)?;
    if seconds > 0.0 {
        Ok(seconds)
    } else {
        Err(format!("setting {path} must be a time above 0 ms, found 0"))
    }
}

fn serve(
    files: ConfigFiles,
    start_config: StartConfig,
    router_settings: RouterSettings,
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
    let Prepared {
        dispatcher,
        registry,
        names,
        seq,
        dial_timeout,
        node_idle_timeout,
    } = prepare(&start_config, router_settings)?;
    let hangups = reload::hangup_signals()?;
    let listener =
        Async::<TcpListener>::bind(address).map_err(|e| format!("listening on {address}: {e}"))?;
    let (tasks, budget) = (
        spawn::Tasks::default(),
        budget::Budget::new(start_config.descriptors),
    );
    let memory = |share: f64| MemoryBudget::new(memory_share_bytes(&start_config, share));
    let (answers, statements) = (memory(ANSWER_MEMORY_SHARE), memory(STATEMENT_MEMORY_SHARE));
    let restart_pacing = restart_pacing::RestartPacing::for_dispatcher(&dispatcher);
    let pool = pool::Pool::new(
        tasks.clone(),
        budget.clone(),
        answers,
        restart_pacing,
        dial_timeout,
        node_idle_timeout,
    );
    let run_order = {
        let (tasks, dispatcher, pool, registry) = (
            tasks.clone(),
            dispatcher.clone(),
            pool.clone(),
            registry.clone(),
        );
        move |order| {
            let work =
                execute::run_order(dispatcher.clone(), pool.clone(), registry.clone(), order);
            tasks.spawn("statement execution", work).detach();
        }
    };
    let routing = tasks.spawn("routing", dispatcher.clone().run(run_order));
    let (list_received, first_list) = async_channel::bounded(1);
    let watches = reload::Watches::start(
        tasks.clone(),
        dispatcher.clone(),
        registry.clone(),
        discovery,
        seq,
        list_received,
    );
    tasks
        .spawn(
            "idle client limit",
            listen::limit_idle_clients(budget.clone()),
        )
        .detach();
    tasks
        .spawn(
            "removal of departed nodes",
            watch::remove_departed(dispatcher.clone(), registry),
        )
        .detach();
    let reload = reload::reload(
        hangups,
        start_config,
        move || check(&files),
        watches,
        budget.clone(),
    );
    tasks.spawn("configuration reload", reload).detach();
    tasks
        .spawn(
            "node status log",
            status_log::log_periodically(dispatcher.clone(), pool.clone()),
        )
        .detach();
    tasks
        .spawn("idle connection retirement", pool.clone().retire_idle())
        .detach();
    let accept = listen::listen(
        listener,
        tasks.clone(),
        dispatcher,
        names,
        statements,
        budget.clone(),
    );
    let accept = tasks.spawn("listener", async move {
        // The list in the start file may be outdated: wait briefly for the current one from discovery.
        let list_received = async { first_list.recv().await.map_err(|_| Close::PeerClosed) };
        let _ = wire::within(FIRST_LIST_TIMEOUT, Close::PeerTimeout, list_received).await;
        accept.await;
    });
    tracing::info!("{name} serves on {address}");
    // No client can be served without these two tasks: if either ends, the process must be restarted.
    let failed = async {
        future::or(routing, accept).await;
        Err("the routing task or the listener task ended".to_string())
    };
    let shut_down = async {
        shutdown::shutdown(budget).await;
        Ok(())
    };
    async_io::block_on(tasks.run(future::or(shut_down, failed)))
}
