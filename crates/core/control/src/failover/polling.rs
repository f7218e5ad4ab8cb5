//! How the failovers of many services share the leader's time: their polling slows down with the
//! number of services, late steps don't count as time-outs, and routers report on the health of
//! servers only where that is wanted.

use super::{Failover, FailoverConfig, FailoverContext, Phase, Position};

/// If two steps are further apart than this, servers were not queried in between, and their
/// silence proves nothing.
const LATE_STEP_S: f64 = 0.1;
/// For how long a late step extends the primary time-out.
const LATE_STEP_EFFECT_S: f64 = 1.0;

/// A position of the primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PositionSample {
    /// When the query was sent that the primary answered with this position.
    pub(super) queried_at: f64,
    pub(super) position: Position,
}

/// The role of a server of the service that doesn't answer; the greater one matters more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UnresponsiveRole {
    Replica,
    /// The primary that routers use.
    Primary,
}

/// How regularly this failover is stepped.
#[derive(Clone, Debug, Default)]
pub(super) struct PollingDelay {
    first_step_at: f64,
    last_step_at: Option<f64>,
    /// The longest recent time between two steps, and when the later of them was.
    longest_gap: f64,
    longest_gap_ended_at: f64,
}

impl PollingDelay {
    /// A step begins; returns by how many seconds late steps extend the primary time-out.
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
        if self.longest_gap > LATE_STEP_S {
            self.longest_gap
        } else {
            0.0
        }
    }
}

impl Failover {
    /// A step begins that goes by this configuration.
    pub(crate) fn begin_step(&mut self, now: f64, config: FailoverConfig) {
        let delay = self.polling_delay.begin_step(now);
        self.config = FailoverConfig {
            primary_timeout: config.primary_timeout + delay,
            ..config
        };
    }

    /// Since when this machine has been the leader and has polled this service.
    pub(super) fn polling_since(&self, context: &FailoverContext<'_>) -> f64 {
        context.leading_since.max(self.polling_delay.first_step_at)
    }

    /// If routers are to report on this service's servers: the role of the one that doesn't
    /// answer, and for how many seconds it has answered nobody.
    pub(crate) fn unresponsive(&self, now: f64) -> Option<(UnresponsiveRole, f64)> {
        if let Some(seconds) = self.primary_unresponsive_for(now) {
            return Some((UnresponsiveRole::Primary, seconds));
        }
        let seconds = self.replica_unresponsive_for(now)?;
        Some((UnresponsiveRole::Replica, seconds))
    }

    /// If this machine has had no answer of the primary in use for half the time-out: for how
    /// many seconds nobody has had one.
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

    /// For how many seconds a replica that this machine can't reach has answered nobody, the
    /// longest of all. Such a replica may go on, and be the only one with what the primary
    /// acknowledged; routers can tell.
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
