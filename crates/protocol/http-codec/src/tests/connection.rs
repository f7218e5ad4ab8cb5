//! Tests for the end of messages and whether the connection stays open after them.

use super::{decode_request, decode_responses};
use crate::{HttpError, RequestDecoder};

#[test]
fn keep_alive_follows_version_and_connection_header() {
    let keep_alive = |head: &str| decode_request(format!("{head}\r\n\r\n").as_bytes()).keep_alive;
    assert!(keep_alive("GET / HTTP/1.1"));
    assert!(!keep_alive("GET / HTTP/1.1\r\nConnection: x, Close"));
    assert!(!keep_alive("GET / HTTP/1.0"));
    assert!(keep_alive("GET / HTTP/1.0\r\nConnection: keep-alive"));
}

#[test]
fn absolute_form_of_target_is_reduced_to_its_path() {
    assert_eq!(
        decode_request(b"GET http://10.0.0.1:80/a?b HTTP/1.1\r\n\r\n").path,
        "/a?b"
    );
    assert_eq!(
        decode_request(b"GET http://10.0.0.1:80 HTTP/1.1\r\n\r\n").path,
        "/"
    );
    assert_eq!(
        decode_request(b"GET /x?u=http://y HTTP/1.1\r\n\r\n").path,
        "/x?u=http://y"
    );
}

#[test]
fn response_without_length_ends_with_connection_and_others_must_be_complete() {
    let (all, error) = decode_responses(100, &[b"HTTP/1.1 200 OK\r\n\r\nsome", b" bytes"]);
    assert_eq!(
        (all[0].body.as_slice(), all[0].keep_alive, error),
        (b"some bytes".as_slice(), false, None)
    );
    for incomplete in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 2",
        "HTTP/1.1 100 Continue\r\n\r\nH",
    ] {
        assert_eq!(
            decode_responses(100, &[incomplete.as_bytes()]),
            (vec![], Some(HttpError::UnexpectedEnd)),
            "{incomplete}"
        );
    }
    assert_eq!(decode_responses(100, &[b""]), (vec![], None));
}

#[test]
fn partial_request_is_reported() {
    let mut decoder = RequestDecoder::new(10);
    assert!(!decoder.has_partial_request());
    decoder.feed(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    assert!(decoder.has_partial_request());
    assert_eq!(decoder.next_request(), Ok(None));
    assert!(decoder.has_partial_request());
    decoder.feed(b"ab");
    assert!(decoder.next_request().unwrap().is_some());
    assert!(!decoder.has_partial_request());
}
