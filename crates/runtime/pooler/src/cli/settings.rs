//! `check`: whether a settings file is right.

use super::CliError;
use super::files::{name, read};
use super::output::print;
use badgerstream_pooler_config::settings::{Settings, SettingsError};
use nanoserde::SerJson;
use std::io::Write;
use std::path::Path;

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

/// Checks a settings file and prints the verdict.
pub(super) fn check(file: &Path, json: bool, out: &mut impl Write) -> Result<(), CliError> {
    let bytes = read(file)?;
    let checked = match String::from_utf8(bytes) {
        Ok(text) => Settings::read(&text).and_then(check_complete),
        Err(e) => {
            let line = e.as_bytes()[..e.utf8_error().valid_up_to()]
                .iter()
                .filter(|b| **b == b'\n')
                .count()
                + 1;
            Err(SettingsError::InvalidLine {
                line,
                problem: "no UTF-8".to_owned(),
            })
        }
    };
    let found = match &checked {
        Ok(_) | Err(SettingsError::InvalidLine { line: 0, .. }) => (None, None),
        Err(SettingsError::InvalidLine { line, .. }) => (Some(*line), None),
        Err(SettingsError::Missing(field)) => (None, Some((*field).to_owned())),
        Err(SettingsError::InvalidValue { line, field, .. }) => {
            (Some(*line).filter(|l| *l > 0), Some(field.clone()))
        }
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
    print(
        out,
        format!("{}: valid: {}, {part}\n", name(file), settings.node_name).as_bytes(),
    )
}

/// What each field alone doesn't show: whether a process can do with the file what it is told to.
fn check_complete(settings: Settings) -> Result<Settings, SettingsError> {
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
