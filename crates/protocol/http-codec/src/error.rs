//! The decoding errors.

use thiserror::Error;

use crate::{MAX_HEAD_BYTES, MAX_HEADERS};

/// Why the bytes of a connection can't be decoded. Nothing after them can be decoded either, so the
/// connection must be closed; a server first sends a response with [`HttpError::status`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The bytes are not an HTTP/1.x message, or they are ambiguous.
    #[error("malformed HTTP message: {0}")]
    Malformed(&'static str),
    /// The head has more than [`MAX_HEAD_BYTES`] bytes or [`MAX_HEADERS`] header lines, or the
    /// trailers have more than [`MAX_HEAD_BYTES`] bytes.
    #[error(
        "HTTP message head or trailers too large: more than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} \
         headers"
    )]
    HeadTooLarge,
    /// The body has more bytes than the decoder's limit, which is given here.
    #[error("HTTP message body too large: more than {0} bytes")]
    BodyTooLarge(usize),
    /// The connection was closed in the middle of a message.
    #[error("connection closed in the middle of an HTTP message")]
    UnexpectedEnd,
}

impl HttpError {
    /// Returns the status code with which a server responds (RFC 9110, section 15.5; RFC 6585,
    /// section 5).
    pub fn status(&self) -> u16 {
        match self {
            HttpError::Malformed(_) | HttpError::UnexpectedEnd => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge(_) => 413,
        }
    }
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> HttpError {
        HttpError::Malformed(match error {
            httparse::Error::HeaderName => "invalid header name",
            httparse::Error::HeaderValue => "invalid header value",
            httparse::Error::NewLine => "invalid end of line",
            httparse::Error::Status => "invalid status",
            httparse::Error::Token => "invalid request line",
            httparse::Error::Version => "invalid version",
            httparse::Error::TooManyHeaders => return HttpError::HeadTooLarge,
        })
    }
}
