//! The search for the highest rate, against servers whose limit is known.

use crate::search::{Bounds, Found, Search, Step, Verdict};
use proptest::prelude::*;
use test_case::test_case;

const BOUNDS: Bounds = Bounds {
    first: 100.0,
    least: 1.0,
    most: 10_000.0,
    precision: 0.05,
    confirm: 1,
    plays: 60,
};

fn searched(bounds: Bounds, mut verdict: impl FnMut(f64) -> Verdict) -> (Found, usize) {
    let mut search = Search::new(bounds);
    for plays in 0.. {
        match search.next() {
            Step::Done(found) => return (found, plays),
            Step::Play(rate) => search.told(rate, verdict(rate)),
        }
    }
    unreachable!("plays are bounded")
}

fn limit(at: f64) -> impl FnMut(f64) -> Verdict {
    move |rate| {
        if rate <= at {
            Verdict::Held
        } else {
            Verdict::Broken
        }
    }
}

proptest! {
    #[test]
    fn the_limit_is_found_as_well_as_asked_for(at in 1.0f64..9_999.0) {
        let (found, plays) = searched(BOUNDS, limit(at));
        let Found::Highest { per_s, broken_at_per_s } = found else { panic!("{found:?} for {at}") };
        prop_assert!(per_s <= at && at < broken_at_per_s && broken_at_per_s <= per_s * 1.05, "{found:?} for {at}");
        prop_assert!(plays <= 25, "{plays} plays");
    }
}

#[test]
fn bounds_are_kept() {
    assert_eq!(
        searched(BOUNDS, limit(0.5)).0,
        Found::Nowhere { least_per_s: 1.0 }
    );
    let all = Found::AtLeast {
        per_s: 10_000.0,
        limited_by_generator: false,
    };
    assert_eq!(searched(BOUNDS, limit(1e9)).0, all);
}

#[test]
fn a_generator_that_can_do_no_more_says_nothing_of_the_server() {
    let (found, _) = searched(BOUNDS, |rate| {
        if rate < 700.0 {
            Verdict::Held
        } else {
            Verdict::Limited
        }
    });
    assert!(
        matches!(found, Found::AtLeast { per_s, limited_by_generator: true } if per_s > 660.0),
        "{found:?}"
    );
}

/// A rate that holds once in a while by luck is not what is reported.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn luck_is_found_out(seed: u64) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let lucky = |rate: f64| {
        if rate <= 500.0 || (rate < 600.0 && chance.f64() < 0.3) {
            Verdict::Held
        } else {
            Verdict::Broken
        }
    };
    let (found, plays) = searched(
        Bounds {
            confirm: 3,
            ..BOUNDS
        },
        lucky,
    );
    assert!(
        matches!(found, Found::Highest { per_s, .. } if (450.0..=530.0).contains(&per_s)),
        "{found:?}"
    );
    assert!(plays < 60);
}

#[test]
fn plays_are_bounded_though_verdicts_make_no_sense() {
    let mut turn = 0;
    let (_, plays) = searched(
        Bounds {
            confirm: 5,
            plays: 30,
            ..BOUNDS
        },
        |_| {
            turn += 1;
            if turn % 2 == 0 {
                Verdict::Held
            } else {
                Verdict::Broken
            }
        },
    );
    assert!(plays <= 30);
}
