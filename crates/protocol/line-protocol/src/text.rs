//! The texts of statements.

use quick_error::quick_error;

quick_error! {
    /// Why a text is no statement of a client.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum TextError {
        /// The word is none that clients send.
        Word {
            display("unknown statement")
        }
        /// A field is missing or one too many.
        Fields {
            display("fields of the statement")
        }
    }
}

/// What a prepared statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// It reads.
    Fetch,
    /// It writes.
    Put,
}

impl Kind {
    /// Its word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Self::Fetch => "FETCH",
            Self::Put => "PUT",
        }
    }
}

/// A statement of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Text<'a> {
    /// The beginning of a transaction.
    Begin {
        /// It only reads (`BEGIN FETCH`).
        fetch: bool,
    },
    /// The end that keeps.
    Commit,
    /// The end that rolls back.
    Abort,
    /// A read; passed on untouched.
    Fetch,
    /// A write; passed on untouched.
    Put,
    /// A value of the session.
    Set {
        /// Its name.
        name: &'a str,
        /// The value, to the end of the text.
        value: &'a str,
    },
    /// A prepared statement of the session.
    Prepare {
        /// The client's name for it.
        name: &'a str,
        /// Whether it reads or writes.
        kind: Kind,
        /// What it does, to the end of the text.
        shape: &'a str,
    },
    /// A run of a prepared statement.
    Execute {
        /// The client's name for it.
        name: &'a str,
        /// All after the name and its blank; empty when nothing follows.
        rest: &'a str,
    },
    /// The end of a prepared statement.
    Release {
        /// The client's name for it.
        name: &'a str,
    },
}

impl<'a> Text<'a> {
    /// Reads the text of a `QUERY` as a client may send it; `WAITPOS` and the words of administration are none.
    pub fn parse(text: &'a str) -> Result<Self, TextError> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let two = || {
            rest.split_once(' ')
                .filter(|(a, b)| !a.is_empty() && !b.is_empty())
                .ok_or(TextError::Fields)
        };
        match word {
            "BEGIN" => match rest {
                "" => Ok(Self::Begin { fetch: false }),
                "FETCH" => Ok(Self::Begin { fetch: true }),
                _ => Err(TextError::Fields),
            },
            "COMMIT" if rest.is_empty() => Ok(Self::Commit),
            "ABORT" if rest.is_empty() => Ok(Self::Abort),
            "FETCH" if !rest.is_empty() => Ok(Self::Fetch),
            "PUT" if !rest.is_empty() => Ok(Self::Put),
            "SET" => two().map(|(name, value)| Self::Set { name, value }),
            "PREPARE" => {
                let (name, rest) = two()?;
                let (kind, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                let kind = match kind {
                    "FETCH" => Kind::Fetch,
                    "PUT" => Kind::Put,
                    _ => return Err(TextError::Fields),
                };
                if shape.is_empty() {
                    Err(TextError::Fields)
                } else {
                    Ok(Self::Prepare { name, kind, shape })
                }
            }
            "EXECUTE" => {
                let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                if name.is_empty() {
                    Err(TextError::Fields)
                } else {
                    Ok(Self::Execute { name, rest })
                }
            }
            "RELEASE" if !rest.is_empty() && !rest.contains(' ') => {
                Ok(Self::Release { name: rest })
            }
            "COMMIT" | "ABORT" | "FETCH" | "PUT" | "RELEASE" => Err(TextError::Fields),
            _ => Err(TextError::Word),
        }
    }
}
