//! What a client, or a router at a database, asks.

use quick_error::quick_error;

quick_error! {
    /// Why a line is no request.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// It holds bytes that no request may hold.
        Bytes {
            display("not text, or a bare CR or LF in it")
        }
        /// The word is none of the wire's, or fields are missing.
        Form {
            display("not a request")
        }
    }
}

/// A line asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request<'a> {
    /// The beginning of a session.
    Connect {
        /// The database; a service's name where a router asks a server.
        database: &'a str,
        /// Any word for the caller.
        who: &'a str,
    },
    /// A statement.
    Query {
        /// The client's id for it, `-` for the system's own.
        id: &'a str,
        /// Its text.
        text: &'a str,
    },
    /// The end of a session.
    Bye,
}

impl<'a> Request<'a> {
    /// Reads a line without its end.
    pub fn parse(line: &'a [u8]) -> Result<Self, RequestError> {
        let line = std::str::from_utf8(line).map_err(|_| RequestError::Bytes)?;
        // A lone LF or CR could be taken for the end of a line by whoever reads the text after us.
        if line.contains(['\n', '\r']) {
            return Err(RequestError::Bytes);
        }
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "CONNECT" => {
                let (database, who) = rest.split_once(' ').unwrap_or((rest, ""));
                if database.is_empty() {
                    Err(RequestError::Form)
                } else {
                    Ok(Self::Connect { database, who })
                }
            }
            "QUERY" => match rest.split_once(' ') {
                Some((id, text)) if !id.is_empty() && !text.is_empty() => {
                    Ok(Self::Query { id, text })
                }
                _ => Err(RequestError::Form),
            },
            "BYE" if rest.is_empty() => Ok(Self::Bye),
            _ => Err(RequestError::Form),
        }
    }
}
