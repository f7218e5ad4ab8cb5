//! Arrivals against their shapes and distributions.

use crate::arrivals::{Arrival, Arrivals};
use crate::scenario::{Phase, Shape, Together};
use test_case::test_case;

fn phase(shape: Shape, random: bool) -> Phase {
    Phase {
        name: String::new(),
        for_ms: 10_000.0,
        random,
        together: None,
        shape,
    }
}

fn arrivals(phase: Phase) -> Vec<Arrival> {
    Arrivals::new(&[phase], 7).collect()
}

fn due(shape: Shape, random: bool) -> Vec<f64> {
    arrivals(phase(shape, random))
        .into_iter()
        .map(|arrival| arrival.at)
        .collect()
}

#[test_case(Shape::Constant { per_s: 100.0 }, 1000, 500; "constant")]
#[test_case(Shape::Ramp { from_per_s: 0.0, to_per_s: 200.0 }, 1000, 250; "a ramp")]
#[test_case(Shape::Steps { per_s: vec![50.0, 150.0] }, 1000, 250; "steps")]
#[test_case(Shape::Bursts { per_s: 300.0, on_ms: 1000.0, base_per_s: 0.0, off_ms: 4000.0 }, 600, 300; "bursts")]
#[test_case(Shape::Day { low_per_s: 0.0, high_per_s: 200.0 }, 1000, 500; "a day")]
// The base's 1000, and 400 * 1 s / ln 2 of the extra, nearly all of it within the last five seconds.
#[test_case(Shape::Release { base_per_s: 100.0, peak_per_s: 500.0, at_ms: 5000.0, half_ms: 1000.0, group: 2 }, 1559, 500; "a release")]
fn evenly_spaced_arrivals_fill_their_shape(shape: Shape, all: usize, half: usize) {
    let due = due(shape, false);
    assert!(due.is_sorted() && due.last() <= Some(&10.0));
    assert!(due.len().abs_diff(all) <= 1, "{}", due.len());
    let before = due.iter().filter(|at| **at <= 5.0).count();
    assert!(before.abs_diff(half) <= 1, "{before} in the first half");
}

/// Kolmogorov and Smirnov's distance of the gaps from the exponential distribution, at one in a thousand; the
/// seed is fixed, so is the verdict.
fn is_exponential(mut gaps: Vec<f64>, rate: f64) -> bool {
    gaps.sort_by(f64::total_cmp);
    let n = gaps.len() as f64;
    let off = |(i, gap): (usize, &f64)| (1.0 - (-gap * rate).exp() - (i as f64 + 0.5) / n).abs();
    gaps.iter().enumerate().map(off).fold(0.0, f64::max) < 1.95 / n.sqrt()
}

#[test]
fn random_arrivals_are_a_poisson_process() {
    let due = due(Shape::Constant { per_s: 1000.0 }, true);
    let gaps: Vec<f64> = due.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let n = gaps.len() as f64;
    assert!(
        is_exponential(gaps.clone(), 1000.0) && (n - 10_000.0).abs() < 330.0,
        "{n}"
    );
    // The test itself can fail: evenly spaced ones, and another rate, are none.
    assert!(!is_exponential(gaps, 1100.0) && !is_exponential(vec![1e-3; 10_000], 1000.0));
}

/// Counts of a Poisson process vary as much as they are large; of bunches of 20, twenty times that.
#[test_case(1, 1.0; "alone")]
#[test_case(20, 20.0; "twenty at a time")]
fn customers_come_together(statements: u32, ratio: f64) {
    let mut phase = phase(Shape::Constant { per_s: 2000.0 }, true);
    phase.together = Some(Together {
        statements,
        within_ms: 1.0,
    });
    let all = arrivals(phase);
    assert!(all.iter().map(|arrival| arrival.at).is_sorted());
    assert!(all.len().abs_diff(20_000) < 1500, "{}", all.len());
    let mut counts = vec![0f64; 100];
    all.iter()
        .for_each(|arrival| counts[((arrival.at * 10.0) as usize).min(99)] += 1.0);
    let mean = counts.iter().sum::<f64>() / 100.0;
    let variance = counts
        .iter()
        .map(|count| (count - mean).powi(2))
        .sum::<f64>()
        / 99.0;
    assert!(
        (0.7..1.4).contains(&(variance / mean / ratio)),
        "{variance} of {mean}"
    );
    let members = all
        .iter()
        .filter(|arrival| arrival.bunch == all[0].bunch)
        .count();
    assert_eq!(members, statements as usize);
}

#[test]
fn a_release_is_part_of_the_rate_while_it_lasts() {
    let shape = Shape::Release {
        base_per_s: 100.0,
        peak_per_s: 900.0,
        at_ms: 2000.0,
        half_ms: 500.0,
        group: 3,
    };
    let all = arrivals(phase(shape, false));
    let part = |at: f64| {
        all.iter()
            .find(|arrival| arrival.at >= at)
            .and_then(|arrival| arrival.release)
    };
    assert_eq!(part(1.0), None);
    let Some((3, first)) = part(2.01) else {
        panic!("no release")
    };
    assert!((0.85..0.9).contains(&first), "{first}");
    assert!(part(9.9).is_some_and(|(_, last)| last < 0.01));
}
