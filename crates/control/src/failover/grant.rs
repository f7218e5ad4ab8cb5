//! The grant of the service: given to a primary, taken back, and returned by all routers.

use super::*;

impl Failover {
    /// The grant was told to the routers under this number.
    pub fn told(&mut self, number: u64) {
        if self.closed == Some(u64::MAX) {
            self.closed = Some(number);
        }
    }

    pub(super) fn steady(&mut self, now: f64, id: &str, term: u64, acts: &mut Vec<Act>) {
        let other = self.primary.as_ref().is_none_or(|p| p.0 != id || p.1 != term);
        if other {
            self.trail.clear();
        }
        for seen in self.seen.values_mut() {
            seen.paused = None;
        }
        if let Some(seen) = self.seen.get_mut(id) {
            seen.pausing = None;
        }
        self.primary = Some((id.to_owned(), term));
        self.closed = None;
        self.evidence = now;
        self.phase = Phase::Steady;
        acts.push(Act::Grant { id: id.to_owned(), term, closing: false });
    }

    pub(super) fn give_up(&mut self, acts: &mut Vec<Act>) {
        let term = self.highest_term() + 1;
        let (id, of) = self.primary.clone().unwrap_or_default();
        if self.closed.is_none() {
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id, term: of, closing: true });
        }
        self.phase = Phase::Closing { term };
    }

    /// Whether the grant, if there was one, is given back by all.
    pub(super) fn given_back(&self, around: &Around<'_>) -> bool {
        match self.closed {
            None => self.primary.is_none() && around.now >= around.not_before,
            Some(u64::MAX) => false,
            Some(number) => (around.all_know)(number) && around.now >= around.not_before,
        }
    }
}
