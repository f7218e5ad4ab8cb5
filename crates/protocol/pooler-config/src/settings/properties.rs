//! Parses a settings file into fields with their line numbers, and converts their values to types.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::str::FromStr;

use java_properties::{LineContent, PropertiesIter};

use super::{PortRange, SettingsError};

/// An integer written with a zero fraction, such as `260.0`, must be below this limit, up to which
/// `f64` represents integers exactly.
const MAX_INTEGRAL_FLOAT: f64 = 1e15;

/// The fields of a settings file.
pub(super) struct Properties {
    fields: HashMap<String, Field>,
}

struct Field {
    /// The line number, counted from 1.
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

    /// Returns the value of a field; an empty value counts as missing.
    pub(super) fn value(&self, name: &str) -> Option<&str> {
        self.fields
            .get(name)
            .map(|field| field.value.as_str())
            .filter(|value| !value.is_empty())
    }

    /// Returns the values of the fields whose names start with the prefix, by name without the
    /// prefix. Includes empty values.
    pub(super) fn values_with_prefix(&self, prefix: &str) -> BTreeMap<String, String> {
        self.fields
            .iter()
            .filter_map(|(name, field)| {
                Some((name.strip_prefix(prefix)?.to_owned(), field.value.clone()))
            })
            .collect()
    }

    pub(super) fn required(&self, name: &'static str) -> Result<String, SettingsError> {
        self.value(name)
            .map(str::to_owned)
            .ok_or(SettingsError::Missing(name))
    }

    /// Returns the error for a field whose value is invalid.
    pub(super) fn invalid_field(&self, name: &str, problem: &str) -> SettingsError {
        self.invalid_value(name, self.value(name).unwrap_or_default(), problem)
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
        let Some(value) = self.value(name) else {
            return Ok(None);
        };
        value
            .parse()
            .map(Some)
            .map_err(|_| self.invalid_field(name, problem))
    }

    /// Returns the items of a list without the empty ones.
    fn list_items(&self, name: &str) -> impl Iterator<Item = &str> {
        self.value(name)
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
    }

    pub(super) fn string_list(&self, name: &str) -> Vec<String> {
        self.list_items(name).map(str::to_owned).collect()
    }

    pub(super) fn address(&self, name: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.parsed(name, "is not an IP address with a port")
    }

    pub(super) fn address_list(&self, name: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        self.list_items(name)
            .map(|item| {
                item.parse()
                    .map_err(|_| self.invalid_value(name, item, "is not an IP address with a port"))
            })
            .collect()
    }

    pub(super) fn port_range(&self, name: &str) -> Result<Option<PortRange>, SettingsError> {
        let Some(value) = self.value(name) else {
            return Ok(None);
        };
        match parse_port_range(value) {
            Some(range) if 0 < range.first && range.first <= range.last => Ok(Some(range)),
            _ => Err(self.invalid_field(
                name,
                "is not a port range first,last with 1 <= first <= last <= 65535",
            )),
        }
    }

    pub(super) fn boolean(&self, name: &str, default: bool) -> Result<bool, SettingsError> {
        match self.value(name) {
            None => Ok(default),
            Some(value) if value.eq_ignore_ascii_case("true") => Ok(true),
            Some(value) if value.eq_ignore_ascii_case("false") => Ok(false),
            Some(_) => Err(self.invalid_field(name, "is neither true nor false")),
        }
    }

    /// Returns a finite number of at least 0.
    pub(super) fn non_negative_number(
        &self,
        name: &str,
        default: f64,
    ) -> Result<f64, SettingsError> {
        let number: f64 = self.parsed(name, "is not a number")?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(self.invalid_field(name, "is not a finite number of at least 0"))
        }
    }

    /// Returns a finite number above 0.
    pub(super) fn positive_number(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        let number = self.non_negative_number(name, default)?;
        if number > 0.0 {
            Ok(number)
        } else {
            Err(self.invalid_field(name, "is not above 0"))
        }
    }

    /// Returns an integer of at least 0 that fits into `T`. A zero fraction, as in `260.0`, is
    /// accepted.
    pub(super) fn integer<T: TryFrom<u64>>(
        &self,
        name: &str,
        default: T,
    ) -> Result<T, SettingsError> {
        let Some(value) = self.value(name) else {
            return Ok(default);
        };
        value
            .parse()
            .ok()
            .or_else(|| parse_integral_float(value))
            .and_then(|integer| T::try_from(integer).ok())
            .ok_or_else(|| {
                self.invalid_field(
                    name,
                    "is not an integer of at least 0, or is too large for this field",
                )
            })
    }

    /// Returns an integer above 0.
    pub(super) fn positive_integer(&self, name: &str, default: u64) -> Result<u64, SettingsError> {
        match self.integer(name, default)? {
            0 => Err(self.invalid_field(name, "is not above 0")),
            integer => Ok(integer),
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

/// Replaces each character that isn't ASCII by its escape `\uXXXX`, since `java-properties` decodes
/// its input as Windows-1252.
fn escape_non_ascii(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_ascii() {
            escaped.push(character);
        } else if u32::from(character) <= 0xffff {
            escaped.push_str(&format!("\\u{:04x}", u32::from(character)));
        } else {
            // The escape can't represent characters above U+FFFF.
            escaped.push('?');
        }
    }
    escaped
}
