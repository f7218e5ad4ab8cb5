//! The statements that clients send.

use thiserror::Error;

/// Why a text is not a valid statement of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The first word is not one that clients may send.
    #[error("unknown statement")]
    UnknownCommand,
    /// A field is missing or invalid, or there are too many fields.
    #[error("statement has missing, extra or invalid fields")]
    InvalidFields,
}

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StatementKind {
    /// The statement reads.
    Fetch,
    /// The statement writes.
    Put,
}

impl StatementKind {
    /// Returns the word in the protocol.
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

/// A statement of a client: the text of a `QUERY`, parsed as far as routers need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParsedStatement<'a> {
    /// `BEGIN`: starts a transaction.
    Begin {
        /// Whether the transaction only reads (`BEGIN FETCH`).
        read_only: bool,
    },
    /// `COMMIT`: ends a transaction and keeps its writes.
    Commit,
    /// `ABORT`: ends a transaction and rolls it back.
    Abort,
    /// `FETCH`: a read, which is forwarded unchanged.
    Fetch,
    /// `PUT`: a write, which is forwarded unchanged.
    Put,
    /// `SET`: sets a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value, which extends to the end of the text.
        value: &'a str,
    },
    /// `PREPARE`: prepares a statement for the session.
    Prepare {
        /// The client's name for the statement.
        name: &'a str,
        /// Whether the statement reads or writes.
        kind: StatementKind,
        /// The definition of the statement, which extends to the end of the text.
        shape: &'a str,
    },
    /// `EXECUTE`: runs a prepared statement.
    Execute {
        /// The client's name for the statement.
        name: &'a str,
        /// The rest of the text after the name and one space; may be empty.
        arguments: &'a str,
    },
    /// `RELEASE`: removes a prepared statement from the session.
    Release {
        /// The client's name for the statement.
        name: &'a str,
    },
}

impl<'a> ParsedStatement<'a> {
    /// Parses the text of a client's `QUERY`. `WAITPOS` and administration commands are rejected as
    /// unknown, because only routers and control machines send them.
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

/// Splits a text at its first space into two fields, neither of which may be empty.
fn split_two_fields(text: &str) -> Result<(&str, &str), StatementError> {
    text.split_once(' ')
        .filter(|(first, second)| !first.is_empty() && !second.is_empty())
        .ok_or(StatementError::InvalidFields)
}
