//! How a service's failover shares the leader with many others: spans that grow with their number, steps that come late, and
//! evidence that routers tell only where it is wanted.

use super::*;

/// A pause between two steps that is longer than this, in seconds, is no silence of the servers: nobody was asked.
const LATE: f64 = 0.1;
/// A late step counts for so many seconds.
const LATE_COUNTS: f64 = 1.0;

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
        if self.longest > LATE { self.longest } else { 0.0 }
    }
}

impl Failover {
    /// Since when this machine leads and this service has been stepped: its servers were asked from then on.
    pub(super) fn asked_since(&self, around: &Around<'_>) -> f64 {
        around.since.max(self.pace.began)
    }

    /// The next step goes by these spans. What wasn't heard while steps came late is nobody's silence.
    pub fn pace(&mut self, now: f64, timing: Timing) {
        let late = self.pace.step(now);
        self.timing = Timing { silence: timing.silence + late, ..timing };
    }

    /// Whether a primary is in use and merely watched.
    pub fn is_watching(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// If this machine had no answer of the primary in use for so long that routers are to tell what they saw of it: for how
    /// long nobody had one.
    pub fn unheard(&self, now: f64) -> Option<f64> {
        if !matches!(self.phase, Phase::Steady | Phase::HandingOver(_)) {
            return None;
        }
        let primary = self.primary.as_ref()?;
        let answered = self.seen.get(&primary.id).map_or(f64::NEG_INFINITY, |s| s.answered);
        let unheard = now - answered.max(self.evidence);
        (now - answered > 0.5 * self.timing.silence).then_some(unheard)
    }
}
