//! Durations of past primary changes, from which the remaining duration of the present one is estimated.

use hdrhistogram::Histogram;

/// One hour. The histogram counts in milliseconds; longer durations are recorded as this one.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Durations of the primary changes observed, and of one assumed change.
#[derive(Clone, Debug)]
pub struct ChangeDurations(Histogram<u64>);

fn duration_ms(seconds: f64) -> u64 {
    ((seconds * 1e3) as u64).clamp(1, MAX_DURATION_MS)
}

impl ChangeDurations {
    /// Starts with one assumed change of `expected_s` seconds.
    pub fn new(expected_s: f64) -> ChangeDurations {
        // The bounds are constants that the library accepts.
        let mut durations =
            Histogram::new_with_bounds(1, MAX_DURATION_MS, 2).expect("bounds that fit");
        durations.saturating_record(duration_ms(expected_s));
        ChangeDurations(durations)
    }

    /// Records the duration of an observed change, in seconds.
    pub fn record(&mut self, seconds: f64) {
        self.0.saturating_record(duration_ms(seconds));
    }

    /// Number of observed changes; the assumed one is not counted.
    pub fn changes(&self) -> u64 {
        self.0.len() - 1
    }

    /// Estimates the probability that a change that has lasted `elapsed_s` seconds ends within `wait_s` more.
    ///
    /// It is the share of the past changes longer than `elapsed_s` that ended by then. Where no past change was
    /// that long, the remaining time is as likely as not to be longer than the elapsed time: the probability of a
    /// duration falls in inverse proportion to it.
    pub fn chance_to_end_within(&self, elapsed_s: f64, wait_s: f64) -> f64 {
        if self.changes() == 0 {
            // The expected duration comes from the settings and was not measured: the result is never 0 for a
            // positive `wait_s`, so that no statement is rejected for certain.
            let expected_s = self.0.max() as f64 / 1e3;
            return wait_s / (expected_s.max(elapsed_s) + wait_s).max(f64::MIN_POSITIVE);
        }
        let end_s = elapsed_s + wait_s;
        let longer = self.count_longer_than(elapsed_s);
        if longer == 0 {
            return wait_s / (elapsed_s + wait_s).max(f64::MIN_POSITIVE);
        }
        (longer - self.count_longer_than(end_s).min(longer)) as f64 / longer as f64
    }

    /// Estimates how many seconds a change that has lasted `elapsed_s` seconds still takes: the median of the
    /// past changes that were longer, less `elapsed_s`; `elapsed_s` where no past change was longer.
    pub fn remaining_s(&self, elapsed_s: f64) -> f64 {
        let longer = self.count_longer_than(elapsed_s);
        if longer == 0 {
            return elapsed_s;
        }
        let rank = self.0.len() - longer + longer.div_ceil(2);
        let quantile = rank as f64 / self.0.len() as f64;
        (self.0.value_at_quantile(quantile) as f64 / 1e3 - elapsed_s).max(0.0)
    }

    fn count_longer_than(&self, seconds: f64) -> u64 {
        self.0.len() - self.0.count_between(0, duration_ms(seconds))
    }
}
