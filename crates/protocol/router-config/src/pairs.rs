//! Values by their path, whatever form they were handed over in.

use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Unknown paths are passed over: the pages say that keys may be added.
#[derive(Default, PartialEq)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    pub fn from_lines(text: &str) -> Pairs {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Pairs(
            pairs
                .map(|(path, value)| (path.to_string(), value.to_string()))
                .collect(),
        )
    }

    /// Plain values in a list are joined by commas; of objects in a list the number stands under `count`.
    pub fn from_json(settings: &Value) -> Pairs {
        let mut pairs = Pairs::default();
        pairs.flatten("", settings);
        pairs
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

    pub fn text(&self, path: &str) -> Result<&str, String> {
        self.0
            .get(path)
            .map(String::as_str)
            .ok_or_else(|| format!("setting {path} is missing"))
    }

    pub fn read<T: FromStr>(&self, path: &str) -> Result<T, String> {
        parse(path, self.text(path)?)
    }

    pub fn read_or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, String> {
        self.0
            .get(path)
            .map_or(Ok(absent), |text| parse(path, text))
    }

    /// Milliseconds as seconds; no time that is told at start is negative or endless.
    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        let ms: f64 = self.read(path)?;
        let fits = (0.0..1e15).contains(&ms);
        if fits {
            Ok(ms / 1e3)
        } else {
            Err(format!("setting {path} is no time: {ms}"))
        }
    }

    /// The names that objects of a list have, in their order.
    pub fn names(&self, list: &str) -> Result<Vec<String>, String> {
        let count = self.read_or(&format!("{list}.count"), 0)?;
        (0..count)
            .map(|i: usize| Ok(self.text(&format!("{list}.{i}.name"))?.to_string()))
            .collect()
    }
}

/// A comma or a space inside a value would read as the end of it.
fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}

pub(crate) fn parse<T: FromStr>(path: &str, text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("setting {path} cannot be read: {text:?}"))
}
