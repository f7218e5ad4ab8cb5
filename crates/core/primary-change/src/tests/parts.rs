//! The small parts: writes in doubt, durations of changes, lost commits.

use crate::{ChangeDurations, LossTracker, RepeatEffect, Resolution, resolve_doubt};
use test_case::test_case;

#[test_case(RepeatEffect::Harmless, false, false, 1, 1, Resolution::Resend; "harmless")]
#[test_case(RepeatEffect::Dropped { until: 9.0 }, false, false, 1, 1, Resolution::Resend; "the mark is remembered")]
#[test_case(RepeatEffect::Dropped { until: 5.0 }, false, true, 1, 2, Resolution::Abort; "the mark is forgotten")]
#[test_case(RepeatEffect::Dropped { until: 5.0 }, true, true, 1, 2, Resolution::Inquire; "the mark is forgotten, and the primary of a later term can tell")]
#[test_case(RepeatEffect::Dropped { until: 5.0 }, true, true, 2, 2, Resolution::Abort; "the node that it was sent to may still run it")]
#[test_case(RepeatEffect::Dropped { until: 5.0 }, true, false, 1, 2, Resolution::Abort; "no mark to inquire by")]
#[test_case(RepeatEffect::Harmful, false, true, 1, 2, Resolution::Abort; "harmful")]
#[test_case(RepeatEffect::Harmful, true, true, 1, 2, Resolution::Inquire; "harmful, and the primary of a later term can tell")]
fn writes_in_doubt_are_resolved(
    repeat: RepeatEffect,
    inquiries_supported: bool,
    marked: bool,
    sent_term: u64,
    current_term: u64,
    expected: Resolution,
) {
    let resolution = resolve_doubt(
        repeat,
        5.0,
        inquiries_supported,
        marked,
        sent_term,
        current_term,
    );
    assert_eq!(resolution, expected);
}

#[test_case(0.0, 2.5, 1.0, 1.0; "all changes were shorter")]
#[test_case(0.0, 1.5, 0.5, 1.0; "half of the changes were shorter")]
#[test_case(1.5, 1.0, 1.0, 0.5; "only changes longer than the elapsed time count")]
#[test_case(5.0, 5.0, 0.5, 5.0; "longer than any change: as likely as not to take as long again")]
#[test_case(5.0, 0.5, 0.09, 5.0; "longer than any change, and little time is left")]
fn remaining_time_is_estimated_from_past_changes(
    elapsed_s: f64,
    wait_s: f64,
    chance: f64,
    remaining_s: f64,
) {
    let mut durations = ChangeDurations::new(1.0);
    [1.0, 2.0, 2.0]
        .iter()
        .for_each(|seconds| durations.record(*seconds));
    assert_eq!(durations.changes(), 3);
    assert!(
        (durations.chance_to_end_within(elapsed_s, wait_s) - chance).abs() < 0.01,
        "{}",
        durations.chance_to_end_within(elapsed_s, wait_s)
    );
    assert!(
        (durations.remaining_s(elapsed_s) - remaining_s).abs() < 0.05,
        "{}",
        durations.remaining_s(elapsed_s)
    );
}

#[test]
fn only_the_latest_commits_are_remembered_and_the_count_is_marked_inexact() {
    let mut losses = LossTracker::new(2);
    [1.0, 2.0, 3.0]
        .iter()
        .for_each(|position| losses.record_acknowledged(4, 1, *position));
    let loss = losses.record_promotion(4, 0.5, 9.0, Some(2)).unwrap();
    assert_eq!((loss.writes, loss.exact), (2, false));
    [10.0, 11.0]
        .iter()
        .for_each(|position| losses.record_acknowledged(4, 2, *position));
    let loss = losses.record_promotion(4, 10.0, 12.0, Some(1)).unwrap();
    assert_eq!((loss.writes, loss.exact), (1, true));
    assert_eq!(
        losses.record_promotion(4, 10.0, 12.0, Some(1)),
        None,
        "reported once"
    );
    assert_eq!(losses.record_promotion(4, 12.0, f64::NAN, Some(1)), None);
    assert_eq!(
        losses.record_promotion(5, 1.0, 2.0, None),
        None,
        "no commit was acknowledged in that group"
    );
}

#[test]
fn commits_that_the_old_primary_acknowledged_after_the_promotion_are_lost_too() {
    let mut losses = LossTracker::new(9);
    [(1.0, 1), (2.0, 1), (3.5, 1)]
        .iter()
        .for_each(|(position, node)| losses.record_acknowledged(4, *node, *position));
    let loss = losses.record_promotion(4, 1.5, 3.0, Some(1)).unwrap();
    assert_eq!(
        (loss.writes, loss.to),
        (1, 3.0),
        "a replica reports it before its leader does"
    );
    losses.record_acknowledged(4, 2, 3.6);
    let loss = losses.record_promotion(4, 1.5, 3.0, Some(2)).unwrap();
    assert_eq!((loss.writes, loss.to), (1, 3.5));
    assert!(losses.is_lost(4, 3.5) && !losses.is_lost(4, 3.6));
}
