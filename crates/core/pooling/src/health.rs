//! A server's health as its answers and failures show it: whether to send it anything now.
//!
//! The pool of a server owns one [`Health`]; nothing is probed for it.

use badgerstream_line_protocol::Position;

/// The first backoff after a failure, in seconds; it doubles up to [`MAX_BACKOFF_S`].
pub const MIN_BACKOFF_S: f64 = 0.05;
/// The longest backoff after failures, in seconds.
pub const MAX_BACKOFF_S: f64 = 1.0;
/// For how long reads that a replica lagged behind avoid it, in seconds.
pub const LAG_BACKOFF_S: f64 = 0.2;

/// A position that a replica did not have, and until when reads of it avoid the replica.
#[derive(Debug, Clone, Copy)]
struct Lag {
    position: Position,
    until: f64,
}

/// The health of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// The highest position that it answered.
    confirmed_position: Option<Position>,
    last_lag: Option<Lag>,
    down_until: f64,
    backoff_s: f64,
}

impl Health {
    /// The server answered, with its log at this position if the answer says so. Ends a backoff.
    pub fn record_answer(&mut self, position: Option<Position>) {
        self.backoff_s = 0.0;
        self.down_until = 0.0;
        if position > self.confirmed_position {
            self.confirmed_position = position;
        }
    }

    /// The server answered `LAGGING`: it lacks this position.
    pub fn record_lag(&mut self, now: f64, position: Position) {
        self.last_lag = Some(Lag {
            position,
            until: now + LAG_BACKOFF_S,
        });
    }

    /// The server could not be reached, or refused a connection. Failures within a backoff do not
    /// extend it: they were attempted before it began.
    pub fn record_failure(&mut self, now: f64) {
        if now < self.down_until {
            return;
        }
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, MAX_BACKOFF_S);
        self.down_until = now + self.backoff_s;
    }

    /// Whether the server is not in a backoff.
    pub fn is_up(&self, now: f64) -> bool {
        now >= self.down_until
    }

    /// Whether the server has this position, or nothing speaks against it. `WAITPOS` has the
    /// server check it, so a wrong guess costs a round trip and never consistency.
    pub fn may_have_position(&self, position: Position, now: f64) -> bool {
        let is_confirmed = self
            .confirmed_position
            .is_some_and(|confirmed| confirmed >= position);
        let is_lagging = self
            .last_lag
            .is_some_and(|lag| now < lag.until && lag.position <= position);
        is_confirmed || !is_lagging
    }
}
