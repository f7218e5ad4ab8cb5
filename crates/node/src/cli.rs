//! The operators' commands: they check files, and ask any control machine over HTTP.

mod client;
mod text;

use badgerstream_calls::JsonError;
use badgerstream_calls::config::{self, Config, ConfigError};
use badgerstream_calls::settings::{Settings, SettingsError};
use badgerstream_calls::status::{MemberStatus, PrimaryStatus, Status};
use clap::{Args, Subcommand};
pub use client::Client;
use nanoserde::SerJson;
use quick_error::quick_error;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use text::Table;

/// The variable that tells the control addresses.
pub const CONTROL: &str = "BADGERSTREAM_CONTROL";

/// What operators can ask for.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Checks a settings file: says what is wrong, with line and field.
    Check {
        /// The settings file; `-` is the standard input.
        file: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks, reads, replaces and compares the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Prints which machine leads, the version in force, the primaries and how many servers there are.
    Status(Asking),
    /// Prints the database servers that are there.
    Members(Asking),
    /// Prints the primary of each service.
    Primaries(Asking),
}

/// What operators can do with the configuration.
#[derive(Debug, Clone, Subcommand)]
pub enum ConfigCommand {
    /// Checks a configuration without sending it.
    Check {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the configuration in force, as it was sent.
    Get(Asking),
    /// Checks a configuration and puts it in force.
    Put {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// The version that it builds on, 0 for the first; by default the one in force, read first.
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        asking: Asking,
    },
    /// Prints what a configuration would change, against the one in force.
    Diff {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        asking: Asking,
    },
}

/// Whom to ask, and how to print.
#[derive(Debug, Clone, Args)]
pub struct Asking {
    /// Control addresses, joined by commas or told one by one; the next is asked where one fails.
    #[arg(long, env = CONTROL, value_name = "ADDR", value_delimiter = ',', required = true)]
    pub at: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long)]
    pub json: bool,
}

quick_error! {
    /// Why a command came to nothing, in one line.
    #[derive(Debug)]
    pub enum CliError {
        /// A file can't be read.
        File(file: String, error: io::Error) {
            display("{}: {}", file, error)
        }
        /// A file is wrong.
        Wrong(file: String, what: String) {
            display("{}: {}", file, what)
        }
        /// No address gave an answer; what each of them came to.
        NoAnswer(tries: String) {
            display("no answer: {}", tries)
        }
        /// As [`CliError::NoAnswer`], of a call that may have been done all the same.
        Unsettled(tries: String, base: u64) {
            display("it isn't known whether the configuration was taken; the same command with --base {} \
                     can be repeated without harm: {}", base, tries)
        }
        /// The system refuses what was asked.
        Refused(at: SocketAddr, status: u16, why: String) {
            display("refused by {} ({}): {}", at, status, why)
        }
        /// An answer that this program doesn't understand.
        Answer(at: SocketAddr, what: String) {
            display("the answer of {} can't be read: {}", at, what)
        }
        /// There is no configuration to print.
        NoConfig {
            display("there is no configuration yet")
        }
        /// What was found can't be printed.
        Output(error: io::Error) {
            display("can't print: {}", error)
        }
    }
}

/// Carries a command out and writes what it found to `out`; where it writes JSON, a file that is wrong is told
/// there too.
pub fn run(command: Command, out: &mut impl Write) -> Result<(), CliError> {
    match command {
        Command::Check { file, json } => check_settings(&file, json, out),
        Command::Config(ConfigCommand::Check { file, json }) => check_config(&file, json, out),
        Command::Config(ConfigCommand::Get(asking)) => {
            let (_, mut body) = Client::new(&asking.at).config()?.ok_or(CliError::NoConfig)?;
            if body.last() != Some(&b'\n') {
                body.push(b'\n');
            }
            print(out, &body)
        }
        Command::Config(ConfigCommand::Put { file, base, asking }) => put(&file, base, &asking, out),
        Command::Config(ConfigCommand::Diff { file, asking }) => diff(&file, &asking, out),
        Command::Status(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status, status_text)
        }
        Command::Members(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status.members, |_| members_text(&status))
        }
        Command::Primaries(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status.primaries, |_| primaries_text(&status))
        }
    }
}

fn print(out: &mut impl Write, bytes: &[u8]) -> Result<(), CliError> {
    match out.write_all(bytes).and_then(|()| out.flush()) {
        // Who reads has seen enough, `head` say.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done.map_err(CliError::Output),
    }
}

fn show<T: SerJson>(
    out: &mut impl Write, json: bool, what: &T, text: impl Fn(&T) -> String,
) -> Result<(), CliError> {
    let text = if json { what.serialize_json() + "\n" } else { text(what) };
    print(out, text.as_bytes())
}

fn name(file: &Path) -> String {
    if file == Path::new("-") { "standard input".to_owned() } else { file.display().to_string() }
}

fn read(file: &Path) -> Result<Vec<u8>, CliError> {
    let mut bytes = Vec::new();
    let done = match file == Path::new("-") {
        true => io::stdin().read_to_end(&mut bytes).map(drop),
        false => std::fs::read(file).map(|read| bytes = read),
    };
    done.map(|()| bytes).map_err(|e| CliError::File(name(file), e))
}

