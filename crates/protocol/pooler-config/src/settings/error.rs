//! The error for invalid settings files.

use thiserror::Error;

/// Why a settings file is invalid. The text is one line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A line does not have the syntax of a properties file.
    #[error("line {line}: {problem}")]
    InvalidLine {
        /// The line number, counted from 1; 0 if it is unknown.
        line: usize,
        /// What is wrong with the line.
        problem: String,
    },
    /// This required field is missing.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// The value of a field is invalid.
    #[error("line {line}: field {field}: {value:?} {problem}")]
    InvalidValue {
        /// The line number, counted from 1; 0 if the value is a default.
        line: usize,
        /// The name of the field.
        field: String,
        /// The value, or the invalid item if the field is a list.
        value: String,
        /// What is wrong with the value, as the rest of a sentence that starts with the value.
        problem: String,
    },
}
