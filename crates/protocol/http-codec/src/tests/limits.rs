//! Tests that ambiguous messages and messages above a limit are rejected.

use super::rejection_status;
use crate::RequestDecoder;

#[test]
fn ambiguous_body_length_is_rejected() {
    for headers in [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length:",
        "Content-Length : 3",
    ] {
        assert_eq!(
            rejection_status(format!("POST / HTTP/1.1\r\n{headers}\r\n\r\nabc").as_bytes()),
            400,
            "{headers}"
        );
    }
    assert_eq!(
        rejection_status(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        400
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n"),
        400
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"),
        400
    );
}

#[test]
fn exceeded_limits_have_their_own_status() {
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"),
        413
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999999\r\n\r\n"),
        413
    );
    assert_eq!(
        rejection_status(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"
        ),
        413
    );
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    assert_eq!(rejection_status(many.as_bytes()), 431);
    let trailers = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n{}",
        "A: b\r\n".repeat(4000)
    );
    assert_eq!(rejection_status(trailers.as_bytes()), 431);
    assert_eq!(rejection_status(b"CONNECT lepu270 u3f1\r\n\r\n"), 400);
}

#[test]
fn error_is_repeated() {
    let mut decoder = RequestDecoder::new(10);
    decoder.feed(b"nonsense\r\n\r\n");
    let error = decoder.next_request().unwrap_err();
    decoder.feed(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(decoder.next_request(), Err(error));
}
