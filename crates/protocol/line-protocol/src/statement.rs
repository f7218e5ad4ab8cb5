//! The statements of clients.

use thiserror::Error;

/// Why a text is no statement of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// Its first word is none that clients send.
    #[error("unknown statement")]
    UnknownCommand,
    /// A field is missing or one too many.
    #[error("fields of the statement")]
    InvalidFields,
}

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StatementKind {
    /// It reads.
    Fetch,
    /// It writes.
    Put,
}

impl StatementKind {
    /// The word in the protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fetch => "FETCH",
            Self::Put => "PUT",
        }
    }

    fn parse(word: &str) -> Option<Self> {
        match word {
            "FETCH" => Some(Self::Fetch),
            "PUT" => Some(Self::Put),
            _ => None,
        }
    }
}

/// A statement of a client: the text of a `QUERY`, as far as routers look into it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParsedStatement<'a> {
    /// The beginning of a transaction.
    Begin {
        /// Whether it only reads (`BEGIN FETCH`).
        read_only: bool,
    },
    /// The end of a transaction that keeps its writes.
    Commit,
    /// The end of a transaction that rolls it back.
    Abort,
    /// A read, forwarded as it came.
    Fetch,
    /// A write, forwarded as it came.
    Put,
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: &'a str,
        /// The value, to the end of the text.
        value: &'a str,
    },
    /// Prepares a statement for the session.
    Prepare {
        /// The client's name for it.
        name: &'a str,
        /// Whether it reads or writes.
        kind: StatementKind,
        /// What it does, to the end of the text.
        shape: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// The client's name for it.
        name: &'a str,
        /// All after the name and its blank; empty when nothing follows.
        arguments: &'a str,
    },
    /// Releases a prepared statement.
    Release {
        /// The client's name for it.
        name: &'a str,
    },
}

impl<'a> ParsedStatement<'a> {
    /// Parses the text of a client's `QUERY`. `WAITPOS` and the commands of administration are
    /// none: only routers and control machines send them.
    ///
    /// # Errors
    ///
    /// [`StatementError`].
    pub fn parse(text: &'a str) -> Result<Self, StatementError> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "BEGIN" => match rest {
                "" => Ok(Self::Begin { read_only: false }),
                "FETCH" => Ok(Self::Begin { read_only: true }),
                _ => Err(StatementError::InvalidFields),
            },
            "COMMIT" if rest.is_empty() => Ok(Self::Commit),
            "ABORT" if rest.is_empty() => Ok(Self::Abort),
            "FETCH" if !rest.is_empty() => Ok(Self::Fetch),
            "PUT" if !rest.is_empty() => Ok(Self::Put),
            "SET" => {
                let (name, value) = split_two_fields(rest)?;
                Ok(Self::Set { name, value })
            }
            "PREPARE" => Self::parse_prepare(rest),
            "EXECUTE" => Self::parse_execute(rest),
            "RELEASE" if !rest.is_empty() && !rest.contains(' ') => {
                Ok(Self::Release { name: rest })
            }
            "COMMIT" | "ABORT" | "FETCH" | "PUT" | "RELEASE" => Err(StatementError::InvalidFields),
            _ => Err(StatementError::UnknownCommand),
        }
    }

    fn parse_prepare(fields: &'a str) -> Result<Self, StatementError> {
        let (name, definition) = split_two_fields(fields)?;
        let (kind, shape) = definition.split_once(' ').unwrap_or((definition, ""));
        let kind = StatementKind::parse(kind).ok_or(StatementError::InvalidFields)?;
        if shape.is_empty() {
            return Err(StatementError::InvalidFields);
        }
        Ok(Self::Prepare { name, kind, shape })
    }

    fn parse_execute(fields: &'a str) -> Result<Self, StatementError> {
        let (name, arguments) = fields.split_once(' ').unwrap_or((fields, ""));
        if name.is_empty() {
            return Err(StatementError::InvalidFields);
        }
        Ok(Self::Execute { name, arguments })
    }
}

/// The first field and all after its blank; both must be there.
fn split_two_fields(text: &str) -> Result<(&str, &str), StatementError> {
    text.split_once(' ')
        .filter(|(first, second)| !first.is_empty() && !second.is_empty())
        .ok_or(StatementError::InvalidFields)
}
