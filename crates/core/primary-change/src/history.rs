//! How long changes of this store took: what a statement that waits can expect.

use hdrhistogram::Histogram;

/// An hour, in the histogram's milliseconds.
const LONGEST_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
pub struct History(Histogram<u64>);

fn ms(seconds: f64) -> u64 {
    ((seconds * 1e3) as u64).clamp(1, LONGEST_MS)
}

impl History {
    /// Until a change was seen, `expected` (in seconds) stands for one.
    pub fn new(expected: f64) -> History {
        // The bounds are constant and within what the library takes.
        let mut durations = Histogram::new_with_bounds(1, LONGEST_MS, 2).expect("bounds that fit");
        durations.saturating_record(ms(expected));
        History(durations)
    }

    pub fn took(&mut self, seconds: f64) {
        self.0.saturating_record(ms(seconds));
    }

    pub fn changes(&self) -> u64 {
        self.0.len() - 1
    }

    /// The share of past changes longer than `elapsed` that were over within `left` more; seconds. Where none
    /// was as long, it is as likely as not to take as long again, and so on: by a tail that falls with the time.
    pub fn chance(&self, elapsed: f64, left: f64) -> f64 {
        if self.changes() == 0 {
            // A guess from the settings is no measurement: it rejects nobody for certain.
            let expected = self.0.max() as f64 / 1e3;
            return left / (expected.max(elapsed) + left).max(f64::MIN_POSITIVE);
        }
        let end = elapsed + left;
        let longer = self.longer(elapsed);
        if longer == 0 {
            return left / (elapsed + left).max(f64::MIN_POSITIVE);
        }
        (longer - self.longer(end).min(longer)) as f64 / longer as f64
    }

    /// How much longer a change of this age takes, by the median of those that were longer; seconds.
    pub fn left(&self, elapsed: f64) -> f64 {
        let longer = self.longer(elapsed);
        if longer == 0 {
            return elapsed;
        }
        let rank = self.0.len() - longer + longer.div_ceil(2);
        let quantile = rank as f64 / self.0.len() as f64;
        (self.0.value_at_quantile(quantile) as f64 / 1e3 - elapsed).max(0.0)
    }

    fn longer(&self, seconds: f64) -> u64 {
        self.0.len() - self.0.count_between(0, ms(seconds))
    }
}
