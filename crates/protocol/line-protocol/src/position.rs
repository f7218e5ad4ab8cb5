//! Positions in the log of a service.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A position in the log of a service: the number of a commit, and the term of the primary that
/// assigned the number. Positions are ordered by term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// Term of the primary; rises with every change of the primary.
    pub term: u64,
    /// Number of the commit; rises with every commit that contains a write.
    pub number: u64,
}

/// The text is not a position: `TERM.NUMBER`, two unsigned 64-bit integers in decimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a log position (expected TERM.NUMBER, two unsigned 64-bit integers)")]
pub struct PositionError;

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (term, number) = text.split_once('.').ok_or(PositionError)?;
        Ok(Self {
            term: parse_digits(term)?,
            number: parse_digits(number)?,
        })
    }
}

/// Parses an integer without a sign; `u64::from_str` would accept a leading `+`.
fn parse_digits(text: &str) -> Result<u64, PositionError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(PositionError);
    }
    text.parse().map_err(|_| PositionError)
}
