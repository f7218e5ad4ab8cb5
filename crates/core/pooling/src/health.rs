//! A server's health, from its answers: whether it is worth asking.

use badgerstream_line_protocol::Position;

/// The first pause after a failure, in seconds; it doubles up to `MAX_BACKOFF_S`.
pub const MIN_BACKOFF_S: f64 = 0.05;
/// The longest pause after failures, in seconds.
pub const MAX_BACKOFF_S: f64 = 1.0;
/// The pause of reads that a replica lags behind, in seconds.
pub const LAG_BACKOFF_S: f64 = 0.2;

/// The health of a server by its answers and failures.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    confirmed_position: Option<Position>,
    lagging: Option<(Position, f64)>,
    down_until: f64,
    backoff_s: f64,
}

impl Health {
    /// It answered, with its log here.
    pub fn record_answer(&mut self, position: Option<Position>) {
        self.backoff_s = 0.0;
        self.down_until = 0.0;
        if position > self.confirmed_position {
            self.confirmed_position = position;
        }
    }

    /// It lacks this position.
    pub fn record_lag(&mut self, now: f64, position: Position) {
        self.lagging = Some((position, now + LAG_BACKOFF_S));
    }

    /// It could not be reached, or refused a connection.
    pub fn record_failure(&mut self, now: f64) {
        if now < self.down_until {
            return;
        }
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, MAX_BACKOFF_S);
        self.down_until = now + self.backoff_s;
    }

    /// It isn't in a pause after failures.
    pub fn is_up(&self, now: f64) -> bool {
        now >= self.down_until
    }

    /// It has this position for sure, or nothing speaks against it: `WAITPOS` tells for certain, so that a guess
    /// costs a way there and back and never a rule.
    pub fn may_have_position(&self, position: Position, now: f64) -> bool {
        self.confirmed_position.is_some_and(|k| k >= position)
            || !self
                .lagging
                .is_some_and(|(p, until)| now < until && p <= position)
    }
}
