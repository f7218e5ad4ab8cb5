//! Pacing state of one node: how many statements it may have in flight, which slots and grants to open a connection
//! were used, and the backoff after refused connections.

use crate::Settings;

/// Limit of statements in flight at which a node is trusted, and the limit no longer applies while climbing.
const TRUSTED_IN_FLIGHT: f64 = 32.0;
/// A grant to open a connection expires after this time.
const GRANT_LIFETIME_S: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Hash of the node's name: all routers derive the order of slots from it.
    pub name_hash: u64,
    /// Whether a connection to the node has come up since the start or the last stall.
    pub connected: bool,
    /// Maximum number of statements in flight at the node.
    pub max_in_flight: f64,
    /// Number of consecutive failures to connect.
    failures: u32,
    /// No connection is opened before this time, after a failure to connect.
    backoff_until: f64,
    /// The node had many new connections: until this time, routers open connections there only in their slots.
    pub crowded_until: f64,
    /// The slot that was used last.
    used_slot: Option<u64>,
    /// When a statement was sent in this router's slot and may still open its connection.
    granted_at: Option<f64>,
    /// The most connections in use at once, in the current period and in the one before it.
    peaks_in_use: [usize; 2],
    period_start: f64,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            name_hash: 0,
            connected: false,
            max_in_flight: 1.0,
            failures: 0,
            backoff_until: f64::NEG_INFINITY,
            crowded_until: f64::NEG_INFINITY,
            used_slot: None,
            granted_at: None,
            peaks_in_use: [0; 2],
            period_start: f64::NEG_INFINITY,
        }
    }
}

impl Node {
    /// Drops what was known before a stall, because it is out of date. The hash of the name and the use of
    /// connections stay.
    pub(crate) fn reset_after_stall(&mut self) {
        *self = Node {
            name_hash: self.name_hash,
            peaks_in_use: self.peaks_in_use,
            period_start: self.period_start,
            ..Node::default()
        };
    }

    /// Raises the limit of statements in flight by one after a good execution, and halves it after a bad one.
    pub(crate) fn execution_ended(&mut self, good: bool) {
        self.max_in_flight = if good {
            (self.max_in_flight + 1.0).min(2.0 * TRUSTED_IN_FLIGHT)
        } else {
            (self.max_in_flight / 2.0).max(1.0)
        };
    }

    pub(crate) fn is_trusted(&self) -> bool {
        self.max_in_flight >= TRUSTED_IN_FLIGHT
    }

    pub(crate) fn connection_opened(&mut self) {
        self.connected = true;
        self.failures = 0;
    }

    /// Starts a backoff after a failure to connect. It grows exponentially and is randomised, so that equal routers
    /// do not return together. `random` is uniform from 0 to 1.
    pub(crate) fn connection_failed(&mut self, now: f64, settings: &Settings, random: f64) {
        let backoff_ms = settings.refused_ms * f64::from(self.failures.min(20)).exp2();
        let backoff_s = backoff_ms.min(settings.refused_most_ms) * (0.5 + random) / 1e3;
        self.failures += 1;
        self.backoff_until = now + backoff_s;
    }

    /// Seconds until the backoff ends; `None` where there is none.
    pub(crate) fn backoff_left_s(&self, now: f64) -> Option<f64> {
        (self.backoff_until > now).then_some(self.backoff_until - now)
    }

    pub(crate) fn is_slot_unused(&self, slot: u64) -> bool {
        self.used_slot != Some(slot)
    }

    pub(crate) fn use_slot(&mut self, slot: u64) {
        self.used_slot = Some(slot);
    }

    /// Uses a slot for a statement, and lets that statement open its connection.
    pub(crate) fn grant_connection(&mut self, now: f64, slot: u64) {
        self.used_slot = Some(slot);
        self.granted_at = Some(now);
    }

    /// Removes a grant. Returns whether there was one that had not expired.
    pub(crate) fn redeem_grant(&mut self, now: f64) -> bool {
        self.granted_at
            .take()
            .is_some_and(|at| now - at <= GRANT_LIFETIME_S)
    }

    /// Records the connections in use. Returns the most that were in use at once in the current period and in the
    /// one before it; a period lasts `period_s` seconds.
    pub(crate) fn peak_in_use(&mut self, now: f64, busy: usize, period_s: f64) -> usize {
        if now - self.period_start >= period_s {
            let before = if now - self.period_start >= 2.0 * period_s {
                0
            } else {
                self.peaks_in_use[0]
            };
            self.peaks_in_use = [0, before];
            self.period_start = now;
        }
        self.peaks_in_use[0] = self.peaks_in_use[0].max(busy);
        self.peaks_in_use[0].max(self.peaks_in_use[1])
    }
}
