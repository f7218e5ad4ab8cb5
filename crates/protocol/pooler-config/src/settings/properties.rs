//! The fields of a settings file as texts with their lines, and the types that they are read as.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::str::FromStr;

use java_properties::{LineContent, PropertiesIter};

use super::{PortRange, SettingsError};

/// An integer written with a fraction of 0 is taken below this, where `f64` is still exact.
const MAX_INTEGRAL_FLOAT: f64 = 1e15;

/// The fields of a settings file.
pub(super) struct Properties {
    fields: HashMap<String, Field>,
}

struct Field {
    /// Counted from 1.
    line: usize,
    value: String,
}

impl Properties {
    pub(super) fn parse(text: &str) -> Result<Properties, SettingsError> {
        let mut fields = HashMap::new();
        for line in PropertiesIter::new(escape_non_ascii(text).as_bytes()) {
            let line = line.map_err(|error| SettingsError::InvalidLine {
                line: error.line_number().unwrap_or(0),
                problem: error.to_string(),
            })?;
            let line_number = line.line_number();
            if let LineContent::KVPair(name, value) = line.consume_content() {
                let value = value.trim().to_owned();
                let line = line_number;
                fields.insert(name, Field { line, value });
            }
        }
        Ok(Properties { fields })
    }

    /// The text of a field; an empty one counts as absent.
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.fields
            .get(name)
            .map(|field| field.value.as_str())
            .filter(|value| !value.is_empty())
    }

    /// The fields whose names begin so, without the prefix; empty ones too.
    pub(super) fn with_prefix(&self, prefix: &str) -> BTreeMap<String, String> {
        self.fields
            .iter()
            .filter_map(|(name, field)| {
                Some((name.strip_prefix(prefix)?.to_owned(), field.value.clone()))
            })
            .collect()
    }

    pub(super) fn required(&self, name: &'static str) -> Result<String, SettingsError> {
        self.text(name)
            .map(str::to_owned)
            .ok_or(SettingsError::Missing(name))
    }

    /// The error for a field whose value is invalid.
    pub(super) fn invalid(&self, name: &str, problem: &str) -> SettingsError {
        self.invalid_value(name, self.text(name).unwrap_or_default(), problem)
    }

    fn invalid_value(&self, name: &str, value: &str, problem: &str) -> SettingsError {
        SettingsError::InvalidValue {
            line: self.fields.get(name).map_or(0, |field| field.line),
            field: name.to_owned(),
            value: value.to_owned(),
            problem: problem.to_owned(),
        }
    }

    pub(super) fn parsed<T: FromStr>(
        &self,
        name: &str,
        problem: &str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.text(name) else {
            return Ok(None);
        };
        value
            .parse()
            .map(Some)
            .map_err(|_| self.invalid(name, problem))
    }

    /// The items of a list; empty ones are ignored.
    fn items(&self, name: &str) -> impl Iterator<Item = &str> {
        self.text(name)
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
    }

    pub(super) fn words(&self, name: &str) -> Vec<String> {
        self.items(name).map(str::to_owned).collect()
    }

    pub(super) fn address(&self, name: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.parsed(name, "is no address with a port")
    }

    pub(super) fn addresses(&self, name: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        self.items(name)
            .map(|item| {
                item.parse()
                    .map_err(|_| self.invalid_value(name, item, "is no address with a port"))
            })
            .collect()
    }

    pub(super) fn port_range(&self, name: &str) -> Result<Option<PortRange>, SettingsError> {
        let Some(value) = self.text(name) else {
            return Ok(None);
        };
        match parse_port_range(value) {
            Some(range) if 0 < range.first && range.first <= range.last => Ok(Some(range)),
            _ => Err(self.invalid(name, "is no range of ports (first,last)")),
        }
    }

    pub(super) fn flag(&self, name: &str, default: bool) -> Result<bool, SettingsError> {
        match self.text(name) {
            None => Ok(default),
            Some(value) if value.eq_ignore_ascii_case("true") => Ok(true),
            Some(value) if value.eq_ignore_ascii_case("false") => Ok(false),
            Some(_) => Err(self.invalid(name, "is neither true nor false")),
        }
    }

    /// A finite number from 0 on.
    pub(super) fn number(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        let number: f64 = self.parsed(name, "is no number")?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(self.invalid(name, "is no number from 0 on"))
        }
    }

    /// A finite number above 0.
    pub(super) fn positive(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        let number = self.number(name, default)?;
        if number > 0.0 {
            Ok(number)
        } else {
            Err(self.invalid(name, "is not above 0"))
        }
    }

    /// An integer from 0 on; `260.0` is one too.
    pub(super) fn integer<T: TryFrom<u64>>(
        &self,
        name: &str,
        default: T,
    ) -> Result<T, SettingsError> {
        let Some(value) = self.text(name) else {
            return Ok(default);
        };
        value
            .parse()
            .ok()
            .or_else(|| parse_integral_float(value))
            .and_then(|integer| T::try_from(integer).ok())
            .ok_or_else(|| self.invalid(name, "is no whole number from 0 on, or too great"))
    }

    /// A duration in the unit of the field's name, above 0.
    pub(super) fn duration(&self, name: &str, default: u64) -> Result<u64, SettingsError> {
        match self.integer(name, default)? {
            0 => Err(self.invalid(name, "is not above 0")),
            duration => Ok(duration),
        }
    }
}

fn parse_port_range(text: &str) -> Option<PortRange> {
    let (first, last) = text.split_once(',')?;
    Some(PortRange {
        first: first.trim().parse().ok()?,
        last: last.trim().parse().ok()?,
    })
}

fn parse_integral_float(text: &str) -> Option<u64> {
    let number: f64 = text.parse().ok()?;
    let is_integer = number.fract() == 0.0 && (0.0..MAX_INTEGRAL_FLOAT).contains(&number);
    is_integer.then_some(number as u64)
}

/// The text with `\uXXXX` for what isn't ASCII: `java-properties` decodes its input as
/// Windows-1252.
fn escape_non_ascii(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_ascii() {
            escaped.push(character);
        } else if u32::from(character) <= 0xffff {
            escaped.push_str(&format!("\\u{:04x}", u32::from(character)));
        } else {
            // Beyond what such an escape can express.
            escaped.push('?');
        }
    }
    escaped
}
