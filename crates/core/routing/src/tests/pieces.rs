//! The pieces that others share with the policy: a session's mark, and the rotation over members.

use crate::{PRIMARY_AFFINITY_S, PrimaryAffinity, Rotation};
use test_case::test_case;

#[test_case(0.0, true; "at the touch")]
#[test_case(2.999, true; "just before its end")]
#[test_case(3.0, false; "at its end")]
#[test_case(60.0, false; "long after")]
fn a_mark_lasts_three_seconds(after: f64, marked: bool) {
    assert_eq!(PRIMARY_AFFINITY_S, 3.0);
    assert_eq!(
        PrimaryAffinity::at(1000.0).is_active(1000.0 + after),
        marked
    );
}

#[test]
fn a_session_is_unmarked_until_it_touches_the_primary_and_each_touch_marks_it_anew() {
    let mut mark = PrimaryAffinity::default();
    assert!(!mark.is_active(0.0) && !mark.is_active(1000.0));
    mark.touch(1000.0);
    assert_eq!(mark, PrimaryAffinity::at(1000.0));
    mark.touch(1002.0);
    assert!(mark.is_active(1004.9) && !mark.is_active(1005.0));
}

#[test]
fn each_choice_begins_behind_the_last_and_wraps() {
    let mut rotation = Rotation::default();
    let chosen: Vec<_> = (0..5).map(|_| rotation.next(3, |_| true)).collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1].map(Some));
}

#[test]
fn a_rotation_may_begin_anywhere() {
    let mut rotation = Rotation { next: usize::MAX };
    assert_eq!(rotation.next(usize::MAX, |i| i < 2), Some(0));
    let mut rotation = Rotation { next: 5 };
    assert_eq!(
        [rotation.next(3, |_| true), rotation.next(3, |_| true)],
        [2, 0].map(Some)
    );
}

#[test]
fn who_is_not_eligible_is_passed_over_and_keeps_no_turn() {
    let mut rotation = Rotation::default();
    let chosen: Vec<_> = (0..3).map(|_| rotation.next(4, |i| i % 2 == 1)).collect();
    assert_eq!(chosen, [1, 3, 1].map(Some));
    assert_eq!(rotation.next(4, |_| true), Some(2));
}

#[test_case(0; "no member")]
#[test_case(3; "none eligible")]
fn where_nobody_will_do_the_counter_stays(count: usize) {
    let mut rotation = Rotation::default();
    rotation.next(3, |_| true);
    let before = rotation;
    assert_eq!(rotation.next(count, |_| false), None);
    assert_eq!(rotation, before);
}

/// Groups shrink and grow between choices: a counter past the end wraps with the present count.
#[test]
fn the_choice_is_the_first_eligible_from_the_counter_whatever_came_before() {
    let mut random = fastrand::Rng::with_seed(11);
    let (mut rotation, mut counter) = (Rotation::default(), 0);
    for _ in 0..2000 {
        let (count, bits) = (random.usize(0..9), random.u32(..));
        let eligible = |i: usize| bits >> i & 1 == 1;
        let expected = (counter..counter + count)
            .map(|place| place % count)
            .find(|i| eligible(*i));
        counter = expected.map_or(counter, |chosen| (chosen + 1) % count);
        assert_eq!(
            rotation.next(count, eligible),
            expected,
            "{count} members, eligible {bits:b}"
        );
    }
}

/// Of members that all stay eligible, none is chosen twice before each was chosen once.
#[test]
fn all_eligible_members_get_the_same_share() {
    let mut rotation = Rotation::default();
    let mut shares = [0; 5];
    (0..20).for_each(|_| shares[rotation.next(5, |_| true).expect("all are eligible")] += 1);
    assert_eq!(shares, [4; 5]);
}
