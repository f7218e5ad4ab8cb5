//! How a service's failover shares the leader with many others: spans that grow with their number, steps that come late, and
//! evidence that routers tell only where it is wanted.

use super::*;

/// A pause between two steps that is longer than this, in seconds, is no silence of the servers: nobody was asked.
const LATE: f64 = 0.1;
/// A late step counts for so many seconds.
const LATE_COUNTS: f64 = 1.0;

/// Which server of a service says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Unheard {
    /// One of its replicas only.
    Replica,
    /// The primary in use.
    Primary,
}

/// How regularly the steps come.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    began: f64,
    stepped: Option<f64>,
    /// The longest pause between two steps of late, and when it ended.
    longest: f64,
    ended: f64,
}

impl Pace {
    /// A step begins: by how much a silence is longer because of steps that came late.
    fn step(&mut self, now: f64) -> f64 {
        if self.stepped.is_none() {
            self.began = now;
        }
        let pause = self.stepped.replace(now).map_or(0.0, |last| now - last);
        if pause >= self.longest || now - self.ended > LATE_COUNTS {
            (self.longest, self.ended) = (pause, now);
        }
        if self.longest > LATE {
            self.longest
        } else {
            0.0
        }
    }
}

impl Failover {
    /// Since when this machine leads and this service has been stepped: its servers were asked from then on.
    pub(super) fn asked_since(&self, context: &FailoverContext<'_>) -> f64 {
        context.since.max(self.pace.began)
    }

    /// The next step goes by these spans. What wasn't heard while steps came late is nobody's silence.
    pub fn pace(&mut self, now: f64, timing: FailoverConfig) {
        let late = self.pace.step(now);
        self.timing = FailoverConfig {
            primary_timeout: timing.primary_timeout + late,
            ..timing
        };
    }

    /// Whether a primary is in use and merely watched.
    pub fn is_watching(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// If routers are to tell what they saw of this service's servers: how much that matters, and for how long nobody had an
    /// answer of the one that is silent.
    pub fn unheard(&self, now: f64) -> Option<(Unheard, f64)> {
        let primary = self
            .unheard_primary(now)
            .map(|seconds| (Unheard::Primary, seconds));
        primary.or_else(|| Some((Unheard::Replica, self.unheard_replica(now)?)))
    }

    /// A replica that says nothing here may go on, and hold alone what its primary acknowledged: routers know.
    fn unheard_replica(&self, now: f64) -> Option<f64> {
        let primary = self.primary.as_ref().map(|primary| &primary.id);
        let silent = self
            .seen
            .iter()
            .filter(|(id, seen)| Some(*id) != primary && seen.failing.is_some() && !seen.refused);
        silent
            .map(|(_, seen)| now - seen.answered.max(seen.served))
            .reduce(f64::max)
    }

    /// If this machine had no answer of the primary in use for so long that it matters: for how long nobody had one.
    fn unheard_primary(&self, now: f64) -> Option<f64> {
        if !matches!(self.phase, Phase::Steady | Phase::Handover(_)) {
            return None;
        }
        let primary = self.primary.as_ref()?;
        let answered = self
            .seen
            .get(&primary.id)
            .map_or(f64::NEG_INFINITY, |s| s.answered);
        let unheard = now - answered.max(self.evidence);
        (now - answered > 0.5 * self.timing.primary_timeout).then_some(unheard)
    }
}
