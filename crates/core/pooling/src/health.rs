//! The health of a server, which decides whether statements are sent to it now.
//!
//! Health is derived only from responses and failures of regular traffic; there are no probes. The
//! pool of each server owns one [`Health`].

use badgerstream_line_protocol::Position;

/// Backoff after the first failure, in seconds; it doubles with each failure up to
/// [`MAX_BACKOFF_S`].
pub const MIN_BACKOFF_S: f64 = 0.05;
/// Maximum backoff after repeated failures, in seconds.
pub const MAX_BACKOFF_S: f64 = 1.0;
/// How long reads avoid a replica that lacked the position they require, in seconds.
pub const LAG_BACKOFF_S: f64 = 0.2;

/// A position that a replica lacked, and until when (seconds) reads that require this position or a
/// higher one avoid the replica.
#[derive(Debug, Clone, Copy)]
struct Lag {
    position: Position,
    until: f64,
}

/// The health of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// The highest log position that the server reported.
    confirmed_position: Option<Position>,
    last_lag: Option<Lag>,
    /// End of the current backoff, in seconds; 0 if there is none.
    down_until: f64,
    /// Length of the latest backoff; 0 after a response.
    backoff_s: f64,
}

impl Health {
    /// Records a response of the server, with the log position if the response reports one. Ends a
    /// backoff.
    pub fn record_response(&mut self, position: Option<Position>) {
        self.backoff_s = 0.0;
        self.down_until = 0.0;
        if position > self.confirmed_position {
            self.confirmed_position = position;
        }
    }

    /// Records that the server responded with `LAGGING` at time `now`, in seconds: its log lacks
    /// this position.
    pub fn record_lag(&mut self, now: f64, position: Position) {
        self.last_lag = Some(Lag {
            position,
            until: now + LAG_BACKOFF_S,
        });
    }

    /// Records that, at time `now` in seconds, the server could not be reached or refused a
    /// connection. Failures during a backoff do not extend it, because their attempts began before
    /// it.
    pub fn record_failure(&mut self, now: f64) {
        if now < self.down_until {
            return;
        }
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, MAX_BACKOFF_S);
        self.down_until = now + self.backoff_s;
    }

    /// Returns whether the server is outside of any backoff at time `now`, in seconds.
    pub fn is_up(&self, now: f64) -> bool {
        now >= self.down_until
    }

    /// Returns whether the server's log has reached this position, as far as is known at time
    /// `now`, in seconds. The server checks the position itself (`WAITPOS`), so a wrong guess costs
    /// a round trip and never consistency.
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
