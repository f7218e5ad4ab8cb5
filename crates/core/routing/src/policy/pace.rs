//! How quick answers are: pace, strain and room of a node, the length of a workload, and what is late.

use super::{GAIN, IN_VAIN, PRIOR};
use crate::{
    Instance, MARK_S,
    state::{Execution, Node, Signs},
};

/// An execution is overdue after so many times the pace: of answers that come at random, one in twenty is.
const OVERDUE: f64 = 3.0;
/// Room grows while answers take less than this share of their SLO time, and shrinks beyond; where work is long
/// against it, less than so many times what answers take at their best, up to a second share.
const STRAIN: f64 = 0.22;
const EASE: f64 = 1.8;
const MOST_STRAIN: f64 = 0.3;
const EASE_ANSWERS: f64 = 50.0;

impl Node {
    /// What one more answer tells of the queue; where they come seldom each counts for more. Room grows only
    /// where it is used (`usual` are out on average), and is cut once a jam, however many statements met it.
    pub(super) fn strained(&mut self, now: f64, share: f64, signs: Signs) {
        let gain = f64::max(GAIN, 1.0 - (-(now - self.strained_at) / MARK_S).exp());
        (self.strain, self.strained_at) = (self.strain + (share - self.strain) * gain, now);
        let used = if self.room < 1.0 {
            self.room < signs.usual
        } else {
            self.out as f64 + 2.0 >= self.room
        };
        if self.strain <= signs.strain && used {
            self.room += f64::min(1.0 / self.room, self.room);
        } else if self.strain > signs.strain && now - self.cut >= self.pace {
            (self.room, self.cut) = (
                (self.room * (1.0 - gain.min(0.5))).max(self.least_room),
                now,
            );
        }
    }

    /// Nothing came back in this share of the SLO time. One by itself may be a lost answer, where late ones
    /// mostly stay out; two in a row are a jam.
    pub(super) fn unanswered(&mut self, now: f64, share: f64, signs: Signs) {
        self.missing += 1;
        if share > self.strain && (self.missing > 1 || !signs.lossy) {
            self.strained(now, share.min(1.0), signs);
        }
    }
}

impl Instance {
    /// The best that members of a group show; what is quicker than the front's clock can't be told apart.
    pub(super) fn pace(&self, group: u16) -> f64 {
        self.members(group)
            .map(|m| m.1.pace)
            .fold(f64::INFINITY, f64::min)
            .max(self.allowance.step)
    }

    /// How long this workload's statements take against all: a pace is that of one of length 1. Until their own
    /// answers tell, workloads are thought to take like shares of their SLO times.
    pub fn length(&self, workload: usize) -> f64 {
        let usual = if self.taken.answers > 0.0 {
            self.taken.share.max(1e-6)
        } else {
            1.0
        };
        let takes = |i: usize| self.workloads[i].slo * self.takes[i].expected(usual, PRIOR);
        let count = |i: usize| self.shares[0][i].0 / self.workloads[i].importance.max(1e-9);
        let sum = |of: &dyn Fn(usize) -> f64| (0..self.workloads.len()).map(of).sum::<f64>();
        let mean = sum(&|i| count(i) * takes(i)) / sum(&count);
        if mean > 0.0 {
            takes(workload) / mean
        } else {
            1.0
        }
    }

    /// What answers take at their best is learnt from what they took in the calmest while so far.
    pub(super) fn eases(&mut self, workload: usize, share: f64) {
        [&mut self.takes[workload], &mut self.taken]
            .into_iter()
            .for_each(|t| t.add(share, EASE_ANSWERS));
        let (mean, new) = (self.taken.share, self.taken.answers < EASE_ANSWERS / 2.0);
        let risen = self.least + (mean - self.least) / (100.0 * EASE_ANSWERS);
        self.least = if new { mean } else { mean.min(risen) };
    }

    pub(super) fn most_strain(&self) -> f64 {
        STRAIN.max((EASE * self.least).min(MOST_STRAIN))
    }

    pub(super) fn learn(&mut self, late: bool, in_vain: bool) {
        self.in_vain += f64::from(late) * (f64::from(in_vain) - self.in_vain) * 2.0 * GAIN;
    }

    /// It may never be answered: sent to what is a suspect now, or late while what is late mostly stays out.
    pub(crate) fn overdue(&self, e: &Execution, now: f64) -> bool {
        let (node, usual) = (&self.nodes[&e.node], self.pace(self.nodes[&e.node].group));
        let stuck = node
            .suspected
            .is_some_and(|at| e.sent <= at || now - e.sent > 2.0 * usual * e.length);
        stuck || self.in_vain > IN_VAIN && self.late(e, now)
    }

    /// Out for several times the pace of a node without strain: in a jam all is late. Work is the statement's
    /// own: what is only long beats its copy, a lost answer never comes. `in_vain` counts which it is.
    pub(super) fn late(&self, e: &Execution, now: f64) -> bool {
        let node = &self.nodes[&e.node];
        let strained = node.strain > 2.0 * self.most_strain() || node.suspected.is_some();
        !strained && now - e.sent > OVERDUE * e.length * node.pace.max(self.pace(node.group))
    }
}
