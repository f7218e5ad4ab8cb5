//! Requests, as a server decodes them.

use httparse::Status;

use crate::body::BodyState;
use crate::decoder::{DecodedHead, Message, MessageDecoder};
use crate::{HttpError, MAX_HEADERS, headers};

/// A complete request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The method as sent, for example `GET` or `POST`.
    pub method: String,
    /// The path with its query; of a target in absolute form, what follows scheme and host.
    pub path: String,
    /// Names as sent and values, in their order.
    pub headers: Vec<(String, String)>,
    /// The body, with chunks joined.
    pub body: Vec<u8>,
    /// Whether the client may send a further request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The value of the first header of this name, in whatever case.
    pub fn header(&self, name: &str) -> Option<&str> {
        headers::find(&self.headers, name)
    }
}

/// Decodes the requests of one connection, on the server's side.
///
/// Holds no more than one request's head and body besides what a single [`RequestDecoder::feed`]
/// brings, provided that its owner calls [`RequestDecoder::next_request`] until it returns `None`
/// before feeding again.
#[derive(Debug)]
pub struct RequestDecoder {
    messages: MessageDecoder<Request>,
}

impl RequestDecoder {
    /// A decoder for a new connection that takes bodies of up to `max_body` bytes.
    pub fn new(max_body: usize) -> RequestDecoder {
        RequestDecoder {
            messages: MessageDecoder::new(max_body),
        }
    }

    /// Appends bytes as they arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.messages.feed(bytes);
    }

    /// The next complete request, `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`HttpError`]; every later call returns the same one.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        self.messages.next_message()
    }

    /// Whether part of a request has arrived whose rest is outstanding.
    pub fn has_partial_request(&self) -> bool {
        self.messages.has_partial_message()
    }
}

impl Message for Request {
    fn decode_head(bytes: &[u8]) -> Result<Option<DecodedHead<Request>>, HttpError> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut header_slots);
        let Status::Complete(length) = head.parse(bytes)? else {
            return Ok(None);
        };
        let minor_version = head.version.unwrap_or(1);
        let headers = headers::to_text(head.headers);
        // Without either header a request has no body (RFC 9112, section 6.3, rule 7).
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
            length,
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

/// The path and query of a request target in origin or absolute form (RFC 9112, section 3.2).
fn path_of_target(target: &str) -> &str {
    match target.split_once("://") {
        Some((scheme, rest)) if !scheme.contains(['/', '?']) => rest
            .find(['/', '?'])
            .map_or("/", |path_start| &rest[path_start..]),
        _ => target,
    }
}
