//! What the answers of a server told of it: whether it is up, how fast it is, how long it fails.

use super::Pool;
use crate::clock;
use badgerstream_line_protocol::Position;
use badgerstream_pooling::health::Health;
use badgerstream_pooling::latency::Latency;
use std::rc::Rc;

/// A statement unanswered for so long counts as a sign that the server is gone, in seconds.
const UNANSWERED_FAILING_AFTER_S: f64 = 0.3;

impl Pool {
    /// How fast it answers.
    pub fn latency(&self) -> Latency {
        self.latency.get()
    }

    /// How it stands.
    pub fn health(&self) -> Health {
        self.health.get()
    }

    /// It lacks this position.
    pub fn mark_lagging(&self, position: Position) {
        let mut health = self.health.get();
        health.record_lag(clock::now(), position);
        self.health.set(health);
    }

    /// It could not be reached: it is left alone for a moment.
    pub(super) fn mark_unreachable(&self) {
        let mut health = self.health.get();
        health.record_failure(clock::now());
        self.health.set(health);
        self.mark_failing();
    }

    /// A connection broke off. That may be the connection's trouble alone: the next is opened at once, and tells.
    pub(super) fn mark_failing(&self) {
        let now = clock::now();
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// It answered something.
    pub(super) fn mark_answered(&self, position: Option<Position>) {
        let mut health = self.health.get();
        health.record_answer(position);
        self.health.set(health);
        self.last_answer_at.set(clock::now());
        self.failing_since.set(None);
    }

    /// It answered a statement that was sent at this second.
    pub(super) fn record_answer(&self, sent_at: f64) {
        let mut latency = self.latency.get();
        latency.record_answer(clock::now() - sent_at);
        self.latency.set(latency);
        self.set_in_flight();
        self.newest_answered_sent_at
            .set(self.newest_answered_sent_at.get().max(sent_at));
    }

    /// It answered what takes no slot and was sent at this second.
    pub(super) fn record_round_trip(&self, sent_at: f64) {
        let mut latency = self.latency.get();
        latency.record_round_trip(clock::now() - sent_at);
        self.latency.set(latency);
    }

    /// When it last answered; 0 for never.
    pub fn last_answer_at(&self) -> f64 {
        self.last_answer_at.get()
    }

    /// Since when it fails to answer; none while it does answer, or nothing is asked.
    pub fn failing_since(&self, now: f64) -> Option<f64> {
        let last = self.last_answer_at.get();
        let oldest = self
            .unanswered_sent_at
            .borrow()
            .iter()
            .copied()
            .filter(|t| *t > last)
            .reduce(f64::min);
        let silent = oldest.filter(|t| now - t > UNANSWERED_FAILING_AFTER_S);
        match (silent, self.failing_since.get()) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// A statement without answer, for as long as it is.
pub(super) struct Unanswered {
    pub(super) pool: Rc<Pool>,
    pub(super) sent_at: f64,
    /// The lease was valid then.
    pub(super) under_lease: bool,
    /// A part of its answer has been passed on.
    pub(super) partially_forwarded: bool,
}

impl Unanswered {
    pub(super) fn new(pool: &Rc<Pool>, sent_at: f64, leased: bool) -> Self {
        pool.unanswered_sent_at.borrow_mut().push(sent_at);
        Self {
            pool: pool.clone(),
            sent_at,
            under_lease: leased,
            partially_forwarded: false,
        }
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let mut all = self.pool.unanswered_sent_at.borrow_mut();
        if let Some(at) = all.iter().position(|t| *t == self.sent_at) {
            all.swap_remove(at);
        }
    }
}
