//! Tests of the types that other crates use as well: the primary affinity of a session, and the rotation.

use crate::{PRIMARY_AFFINITY_S, PrimaryAffinity, Rotation};
use test_case::test_case;

#[test_case(0.0, true; "at the send")]
#[test_case(2.999, true; "just before its end")]
#[test_case(3.0, false; "at its end")]
#[test_case(60.0, false; "long after")]
fn primary_affinity_lasts_three_seconds(after: f64, active: bool) {
    assert_eq!(PRIMARY_AFFINITY_S, 3.0);
    assert_eq!(
        PrimaryAffinity::at(1000.0).is_active(1000.0 + after),
        active
    );
}

#[test]
fn affinity_starts_with_the_first_send_and_is_renewed_by_each() {
    let mut affinity = PrimaryAffinity::default();
    assert!(!affinity.is_active(0.0) && !affinity.is_active(1000.0));
    affinity.touch(1000.0);
    assert_eq!(affinity, PrimaryAffinity::at(1000.0));
    affinity.touch(1002.0);
    assert!(affinity.is_active(1004.9) && !affinity.is_active(1005.0));
}

#[test]
fn each_choice_starts_behind_the_previous_one_and_wraps() {
    let mut rotation = Rotation::default();
    let chosen: Vec<_> = (0..5).map(|_| rotation.next(3, |_| true)).collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1].map(Some));
}

#[test]
fn a_rotation_may_start_at_any_number() {
    let mut rotation = Rotation { next: usize::MAX };
    assert_eq!(rotation.next(usize::MAX, |i| i < 2), Some(0));
    let mut rotation = Rotation { next: 5 };
    assert_eq!(
        [rotation.next(3, |_| true), rotation.next(3, |_| true)],
        [2, 0].map(Some)
    );
}

#[test]
fn an_ineligible_member_is_skipped_and_loses_its_turn() {
    let mut rotation = Rotation::default();
    let chosen: Vec<_> = (0..3).map(|_| rotation.next(4, |i| i % 2 == 1)).collect();
    assert_eq!(chosen, [1, 3, 1].map(Some));
    assert_eq!(rotation.next(4, |_| true), Some(2));
}

#[test_case(0; "no member")]
#[test_case(3; "none eligible")]
fn without_an_eligible_member_the_counter_stays(count: usize) {
    let mut rotation = Rotation::default();
    rotation.next(3, |_| true);
    let before = rotation;
    assert_eq!(rotation.next(count, |_| false), None);
    assert_eq!(rotation, before);
}

/// Groups shrink and grow between choices: a counter past the end wraps by the present number of members.
#[test]
fn the_choice_is_the_first_eligible_member_from_the_counter() {
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

/// While all members are eligible, none is chosen twice before each was chosen once.
#[test]
fn all_eligible_members_get_the_same_share() {
    let mut rotation = Rotation::default();
    let mut shares = [0; 5];
    (0..20).for_each(|_| shares[rotation.next(5, |_| true).expect("all are eligible")] += 1);
    assert_eq!(shares, [4; 5]);
}
