//! The mark of a session: what touched the primary a moment ago reads from it.

/// For how long a send to the primary marks its session; seconds.
pub const MARK_S: f64 = 3.0;

/// When a session last touched the primary; unmarked at first. All times are seconds on one steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mark(Option<f64>);

impl Mark {
    /// A session that touches the primary now, for the first time.
    pub fn at(now: f64) -> Mark {
        Mark(Some(now))
    }

    /// Something of the session is sent to the primary: the mark lasts from now.
    pub fn touch(&mut self, now: f64) {
        self.0 = Some(now);
    }

    /// Whether the last touch is less than [`MARK_S`] ago.
    pub fn marked(&self, now: f64) -> bool {
        self.0.is_some_and(|at| now - at < MARK_S)
    }
}
