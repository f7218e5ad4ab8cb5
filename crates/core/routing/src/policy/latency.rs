//! How quickly nodes answer: the latency estimate, congestion and concurrency limit of a node, the relative length
//! of a workload's statements, and which executions are late.

use super::{EMA_WEIGHT, HEDGE_UNANSWERED_SHARE, PRIOR_ANSWERS};
use crate::{
    Instance, PRIMARY_AFFINITY_S,
    state::{AnswerContext, Execution, Node},
};

/// An execution is late after this many times the latency estimate. Of answers that come at random, one in twenty
/// takes longer.
const LATE_LATENCIES: f64 = 3.0;
/// Congestion up to which a concurrency limit grows, and above which it is reduced.
const BASE_CONGESTION: f64 = 0.22;
/// Where statements are long compared with their SLO time, the threshold is this many times their answer time
/// without queues instead, if that is higher.
const CONGESTION_PER_BEST_SHARE: f64 = 1.8;
/// Upper bound of the threshold for long statements.
const MAX_CONGESTION: f64 = 0.3;
/// Number of answers that an average answer time covers.
const AVERAGED_ANSWERS: f64 = 50.0;

impl Node {
    /// Updates congestion and the concurrency limit by an answer that took this share of its SLO time. The rarer
    /// the answers, the more each one counts. The limit grows only if it is used, that is if about as many
    /// executions are in flight, and is reduced at most once per latency estimate: many statements may meet the
    /// same jam.
    pub(super) fn record_congestion(&mut self, now: f64, share: f64, context: AnswerContext) {
        let weight = f64::max(
            EMA_WEIGHT,
            1.0 - (-(now - self.congestion_at) / PRIMARY_AFFINITY_S).exp(),
        );
        self.congestion += (share - self.congestion) * weight;
        self.congestion_at = now;
        let limit_is_used = if self.concurrency_limit < 1.0 {
            self.concurrency_limit < context.mean_in_flight
        } else {
            self.in_flight as f64 + 2.0 >= self.concurrency_limit
        };
        if self.congestion <= context.max_congestion && limit_is_used {
            self.concurrency_limit +=
                f64::min(1.0 / self.concurrency_limit, self.concurrency_limit);
        } else if self.congestion > context.max_congestion
            && now - self.limit_cut_at >= self.latency_s
        {
            self.concurrency_limit =
                (self.concurrency_limit * (1.0 - weight.min(0.5))).max(self.min_concurrency_limit);
            self.limit_cut_at = now;
        }
    }

    /// Records that no answer came within this share of the SLO time. Where most late answers never come, a single
    /// one may just be lost; two in a row count as congestion.
    pub(super) fn record_unanswered(&mut self, now: f64, share: f64, context: AnswerContext) {
        self.unanswered_in_a_row += 1;
        if share > self.congestion && (self.unanswered_in_a_row > 1 || !context.answers_get_lost) {
            self.record_congestion(now, share.min(1.0), context);
        }
    }
}

impl Instance {
    /// Returns the lowest latency estimate among the members of a group, in seconds; at least one step of the
    /// caller's clock, which can't resolve shorter durations.
    pub(super) fn best_latency(&self, group: u16) -> f64 {
        self.members(group)
            .map(|m| m.1.latency_s)
            .fold(f64::INFINITY, f64::min)
            .max(self.limits.clock_step_s)
    }

    /// Returns the expected duration of a workload's statements relative to the average over all statements; a
    /// latency estimate is that of an execution of length 1. Until a workload has answers of its own, it is
    /// expected to take the same share of its SLO time as the others.
    pub fn length(&self, workload: usize) -> f64 {
        let mean_share = if self.answer_times.answers > 0.0 {
            self.answer_times.share.max(1e-6)
        } else {
            1.0
        };
        let duration_s = |i: usize| {
            self.workloads[i].slo
                * self.workload_answer_times[i].expected(mean_share, PRIOR_ANSWERS)
        };
        let count =
            |i: usize| self.served_value[0][i].requested / self.workloads[i].importance.max(1e-9);
        let sum = |of: &dyn Fn(usize) -> f64| (0..self.workloads.len()).map(of).sum::<f64>();
        let mean_s = sum(&|i| count(i) * duration_s(i)) / sum(&count);
        if mean_s > 0.0 {
            duration_s(workload) / mean_s
        } else {
            1.0
        }
    }

    /// Records an answer that took this share of its SLO time. The answer time without queues is the average over
    /// the calmest period so far; it drifts up very slowly, so that an outdated one is forgotten.
    pub(super) fn learn_answer_time(&mut self, workload: usize, share: f64) {
        [
            &mut self.workload_answer_times[workload],
            &mut self.answer_times,
        ]
        .into_iter()
        .for_each(|t| t.add(share, AVERAGED_ANSWERS));
        let mean = self.answer_times.share;
        let few_answers = self.answer_times.answers < AVERAGED_ANSWERS / 2.0;
        let drifted =
            self.best_answer_share + (mean - self.best_answer_share) / (100.0 * AVERAGED_ANSWERS);
        self.best_answer_share = if few_answers { mean } else { mean.min(drifted) };
    }

    /// Returns the congestion above which concurrency limits are reduced.
    pub(super) fn max_congestion(&self) -> f64 {
        BASE_CONGESTION
            .max((CONGESTION_PER_BEST_SHARE * self.best_answer_share).min(MAX_CONGESTION))
    }

    /// Updates the share of late executions that are never answered by the end of one execution.
    pub(super) fn learn_lateness(&mut self, late: bool, unanswered: bool) {
        self.unanswered_share +=
            f64::from(late) * (f64::from(unanswered) - self.unanswered_share) * 2.0 * EMA_WEIGHT;
    }

    /// Returns whether an execution may never be answered: its node is a suspect now, or the execution is late
    /// while most late ones are never answered.
    pub(crate) fn overdue(&self, e: &Execution, now: f64) -> bool {
        let node = &self.nodes[&e.node];
        let best_latency_s = self.best_latency(node.group);
        let stuck = node
            .suspected_at
            .is_some_and(|at| e.sent_at <= at || now - e.sent_at > 2.0 * best_latency_s * e.length);
        stuck || self.unanswered_share > HEDGE_UNANSWERED_SHARE && self.late(e, now)
    }

    /// Returns whether an execution has been in flight for several times the latency estimate of its node, where
    /// the node is neither congested nor a suspect: under congestion every execution is late. A long one still
    /// ends before a second copy of it would, as the work is the statement's own, while a lost answer never comes;
    /// `unanswered_share` tracks which of the two is more frequent.
    pub(super) fn late(&self, e: &Execution, now: f64) -> bool {
        let node = &self.nodes[&e.node];
        let excused = node.congestion > 2.0 * self.max_congestion() || node.suspected_at.is_some();
        !excused
            && now - e.sent_at
                > LATE_LATENCIES * e.length * node.latency_s.max(self.best_latency(node.group))
    }
}
