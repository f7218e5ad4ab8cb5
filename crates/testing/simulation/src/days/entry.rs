//! The entries of a day, in the format that the bench reads.

use std::fmt;

/// The value of a field of an entry.
#[derive(Debug, Clone, PartialEq)]
enum Value {
    Text(String),
    Count(u64),
    Number(f64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Text(text) => write!(f, "\"{text}\""),
            Value::Count(count) => write!(f, "{count}"),
            Value::Number(number) => write!(f, "{number:.2}"),
        }
    }
}

/// A fault or a piece of planned work, and the time at which it begins. The bench defines the names
/// of kinds and fields, and the words in their values.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    at: f64,
    kind: &'static str,
    fields: Vec<(&'static str, Value)>,
}

impl Entry {
    /// Creates an entry without fields.
    pub(super) fn new(at: f64, kind: &'static str) -> Self {
        Entry {
            at,
            kind,
            fields: Vec::new(),
        }
    }

    /// Applies the entry to this number of control machines.
    pub(super) fn on_control(self, count: u64) -> Self {
        self.text("on", "core").count(count)
    }

    pub(super) fn count(mut self, count: u64) -> Self {
        self.fields.push(("count", Value::Count(count)));
        self
    }

    pub(super) fn number(mut self, field: &'static str, number: f64) -> Self {
        self.fields.push((field, Value::Number(number)));
        self
    }

    pub(super) fn lasting(self, seconds: f64) -> Self {
        self.number("for_s", seconds)
    }

    /// Adds a text field, unless the text is empty.
    pub(super) fn text(mut self, field: &'static str, text: impl Into<String>) -> Self {
        let text = text.into();
        if !text.is_empty() {
            self.fields.push((field, Value::Text(text)));
        }
        self
    }

    /// Adds the field that selects the variant of the kind, in the bench's words.
    pub(super) fn how(self, how: impl Into<String>) -> Self {
        self.text("how", how)
    }

    /// Returns the second at which the entry begins, counted from the start of traffic.
    pub fn at(&self) -> f64 {
        self.at
    }

    /// Returns the kind, as the bench names it.
    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{ at = {:.2}, kind = \"{}\"", self.at, self.kind)?;
        for (field, value) in &self.fields {
            write!(f, ", {field} = {value}")?;
        }
        f.write_str(" }")
    }
}

/// The fault at the end of a day, immediately after one more configuration was acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ClosingFault {
    pub(super) kind: &'static str,
    pub(super) down_s: f64,
    pub(super) how: &'static str,
}

impl fmt::Display for ClosingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{{ kind = \"{}\", down_s = {:.2}",
            self.kind, self.down_s
        )?;
        if !self.how.is_empty() {
            write!(f, ", how = \"{}\"", self.how)?;
        }
        f.write_str(" }")
    }
}
