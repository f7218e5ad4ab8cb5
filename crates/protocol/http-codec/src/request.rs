//! Decodes requests on the server side.

use httparse::Status;

use crate::body::BodyState;
use crate::decoder::{DecodedHead, Message, MessageDecoder};
use crate::{HttpError, MAX_HEADERS, headers};

/// A complete request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The method as sent, for example `GET` or `POST`.
    pub method: String,
    /// The path and query of the request target, without scheme and host if the target has them.
    pub path: String,
    /// Names and values of the headers, in the order and the case in which they were sent.
    pub headers: Vec<(String, String)>,
    /// The body; chunks are joined.
    pub body: Vec<u8>,
    /// Whether the client may send another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// Returns the value of the first header with this name; case is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        headers::find(&self.headers, name)
    }
}

/// Decodes the requests of one connection.
///
/// The decoder buffers at most one head, one body and the bytes of one [`RequestDecoder::feed`], if
/// its owner calls [`RequestDecoder::next_request`] until it returns `None` before feeding again.
#[derive(Debug)]
pub struct RequestDecoder {
    decoder: MessageDecoder<Request>,
}

impl RequestDecoder {
    /// Returns a decoder for a new connection that accepts bodies of up to `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> RequestDecoder {
        RequestDecoder {
            decoder: MessageDecoder::new(max_body_bytes),
        }
    }

    /// Appends bytes in the order in which they arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// Returns the next complete request, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if the bytes can't be decoded; every later call returns the same error.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        self.decoder.next_message()
    }

    /// Returns whether an incomplete request has arrived.
    pub fn has_partial_request(&self) -> bool {
        self.decoder.has_partial_message()
    }
}

impl Message for Request {
    fn decode_head(bytes: &[u8]) -> Result<Option<DecodedHead<Request>>, HttpError> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut header_slots);
        let Status::Complete(head_bytes) = head.parse(bytes)? else {
            return Ok(None);
        };
        let minor_version = head.version.unwrap_or(1);
        let headers = headers::to_text(head.headers);
        // A request without `Content-Length` and `Transfer-Encoding` has no body (RFC 9112, section
        // 6.3, rule 7).
        let body_state =
            headers::body_framing(&headers, minor_version)?.unwrap_or(BodyState::Length(0));
        let keep_alive = headers::keep_alive(&headers, minor_version);
        let message = Request {
            method: head.method.unwrap_or_default().to_owned(),
            path: path_of_target(head.path.unwrap_or("/")).to_owned(),
            headers,
            body: Vec::new(),
            keep_alive,
        };
        Ok(Some(DecodedHead {
            message,
            head_bytes,
            body_state,
        }))
    }

    fn is_interim(&self) -> bool {
        false
    }

    fn body_mut(&mut self) -> &mut Vec<u8> {
        &mut self.body
    }
}

/// Returns the path and query of a request target in origin or absolute form (RFC 9112, section
/// 3.2).
fn path_of_target(target: &str) -> &str {
    match target.split_once("://") {
        Some((scheme, rest)) if !scheme.contains(['/', '?']) => rest
            .find(['/', '?'])
            .map_or("/", |path_start| &rest[path_start..]),
        _ => target,
    }
}
