use crate::{Answer, AnswerError, Code, LineBuffer, Outcome, Position, State, Verdict};
use arbtest::arbtest;

const WHOLE: &[u8] = b"ROW qhz \xff\xfe k\r\nROW\r\nCOMPLETE 7.1f3.c\r\nIDLE I 3.1209\r\n\
    ERROR READONLY i-7f3a91c2\r\nIDLE E 3.1209\r\nCOMPLETE -\r\nIDLE T -\r\n";

#[test]
fn answers_cut_anywhere_are_the_same_and_untouched() {
    let at = Some(Position {
        term: 3,
        number: 1209,
    });
    let expected = [
        Outcome {
            error: None,
            stamped: true,
            state: State::Idle,
            position: at,
        },
        Outcome {
            error: Some(Code::ReadOnly),
            stamped: false,
            state: State::Failed,
            position: at,
        },
        Outcome {
            error: None,
            stamped: false,
            state: State::Open,
            position: None,
        },
    ];
    arbtest(|u| {
        let (mut lines, mut answer, mut got) =
            (LineBuffer::default(), Answer::default(), Vec::new());
        let mut rest = WHOLE;
        while !rest.is_empty() {
            let (now, later) = rest.split_at(u.int_in_range(1..=rest.len())?);
            lines.feed(now);
            while let Some(outcome) = answer.take(&mut lines).unwrap() {
                got.push(outcome);
            }
            rest = later;
        }
        assert_eq!(got, expected);
        assert_eq!(answer.raw, WHOLE);
        Ok(())
    });
}

#[test]
fn what_is_out_of_place_is_refused() {
    for damaged in [
        &b"IDLE I -\r\n"[..],
        b"COMPLETE a\r\nROW x\r\n",
        b"COMPLETE a\r\nCOMPLETE a\r\n",
        b"ROWS x\r\n",
        b"COMPLETE a\r\nIDLE X -\r\n",
        b"COMPLETE a\r\nIDLE I 3\r\n",
        b"\r\n",
    ] {
        let mut lines = LineBuffer::default();
        lines.feed(damaged);
        assert_eq!(
            Answer::default().take(&mut lines),
            Err(AnswerError::Form),
            "{damaged:?}"
        );
    }
}

#[test]
fn only_proofs_say_that_nothing_ran() {
    for word in [
        "RETRY",
        "UNKNOWN",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "CONNLIMIT",
    ] {
        assert_eq!(Code::parse(word).verdict(), Verdict::NotRun);
        assert_eq!(Code::parse(word).word(), word);
    }
    for word in ["TIMEOUT", "INDOUBT", "whatever"] {
        assert_eq!(Code::parse(word).verdict(), Verdict::MayHaveRun);
    }
    assert_eq!(Code::parse("FAILED").verdict(), Verdict::Ran);
}
