//! Settings as text values by their path, from lines of path=value or from nested JSON.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings by their path. Unknown paths are ignored, because the platform may add keys.
#[derive(Default, PartialEq)]
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    /// Parses lines of path=value; lines without an equals sign are ignored.
    pub fn from_lines(text: &str) -> FlatSettings {
        let settings = text.lines().filter_map(|line| line.split_once('='));
        FlatSettings(
            settings
                .map(|(path, value)| (path.to_string(), value.to_string()))
                .collect(),
        )
    }

    /// Flattens nested JSON. Plain values of a list are joined by commas. For a list of objects, the length is stored
    /// under `count` and each object under its index.
    pub fn from_json(json: &Value) -> FlatSettings {
        let mut settings = FlatSettings::default();
        settings.flatten("", json);
        settings
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let under = |key: &str| {
            if path.is_empty() {
                key.to_string()
            } else {
                format!("{path}.{key}")
            }
        };
        match value {
            Value::Object(fields) => fields
                .iter()
                .for_each(|(key, v)| self.flatten(&under(key), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, v)| self.flatten(&under(&i.to_string()), v));
            }
            Value::Array(items) => {
                let joined: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), joined.join(","));
            }
            _ => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }

    /// Returns the text of a setting.
    ///
    /// # Errors
    ///
    /// Fails if the setting is missing.
    pub fn text(&self, path: &str) -> Result<&str, String> {
        self.0
            .get(path)
            .map(String::as_str)
            .ok_or_else(|| format!("setting {path} is missing"))
    }

    /// Parses a setting.
    ///
    /// # Errors
    ///
    /// Fails if the setting is missing or can't be parsed as the type.
    pub fn parse<T: FromStr>(&self, path: &str) -> Result<T, String> {
        parse(path, self.text(path)?)
    }

    /// Parses a setting, or returns the default if it is missing.
    ///
    /// # Errors
    ///
    /// Fails if the setting can't be parsed as the type.
    pub fn parse_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, String> {
        self.0
            .get(path)
            .map_or(Ok(default), |text| parse(path, text))
    }

    /// Parses a duration in milliseconds and returns it in seconds.
    ///
    /// # Errors
    ///
    /// Fails if the setting is missing, is no number, or is not from 0 to below 1e15 ms.
    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        let ms: f64 = self.parse(path)?;
        let in_range = (0.0..1e15).contains(&ms);
        if in_range {
            Ok(ms / 1e3)
        } else {
            Err(format!(
                "setting {path} must be a time from 0 to below 1e15 ms, found {ms}"
            ))
        }
    }

    /// Returns the names of the objects of a list, in order; a missing list is empty.
    ///
    /// # Errors
    ///
    /// Fails if the length can't be parsed or an object has no name.
    pub fn names(&self, list: &str) -> Result<Vec<String>, String> {
        let count = self.parse_or(&format!("{list}.count"), 0)?;
        (0..count)
            .map(|i: usize| Ok(self.text(&format!("{list}.{i}.name"))?.to_string()))
            .collect()
    }
}

/// Returns a plain value as text. Spaces and commas within it become underscores, since they separate values.
fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}

pub(crate) fn parse<T: FromStr>(path: &str, text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("setting {path} has the invalid value {text:?}"))
}
