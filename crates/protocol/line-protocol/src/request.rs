//! The requests of a client to a router, and of a router to a server.

use thiserror::Error;

/// Why a line is no request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It holds bytes that no request may hold.
    #[error("not text, or a bare CR or LF in it")]
    InvalidBytes,
    /// Its word is none of the protocol's, or fields are missing.
    #[error("not a request")]
    InvalidForm,
}

/// One request, which is one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request<'a> {
    /// `CONNECT`: the beginning of a session.
    Connect {
        /// The database; a service's name where a router connects to a server.
        database: &'a str,
        /// The rest of the line: any words by which the caller is known.
        caller: &'a str,
    },
    /// `QUERY`: a statement.
    Query {
        /// The client's id for it; `-` for the system's own.
        id: &'a str,
        /// The statement, unparsed.
        text: &'a str,
    },
    /// `BYE`: the end of a session.
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
        // A server might take a lone LF or CR for the end of the line: what follows would run as a
        // statement of its own.
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
