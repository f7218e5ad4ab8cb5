//! Proofs that a replica is fresh enough, from what the primary's answers told.

use badgerstream_line_protocol::Position;
use std::collections::VecDeque;

/// Samples are at least this far apart, in seconds.
pub const SPACING_S: f64 = 0.05;
/// The most samples kept of one service: with the spacing, some four seconds of a busy one.
pub const MAX_SAMPLES: usize = 80;

/// For one service: "the log of the primary was at this position when asked then, under a valid lease". Such a
/// position covers every commit that was acknowledged before that second.
#[derive(Debug, Default)]
pub struct PositionHistory {
    /// Both the seconds and the positions rise.
    samples: VecDeque<(f64, Position)>,
}

impl PositionHistory {
    /// Takes a sample: asked at this second, when the lease was valid, the primary answered this position.
    pub fn record(&mut self, asked: f64, position: Position) {
        // One that was asked no earlier, at a position no later, proves all that this one does.
        let after = self.samples.partition_point(|(t, _)| *t < asked);
        if self.samples.get(after).is_some_and(|(_, p)| *p <= position) {
            return;
        }
        // The other way round it takes the place of those it outdoes.
        let from = self
            .samples
            .partition_point(|(_, p)| *p < position)
            .min(after);
        if from < after {
            self.samples.drain(from..after);
        }
        if from > 0 && asked - self.samples[from - 1].0 < SPACING_S && from == self.samples.len() {
            return;
        }
        self.samples.insert(from, (asked, position));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The smallest position known to cover every commit acknowledged before this second: what `WAITPOS` must ask of
    /// a replica. None if no sample is as young as that.
    pub fn proof(&self, since: f64) -> Option<Position> {
        let at = self.samples.partition_point(|(t, _)| *t < since);
        self.samples.get(at).map(|(_, p)| *p)
    }

    /// When the newest sample was asked.
    pub fn newest_query_at(&self) -> Option<f64> {
        self.samples.back().map(|(t, _)| *t)
    }
}
