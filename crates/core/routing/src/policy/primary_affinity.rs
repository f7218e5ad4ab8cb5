//! Primary affinity of a session: for a short time after it used the primary, its reads prefer the primary.

/// How long the affinity lasts after a send to the primary, in seconds.
pub const PRIMARY_AFFINITY_S: f64 = 3.0;

/// When a session last used the primary, if ever. All times are seconds on one monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrimaryAffinity(Option<f64>);

impl PrimaryAffinity {
    /// Creates the affinity of a session that uses the primary now for the first time.
    pub fn at(now: f64) -> PrimaryAffinity {
        PrimaryAffinity(Some(now))
    }

    /// Restarts the affinity: a statement of the session is sent to the primary now.
    pub fn touch(&mut self, now: f64) {
        self.0 = Some(now);
    }

    /// Returns whether the session used the primary less than [`PRIMARY_AFFINITY_S`] ago.
    pub fn is_active(&self, now: f64) -> bool {
        self.0.is_some_and(|at| now - at < PRIMARY_AFFINITY_S)
    }
}
