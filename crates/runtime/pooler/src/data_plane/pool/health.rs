//! Health and latency of a server as its answers show them: whether it is up, how fast it answers,
//! and since when it has been failing.

use super::Pool;
use crate::clock;
use badgerstream_line_protocol::Position;
use badgerstream_pooling::health::Health;
use badgerstream_pooling::latency::Latency;
use std::rc::Rc;

/// A server counts as failing when a statement has been unanswered for this many seconds.
const UNANSWERED_FAILING_AFTER_S: f64 = 0.3;

impl Pool {
    /// Returns the measured latency of the server.
    pub(in crate::data_plane) fn latency(&self) -> Latency {
        self.latency.get()
    }

    /// Returns the health of the server.
    pub(in crate::data_plane) fn health(&self) -> Health {
        self.health.get()
    }

    /// Records that the server's data has not reached this position.
    pub(in crate::data_plane) fn mark_lagging(&self, position: Position) {
        let mut health = self.health.get();
        health.record_lag(clock::now(), position);
        self.health.set(health);
    }

    /// Records that the server could not be reached, and starts a backoff.
    pub(super) fn mark_unreachable(&self) {
        let mut health = self.health.get();
        health.record_failure(clock::now());
        self.health.set(health);
        self.mark_failing();
    }

    /// Records that a connection broke. Only this connection may be at fault, so no backoff starts:
    /// the next connection shows whether the server can be reached.
    pub(super) fn mark_failing(&self) {
        let now = clock::now();
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// Records that the server answered, and the position that it reported, if any.
    pub(super) fn mark_answered(&self, position: Option<Position>) {
        let mut health = self.health.get();
        health.record_response(position);
        self.health.set(health);
        self.last_answer_at.set(clock::now());
        self.failing_since.set(None);
    }

    /// Records the latency of an answered statement, sent at this second of the monotonic clock.
    pub(super) fn record_answer(&self, sent_at: f64) {
        let mut latency = self.latency.get();
        latency.record_response(clock::now() - sent_at);
        self.latency.set(latency);
        self.update_in_flight_limit();
        self.newest_answered_sent_at
            .set(self.newest_answered_sent_at.get().max(sent_at));
    }

    /// Records the round trip of an answered statement that takes no slot, sent at this second of
    /// the monotonic clock.
    pub(super) fn record_round_trip(&self, sent_at: f64) {
        let mut latency = self.latency.get();
        latency.record_round_trip(clock::now() - sent_at);
        self.latency.set(latency);
    }

    /// Returns when the server last answered, in seconds of the monotonic clock; 0 for never.
    pub(in crate::data_plane) fn last_answer_at(&self) -> f64 {
        self.last_answer_at.get()
    }

    /// Returns since when the server has not answered, in seconds of the monotonic clock; `None`
    /// while it answers or nothing is sent to it.
    pub(in crate::data_plane) fn failing_since(&self, now: f64) -> Option<f64> {
        let last_answer_at = self.last_answer_at.get();
        let oldest_unanswered = self
            .unanswered_sent_at
            .borrow()
            .iter()
            .copied()
            .filter(|sent_at| *sent_at > last_answer_at)
            .reduce(f64::min);
        let unanswered_since =
            oldest_unanswered.filter(|sent_at| now - sent_at > UNANSWERED_FAILING_AFTER_S);
        match (unanswered_since, self.failing_since.get()) {
            (Some(unanswered), Some(failing)) => Some(unanswered.min(failing)),
            (unanswered, failing) => unanswered.or(failing),
        }
    }
}

/// A statement that was sent and not answered. The pool counts it until this value is dropped.
pub(super) struct UnansweredStatement {
    pool: Rc<Pool>,
    /// When it was sent, in seconds of the monotonic clock.
    pub(super) sent_at: f64,
    /// The lease was valid when it was sent.
    pub(super) under_lease: bool,
    /// A part of its answer has been forwarded.
    pub(super) partially_forwarded: bool,
}

impl UnansweredStatement {
    pub(super) fn new(pool: &Rc<Pool>, sent_at: f64, under_lease: bool) -> Self {
        pool.unanswered_sent_at.borrow_mut().push(sent_at);
        Self {
            pool: pool.clone(),
            sent_at,
            under_lease,
            partially_forwarded: false,
        }
    }
}

impl Drop for UnansweredStatement {
    fn drop(&mut self) {
        let mut unanswered = self.pool.unanswered_sent_at.borrow_mut();
        if let Some(index) = unanswered
            .iter()
            .position(|sent_at| *sent_at == self.sent_at)
        {
            unanswered.swap_remove(index);
        }
    }
}
