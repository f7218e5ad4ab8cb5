use crate::{Kind, Position, Request, RequestError, Text, TextError};
use arbtest::arbtest;

#[test]
fn requests_are_read() {
    assert_eq!(
        Request::parse(b"CONNECT lepu270 u3f1"),
        Ok(Request::Connect {
            database: "lepu270",
            who: "u3f1"
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
        assert_eq!(Request::parse(line), Err(RequestError::Form), "{line:?}");
    }
    // What a reader behind us might take for the end of a line never passes.
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH a\nQUERY 2 PUT b c"),
        Err(RequestError::Bytes)
    );
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH a\rb"),
        Err(RequestError::Bytes)
    );
    assert_eq!(
        Request::parse(b"QUERY 1 FETCH \xff"),
        Err(RequestError::Bytes)
    );
}

#[test]
fn texts_are_told_apart() {
    assert_eq!(Text::parse("BEGIN"), Ok(Text::Begin { fetch: false }));
    assert_eq!(Text::parse("BEGIN FETCH"), Ok(Text::Begin { fetch: true }));
    assert_eq!(Text::parse("COMMIT"), Ok(Text::Commit));
    assert_eq!(Text::parse("ABORT"), Ok(Text::Abort));
    assert_eq!(Text::parse("FETCH 1a4"), Ok(Text::Fetch));
    assert_eq!(Text::parse("PUT 1a4 xyz"), Ok(Text::Put));
    assert_eq!(
        Text::parse("SET tz one two"),
        Ok(Text::Set {
            name: "tz",
            value: "one two"
        })
    );
    assert_eq!(
        Text::parse("PREPARE s1 PUT q2c"),
        Ok(Text::Prepare {
            name: "s1",
            kind: Kind::Put,
            shape: "q2c"
        })
    );
    assert_eq!(
        Text::parse("EXECUTE s1 1a4 x"),
        Ok(Text::Execute {
            name: "s1",
            rest: "1a4 x"
        })
    );
    assert_eq!(Text::parse("RELEASE s1"), Ok(Text::Release { name: "s1" }));
    for text in [
        "WAITPOS 3.1 FETCH a",
        "STATUS",
        "RESET",
        "PAUSE 3",
        "STEPDOWN 9",
        "RESUME",
        "fetch a",
        "",
    ] {
        assert_eq!(Text::parse(text), Err(TextError::Word), "{text}");
    }
    for text in [
        "BEGIN PUT",
        "FETCH",
        "SET a",
        "PREPARE a GET b",
        "PREPARE a PUT",
        "RELEASE",
        "COMMIT now",
    ] {
        assert_eq!(Text::parse(text), Err(TextError::Fields), "{text}");
    }
}

#[test]
fn positions_go_round_and_compare_by_term_first() {
    arbtest(|u| {
        let a = Position {
            term: u.arbitrary()?,
            number: u.arbitrary()?,
        };
        let b = Position {
            term: u.arbitrary()?,
            number: u.arbitrary()?,
        };
        assert_eq!(a.to_string().parse(), Ok(a));
        assert_eq!(a < b, (a.term, a.number) < (b.term, b.number));
        Ok(())
    });
    for damaged in [
        "",
        "-",
        "3",
        "3.",
        ".3",
        "3.4.5",
        "+3.4",
        "3.-4",
        "99999999999999999999.1",
    ] {
        assert_eq!(damaged.parse::<Position>(), Err(()), "{damaged}");
    }
}
