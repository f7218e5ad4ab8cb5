//! Whether there is a further attempt, and how a statement ends.

use crate::attempts::{Attempts, Ended, Facts, Next, Outcome};
use crate::scenario::Retries;
use test_case::test_case;

const MS: u64 = 1_000_000;
const RULES: Retries = Retries {
    most: 3,
    rejected: true,
    aborted: true,
    base_ms: 10.0,
    most_ms: 25.0,
    advice: true,
    told: false,
};

fn facts(repeatable: bool) -> Facts {
    Facts {
        due: 0,
        slo: 100 * MS,
        deadline: 1000 * MS,
        repeatable,
    }
}

fn ended(before: &[Ended], last: Ended, now: u64, repeatable: bool) -> Next {
    let mut attempts = Attempts::default();
    for ended in before {
        attempts.begun();
        attempts.ended(*ended, 0, &facts(repeatable), &RULES, 0.5);
    }
    attempts.begun();
    attempts.ended(last, now * MS, &facts(repeatable), &RULES, 1.0)
}

const REJECTED: Ended = Ended::Rejected(None);
const ADVISED: Ended = Ended::Rejected(Some(200 * MS));

#[test_case(&[], REJECTED, 0, 10; "at once, within the pause")]
#[test_case(&[REJECTED], REJECTED, 0, 20; "twice as long")]
#[test_case(&[REJECTED; 2], REJECTED, 0, 25; "no longer than the most")]
#[test_case(&[], ADVISED, 50, 260; "not before the advice")]
#[test_case(&[], Ended::Unreached, 5, 15; "no connection")]
#[test_case(&[], Ended::Aborted, 5, 15; "what may have run, marked")]
fn tried_again(before: &[Ended], last: Ended, now: u64, at: u64) {
    assert_eq!(ended(before, last, now, true), Next::Again(at * MS));
}

#[test_case(&[], Ended::Completed, 100, true, Outcome::Completed; "in time to the last moment")]
#[test_case(&[], Ended::Completed, 101, true, Outcome::Late; "late")]
#[test_case(&[REJECTED; 3], REJECTED, 5, true, Outcome::Rejected; "no attempt is left")]
#[test_case(&[], Ended::Rejected(Some(2000 * MS)), 5, true, Outcome::Rejected; "the advice is beyond its client's time")]
#[test_case(&[], Ended::Aborted, 5, false, Outcome::Aborted; "an unmarked write is not sent twice")]
#[test_case(&[Ended::Aborted; 3], REJECTED, 5, true, Outcome::Aborted; "an earlier attempt may have run")]
#[test_case(&[], Ended::GivenUp { sent: true }, 1000, true, Outcome::TimedOut; "sent, no answer")]
#[test_case(&[], Ended::GivenUp { sent: false }, 1000, true, Outcome::Unsent; "never sent")]
#[test_case(&[REJECTED], Ended::GivenUp { sent: false }, 1000, true, Outcome::Rejected; "rejected before")]
#[test_case(&[Ended::Aborted], Ended::GivenUp { sent: false }, 1000, true, Outcome::Aborted; "aborted before")]
fn over(before: &[Ended], last: Ended, now: u64, repeatable: bool, outcome: Outcome) {
    assert_eq!(ended(before, last, now, repeatable), Next::Over(outcome));
}

#[test]
fn without_retries_the_first_word_stands() {
    let mut attempts = Attempts::default();
    attempts.begun();
    let next = attempts.ended(ADVISED, 0, &facts(true), &Retries::default(), 0.5);
    assert_eq!(next, Next::Over(Outcome::Rejected));
}

#[test]
fn an_unmarked_write_that_may_have_run_is_not_tried_again_by_a_rejection() {
    let rules = Retries {
        aborted: false,
        ..RULES
    };
    let mut attempts = Attempts::default();
    attempts.begun();
    attempts.ended(Ended::Aborted, 0, &facts(false), &rules, 0.5);
    attempts.begun();
    assert_eq!(
        attempts.ended(REJECTED, 0, &facts(false), &rules, 0.5),
        Next::Over(Outcome::Aborted)
    );
}
