//! Tests of parsing requests of clients and routers.

use crate::{Request, RequestError};

#[test]
fn requests_are_parsed() {
    assert_eq!(
        Request::parse(b"CONNECT lepu270 u3f1"),
        Ok(Request::Connect {
            database: "lepu270",
            caller: "u3f1"
        })
    );
    assert_eq!(
        Request::parse(b"QUERY 5c0e FETCH 1a4 b"),
        Ok(Request::Query {
            id: "5c0e",
            text: "FETCH 1a4 b"
        })
    );
    assert_eq!(Request::parse(b"BYE"), Ok(Request::Bye));
    for line in [
        &b"QUERY"[..],
        b"QUERY 1",
        b"QUERY  FETCH 1",
        b"BYE now",
        b"HELLO",
        b"",
        b"CONNECT",
    ] {
        assert_eq!(
            Request::parse(line),
            Err(RequestError::InvalidForm),
            "{line:?}"
        );
    }
    // A bare LF or CR, which a server might treat as the end of a line, is rejected. So are bytes
    // that are not UTF-8.
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH a\nQUERY 2 PUT b c"),
        Err(RequestError::InvalidBytes)
    );
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH a\rb"),
        Err(RequestError::InvalidBytes)
    );
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH \xff"),
        Err(RequestError::InvalidBytes)
    );
}
