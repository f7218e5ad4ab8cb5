//! Comparing, reading back and drawing.

use super::place;
use crate::attempts::Outcome;
use crate::compare::{Comparison, Measure, Over, compare};
use crate::plot::plot;
use crate::series::{Series, Sums, Window};
use test_case::test_case;

/// Seconds of 200 statements each, with exponential latencies of this mean; one in a hundred fails.
fn series(name: &str, seconds: usize, mean_ms: f64, seed: u64) -> Series {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut window = || {
        let mut window = Window::default();
        for _ in 0..200 {
            let us = -(1.0 - chance.f64()).ln() * mean_ms * 1e3;
            let outcome = if chance.f64() < 0.01 {
                Outcome::Rejected
            } else {
                Outcome::Completed
            };
            window.ended(outcome, us as u64, 1);
        }
        window
    };
    Series {
        name: name.to_string(),
        window_s: 1.0,
        windows: (0..seconds).map(|_| window()).collect(),
    }
}

fn exceeds(comparison: &Comparison, measure: Measure) -> bool {
    comparison
        .differences
        .iter()
        .any(|d| d.measure == measure && d.exceeds_noise)
}

#[test]
fn quantiles_are_those_of_what_was_counted() {
    let mut window = Window::default();
    (1..=1000).for_each(|ms| window.ended(Outcome::Completed, ms * 1000, 1));
    let mut sums = Sums::default();
    window.latency.add_to(&mut sums);
    for (quantile, ms) in [(0.5, 500.0), (0.99, 990.0), (1.0, 1000.0)] {
        let told = sums.quantile(quantile).unwrap();
        assert!((told / ms - 1.0f64).abs() < 0.011, "{told} for {ms}");
    }
    assert_eq!(Sums::default().quantile(0.5), None);
}

#[test]
fn a_difference_beyond_noise_is_told_from_one_within_it() {
    let a = [series("a", 60, 10.0, 1)];
    let slower = compare(&a, &[series("b", 60, 12.0, 2)], 7);
    assert!(
        slower.drawn_over == Over::Windows
            && exceeds(&slower, Measure::P50Ms)
            && exceeds(&slower, Measure::P99Ms)
    );
    assert!(!exceeds(&slower, Measure::Failed) && !exceeds(&slower, Measure::Attempts));
    let p50 = slower
        .differences
        .iter()
        .find(|d| d.measure == Measure::P50Ms)
        .unwrap();
    assert!(
        p50.from < 1.386 && 1.386 < p50.to,
        "the median of 2 ms more is 1.386 ms more: {p50:?}"
    );
}

/// Of intervals of 95 %, about one in twenty misses; with fixed seeds the verdict is fixed.
#[test]
fn the_same_thing_twice_is_seldom_a_difference() {
    let missed = |seed: u64| {
        let alike = compare(
            &[series("a", 16, 10.0, seed)],
            &[series("b", 16, 10.0, seed + 500)],
            seed,
        );
        exceeds(&alike, Measure::P50Ms)
    };
    let missed = (0..20).filter(|seed| missed(*seed)).count();
    assert!(missed <= 4, "{missed} of 20");
}

#[test_case(3, 1, Over::Windows, true; "three seconds")]
#[test_case(20, 1, Over::Windows, false; "twenty seconds")]
#[test_case(20, 5, Over::Runs, false; "five runs")]
fn too_few_to_tell_is_told(seconds: usize, runs: u64, over: Over, too_few: bool) {
    let side = |of: u64, mean| {
        (0..runs)
            .map(|run| series("x", seconds, mean, of + run))
            .collect::<Vec<_>>()
    };
    let comparison = compare(&side(1, 10.0), &side(90, 30.0), 3);
    assert_eq!((comparison.drawn_over, comparison.too_few), (over, too_few));
    assert_eq!(
        exceeds(&comparison, Measure::P50Ms),
        !too_few,
        "thrice as slow is told, where anything can be"
    );
}

#[test_case(vec![series("one", 30, 10.0, 1)]; "one run")]
#[test_case(vec![series("one", 30, 10.0, 1), series("two", 20, 20.0, 2)]; "two laid over each other")]
#[test_case(vec![series("short", 1, 10.0, 1)]; "a single second")]
fn pictures_are_drawn(runs: Vec<Series>) {
    let folder = place("pictures");
    std::fs::create_dir_all(&folder).unwrap();
    let files = plot(&runs, &folder).unwrap();
    assert_eq!(files.len(), 3);
    for file in files {
        let drawn = std::fs::read_to_string(&file).unwrap();
        assert!(
            drawn.starts_with("<svg") && drawn.trim_end().ends_with("</svg>"),
            "{}",
            file.display()
        );
        runs.iter()
            .for_each(|run| assert!(drawn.contains(&run.name), "{} is named", run.name));
    }
}
