//! The difference between two kept runs, or two sets of them, with what it may be by chance: a bootstrap over
//! runs where each side has several, else over stretches of time within the runs. No I/O.

use crate::attempts::Outcome;
use crate::series::{Series, Sums, Window};
use serde::Serialize;

/// Draws with replacement; the interval is the middle 95 % of what they give.
const DRAWS: usize = 2000;
/// So many runs on each side are drawn as wholes: fewer say nothing of what differs from run to run.
const RUNS: usize = 4;
/// Fewer stretches of time than this are too few to tell noise by.
pub const LEAST: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    P50Ms,
    P90Ms,
    P99Ms,
    P999Ms,
    /// Completed within their SLO time, of all.
    InTime,
    /// Rejected, aborted, timed out or left unsent, of all.
    Failed,
    /// Attempts a statement.
    Attempts,
    /// Completed a second, in time or late.
    CompletedPerS,
}

pub const MEASURES: [Measure; 8] = [
    Measure::P50Ms,
    Measure::P90Ms,
    Measure::P99Ms,
    Measure::P999Ms,
    Measure::InTime,
    Measure::Failed,
    Measure::Attempts,
    Measure::CompletedPerS,
];

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Difference {
    pub measure: Measure,
    pub a: f64,
    pub b: f64,
    /// B less A, and the interval that holds it with 95 % confidence.
    pub by: f64,
    pub from: f64,
    pub to: f64,
    /// The interval does not hold 0.
    pub exceeds_noise: bool,
}

/// Whole runs, or stretches of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Over {
    Runs,
    Windows,
}

#[derive(Debug, Serialize)]
pub struct Comparison {
    pub drawn_over: Over,
    pub units_a: usize,
    pub units_b: usize,
    /// Too few units to tell a difference from noise by.
    pub too_few: bool,
    pub differences: Vec<Difference>,
}

/// What a measure is taken of: windows that belong together, once as often as they were drawn.
fn measured(drawn: &[&[Window]], window_s: f64, sums: &mut Sums) -> [f64; MEASURES.len()] {
    sums.clear();
    let (mut outcomes, mut attempts, mut stretches) = ([0u64; 6], 0, 0);
    for window in drawn.iter().flat_map(|windows| windows.iter()) {
        window.latency.add_to(sums);
        outcomes
            .iter_mut()
            .zip(window.outcomes)
            .for_each(|(sum, count)| *sum += count);
        (attempts, stretches) = (attempts + window.attempts, stretches + 1);
    }
    let of = |outcome: Outcome| outcomes[outcome as usize] as f64;
    let all = (outcomes.iter().sum::<u64>() as f64).max(1.0);
    let completed = of(Outcome::Completed) + of(Outcome::Late);
    MEASURES.map(|measure| match measure {
        Measure::P50Ms => sums.quantile(0.5).unwrap_or(0.0),
        Measure::P90Ms => sums.quantile(0.9).unwrap_or(0.0),
        Measure::P99Ms => sums.quantile(0.99).unwrap_or(0.0),
        Measure::P999Ms => sums.quantile(0.999).unwrap_or(0.0),
        Measure::InTime => of(Outcome::Completed) / all,
        Measure::Failed => (all - completed).max(0.0) / all,
        Measure::Attempts => attempts as f64 / all,
        Measure::CompletedPerS => completed / (f64::from(stretches.max(1)) * window_s),
    })
}

/// What is drawn: each run as a whole, or each stretch of all runs.
fn units(runs: &[Series], over: Over) -> Vec<&[Window]> {
    match over {
        Over::Runs => runs.iter().map(|run| run.windows.as_slice()).collect(),
        // The last stretch is seldom whole.
        Over::Windows => {
            let whole = |run: &'_ Series| run.windows.len().saturating_sub(1).max(1);
            runs.iter()
                .flat_map(|run| run.windows[..whole(run)].chunks(1))
                .collect()
        }
    }
}

/// Compares the runs of two sides; both have the same length of stretches.
pub fn compare(a: &[Series], b: &[Series], seed: u64) -> Comparison {
    let over = if a.len().min(b.len()) >= RUNS {
        Over::Runs
    } else {
        Over::Windows
    };
    let window_s = a.first().map_or(1.0, |run| run.window_s);
    let (of_a, of_b) = (units(a, over), units(b, over));
    let mut sums = Sums::default();
    let (all_a, all_b) = (
        measured(&of_a, window_s, &mut sums),
        measured(&of_b, window_s, &mut sums),
    );
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut apart: Vec<Vec<f64>> = MEASURES.iter().map(|_| Vec::with_capacity(DRAWS)).collect();
    let mut drawn = Vec::new();
    for _ in 0..DRAWS {
        let mut draw = |of: &[&'_ [Window]], sums: &mut Sums| {
            drawn.clear();
            drawn.extend((0..of.len()).map(|_| chance.usize(0..of.len())));
            let drawn: Vec<&[Window]> = drawn.iter().map(|unit| of[*unit]).collect();
            measured(&drawn, window_s, sums)
        };
        let (one, other) = (draw(&of_a, &mut sums), draw(&of_b, &mut sums));
        for (place, apart) in apart.iter_mut().enumerate() {
            apart.push(other[place] - one[place]);
        }
    }
    let difference = |(place, measure): (usize, &Measure)| {
        let sorted = {
            let mut values = apart[place].clone();
            values.sort_by(f64::total_cmp);
            values
        };
        let at = |part: f64| sorted[((sorted.len() - 1) as f64 * part) as usize];
        let (from, to) = (at(0.025), at(0.975));
        Difference {
            measure: *measure,
            a: all_a[place],
            b: all_b[place],
            by: all_b[place] - all_a[place],
            from,
            to,
            exceeds_noise: from > 0.0 || to < 0.0,
        }
    };
    let few = of_a.len().min(of_b.len());
    let too_few = few < if over == Over::Runs { RUNS } else { LEAST };
    let mut differences: Vec<_> = MEASURES.iter().enumerate().map(difference).collect();
    // An interval of too few units is too narrow to be believed.
    differences
        .iter_mut()
        .for_each(|d| d.exceeds_noise &= !too_few);
    Comparison {
        drawn_over: over,
        units_a: of_a.len(),
        units_b: of_b.len(),
        too_few,
        differences,
    }
}
