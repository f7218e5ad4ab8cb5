//! A server's latency, when an answer is overdue, and which retry delay a client is given.
//!
//! The pool of a server owns one [`Latency`]; the data plane owns one [`RefusalStreak`] a service.

/// An answer is never overdue before this many seconds.
pub const MIN_OVERDUE_S: f64 = 0.025;
/// No retry delay that a client is given is shorter, in seconds.
pub const MIN_RETRY_AFTER_S: f64 = 0.05;
/// A streak of refusals ends after this many seconds without one.
pub const REFUSAL_STREAK_GAP_S: f64 = 1.0;

/// The longest that [`Latency::network_stretch`] gets.
const MAX_NETWORK_STRETCH: f64 = 8.0;

/// Moving averages of the time from a statement to its answer, in seconds (as TCP's estimators of
/// the round-trip time, RFC 6298: gains of 1/8 and 1/4).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    mean: Option<f64>,
    /// The mean deviation from the mean.
    deviation: f64,
    /// The time of the network alone.
    round_trip: Option<f64>,
}

impl Latency {
    /// A statement was answered after `elapsed_s` seconds.
    pub fn record_answer(&mut self, elapsed_s: f64) {
        match &mut self.mean {
            None => {
                self.mean = Some(elapsed_s);
                self.deviation = elapsed_s / 2.0;
            }
            Some(mean) => {
                self.deviation += ((elapsed_s - *mean).abs() - self.deviation) / 4.0;
                *mean += (elapsed_s - *mean) / 8.0;
            }
        }
    }

    /// A statement that takes no slot of the server was answered after `elapsed_s` seconds, which
    /// is an upper bound of the round trip. Falls at once, rises slowly.
    pub fn record_round_trip(&mut self, elapsed_s: f64) {
        let round_trip = self.round_trip.map_or(elapsed_s, |round_trip| {
            elapsed_s.min(round_trip + (elapsed_s - round_trip) / 16.0)
        });
        self.round_trip = Some(round_trip);
    }

    /// How many times as long a statement takes for the router as for the server, because of the
    /// network: from 1, also while that isn't known, to 8.
    pub fn network_stretch(&self) -> f64 {
        match (self.mean, self.round_trip) {
            (Some(mean), Some(round_trip)) => {
                let server_time = (mean - round_trip).max(mean / MAX_NETWORK_STRETCH);
                (mean / server_time).max(1.0)
            }
            _ => 1.0,
        }
    }

    /// The mean, in seconds; 0 before the first answer.
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// How many seconds after it was sent the answer of a statement with this latency target
    /// (seconds) is overdue. If the server has answered what was sent later, it is probably lost.
    pub fn overdue_after(&self, target_s: f64) -> f64 {
        let usual = (4.0 * self.mean()).max(self.mean() + 4.0 * self.deviation);
        usual.max(target_s / 4.0).max(MIN_OVERDUE_S)
    }

    /// The estimated wait, in seconds, behind `ahead` others where `limit` are admitted at once.
    pub fn queue_wait(&self, ahead: usize, limit: usize) -> f64 {
        (ahead + 1) as f64 * self.mean() / limit.max(1) as f64
    }
}

/// For how long statements of a service have been refused without a gap. What has lasted so long is
/// likely to last as long again, so retry delays grow with it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RefusalStreak {
    began_at: f64,
    last_at: Option<f64>,
}

impl RefusalStreak {
    /// A statement is refused that would have to wait `wait_s` seconds. Returns the retry delay
    /// for its client, in seconds.
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
