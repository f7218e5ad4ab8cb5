//! The tests, one module per topic, and the functions that several of them use.

mod connection;
mod encoding;
mod limits;
mod splitting;

use crate::{HttpError, Request, RequestDecoder, Response, ResponseDecoder};

/// Returns the requests that are decoded from these chunks, and the first error.
fn decode_requests(max_body_bytes: usize, chunks: &[&[u8]]) -> (Vec<Request>, Option<HttpError>) {
    let mut decoder = RequestDecoder::new(max_body_bytes);
    let mut messages = Vec::new();
    for chunk in chunks {
        decoder.feed(chunk);
        loop {
            match decoder.next_request() {
                Ok(Some(request)) => messages.push(request),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
    }
    (messages, None)
}

/// Returns the responses that are decoded from these chunks and the end of the connection, and the
/// first error.
fn decode_responses(max_body_bytes: usize, chunks: &[&[u8]]) -> (Vec<Response>, Option<HttpError>) {
    let mut decoder = ResponseDecoder::new(max_body_bytes);
    let mut messages = Vec::new();
    for chunk in chunks {
        decoder.feed(chunk);
        loop {
            match decoder.next_response() {
                Ok(Some(response)) => messages.push(response),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
    }
    loop {
        match decoder.finish() {
            Ok(Some(response)) => messages.push(response),
            Ok(None) => return (messages, None),
            Err(error) => return (messages, Some(error)),
        }
    }
}

fn decode_request(bytes: &[u8]) -> Request {
    let (mut messages, error) = decode_requests(1000, &[bytes]);
    assert_eq!(error, None, "{}", String::from_utf8_lossy(bytes));
    assert_eq!(messages.len(), 1);
    messages.remove(0)
}

/// Returns the status code for bytes that must be rejected.
fn rejection_status(bytes: &[u8]) -> u16 {
    let (messages, error) = decode_requests(1000, &[bytes]);
    assert_eq!(messages, [], "{}", String::from_utf8_lossy(bytes));
    error.expect("rejected").status()
}

fn only_message<M>((mut messages, error): (Vec<M>, Option<HttpError>)) -> M {
    assert_eq!((messages.len(), error), (1, None));
    messages.remove(0)
}
