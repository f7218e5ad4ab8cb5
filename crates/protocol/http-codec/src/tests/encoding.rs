//! Tests that encoded messages decode to the same messages.

use arbtest::arbtest;

use super::{decode_request, decode_requests, decode_responses, only_message};
use crate::{encode_request, encode_response};

#[test]
fn encoded_messages_decode_to_the_same() {
    arbtest(|random| {
        let body: Vec<u8> = random.arbitrary()?;
        let value = String::from_utf8_lossy(random.bytes(6)?).into_owned();
        let keep_alive = random.arbitrary()?;
        let bytes = encode_request(
            "POST",
            "/p/i-7",
            "10.0.0.4:8080",
            &[("X-Base-Version", &value)],
            &body,
        );
        let read = only_message(decode_requests(1 << 20, &[&bytes]));
        assert_eq!(
            (read.method.as_str(), read.path.as_str()),
            ("POST", "/p/i-7")
        );
        assert_eq!(read.header("host"), Some("10.0.0.4:8080"));
        assert_eq!(
            read.headers
                .iter()
                .filter(|(n, _)| n == "X-Base-Version")
                .count(),
            1
        );
        assert_eq!(read.body, body);

        let bytes = encode_response(200, &[("Location", &value)], &body, keep_alive);
        let read = only_message(decode_responses(1 << 20, &[&bytes]));
        assert_eq!((read.status, read.keep_alive), (200, keep_alive));
        assert_eq!(
            read.header("content-type"),
            (!body.is_empty()).then_some("application/json")
        );
        assert_eq!(read.body, body);
        Ok(())
    });
}

#[test]
fn untrusted_names_add_no_lines_and_no_fields() {
    let bytes = encode_request(
        "POST",
        "/a b\r\nX: y",
        "h\r\nY: z",
        &[("A", "1\r\nContent-Length: 9")],
        b"",
    );
    let read = decode_request(&bytes);
    assert_eq!(read.path, "/abX:y");
    assert_eq!(read.header("X").or(read.header("Y")), None);
    assert_eq!(read.header("Content-Length"), Some("0"));
}
