//! The error of requests that can't be parsed.

use thiserror::Error;

/// Why a request can't be parsed; the caller gets it in one line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// The last part of this path isn't the id of a server.
    #[error("no id of a server in {0:?}")]
    InvalidServerId(String),
    /// The body isn't what this request carries, for this reason.
    #[error("body: {0}")]
    InvalidBody(String),
    /// A header isn't what this request carries.
    #[error("{name}: {value:?} is no whole number")]
    InvalidHeader {
        /// The header's name.
        name: &'static str,
        /// Its value, shortened.
        value: String,
    },
}

impl ApiError {
    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        400
    }
}
