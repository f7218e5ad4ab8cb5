//! Tests of reading responses whose bytes are split at any point.

use crate::{
    ErrorCode, LineBuffer, Position, ResponseError, ResponseReader, StatementResult,
    TransactionState,
};
use arbtest::arbtest;

const RESPONSES: &[u8] = b"ROW qhz \xff\xfe k\r\nROW\r\nCOMPLETE 7.1f3.c\r\nIDLE I 3.1209\r\n\
    ERROR READONLY i-7f3a91c2\r\nIDLE E 3.1209\r\nCOMPLETE -\r\nIDLE T -\r\n";

#[test]
fn split_responses_are_read_as_unsplit_and_kept_unchanged() {
    let position = Some(Position {
        term: 3,
        number: 1209,
    });
    let expected = [
        StatementResult {
            error: None,
            has_commit_stamp: true,
            state: TransactionState::Idle,
            position,
        },
        StatementResult {
            error: Some(ErrorCode::ReadOnly),
            has_commit_stamp: false,
            state: TransactionState::Failed,
            position,
        },
        StatementResult {
            error: None,
            has_commit_stamp: false,
            state: TransactionState::Open,
            position: None,
        },
    ];
    arbtest(|random| {
        let mut lines = LineBuffer::default();
        let mut reader = ResponseReader::default();
        let mut results = Vec::new();
        let mut rest = RESPONSES;
        while !rest.is_empty() {
            let (first, remaining) = rest.split_at(random.int_in_range(1..=rest.len())?);
            lines.feed(first);
            while let Some(result) = reader.read(&mut lines).unwrap() {
                results.push(result);
            }
            rest = remaining;
        }
        assert_eq!(results, expected);
        assert_eq!(reader.raw, RESPONSES);
        Ok(())
    });
}

#[test]
fn unexpected_line_is_rejected() {
    for invalid in [
        &b"IDLE I -\r\n"[..],
        b"COMPLETE a\r\nROW x\r\n",
        b"COMPLETE a\r\nCOMPLETE a\r\n",
        b"ROWS x\r\n",
        b"COMPLETE a\r\nIDLE X -\r\n",
        b"COMPLETE a\r\nIDLE I 3\r\n",
        b"\r\n",
    ] {
        let mut lines = LineBuffer::default();
        lines.feed(invalid);
        assert_eq!(
            ResponseReader::default().read(&mut lines),
            Err(ResponseError::UnexpectedLine),
            "{invalid:?}"
        );
    }
}
