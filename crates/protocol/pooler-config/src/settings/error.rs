//! The error of settings that can't be used.

use thiserror::Error;

/// Why a settings file can't be used, in one line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A line isn't one of a properties file.
    #[error("line {line}: {problem}")]
    InvalidLine {
        /// The line, counted from 1; 0 if it is unknown.
        line: usize,
        /// What is wrong with it.
        problem: String,
    },
    /// This field, which every process needs, is missing.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// A field's value is invalid.
    #[error("line {line}: field {field}: {value:?} {problem}")]
    InvalidValue {
        /// The line, counted from 1; 0 if the value is a default.
        line: usize,
        /// The field.
        field: String,
        /// Its value, or the item of its list that is invalid.
        value: String,
        /// What is wrong with it, as the rest of a sentence.
        problem: String,
    },
}
