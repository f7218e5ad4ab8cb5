//! Tests of parsing statements of clients.

use crate::{ParsedStatement, StatementError, StatementKind};

#[test]
fn statements_are_parsed() {
    assert_eq!(
        ParsedStatement::parse("BEGIN"),
        Ok(ParsedStatement::Begin { read_only: false })
    );
    assert_eq!(
        ParsedStatement::parse("BEGIN FETCH"),
        Ok(ParsedStatement::Begin { read_only: true })
    );
    assert_eq!(
        ParsedStatement::parse("COMMIT"),
        Ok(ParsedStatement::Commit)
    );
    assert_eq!(ParsedStatement::parse("ABORT"), Ok(ParsedStatement::Abort));
    assert_eq!(
        ParsedStatement::parse("FETCH 1a4"),
        Ok(ParsedStatement::Fetch)
    );
    assert_eq!(
        ParsedStatement::parse("PUT 1a4 xyz"),
        Ok(ParsedStatement::Put)
    );
    assert_eq!(
        ParsedStatement::parse("SET tz one two"),
        Ok(ParsedStatement::Set {
            name: "tz",
            value: "one two"
        })
    );
    assert_eq!(
        ParsedStatement::parse("PREPARE s1 PUT q2c"),
        Ok(ParsedStatement::Prepare {
            name: "s1",
            kind: StatementKind::Put,
            shape: "q2c"
        })
    );
    assert_eq!(
        ParsedStatement::parse("EXECUTE s1 1a4 x"),
        Ok(ParsedStatement::Execute {
            name: "s1",
            arguments: "1a4 x"
        })
    );
    assert_eq!(
        ParsedStatement::parse("RELEASE s1"),
        Ok(ParsedStatement::Release { name: "s1" })
    );
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
        assert_eq!(
            ParsedStatement::parse(text),
            Err(StatementError::UnknownCommand),
            "{text}"
        );
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
        assert_eq!(
            ParsedStatement::parse(text),
            Err(StatementError::InvalidFields),
            "{text}"
        );
    }
}
