//! Positions in a service's log.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A position in the log of a service: the number of a commit, and the term of the primary that
/// gave it. Ordered by term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// The primary term; rises with every change of the primary.
    pub term: u64,
    /// Rises with every commit that writes.
    pub number: u64,
}

/// The text is no position, `TERM.NUMBER` in decimal digits of 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a position (TERM.NUMBER)")]
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

/// A number without a sign, which `u64::from_str` would take.
fn parse_digits(text: &str) -> Result<u64, PositionError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(PositionError);
    }
    text.parse().map_err(|_| PositionError)
}
