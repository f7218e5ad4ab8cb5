//! Responses, as a client decodes them.

use httparse::Status;

use crate::body::BodyState;
use crate::decoder::{DecodedHead, Message, MessageDecoder};
use crate::{HttpError, MAX_HEADERS, headers};

/// A complete response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status, 200 to 599; interim responses (1xx) are passed over.
    pub status: u16,
    /// Names as sent and values, in their order.
    pub headers: Vec<(String, String)>,
    /// The body, with chunks joined.
    pub body: Vec<u8>,
    /// Whether the connection may serve a further request.
    pub keep_alive: bool,
}

impl Response {
    /// The value of the first header of this name, in whatever case.
    pub fn header(&self, name: &str) -> Option<&str> {
        headers::find(&self.headers, name)
    }
}

/// Decodes the responses of one connection, on the client's side. Not for responses to `HEAD`.
#[derive(Debug)]
pub struct ResponseDecoder {
    messages: MessageDecoder<Response>,
}

impl ResponseDecoder {
    /// A decoder for a new connection that takes bodies of up to `max_body` bytes.
    pub fn new(max_body: usize) -> ResponseDecoder {
        ResponseDecoder {
            messages: MessageDecoder::new(max_body),
        }
    }

    /// Appends bytes as they arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.messages.feed(bytes);
    }

    /// The next complete response, `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// [`HttpError`]; every later call returns the same one.
    pub fn next_response(&mut self) -> Result<Option<Response>, HttpError> {
        self.messages.next_message()
    }

    /// Whether part of a response has arrived whose rest is outstanding.
    pub fn has_partial_response(&self) -> bool {
        self.messages.has_partial_message()
    }

    /// To be called when the connection has ended, until it returns `None`: the remaining
    /// responses. The last one may be of no stated length and ends with the connection.
    ///
    /// # Errors
    ///
    /// [`HttpError::UnexpectedEnd`] if the connection ended within a response; else as
    /// [`next_response`](ResponseDecoder::next_response).
    pub fn finish(&mut self) -> Result<Option<Response>, HttpError> {
        if let Some(response) = self.messages.next_message()? {
            return Ok(Some(response));
        }
        if let Some(response) = self.messages.finish_until_close() {
            return Ok(Some(response));
        }
        if self.messages.has_partial_message() {
            Err(HttpError::UnexpectedEnd)
        } else {
            Ok(None)
        }
    }
}

impl Message for Response {
    fn decode_head(bytes: &[u8]) -> Result<Option<DecodedHead<Response>>, HttpError> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut header_slots);
        let Status::Complete(length) = head.parse(bytes)? else {
            return Ok(None);
        };
        let minor_version = head.version.unwrap_or(1);
        let status = head.code.unwrap_or_default();
        let headers = headers::to_text(head.headers);
        let body_state = match status {
            // These never have a body, whatever their headers say (RFC 9112, section 6.3, rule 1).
            100..200 | 204 | 304 => BodyState::Length(0),
            _ => headers::body_framing(&headers, minor_version)?.unwrap_or(BodyState::UntilClose),
        };
        let keep_alive =
            body_state != BodyState::UntilClose && headers::keep_alive(&headers, minor_version);
        let message = Response {
            status,
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
        // Also 101: no client of this system asks for another protocol.
        (100..200).contains(&self.status)
    }

    fn body_mut(&mut self) -> &mut Vec<u8> {
        &mut self.body
    }
}
