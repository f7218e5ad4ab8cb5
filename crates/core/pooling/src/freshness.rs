//! Freshness proofs: the log position that a replica must have for a read with bounded staleness.
//!
//! The data plane keeps one [`PositionHistory`] per service and records the positions that the
//! primary reports.

use badgerstream_line_protocol::Position;
use std::collections::VecDeque;

/// Minimum time between the query times of two samples, in seconds.
pub const MIN_SAMPLE_SPACING_S: f64 = 0.05;
/// Maximum number of samples kept per service. With the minimum spacing they cover about four
/// seconds of a busy service.
pub const MAX_SAMPLES: usize = 80;

/// The primary's log had reached `position` when the primary answered a query that was sent at
/// `queried_at` (seconds), while the lease was valid.
#[derive(Debug, Clone, Copy)]
struct Sample {
    queried_at: f64,
    position: Position,
}

/// Log positions of one service's primary over time.
///
/// Because the lease was valid when a sample was queried, the position of the sample covers every
/// commit that was acknowledged before that time.
#[derive(Debug, Default)]
pub struct PositionHistory {
    /// In strictly rising order of query times and also of positions.
    samples: VecDeque<Sample>,
}

impl PositionHistory {
    /// Records the position that the primary reported in response to a query sent at `queried_at`
    /// (seconds) while the lease was valid. Responses may be recorded in any order.
    pub fn record(&mut self, queried_at: f64, position: Position) {
        // A sample with the same or a later query time and the same or a lower position proves at
        // least as much as this one.
        let after = self.samples.partition_point(|s| s.queried_at < queried_at);
        if self
            .samples
            .get(after)
            .is_some_and(|s| s.position <= position)
        {
            return;
        }
        // Earlier samples with the same or a higher position prove less than this one, which
        // replaces them.
        let from = self
            .samples
            .partition_point(|s| s.position < position)
            .min(after);
        if from < after {
            self.samples.drain(from..after);
        }
        if from > 0
            && queried_at - self.samples[from - 1].queried_at < MIN_SAMPLE_SPACING_S
            && from == self.samples.len()
        {
            return;
        }
        self.samples.insert(
            from,
            Sample {
                queried_at,
                position,
            },
        );
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the lowest position known to cover every commit acknowledged before `since`
    /// (seconds), which a read requires of a replica with `WAITPOS`. Returns `None` if no sample
    /// was queried at or after `since`.
    pub fn proof(&self, since: f64) -> Option<Position> {
        let first = self.samples.partition_point(|s| s.queried_at < since);
        self.samples.get(first).map(|s| s.position)
    }

    /// Returns the query time of the newest sample, in seconds.
    pub fn newest_query_at(&self) -> Option<f64> {
        self.samples.back().map(|s| s.queried_at)
    }
}
