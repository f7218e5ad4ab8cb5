//! The election timer (Raft thesis, 3.4): how long a follower waits for a leader before it starts
//! an election.

/// Difference between the delays of two adjacent voters in the voter set, in seconds. It keeps them
/// from becoming candidates at the same time in most cases.
const DELAY_PER_RANK_S: f64 = 0.12;
/// Upper bound of the random part of the delay, in seconds.
const DELAY_JITTER_S: f64 = 0.05;
/// Additional delay of a machine whose pre-vote or election failed, in seconds.
const BACKOFF_S: f64 = 0.05;

/// A timer that expires once the election timeout and an additional delay have passed without a
/// message of a leader.
///
/// The delay has a part that depends on the machine's rank, which is its position in the voter set,
/// and a random part.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// When the timeout began: at the last message of a leader or the last vote.
    started_at: f64,
    /// The delay that is added to the timeout, in seconds.
    delay_s: f64,
    /// The state of the random number generator. The same seed gives the same sequence, so that
    /// runs are reproducible.
    rng_state: u64,
}

impl ElectionTimer {
    /// Creates a timer that began at `started_at`.
    pub(super) fn new(seed: u64, rank: usize, started_at: f64) -> ElectionTimer {
        let mut timer = ElectionTimer {
            started_at,
            delay_s: 0.0,
            // A generator with an even state would have a shorter period.
            rng_state: seed | 1,
        };
        timer.draw_delay(rank);
        timer
    }

    /// Returns when the timeout began.
    pub(super) fn started_at(&self) -> f64 {
        self.started_at
    }

    /// Returns whether the timeout and the delay have passed.
    pub(super) fn has_expired(&self, now: f64, timeout_s: f64) -> bool {
        now - self.started_at > timeout_s + self.delay_s
    }

    /// Restarts the timeout at `started_at` and keeps the delay.
    pub(super) fn restart(&mut self, started_at: f64) {
        self.started_at = started_at;
    }

    /// Restarts the timeout at `started_at` and draws a new delay.
    pub(super) fn restart_with_new_delay(&mut self, started_at: f64, rank: usize) {
        self.started_at = started_at;
        self.draw_delay(rank);
    }

    /// Lets the timer expire after only the delay from `now`, without the timeout. The delay is
    /// longer than usual, so that other machines can start an election before one that has just
    /// failed to win.
    pub(super) fn back_off(&mut self, now: f64, timeout_s: f64, rank: usize) {
        self.started_at = now - timeout_s;
        self.draw_delay(rank);
        self.delay_s += BACKOFF_S;
    }

    /// Draws a new delay if the present one is 0. Only the first voter can draw 0, by chance.
    pub(super) fn ensure_delay(&mut self, rank: usize) {
        if self.delay_s == 0.0 {
            self.draw_delay(rank);
        }
    }

    fn draw_delay(&mut self, rank: usize) {
        // Knuth's linear congruential generator (MMIX). Only its high bits are used, because its
        // low bits are less random.
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let fraction = (self.rng_state >> 33) as f64 / (1u64 << 31) as f64;
        self.delay_s = DELAY_PER_RANK_S * rank as f64 + DELAY_JITTER_S * fraction;
    }
}
