//! `config`: a configuration is checked, put in force, and compared with the one in force.

use super::files::{name, read};
use super::output::{print, show};
use super::{Asking, CliError, Client, text};
use badgerstream_pooler_config::JsonError;
use badgerstream_pooler_config::config::{self, Config, ConfigError};
use nanoserde::SerJson;
use std::io::Write;
use std::path::Path;

/// What `config check --json` prints.
#[derive(SerJson)]
#[nserde(serialize_none_as_null)]
struct ConfigVerdict {
    file: String,
    valid: bool,
    epoch: Option<u64>,
    routes: Option<usize>,
    services: Option<usize>,
    /// Fields that are kept and have no effect, by where they stand.
    without_effect: Vec<String>,
    error: Option<String>,
}

/// Reads a configuration; an error tells the line and column where it breaks off.
fn read_config(file: &Path) -> Result<(Vec<u8>, Result<Config, CliError>), CliError> {
    let body = read(file)?;
    let config = Config::read(&body).map_err(|e| CliError::Wrong(name(file), locate(&e, &body)));
    Ok((body, config))
}

/// An error with the line and column where a configuration breaks off.
fn locate(error: &ConfigError, body: &[u8]) -> String {
    let ConfigError::Unreadable(JsonError::Syntax(at, what)) = error else {
        return error.to_string();
    };
    let before = &body[..(*at).min(body.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    format!("can't be read: line {line}, column {column}: {what}")
}

/// Checks a configuration and prints the verdict.
pub(super) fn check(file: &Path, json: bool, out: &mut impl Write) -> Result<(), CliError> {
    let (body, config) = read_config(file)?;
    let without_effect = config::without_effect(&body).unwrap_or_default();
    if json {
        let config_ref = config.as_ref();
        let verdict = ConfigVerdict {
            file: name(file),
            valid: config.is_ok(),
            epoch: config_ref.ok().map(|c| c.epoch),
            routes: config_ref.ok().map(|c| c.routes.len()),
            services: config_ref.ok().map(|c| c.services.len()),
            without_effect: without_effect.clone(),
            error: config_ref.err().map(CliError::to_string),
        };
        print(out, (verdict.serialize_json() + "\n").as_bytes())?;
    }
    let config = config?;
    if json {
        return Ok(());
    }
    let (routes, services) = (config.routes.len(), config.services.len());
    let mut text = format!(
        "{}: valid: version {}, {routes} routes, {services} services\n",
        name(file),
        config.epoch
    );
    for place in without_effect {
        text += &format!(
            "{}: note: {} is kept and has no effect\n",
            name(file),
            text::clean(&place)
        );
    }
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

/// Puts a configuration in force, unless it is already.
pub(super) fn put(
    file: &Path,
    base: Option<u64>,
    asking: &Asking,
    out: &mut impl Write,
) -> Result<(), CliError> {
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
    show(
        out,
        asking.json,
        &PutVerdict {
            epoch,
            base,
            was_in_force,
        },
        |_| match was_in_force {
            true => format!("version {epoch} is in force already\n"),
            false => format!("version {epoch} is taken; it builds on {base}\n"),
        },
    )
}

/// What `config diff --json` prints.
#[derive(SerJson)]
struct Difference {
    from: u64,
    to: u64,
    changes: Vec<String>,
}

/// Prints what a configuration would change.
pub(super) fn diff(file: &Path, asking: &Asking, out: &mut impl Write) -> Result<(), CliError> {
    let (_, config) = read_config(file)?;
    let config = config?;
    let current = match Client::new(&asking.at).config()? {
        Some((current, _)) => current,
        None => Config::read(br#"{"epoch":0,"routes":[],"backends":[]}"#)
            .map_err(|e| CliError::Wrong("the empty configuration".to_owned(), e.to_string()))?,
    };
    let found = Difference {
        from: current.epoch,
        to: config.epoch,
        changes: config::diff(&current, &config),
    };
    show(out, asking.json, &found, |found| {
        if found.changes.is_empty() {
            return format!("no difference to version {}\n", found.from);
        }
        found
            .changes
            .iter()
            .map(|line| text::clean(line) + "\n")
            .collect()
    })
}
