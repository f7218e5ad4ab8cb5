//! The election timer (Raft thesis, 3.4): how long a follower waits for a leader before it stands
//! for election.

/// By so many seconds more each voter waits than the one before it in the voter set, so that they
/// rarely compete.
const DELAY_PER_RANK_S: f64 = 0.12;
/// Upper bound of the random part of the delay, in seconds.
const DELAY_JITTER_S: f64 = 0.05;
/// What is added to the delay of a machine whose pre-vote or election failed, in seconds.
const BACKOFF_S: f64 = 0.05;

/// Runs out once the election time-out and a delay of its own have passed without a sign of a
/// leader.
///
/// The delay depends on the machine's rank, which is its position in the voter set, and on chance.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    /// When the time-out began to run: at the last message of a leader or the last vote.
    started_at: f64,
    /// What is added to the time-out, in seconds.
    delay: f64,
    /// Of a generator of the same sequence for the same seed, so that runs can be repeated exactly.
    rng_state: u64,
}

impl ElectionTimer {
    /// A timer that began to run at `started_at`.
    pub(super) fn new(seed: u64, rank: usize, started_at: f64) -> ElectionTimer {
        let mut timer = ElectionTimer {
            started_at,
            delay: 0.0,
            // A generator with an even state would have a shorter period.
            rng_state: seed | 1,
        };
        timer.draw_delay(rank);
        timer
    }

    /// When the time-out began to run.
    pub(super) fn started_at(&self) -> f64 {
        self.started_at
    }

    /// Whether the time-out, in seconds, and the delay have passed.
    pub(super) fn has_expired(&self, now: f64, timeout: f64) -> bool {
        now - self.started_at > timeout + self.delay
    }

    /// Lets the time-out run from `started_at`, with the delay as it is.
    pub(super) fn restart(&mut self, started_at: f64) {
        self.started_at = started_at;
    }

    /// Lets the time-out run from `started_at`, with another delay.
    pub(super) fn restart_with_new_delay(&mut self, started_at: f64, rank: usize) {
        self.started_at = started_at;
        self.draw_delay(rank);
    }

    /// Lets the timer expire at `now` and a longer delay, so that others get their chance before a
    /// machine that has failed.
    pub(super) fn back_off(&mut self, now: f64, timeout: f64, rank: usize) {
        self.started_at = now - timeout;
        self.draw_delay(rank);
        self.delay += BACKOFF_S;
    }

    /// Draws another delay if the present one is 0, which only the first voter can draw by chance.
    pub(super) fn ensure_delay(&mut self, rank: usize) {
        if self.delay == 0.0 {
            self.draw_delay(rank);
        }
    }

    fn draw_delay(&mut self, rank: usize) {
        // Knuth's linear congruential generator (MMIX); its high bits are the random ones.
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let fraction = (self.rng_state >> 33) as f64 / (1u64 << 31) as f64;
        self.delay = DELAY_PER_RANK_S * rank as f64 + DELAY_JITTER_S * fraction;
    }
}
