//! The latency of a server, when one of its responses is overdue, and the retry delay for clients.
//!
//! The pool of each server owns one [`Latency`]. The data plane owns one [`RefusalStreak`] per
//! service.

/// Minimum time after which a response is overdue, in seconds.
pub const MIN_OVERDUE_S: f64 = 0.025;
/// Minimum retry delay that a client is given, in seconds.
pub const MIN_RETRY_AFTER_S: f64 = 0.05;
/// A streak of refusals ends after this many seconds without a refusal.
pub const REFUSAL_STREAK_GAP_S: f64 = 1.0;

/// Maximum of [`Latency::network_overhead_factor`].
const MAX_NETWORK_OVERHEAD_FACTOR: f64 = 8.0;

/// Moving averages of the time from sending a statement to its response, in seconds. They are
/// computed like TCP's estimators of the round-trip time (RFC 6298), with gains of 1/8 for the mean
/// and 1/4 for the deviation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// `None` before the first response.
    mean_s: Option<f64>,
    /// Mean absolute deviation from the mean.
    deviation_s: f64,
    /// Round-trip time of the network alone; `None` before the first measurement.
    round_trip_s: Option<f64>,
}

impl Latency {
    /// Records that the response to a statement came after `elapsed_s` seconds.
    pub fn record_response(&mut self, elapsed_s: f64) {
        match &mut self.mean_s {
            None => {
                self.mean_s = Some(elapsed_s);
                self.deviation_s = elapsed_s / 2.0;
            }
            Some(mean_s) => {
                self.deviation_s += ((elapsed_s - *mean_s).abs() - self.deviation_s) / 4.0;
                *mean_s += (elapsed_s - *mean_s) / 8.0;
            }
        }
    }

    /// Records that the response to a statement that takes no slot of the server came after
    /// `elapsed_s` seconds, which is an upper bound of the network's round-trip time. The estimate
    /// falls at once and rises slowly.
    pub fn record_round_trip(&mut self, elapsed_s: f64) {
        let round_trip_s = self.round_trip_s.map_or(elapsed_s, |round_trip_s| {
            elapsed_s.min(round_trip_s + (elapsed_s - round_trip_s) / 16.0)
        });
        self.round_trip_s = Some(round_trip_s);
    }

    /// Returns the mean time that a statement takes as the router sees it, divided by the time that
    /// it takes at the server, without the network: between 1 and 8, and 1 before both the latency
    /// and the round-trip time have been measured.
    pub fn network_overhead_factor(&self) -> f64 {
        match (self.mean_s, self.round_trip_s) {
            (Some(mean_s), Some(round_trip_s)) => {
                let server_s = (mean_s - round_trip_s).max(mean_s / MAX_NETWORK_OVERHEAD_FACTOR);
                (mean_s / server_s).max(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the mean time to a response, in seconds; 0 before the first response.
    pub fn mean_s(&self) -> f64 {
        self.mean_s.unwrap_or(0.0)
    }

    /// Returns the time after which the response to a statement with this latency target is
    /// overdue, in seconds since the statement was sent. If the server has responded to a statement
    /// that was sent later, an overdue response is probably lost.
    pub fn overdue_after_s(&self, target_s: f64) -> f64 {
        let usual_s = (4.0 * self.mean_s()).max(self.mean_s() + 4.0 * self.deviation_s);
        usual_s.max(target_s / 4.0).max(MIN_OVERDUE_S)
    }

    /// Returns the estimated wait in the admission queue, in seconds, with `entries_ahead` entries
    /// ahead and `limit` statements admitted at a time.
    pub fn queue_wait_s(&self, entries_ahead: usize, limit: usize) -> f64 {
        (entries_ahead + 1) as f64 * self.mean_s() / limit.max(1) as f64
    }
}

/// How long statements of a service have been refused without a gap.
///
/// A streak that has lasted for some time is likely to last as long again, so retry delays grow
/// with its length.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RefusalStreak {
    /// Time of the first refusal of the streak, in seconds.
    began_at: f64,
    /// Time of the latest refusal, in seconds.
    last_at: Option<f64>,
}

impl RefusalStreak {
    /// Records that a statement was refused at time `now`, in seconds, because it would have to
    /// wait for `wait_s` seconds. Returns the retry delay for its client, in seconds.
    pub fn record_refusal(&mut self, now: f64, wait_s: f64) -> f64 {
        if self
            .last_at
            .is_none_or(|last_at| now - last_at > REFUSAL_STREAK_GAP_S)
        {
            self.began_at = now;
        }
        self.last_at = Some(now);
        wait_s.max(now - self.began_at)
    }
}
