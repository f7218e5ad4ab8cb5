//! Paced release of held statements after a promotion.
//!
//! The window, the maximum number of released statements in flight at the new leader, starts small and grows by one
//! with each completion, so it doubles each round trip. The leader may be cold: routers that release statements of
//! the same group start at random times, each with its share of the initial window.

use crate::hold::AdmissionRequest;
use std::collections::BTreeMap;

/// Initial window in statements, all routers together.
const INITIAL_WINDOW: f64 = 4.0;
/// Maximum window in statements. Beyond it the limits of the nodes are what binds.
const MAX_WINDOW: f64 = 1024.0;
/// Pause of the release after a failure: what made the leader turn away one statement would turn away the next.
const FAILURE_PAUSE_S: f64 = 0.05;
/// Maximum random delay of a router's release.
const MAX_SPREAD_S: f64 = 1.0;

/// Window of released statements of one group.
#[derive(Clone, Debug, Default)]
pub struct ReleaseWindow {
    /// Maximum number of statements in flight.
    window: f64,
    /// Statements released and not ended yet, with their sessions.
    in_flight: BTreeMap<u32, u64>,
    /// Nothing is released before this time.
    starts_at: f64,
    /// The leader has completed a statement since the release started.
    pub leader_proved: bool,
}

impl ReleaseWindow {
    /// Starts a release after a random delay.
    ///
    /// `routers` is the number of routers of the service, `spread_s` the delay in seconds for each further router,
    /// `random_share` a random number from 0 to 1.
    pub fn start(&mut self, now: f64, routers: f64, spread_s: f64, random_share: f64) {
        self.window = (INITIAL_WINDOW / routers).max(1.0);
        self.leader_proved = false;
        self.starts_at = now + random_share * (spread_s * (routers - 1.0)).min(MAX_SPREAD_S);
    }

    /// Time before which nothing is released.
    pub fn starts_at(&self) -> f64 {
        self.starts_at
    }

    /// Number of further statements that may be released now.
    pub fn free(&self, now: f64) -> usize {
        if now < self.starts_at {
            0
        } else {
            (self.window as usize).saturating_sub(self.in_flight.len())
        }
    }

    /// Returns whether a statement takes no place in the window now: it is in flight itself, or another statement of
    /// its session is, as a session has one in flight at a time.
    ///
    /// A statement that may have run was in flight beside the others of its session before, and may be so again.
    pub fn blocks(&self, stmt: u32, request: &AdmissionRequest) -> bool {
        let session_in_flight = || {
            self.in_flight
                .values()
                .any(|other| *other == request.session)
        };
        self.in_flight.contains_key(&stmt)
            || request.session != 0 && !request.may_have_run && session_in_flight()
    }

    /// Counts a statement of this session as in flight.
    pub fn release(&mut self, stmt: u32, session: u64) {
        self.in_flight.insert(stmt, session);
    }

    /// Returns whether the statement was released and has not ended.
    pub fn is_in_flight(&self, stmt: u32) -> bool {
        self.in_flight.contains_key(&stmt)
    }

    /// Grows the window by one after the leader completed a statement.
    pub fn record_completion(&mut self) {
        self.window = (self.window + 1.0).min(MAX_WINDOW);
        self.leader_proved = true;
    }

    /// Halves the window and pauses the release after the leader turned a statement away or did not answer it.
    pub fn record_failure(&mut self, now: f64) {
        self.window = (self.window / 2.0).max(1.0);
        self.starts_at = self.starts_at.max(now + FAILURE_PAUSE_S);
    }

    /// Removes a statement that has ended or is held again.
    pub fn remove(&mut self, stmt: u32) {
        self.in_flight.remove(&stmt);
    }
}
