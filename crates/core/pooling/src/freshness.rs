//! Freshness proofs: which position a replica must have for a read with bounded staleness.
//!
//! The data plane keeps one [`PositionHistory`] a service and records what the primary answered.

use badgerstream_line_protocol::Position;
use std::collections::VecDeque;

/// The least distance between the query times of two samples, in seconds.
pub const MIN_SAMPLE_SPACING_S: f64 = 0.05;
/// The most samples kept of one service: with the spacing, some four seconds of a busy one.
pub const MAX_SAMPLES: usize = 80;

/// The log of the primary had reached `position` when it was queried at `queried_at`, under a valid
/// lease.
#[derive(Debug, Clone, Copy)]
struct Sample {
    queried_at: f64,
    position: Position,
}

/// Positions of one service's primary over time. As the lease was valid when a sample was queried,
/// its position covers every commit that was acknowledged before that second.
#[derive(Debug, Default)]
pub struct PositionHistory {
    /// Query times and positions both rise strictly.
    samples: VecDeque<Sample>,
}

impl PositionHistory {
    /// Records that the primary, queried at `queried_at` seconds while the lease was valid,
    /// answered this position. Answers may come in any order.
    pub fn record(&mut self, queried_at: f64, position: Position) {
        // A sample queried no earlier, at a position no later, proves all that this one does.
        let after = self.samples.partition_point(|s| s.queried_at < queried_at);
        if self
            .samples
            .get(after)
            .is_some_and(|s| s.position <= position)
        {
            return;
        }
        // Earlier samples at a position no earlier prove less than this one: it replaces them.
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

    /// The smallest position known to cover every commit acknowledged before `since` (seconds):
    /// what `WAITPOS` must demand of a replica. None if no sample is as young as that.
    pub fn proof(&self, since: f64) -> Option<Position> {
        let first = self.samples.partition_point(|s| s.queried_at < since);
        self.samples.get(first).map(|s| s.position)
    }

    /// When the newest sample was queried, in seconds.
    pub fn newest_query_at(&self) -> Option<f64> {
        self.samples.back().map(|s| s.queried_at)
    }
}
