//! The mark of the design: a send to the primary keeps a session's reads there for a while.

/// How long a send to the primary marks a session, in seconds.
pub const MARK_S: f64 = 3.0;

/// Whether a session touched the primary a moment ago.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Mark {
    until: f64,
}

impl Mark {
    /// Something was sent to the primary.
    pub fn touch(&mut self, now: f64) {
        self.until = now + MARK_S;
    }

    /// Its reads are for the primary.
    pub fn is_on(&self, now: f64) -> bool {
        now < self.until
    }
}
