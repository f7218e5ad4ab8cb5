//! What a failover needs to share the leader with the failovers of many other services: late steps
//! must not count as timeouts of servers, and routers report on the health of servers only for
//! services that need it.

use super::{Failover, FailoverConfig, FailoverContext, Phase, Position};

/// A step is late if it follows the previous one by more than this. Servers were not queried in
/// between, so their silence proves nothing.
const LATE_STEP_THRESHOLD_S: f64 = 0.1;
/// A late step extends the primary timeout for this long.
const LATE_STEP_EFFECT_S: f64 = 1.0;

/// A log position that the primary reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PositionSample {
    /// Time at which the query was sent that the primary answered with this position.
    pub(super) queried_at: f64,
    pub(super) position: Position,
}

/// The role of a server that doesn't answer; the greater role is reported on first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnresponsiveRole {
    Replica,
    /// The primary that is granted to routers.
    Primary,
}

/// Tracks how late the steps of this failover are.
#[derive(Clone, Debug, Default)]
pub(super) struct PollingDelay {
    first_step_at: f64,
    last_step_at: Option<f64>,
    /// The longest recent time between two steps in seconds, and the time of the later step.
    longest_gap: f64,
    longest_gap_ended_at: f64,
}

impl PollingDelay {
    /// Records the start of a step. Returns the number of seconds by which late steps extend the
    /// primary timeout.
    fn begin_step(&mut self, now: f64) -> f64 {
        if self.last_step_at.is_none() {
            self.first_step_at = now;
        }
        let gap = self
            .last_step_at
            .replace(now)
            .map_or(0.0, |last| now - last);
        if gap >= self.longest_gap || now - self.longest_gap_ended_at > LATE_STEP_EFFECT_S {
            self.longest_gap = gap;
            self.longest_gap_ended_at = now;
        }
        if self.longest_gap > LATE_STEP_THRESHOLD_S {
            self.longest_gap
        } else {
            0.0
        }
    }
}

impl Failover {
    /// Starts a step with this configuration, whose primary timeout is extended by late steps.
    pub(crate) fn begin_step(&mut self, now: f64, config: FailoverConfig) {
        let delay = self.polling_delay.begin_step(now);
        self.config = FailoverConfig {
            primary_timeout: config.primary_timeout + delay,
            ..config
        };
    }

    /// Returns the time since which this machine has both been the leader and polled this service.
    pub(super) fn polling_since(&self, context: &FailoverContext<'_>) -> f64 {
        context.leading_since.max(self.polling_delay.first_step_at)
    }

    /// If routers are to report on this service's servers, returns the role of the server that
    /// doesn't answer and the number of seconds for which it has answered neither this machine nor
    /// any router.
    pub(crate) fn unresponsive_server(&self, now: f64) -> Option<(UnresponsiveRole, f64)> {
        if let Some(seconds) = self.primary_unresponsive_for(now) {
            return Some((UnresponsiveRole::Primary, seconds));
        }
        let seconds = self.replica_unresponsive_for(now)?;
        Some((UnresponsiveRole::Replica, seconds))
    }

    /// If the primary in use hasn't answered this machine for half the primary timeout, returns
    /// the number of seconds for which it has answered neither this machine nor any router.
    fn primary_unresponsive_for(&self, now: f64) -> Option<f64> {
        if !matches!(self.phase, Phase::Steady | Phase::Handover(_)) {
            return None;
        }
        let primary = self.primary.as_ref()?;
        let answered_at = self
            .observations
            .get(&primary.server_id)
            .map_or(f64::NEG_INFINITY, |observation| observation.answered_at);
        let unanswered = now - answered_at.max(self.primary_reported_at);
        (now - answered_at > 0.5 * self.config.primary_timeout).then_some(unanswered)
    }

    /// Returns the longest time in seconds for which a replica that this machine can't reach has
    /// answered neither this machine nor any router. Such a replica may still run and be the only
    /// one that has all writes which the primary acknowledged; routers can tell whether it runs.
    fn replica_unresponsive_for(&self, now: f64) -> Option<f64> {
        self.observations
            .iter()
            .filter(|(id, observation)| {
                !self.is_primary(id) && observation.failing_since.is_some() && !observation.refused
            })
            .map(|(_, observation)| {
                now - observation.answered_at.max(observation.answered_router_at)
            })
            .reduce(f64::max)
    }
}
