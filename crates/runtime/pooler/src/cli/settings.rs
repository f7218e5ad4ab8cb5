//! `check`: checks a settings file.

use super::CliError;
use super::files::{name, read};
use super::output::print;
use badgerstream_pooler_config::settings::{Settings, SettingsError};
use nanoserde::SerJson;
use std::io::Write;
use std::path::Path;

/// The output of `check --json`.
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
    let checked = read_settings(read(file)?).and_then(check_complete);
    if json {
        print(
            out,
            (verdict(file, &checked).serialize_json() + "\n").as_bytes(),
        )?;
    }
    let settings = checked.map_err(|error| CliError::InvalidFile {
        file: name(file),
        reason: error.to_string(),
    })?;
    if json {
        return Ok(());
    }
    let roles = match (settings.front_address, settings.control_address) {
        (Some(front), Some(control)) => format!("router at {front}, control at {control}"),
        (Some(front), None) => format!("router at {front}"),
        (None, Some(control)) => format!("control at {control}"),
        (None, None) => "neither router nor control".to_owned(),
    };
    print(
        out,
        format!("{}: valid: {}, {roles}\n", name(file), settings.node_name).as_bytes(),
    )
}

fn read_settings(bytes: Vec<u8>) -> Result<Settings, SettingsError> {
    let text = String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = valid.iter().filter(|byte| **byte == b'\n').count() + 1;
        SettingsError::InvalidLine {
            line,
            problem: "not valid UTF-8".to_owned(),
        }
    })?;
    Settings::parse(&text)
}

fn verdict(file: &Path, checked: &Result<Settings, SettingsError>) -> SettingsVerdict {
    // Line 0 stands for none.
    let (line, field) = match checked {
        Ok(_) => (0, None),
        Err(SettingsError::InvalidLine { line, .. }) => (*line, None),
        Err(SettingsError::Missing(field)) => (0, Some((*field).to_owned())),
        Err(SettingsError::InvalidValue { line, field, .. }) => (*line, Some(field.clone())),
    };
    SettingsVerdict {
        file: name(file),
        valid: checked.is_ok(),
        line: Some(line).filter(|line| *line > 0),
        field,
        error: checked.as_ref().err().map(SettingsError::to_string),
    }
}

/// Checks rules that concern several fields: each role must have all the settings that it needs.
fn check_complete(settings: Settings) -> Result<Settings, SettingsError> {
    if settings.control_address.is_some() && settings.state_dir.is_none() {
        return Err(SettingsError::Missing("state_dir"));
    }
    if settings.serves("coordinator") && settings.control_address.is_none() {
        return Err(SettingsError::Missing("bind_addrs.control"));
    }
    if settings.serves("edge") && settings.front_address.is_none() {
        return Err(SettingsError::Missing("bind_addrs.front"));
    }
    if settings.front_address.is_some() && settings.seeds.is_empty() {
        return Err(SettingsError::Missing("seeds"));
    }
    Ok(settings)
}
