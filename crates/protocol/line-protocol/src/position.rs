//! Places in a service's log.

use std::fmt;
use std::str::FromStr;

/// A place in the log of a service: the number of a commit, under the term of the primary that gave it. Ordered by
/// term first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// Rises with every change of the primary.
    pub term: u64,
    /// Rises with every commit that writes.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

impl FromStr for Position {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, ()> {
        let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
        let (term, number) = s
            .split_once('.')
            .filter(|(t, n)| digits(t) && digits(n))
            .ok_or(())?;
        Ok(Self {
            term: term.parse().map_err(drop)?,
            number: number.parse().map_err(drop)?,
        })
    }
}
