//! Encodes and decodes HTTP/1.1 messages (RFC 9112) without I/O. Servers use [`RequestDecoder`] and
//! [`encode_response`], clients use [`encode_request`] and [`ResponseDecoder`].
//!
//! The pooler has one decoder per connection and feeds it the bytes that it reads. The result does
//! not depend on how the bytes are split: the same bytes give the same messages or the same error.
//! Ambiguous messages (two different lengths, a length together with chunks, an unknown transfer
//! coding) are rejected, so that no request can be smuggled inside another (RFC 9112, section
//! 11.2).

mod body;
mod decoder;
mod encode;
mod error;
mod headers;
mod request;
mod response;
#[cfg(test)]
mod tests;

pub use crate::encode::{encode_request, encode_response};
pub use crate::error::HttpError;
pub use crate::request::{Request, RequestDecoder};
pub use crate::response::{Response, ResponseDecoder};

/// Maximum size of a message's head, in bytes, and also of the trailers of a chunked body.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of header lines in a message.
pub const MAX_HEADERS: usize = 64;
