//! The value of a statement and until when it holds: importance, quotas, fairness, and the order of statements.

use crate::{
    Instance,
    state::{ServedValue, Statement},
};

/// A write that no member took is held for this share of its statement timeout before the next attempt.
const HOLD_SHARE: f64 = 0.05;

impl Statement {
    /// Returns how long the write is held after an attempt that no member took, in seconds.
    pub(super) fn hold_s(&self) -> f64 {
        HOLD_SHARE * self.workload.timeout
    }

    /// Returns the time after which an answer is worth nothing.
    pub(crate) fn last_useful_at(&self) -> f64 {
        if self.workload.late_value > 0.0 {
            self.deadline
        } else {
            self.slo_deadline.min(self.deadline)
        }
    }
}

/// Returns the extra value of serving one more statement of the workload or tenant at `index`: above 0 only for the
/// one that is served worst. Without it, the least important would get nothing under overload.
fn fairness_bonus(served_value: &[ServedValue], index: usize) -> f64 {
    let served_share = |v: &ServedValue| {
        if v.requested > 0.0 {
            v.in_time / v.requested
        } else {
            1.0
        }
    };
    let worst = served_value
        .iter()
        .map(served_share)
        .fold(f64::INFINITY, f64::min);
    let total: f64 = served_value.iter().map(|v| v.requested).sum();
    served_value
        .get(index)
        .filter(|v| served_share(v) <= worst)
        .map_or(0.0, |v| total / v.requested)
}

impl Instance {
    /// Draws the admission rank of a statement. Ranks are spread evenly from 0 to 1 over all statements; those of
    /// a more important workload lie below those of a less important one.
    pub(super) fn draw_admission_rank(&mut self, workload: usize) -> f64 {
        let own = self.workloads[workload].importance;
        let random = self.rng.f64();
        let mut count_before = 0.0;
        let mut count_total = 0.0;
        for (value, kind) in self.served_value[0].iter().zip(&self.workloads) {
            let count = value.requested / kind.importance.max(1e-9);
            count_before += count
                * if kind.importance == own {
                    random
                } else {
                    (kind.importance > own) as u8 as f64
                };
            count_total += count;
        }
        count_before / count_total
    }

    /// Counts an arrival of a tenant and returns the share of its value that counts: below 1 if the tenant is over
    /// its quota. Each router sees about an equal share of the traffic, so its own count is scaled up.
    pub(super) fn quota_value_share(&mut self, now: f64, tenant: usize) -> f64 {
        let Some((quota, arrivals)) = self
            .quotas
            .get(tenant)
            .zip(self.tenant_arrivals.get_mut(tenant))
        else {
            return 1.0;
        };
        arrivals.count_event(now);
        if arrivals.per_s * self.routers > quota.per_s {
            quota.excess_value
        } else {
            1.0
        }
    }

    /// Returns the sort key of a statement: the most valuable first, and among equals the youngest. Under overload
    /// the oldest would all be answered too late.
    pub(super) fn sort_key(&self, s: &Statement, now: f64) -> (i64, i64) {
        let late = now + self.time_needed(s) > s.slo_deadline;
        let value_share = if late { s.workload.late_value } else { 1.0 };
        let [workload, tenant] =
            [0, 1].map(|i| fairness_bonus(&self.served_value[i], s.share_indices[i]));
        let bonus = workload * self.fairness.worst_workload + tenant * self.fairness.worst_tenant;
        (
            -(s.value * value_share * (self.fairness.overall + bonus) * 1e3) as i64,
            -(s.arrived_at * 1e6) as i64,
        )
    }

    /// Returns the time that a statement needs to be answered, in seconds: two latencies of the best member, as
    /// six in seven answers that come at random are back by then. It is at most half of the statement's time, so
    /// that nodes that are slow, or whose latency is not known yet, are still tried, and impatient clients served.
    pub(super) fn time_needed(&self, s: &Statement) -> f64 {
        (2.0 * self.best_latency(s.group))
            .min(s.workload.slo.min(s.last_useful_at() - s.arrived_at) / 2.0)
    }
}
