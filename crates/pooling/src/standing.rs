//! How a server stands, from what it answered: is it worth asking?

use badgerstream_wire::Position;

/// The first pause after a failure, in seconds; it doubles up to `MAX_PAUSE_S`.
pub const PAUSE_S: f64 = 0.05;
/// The longest pause after failures, in seconds.
pub const MAX_PAUSE_S: f64 = 1.0;
/// The pause of reads that a replica lags behind, in seconds.
pub const LAG_PAUSE_S: f64 = 0.2;

/// What a server's answers told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    known: Option<Position>,
    lagging: Option<(Position, f64)>,
    down_until: f64,
    pause: f64,
}

impl Standing {
    /// It answered, with its log here.
    pub fn answered(&mut self, position: Option<Position>) {
        self.pause = 0.0;
        self.down_until = 0.0;
        if position > self.known {
            self.known = position;
        }
    }

    /// It lacks this position.
    pub fn lagged(&mut self, now: f64, position: Position) {
        self.lagging = Some((position, now + LAG_PAUSE_S));
    }

    /// It could not be reached, or refused a connection.
    pub fn failed(&mut self, now: f64) {
        if now < self.down_until {
            return;
        }
        self.pause = (self.pause * 2.0).clamp(PAUSE_S, MAX_PAUSE_S);
        self.down_until = now + self.pause;
    }

    /// It isn't in a pause after failures.
    pub fn is_up(&self, now: f64) -> bool {
        now >= self.down_until
    }

    /// It has this position for sure, or nothing speaks against it: `WAITPOS` tells for certain, so that a guess
    /// costs a way there and back and never a rule.
    pub fn may_have(&self, position: Position, now: f64) -> bool {
        self.known.is_some_and(|k| k >= position)
            || !self.lagging.is_some_and(|(p, until)| now < until && p <= position)
    }
}