/// What `check --json` prints.
#[derive(SerJson)]
#[nserde(serialize_none_as_null)]
struct SettingsVerdict {
    file: String,
    valid: bool,
    line: Option<usize>,
    field: Option<String>,
    error: Option<String>,
}

fn check_settings(file: &Path, json: bool, out: &mut impl Write) -> Result<(), CliError> {
    let bytes = read(file)?;
    let checked = match String::from_utf8(bytes) {
        Ok(text) => Settings::read(&text).and_then(whole),
        Err(e) => {
            let line =
                e.as_bytes()[..e.utf8_error().valid_up_to()].iter().filter(|b| **b == b'\n').count() + 1;
            Err(SettingsError::Line(line, "no UTF-8".to_owned()))
        }
    };
    let found = match &checked {
        Ok(_) | Err(SettingsError::Line(0, _)) => (None, None),
        Err(SettingsError::Line(line, _)) => (Some(*line), None),
        Err(SettingsError::Missing(field)) => (None, Some((*field).to_owned())),
        Err(SettingsError::Wrong(line, field, ..)) => (Some(*line).filter(|l| *l > 0), Some(field.clone())),
    };
    if json {
        let verdict = SettingsVerdict {
            file: name(file),
            valid: checked.is_ok(),
            line: found.0,
            field: found.1,
            error: checked.as_ref().err().map(SettingsError::to_string),
        };
        print(out, (verdict.serialize_json() + "\n").as_bytes())?;
    }
    let settings = checked.map_err(|e| CliError::Wrong(name(file), e.to_string()))?;
    if json {
        return Ok(());
    }
    let part = match (settings.front, settings.control) {
        (Some(front), Some(control)) => format!("router at {front}, control at {control}"),
        (Some(front), None) => format!("router at {front}"),
        (None, Some(control)) => format!("control at {control}"),
        (None, None) => "neither router nor control".to_owned(),
    };
    print(out, format!("{}: valid: {}, {part}\n", name(file), settings.node_name).as_bytes())
}

/// What each field alone doesn't show: whether a process can do with the file what it is told to.
fn whole(settings: Settings) -> Result<Settings, SettingsError> {
    if settings.control.is_some() && settings.state_dir.is_none() {
        return Err(SettingsError::Missing("state_dir"));
    }
    if settings.serves("coordinator") && settings.control.is_none() {
        return Err(SettingsError::Missing("bind_addrs.control"));
    }
    if settings.serves("edge") && settings.front.is_none() {
        return Err(SettingsError::Missing("bind_addrs.front"));
    }
    if settings.front.is_some() && settings.seeds.is_empty() {
        return Err(SettingsError::Missing("seeds"));
    }
    Ok(settings)
}

/// What `config check --json` prints.
#[derive(SerJson)]
#[nserde(serialize_none_as_null)]
struct ConfigVerdict {
    file: String,
    valid: bool,
    epoch: Option<u64>,
    routes: Option<usize>,
    services: Option<usize>,
    error: Option<String>,
}

/// Reads a configuration; an error tells the line and column where it breaks off.
fn read_config(file: &Path) -> Result<(Vec<u8>, Result<Config, CliError>), CliError> {
    let body = read(file)?;
    let config = Config::read(&body).map_err(|e| CliError::Wrong(name(file), placed(&e, &body)));
    Ok((body, config))
}

