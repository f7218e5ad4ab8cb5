//! `config`: checks a configuration, puts it in force, or compares it with the one in force.

use super::files::{name, read};
use super::output::{print, print_value};
use super::table::without_control_chars;
use super::{CallArguments, CliError, Client, CurrentConfig};
use badgerstream_pooler_config::JsonError;
use badgerstream_pooler_config::config::{self, Config, ConfigError};
use nanoserde::SerJson;
use std::io::Write;
use std::path::Path;

/// The output of `config check --json`.
#[derive(SerJson)]
#[nserde(serialize_none_as_null)]
struct ConfigVerdict {
    file: String,
    valid: bool,
    epoch: Option<u64>,
    routes: Option<usize>,
    services: Option<usize>,
    /// Paths of fields that are stored but have no effect.
    without_effect: Vec<String>,
    error: Option<String>,
}

/// The text of a configuration file and the result of parsing it.
struct ConfigFile {
    text: Vec<u8>,
    /// [`CliError::InvalidFile`] if the text is not a valid configuration.
    config: Result<Config, CliError>,
}

/// Reads and parses a configuration file.
fn read_config(file: &Path) -> Result<ConfigFile, CliError> {
    let text = read(file)?;
    let config = Config::parse(&text).map_err(|error| CliError::InvalidFile {
        file: name(file),
        reason: with_line_and_column(&error, &text),
    });
    Ok(ConfigFile { text, config })
}

/// Returns the text of an error, with line and column if it is a syntax error.
fn with_line_and_column(error: &ConfigError, text: &[u8]) -> String {
    let ConfigError::Unreadable(JsonError::Syntax {
        offset,
        problem: reason,
    }) = error
    else {
        return error.to_string();
    };
    let before = &text[..(*offset).min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    format!("can't be read: line {line}, column {column}: {reason}")
}

/// Checks a configuration and prints the verdict.
pub(super) fn check(file: &Path, json: bool, out: &mut impl Write) -> Result<(), CliError> {
    let ConfigFile { text, config } = read_config(file)?;
    let without_effect = config::fields_without_effect(&text).unwrap_or_default();
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
    for path in without_effect {
        text += &format!(
            "{}: note: {} is stored but has no effect\n",
            name(file),
            without_control_chars(&path)
        );
    }
    print(out, text.as_bytes())
}

/// The output of `config put --json`.
#[derive(SerJson)]
struct PutResult {
    epoch: u64,
    base: u64,
    /// Whether the configuration was already in force before this command.
    was_in_force: bool,
}

/// Puts a configuration in force, unless it is already in force.
pub(super) fn put(
    file: &Path,
    base: Option<u64>,
    arguments: &CallArguments,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let ConfigFile { text, config } = read_config(file)?;
    let epoch = config?.epoch;
    let mut client = Client::new(&arguments.addresses);
    let (base, was_in_force) = match base {
        Some(base) => (base, false),
        None => match client.config()? {
            Some(current) => (current.config.epoch, current.text == text),
            None => (0, false),
        },
    };
    if !was_in_force {
        client.replace(base, &text)?;
    }
    print_value(
        out,
        arguments.json,
        &PutResult {
            epoch,
            base,
            was_in_force,
        },
        |_| {
            if was_in_force {
                format!("version {epoch} is already in force\n")
            } else {
                format!("version {epoch} is now in force; it replaces version {base}\n")
            }
        },
    )
}

/// The output of `config diff --json`.
#[derive(SerJson)]
struct ConfigDiff {
    from: u64,
    to: u64,
    changes: Vec<String>,
}

/// Prints the differences between the configuration in force and the one in this file.
pub(super) fn diff(
    file: &Path,
    arguments: &CallArguments,
    out: &mut impl Write,
) -> Result<(), CliError> {
    let config = read_config(file)?.config?;
    let current = match Client::new(&arguments.addresses).config()? {
        Some(CurrentConfig { config, .. }) => config,
        None => empty_config()?,
    };
    let diff = ConfigDiff {
        from: current.epoch,
        to: config.epoch,
        changes: config::diff(&current, &config),
    };
    print_value(out, arguments.json, &diff, |diff| {
        if diff.changes.is_empty() {
            return format!("no difference from version {}\n", diff.from);
        }
        diff.changes
            .iter()
            .map(|line| without_control_chars(line) + "\n")
            .collect()
    })
}

/// Returns the empty configuration, with which the first configuration is compared.
fn empty_config() -> Result<Config, CliError> {
    Config::parse(br#"{"epoch":0,"routes":[],"backends":[]}"#).map_err(|error| {
        CliError::InvalidFile {
            file: "the empty configuration".to_owned(),
            reason: error.to_string(),
        }
    })
}
