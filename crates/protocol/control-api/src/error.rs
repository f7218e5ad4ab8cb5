//! The error for requests that can't be parsed.

use thiserror::Error;

use crate::members::MAX_SERVER_ID_BYTES;

/// Why a request can't be parsed. The text is one line and is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// This path doesn't end with a valid server id.
    #[error(
        "no valid server id in path {0:?}: expected 1 to {MAX_SERVER_ID_BYTES} visible ASCII \
         characters without '/'"
    )]
    InvalidServerId(String),
    /// The request body is invalid, for this reason.
    #[error("invalid request body: {0}")]
    InvalidBody(String),
    /// The value of a header is invalid.
    #[error("header {name}: {value:?} is not an unsigned 64-bit integer")]
    InvalidHeader {
        /// The name of the header.
        name: &'static str,
        /// Its value, truncated to 40 characters.
        value: String,
    },
}

impl ApiError {
    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> u16 {
        400
    }
}
