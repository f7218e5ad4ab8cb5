//! How fast a server answers, and when an answer is overdue.

/// An answer is never overdue before this many seconds.
pub const MIN_OVERDUE_S: f64 = 0.025;
/// No retry delay that a client is given is shorter, in seconds.
pub const MIN_RETRY_AFTER_S: f64 = 0.05;

/// The mean time from a statement to its answer and how far it strays from it, both weighted towards the newest; in
/// seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    mean: Option<f64>,
    deviation: f64,
    /// The time of the network alone.
    round_trip: Option<f64>,
}

impl Latency {
    /// An answer took so many seconds.
    pub fn record_answer(&mut self, took: f64) {
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += ((took - *mean).abs() - self.deviation) / 4.0;
                *mean += (took - *mean) / 8.0;
            }
        }
    }

    /// What takes no slot there was answered after so many seconds: no more than the round trip.
    pub fn record_round_trip(&mut self, took: f64) {
        let round_trip = self.round_trip.map_or(took, |round_trip| {
            took.min(round_trip + (took - round_trip) / 16.0)
        });
        self.round_trip = Some(round_trip);
    }

    /// How many times as long a statement takes for us as for the server; 1 while that isn't known, 8 at most.
    pub fn network_stretch(&self) -> f64 {
        match (self.mean, self.round_trip) {
            (Some(mean), Some(round_trip)) => (mean / (mean - round_trip).max(mean / 8.0)).max(1.0),
            _ => 1.0,
        }
    }

    /// The mean, in seconds; 0 before the first answer.
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// So many seconds after a statement with this target was sent, its answer is overdue: lost, it may be, if the server
    /// has answered what was sent later.
    pub fn overdue_after(&self, target: f64) -> f64 {
        let usual = (4.0 * self.mean()).max(self.mean() + 4.0 * self.deviation);
        usual.max(target / 4.0).max(MIN_OVERDUE_S)
    }

    /// In how many seconds a place comes free for one who has this many before it, where so many are let in at once.
    pub fn queue_wait(&self, ahead: usize, limit: usize) -> f64 {
        (ahead + 1) as f64 * self.mean() / limit.max(1) as f64
    }
}

/// After so many seconds without a refusal the trouble counts as over.
pub const REFUSAL_STREAK_GAP_S: f64 = 1.0;

/// For how long statements of a service have been refused: what has lasted so long is likely to last as long again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RefusalStreak {
    since: f64,
    last: Option<f64>,
}

impl RefusalStreak {
    /// One is refused that would have to wait so many seconds: in how many it is to come back.
    pub fn record_refusal(&mut self, now: f64, wait: f64) -> f64 {
        if self
            .last
            .is_none_or(|last| now - last > REFUSAL_STREAK_GAP_S)
        {
            self.since = now;
        }
        self.last = Some(now);
        wait.max(now - self.since)
    }
}
