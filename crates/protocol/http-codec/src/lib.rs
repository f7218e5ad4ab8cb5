//! HTTP/1.1 messages (RFC 9112) out of bytes and into bytes, without I/O: [`RequestDecoder`] for
//! servers, [`ResponseDecoder`] for clients, [`encode_request`] and [`encode_response`].
//!
//! The pooler owns one decoder a connection and feeds it what it read. Where the bytes are split
//! makes no difference: the same bytes give the same messages, or the same error. What could be
//! understood in two ways (two lengths, a length beside chunks, an unknown transfer coding) is
//! rejected, so that no request can be smuggled inside another one (RFC 9112, section 11.2).

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

/// The most bytes that a message's head may have, and likewise the trailers of a chunked body.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The most header lines that a message may have.
pub const MAX_HEADERS: usize = 64;
