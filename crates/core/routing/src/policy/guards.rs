//! Guards: which statement may be sent to which node. Every send is checked by `permitted`.

use super::{MAX_SILENCE_S, MIN_CONCURRENCY_LIMIT};
use crate::{
    Consistency, DedupScope, Drain, Instance, NodeStatus, Repeat,
    state::{Node, Statement},
};

/// Share of a cold node's budget that is used while the budget is below one send per window: a concurrency limit
/// this small does not show that the machine is shared.
const COLD_BUDGET_SHARE: f64 = 0.5;
/// Congestion that no further answer confirms fades over this time.
const CONGESTION_DECAY_S: f64 = 10.0;

impl Instance {
    /// Returns whether a statement may be sent to a node now. With `is_inquiry`, the send does not repeat the
    /// statement but asks how an earlier execution ended.
    pub(super) fn permitted(&self, s: &Statement, id: u32, now: f64, is_inquiry: bool) -> bool {
        let node = &self.nodes[&id];
        let last_resort = s.is_write() || self.groups[&s.group].primary == Some(id);
        !s.finished
            && now < s.deadline
            && node.group == s.group
            && s.executions.len() < self.limits.max_executions
            && (self.limits.hedging || s.in_flight().next().is_none())
            && (is_inquiry || self.repeatable(s, Some(id), now))
            && !node.is_closed(&self.drain, last_resort, now)
            && self.within_cold_budget(node, id, s, now)
            && self.fresh_enough(s, id, now)
    }

    /// Returns whether a statement may be executed again, at node `to` if given. One that may have run is repeated
    /// only if the repeat is harmless, or will be dropped as a duplicate.
    pub fn repeatable(&self, s: &Statement, to: Option<u32>, now: f64) -> bool {
        let Some(first) = s.may_have_run().next() else {
            return true;
        };
        match s.workload.repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Deduplicated { scope, memory_s } => {
                let from = &self.nodes[&first.node];
                let to = &self.nodes[&to.unwrap_or(first.node)];
                let same_scope =
                    from.group == to.group && (scope == DedupScope::Group || from.zone == to.zone);
                let recognized = scope == DedupScope::Anywhere || same_scope;
                // The repeat must also arrive in time: a quarter of the memory is left for that.
                recognized && now - first.sent_at < memory_s * 0.75
            }
        }
    }

    /// Returns whether a cold node may get a statement. In any window, a node that is still cold gets its share of
    /// what warm nodes are seen to complete, and no more, so that it is not overloaded. Each router counts the
    /// completions that it sees itself, so the budgets of all routers add up, however far below one send each is.
    pub fn within_cold_budget(&self, node: &Node, id: u32, s: &Statement, now: f64) -> bool {
        let warm_share = node.warm_share(&self.cold_start, now);
        if warm_share >= 1.0 {
            return true;
        }
        let window_s = self.cold_start.window_s;
        let min_budget = MIN_CONCURRENCY_LIMIT / self.routers;
        let budget =
            self.cold_start.overload_factor * warm_share * window_s * self.completions.per_s
                / self.warm_nodes.max(1.0);
        let sent = node
            .recent_sends
            .iter()
            .filter(|at| now - **at < window_s)
            .count();
        let left = budget.max(min_budget) - sent as f64;
        // The statement shares the budget with all that arrived since it did. Otherwise statements that waited for
        // the node would all be sent at once.
        let competitors = self.expected_arrivals(s.group, id) * window_s.max(now - s.arrived_at);
        (left >= 1.0 || s.admission_rank * competitors <= COLD_BUDGET_SHARE * left)
            && (node.in_flight as f64) < (node.concurrency_limit * warm_share).max(1.0)
    }

    /// Returns the statements per second that a member would get if all members in service were equally suitable. A
    /// primary gets at least half of the group's.
    pub(super) fn expected_arrivals(&self, group: u16, id: u32) -> f64 {
        let in_service = self
            .members(group)
            .filter(|m| m.1.in_service(&self.drain))
            .count()
            .max(1);
        let parts = if self.groups[&group].primary == Some(id) {
            in_service.min(2)
        } else {
            in_service
        };
        self.groups[&group].arrivals.per_s / parts as f64
    }

    /// Returns whether a node has capacity for one more statement of this router. A limit below 1, as one of many
    /// routers has it, admits a part of the statements while the node is congested: of those that would be in
    /// flight on average, the most important part, chosen by admission rank. This guards against queues full of
    /// statements that no client waits for any more.
    pub fn has_capacity(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        // Congestion fades without further answers: a node that was down must not stay unused once it is back.
        let congestion = node.congestion * (-(now - node.congestion_at) / CONGESTION_DECAY_S).exp();
        if node.concurrency_limit >= 1.0 || congestion <= self.max_congestion() {
            return (node.in_flight as f64) < node.concurrency_limit.max(1.0);
        }
        node.in_flight == 0
            && s.admission_rank * self.expected_arrivals(s.group, id) * congestion * s.workload.slo
                <= node.concurrency_limit
    }

    /// Returns whether a node's data is fresh enough for a statement. A member that is not believed to be the
    /// primary answers a read only if its position is known to suffice.
    pub fn fresh_enough(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        if matches!(
            s.workload.consistency,
            Consistency::Primary | Consistency::Loose
        ) {
            return true;
        }
        let required_lsn = s.required_position(now);
        let is_primary = self.groups[&s.group].primary == Some(id)
            && node.claimed_primary_at > node.denied_primary_at;
        // Where nodes check freshness themselves, a position that probably suffices will do, and so will one that
        // was not reported for a second: a declined read costs little.
        let unknown = s.workload.consistency != Consistency::Latest
            && now - node.lag_known_at >= MAX_SILENCE_S;
        let probable = unknown || now - 2.0 * node.lag >= required_lsn;
        !self.positions_uncertain(s)
            && (is_primary
                || node.lsn >= required_lsn
                || self.replication.nodes_check_freshness && probable)
    }
}

impl Node {
    /// Returns whether the node must get no new work because it is listed as draining or gone. A draining primary
    /// may still get what no other member can take (`last_resort`) for half of the grace, as it hands over only at
    /// the end of the grace.
    pub fn is_closed(&self, drain: &Drain, last_resort: bool, now: f64) -> bool {
        let fails = self.suspected_at.is_some() && !last_resort;
        match self.status {
            NodeStatus::Ready => false,
            NodeStatus::Draining => {
                !last_resort || now - self.unavailable_since > drain.grace_s / 2.0
            }
            NodeStatus::Gone => self.listed_draining || fails || !drain.only_draining_binds,
        }
    }
}
