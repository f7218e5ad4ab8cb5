//! What a statement is worth, and until when: importance, quotas, fairness, and who goes first.

use crate::{
    Instance,
    state::{Statement, count},
};

/// A write that no member took is held for this share of its statement timeout.
const HOLD_SHARE: f64 = 0.05;

impl Statement {
    pub(super) fn hold(&self) -> f64 {
        HOLD_SHARE * self.kind.timeout
    }

    pub(crate) fn last_use(&self) -> f64 {
        if self.kind.late_worth > 0.0 {
            self.due
        } else {
            self.slo_end.min(self.due)
        }
    }
}

/// What serving one more of the worst-served adds: else the least important gets nothing in a jam.
fn lift(shares: &[(f64, f64)], index: usize) -> f64 {
    let served = |s: &(f64, f64)| if s.0 > 0.0 { s.1 / s.0 } else { 1.0 };
    let worst = shares.iter().map(served).fold(f64::INFINITY, f64::min);
    let all: f64 = shares.iter().map(|s| s.0).sum();
    shares
        .get(index)
        .filter(|s| served(s) <= worst)
        .map_or(0.0, |s| all / s.0)
}

impl Instance {
    /// From 0 to 1, even over all statements: the worthier a workload, the lower its lots.
    pub(super) fn lot(&mut self, workload: usize) -> f64 {
        let (own, chance) = (self.workloads[workload].importance, self.chance.f64());
        let (mut before, mut all) = (0.0, 0.0);
        for (share, kind) in self.shares[0].iter().zip(&self.workloads) {
            let count = share.0 / kind.importance.max(1e-9);
            before += count
                * if kind.importance == own {
                    chance
                } else {
                    (kind.importance > own) as u8 as f64
                };
            all += count;
        }
        before / all
    }

    /// What a customer sends beyond its quota is worth less; each router sees about its share of the traffic.
    pub(super) fn within_quota(&mut self, now: f64, customer: usize) -> f64 {
        let Some((quota, usage)) = self.quotas.get(customer).zip(self.usage.get_mut(customer))
        else {
            return 1.0;
        };
        count(usage, now);
        if usage.1 * self.routers > quota.per_s {
            quota.beyond
        } else {
            1.0
        }
    }

    /// The worthiest first, and of these the youngest: in a jam the oldest would all be too late.
    pub(super) fn rank(&self, s: &Statement, now: f64) -> (i64, i64) {
        let late = now + self.needed(s) > s.slo_end;
        let left = if late { s.kind.late_worth } else { 1.0 };
        let [workload, customer] = [0, 1].map(|i| lift(&self.shares[i], s.served_as[i]));
        let lifted =
            workload * self.fairness.worst_workload + customer * self.fairness.worst_customer;
        (
            -(s.worth * left * (self.fairness.whole + lifted) * 1e3) as i64,
            -(s.arrived * 1e6) as i64,
        )
    }

    /// Within two paces, six in seven answers that come at random are back. Never more than half of its time:
    /// nodes that are slow, or of no known pace, are tried still, and for clients that soon lose patience.
    pub(super) fn needed(&self, s: &Statement) -> f64 {
        (2.0 * self.pace(s.group)).min(s.kind.slo.min(s.last_use() - s.arrived) / 2.0)
    }
}
