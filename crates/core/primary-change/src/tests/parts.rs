//! Small parts by themselves: doubtful writes, durations, lost spans.

use crate::{History, Losses, Next, Repeat, next};
use test_case::test_case;

#[test_case(Repeat::Harmless, false, false, 1, 1, Next::Again; "harmless")]
#[test_case(Repeat::Dropped { until: 9.0 }, false, false, 1, 1, Next::Again; "remembered")]
#[test_case(Repeat::Dropped { until: 5.0 }, false, true, 1, 2, Next::Abort; "forgotten")]
#[test_case(Repeat::Dropped { until: 5.0 }, true, true, 1, 2, Next::Inquire; "forgotten, and a later primary can tell")]
#[test_case(Repeat::Dropped { until: 5.0 }, true, true, 2, 2, Next::Abort; "who was sent it may yet run it")]
#[test_case(Repeat::Dropped { until: 5.0 }, true, false, 1, 2, Next::Abort; "nothing to ask by")]
#[test_case(Repeat::Harmful, false, true, 1, 2, Next::Abort; "harmful")]
#[test_case(Repeat::Harmful, true, true, 1, 2, Next::Inquire; "harmful, and a later primary can tell")]
fn doubtful_writes(
    repeat: Repeat,
    outcomes: bool,
    marked: bool,
    sent: u64,
    present: u64,
    expected: Next,
) {
    assert_eq!(next(repeat, 5.0, outcomes, marked, sent, present), expected);
}

#[test_case(0.0, 2.5, 1.0, 1.0; "all were shorter")]
#[test_case(0.0, 1.5, 0.5, 1.0; "half of them")]
#[test_case(1.5, 1.0, 1.0, 0.5; "only the longer ones count")]
#[test_case(5.0, 5.0, 0.5, 5.0; "longer than any: as long again, or not")]
#[test_case(5.0, 0.5, 0.09, 5.0; "longer than any, and little is left")]
fn what_to_expect(elapsed: f64, left: f64, chance: f64, median: f64) {
    let mut history = History::new(1.0);
    [1.0, 2.0, 2.0].iter().for_each(|took| history.took(*took));
    assert_eq!(history.changes(), 3);
    assert!(
        (history.chance(elapsed, left) - chance).abs() < 0.01,
        "{}",
        history.chance(elapsed, left)
    );
    assert!(
        (history.left(elapsed) - median).abs() < 0.05,
        "{}",
        history.left(elapsed)
    );
}

#[test]
fn only_the_latest_answers_are_kept_and_a_count_says_so() {
    let mut losses = Losses::new(2);
    [1.0, 2.0, 3.0]
        .iter()
        .for_each(|commit| losses.answered(4, 1, *commit));
    let loss = losses.taken_over(4, 0.5, 9.0, Some(2)).unwrap();
    assert_eq!((loss.writes, loss.exact), (2, false));
    [10.0, 11.0]
        .iter()
        .for_each(|commit| losses.answered(4, 2, *commit));
    let loss = losses.taken_over(4, 10.0, 12.0, Some(1)).unwrap();
    assert_eq!((loss.writes, loss.exact), (1, true));
    assert_eq!(losses.taken_over(4, 10.0, 12.0, Some(1)), None, "once");
    assert_eq!(losses.taken_over(4, 12.0, f64::NAN, Some(1)), None);
    assert_eq!(
        losses.taken_over(5, 1.0, 2.0, None),
        None,
        "nothing was answered there"
    );
}

#[test]
fn what_the_old_primary_answered_behind_the_promotion_is_gone_too() {
    let mut losses = Losses::new(9);
    [(1.0, 1), (2.0, 1), (3.5, 1)]
        .iter()
        .for_each(|(at, node)| losses.answered(4, *node, *at));
    let told = losses.taken_over(4, 1.5, 3.0, Some(1)).unwrap();
    assert_eq!(
        (told.writes, told.to),
        (1, 3.0),
        "a replica told it before its leader spoke"
    );
    losses.answered(4, 2, 3.6);
    let told = losses.taken_over(4, 1.5, 3.0, Some(2)).unwrap();
    assert_eq!((told.writes, told.to), (1, 3.5));
    assert!(losses.lost(4, 3.5) && !losses.lost(4, 3.6));
}
