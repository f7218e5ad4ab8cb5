//! The requests that clients send to routers, and routers to servers.

use thiserror::Error;

/// Why a line is not a valid request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The line contains bytes that are not allowed in a request.
    #[error("request is not valid UTF-8, or contains a bare CR or LF")]
    InvalidBytes,
    /// The line starts with an unknown word, or its fields are invalid.
    #[error("unknown request, or missing or extra fields (expected CONNECT, QUERY or BYE)")]
    InvalidForm,
}

/// A request, which is one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request<'a> {
    /// `CONNECT`: starts a session.
    Connect {
        /// Name of the database; the name of the service if a router connects to a server.
        database: &'a str,
        /// The rest of the line, in free form, which identifies the caller.
        caller: &'a str,
    },
    /// `QUERY`: runs a statement.
    Query {
        /// The id that the client gave the statement; `-` for statements that the pooler itself
        /// sends.
        id: &'a str,
        /// The text of the statement, not parsed.
        text: &'a str,
    },
    /// `BYE`: ends a session.
    Bye,
}

impl<'a> Request<'a> {
    /// Parses a line without its CR LF.
    ///
    /// # Errors
    ///
    /// [`RequestError`].
    pub fn parse(line: &'a [u8]) -> Result<Self, RequestError> {
        let line = std::str::from_utf8(line).map_err(|_| RequestError::InvalidBytes)?;
        // A server might treat a bare LF or CR as the end of the line, and run the text after it as
        // a separate statement.
        if line.contains(['\n', '\r']) {
            return Err(RequestError::InvalidBytes);
        }
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "CONNECT" => Self::parse_connect(rest),
            "QUERY" => Self::parse_query(rest),
            "BYE" if rest.is_empty() => Ok(Self::Bye),
            _ => Err(RequestError::InvalidForm),
        }
    }

    fn parse_connect(fields: &'a str) -> Result<Self, RequestError> {
        let (database, caller) = fields.split_once(' ').unwrap_or((fields, ""));
        if database.is_empty() {
            return Err(RequestError::InvalidForm);
        }
        Ok(Self::Connect { database, caller })
    }

    fn parse_query(fields: &'a str) -> Result<Self, RequestError> {
        match fields.split_once(' ') {
            Some((id, text)) if !id.is_empty() && !text.is_empty() => Ok(Self::Query { id, text }),
            _ => Err(RequestError::InvalidForm),
        }
    }
}