fn placed(error: &ConfigError, body: &[u8]) -> String {
    let ConfigError::Unreadable(JsonError::Syntax(at, what)) = error else { return error.to_string() };
    let before = &body[..(*at).min(body.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    format!("can't be read: line {line}, column {column}: {what}")
}

fn check_config(file: &Path, json: bool, out: &mut impl Write) -> Result<(), CliError> {
    let (_, config) = read_config(file)?;
    if json {
        let config_ref = config.as_ref();
        let verdict = ConfigVerdict {
            file: name(file),
            valid: config.is_ok(),
            epoch: config_ref.ok().map(|c| c.epoch),
            routes: config_ref.ok().map(|c| c.routes.len()),
            services: config_ref.ok().map(|c| c.services.len()),
            error: config_ref.err().map(CliError::to_string),
        };
        print(out, (verdict.serialize_json() + "\n").as_bytes())?;
    }
    let config = config?;
    if json {
        return Ok(());
    }
    let (routes, services) = (config.routes.len(), config.services.len());
    let text =
        format!("{}: valid: version {}, {routes} routes, {services} services\n", name(file), config.epoch);
    print(out, text.as_bytes())
}

/// What `config put --json` prints.
#[derive(SerJson)]
struct PutVerdict {
    epoch: u64,
    base: u64,
    /// Whether it was in force before this call.
    was_in_force: bool,
}

fn put(file: &Path, base: Option<u64>, asking: &Asking, out: &mut impl Write) -> Result<(), CliError> {
    let (body, config) = read_config(file)?;
    let epoch = config?.epoch;
    let mut client = Client::new(&asking.at);
    let (base, was_in_force) = match base {
        Some(base) => (base, false),
        None => match client.config()? {
            Some((current, text)) => (current.epoch, text == body),
            None => (0, false),
        },
    };
    if !was_in_force {
        client.replace(base, &body)?;
    }
    show(out, asking.json, &PutVerdict { epoch, base, was_in_force }, |_| match was_in_force {
        true => format!("version {epoch} is in force already\n"),
        false => format!("version {epoch} is in force; it builds on {base}\n"),
    })
}

/// What `config diff --json` prints.
#[derive(SerJson)]
struct Difference {
    from: u64,
    to: u64,
    changes: Vec<String>,
}

fn diff(file: &Path, asking: &Asking, out: &mut impl Write) -> Result<(), CliError> {
    let (_, config) = read_config(file)?;
    let config = config?;
    let current = match Client::new(&asking.at).config()? {
        Some((current, _)) => current,
        None => Config::read(br#"{"epoch":0,"routes":[],"backends":[]}"#)
            .map_err(|e| CliError::Wrong("the empty configuration".to_owned(), e.to_string()))?,
    };
    let found =
        Difference { from: current.epoch, to: config.epoch, changes: config::diff(&current, &config) };
    show(out, asking.json, &found, |found| {
        if found.changes.is_empty() {
            return format!("no difference to version {}\n", found.from);
        }
        found.changes.iter().map(|line| text::clean(line) + "\n").collect()
    })
}

/// A change's phase in plain words.
fn phase(primary: &PrimaryStatus) -> &str {
    match primary.phase.as_str() {
        "finding" => "being looked for",
        "steady" if primary.in_use => "in service",
        "steady" => "not in use",
        "closing" => "given up, routers let go of it",
        "handing" => "leaves, hands over",
        "agreeing" => "leaves, the next is agreed on",
        "promoting" => "leaves, the next is being promoted",
        "switching" => "promoted, routers change over",
        other => other,
    }
}

fn word(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

/// What only the machine that leads can tell is missing; said where that may mislead.
fn partial(status: &Status) -> String {
    match status.leads {
        true => String::new(),
        false => format!(
            "{} answered and doesn't lead: primaries and routers aren't known to it\n",
            text::clean(&status.node)
        ),
    }
}

fn status_text(status: &Status) -> String {
    let mut pairs = Table::new(&[]);
    let draining = status.members.iter().filter(|m| m.draining).count();
    let version = match status.epoch {
        0 => "none yet".to_owned(),
        epoch => format!("version {epoch}"),
    };
    pairs.row(&["answered by", &status.node]);
    pairs.row(&["leader", status.leader.as_deref().map_or("none", word)]);
    pairs.row(&["voters", word(&status.voters.join(", "))]);
    pairs.row(&["configuration", &version]);
    if status.leads {
        pairs.row(&["routers", &status.routers.to_string()]);
    }
    pairs.row(&["lease", &format!("{} s", status.lease_s)]);
    pairs.row(&["servers", &format!("{}, of which {draining} draining", status.members.len())]);
    let mut text = pairs.text();
    match status.leads {
        true => write!(text, "\n{}", primaries_text(status)).unwrap_or_default(),
        false => text += &partial(status),
    }
    text
}

fn members_text(status: &Status) -> String {
    let mut table = Table::new(&["SERVICE", "SERVER", "ENDPOINT", "ZONE", "SLOTS", "ROLE", "STATE"]);
    let mut members: Vec<&MemberStatus> = status.members.iter().collect();
    members.sort_by(|a, b| (&a.service, &a.zone, &a.id).cmp(&(&b.service, &b.zone, &b.id)));
    for m in members {
        let role = match status.primaries.iter().find(|p| p.service == m.service) {
            Some(p) if p.id.is_empty() => "-",
            Some(p) if p.id == m.id => "primary",
            Some(_) => "replica",
            None => "-",
        };
        let state = if m.draining { "draining" } else { "ready" };
        table.row(&[&m.service, &m.id, &m.endpoint, word(&m.zone), &m.slots.to_string(), role, state]);
    }
    match status.members.is_empty() {
        true => "no servers are known\n".to_owned() + &partial(status),
        false => table.text() + &partial(status),
    }
}

fn primaries_text(status: &Status) -> String {
    if status.primaries.is_empty() {
        return match status.leads {
            true => "no services are known\n".to_owned(),
            false => partial(status),
        };
    }
    let mut table = Table::new(&["SERVICE", "PRIMARY", "TERM", "ENDPOINT", "ZONE", "STATE"]);
    let mut primaries: Vec<&PrimaryStatus> = status.primaries.iter().collect();
    primaries.sort_by(|a, b| a.service.cmp(&b.service));
    for p in primaries {
        let member = status.members.iter().find(|m| m.id == p.id && m.service == p.service);
        let endpoint = member.map_or("-", |m| word(&m.endpoint));
        let zone = member.map_or("-", |m| word(&m.zone));
        let term = if p.id.is_empty() { "-".to_owned() } else { p.term.to_string() };
        table.row(&[&p.service, word(&p.id), &term, endpoint, zone, phase(p)]);
    }
    table.text()
}
