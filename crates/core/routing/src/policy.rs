//! All decisions of badgerstream. The caller creates one [`Instance`] per router and reports what happened by its
//! input methods (`list_begins`, `arrived`, `executed`, `probed`, ...). It then calls `settle`, which applies the
//! rules and sends the resulting actions through an `Outbox`. The types of the interface are in `lib.rs`;
//! docs/design.md describes the mechanism.
//!
//! Inputs only record facts. Every send is checked by `permitted`; every final answer of the router goes through
//! `conclude`. This file has the order of the rules and the constants that several files use; each file of
//! `policy/` has one concern, with its own constants.

mod choice;
mod guards;
mod health;
mod inputs;
mod latency;
mod primary;
pub mod primary_affinity;
pub mod rotation;
mod rules;
mod sends;
mod value;

use crate::{
    Instance, Outbox,
    state::{Node, ROUNDING_S},
};
use std::collections::BTreeSet;

/// A node that was not heard for this long is probed, and its reported lag is no longer relied on. The design sets
/// this and `PRIMARY_AFFINITY_S`.
const MAX_SILENCE_S: f64 = 1.0;
/// Interval at which nodes and waiting statements are checked, also if nothing is reported.
const CHECK_INTERVAL_S: f64 = 0.05;
/// Interval between probes while a primary is searched for.
const SEARCH_INTERVAL_S: f64 = 0.1;
/// Maximum cost of the probes for one statement, as a share of the value of an average statement.
const MAX_PROBE_COST_SHARE: f64 = 0.1;
/// Late executions are hedged if more than this share of them is never answered.
const HEDGE_UNANSWERED_SHARE: f64 = 0.65;
/// Concurrency limit of a node, over all routers, before its capacity is known.
const INITIAL_CONCURRENCY_LIMIT: f64 = 16.0;
/// Minimum concurrency limit of a node, over all routers.
const MIN_CONCURRENCY_LIMIT: f64 = 4.0;
/// Minimum weight of one answer in the moving averages of a node's latency and congestion.
const EMA_WEIGHT: f64 = 0.1;
/// Number of answers that an initial estimate counts as.
const PRIOR_ANSWERS: f64 = 4.0;

/// A condition and its effect on one statement or node. Returns whether the condition held.
type Rule = fn(&mut Instance, u32, f64, &mut dyn Outbox) -> bool;

/// Applied to each touched statement, in this order and from the start again after each rule that fired, until
/// none fires.
const STATEMENT_RULES: [Rule; 8] = [
    Instance::close_finished,
    Instance::answer_before_deadline,
    Instance::wait_for_primary,
    Instance::give_up,
    Instance::inquire,
    Instance::send_next,
    Instance::probe_for_statement,
    Instance::hedge_overdue,
];

/// Applied to each node at each check.
const NODE_RULES: [Rule; 2] = [Instance::suspect, Instance::probe_silent_node];

impl Instance {
    /// Applies the rules to all that was touched or has come due, until none fires.
    pub fn settle(&mut self, now: f64, out: &mut dyn Outbox) {
        let due = ((now * 1e6) as u64, u32::MAX);
        while let Some(timer) = self.timers.first().copied().filter(|t| *t <= due) {
            self.timers.remove(&timer);
            self.touched.insert(timer.1);
        }
        let check_is_due = self
            .last_check
            .is_none_or(|last| now - last >= CHECK_INTERVAL_S - ROUNDING_S);
        if check_is_due {
            self.last_check = Some(now);
            self.check_nodes(now, out);
            out.wake(CHECK_INTERVAL_S);
        }
        self.update_restart_pacing(now, out);
        self.update_primaries(now, out);
        self.settle_succession(now, out);
        let touched = std::mem::take(&mut self.touched);
        let mut full_groups = BTreeSet::new();
        let groups = std::mem::take(&mut self.touched_groups);
        let waiting = groups.iter().flat_map(|group| &self.groups[group].waiting);
        let mut queue: Vec<u32> = touched.iter().chain(waiting).copied().collect();
        queue.sort_by_cached_key(|id| {
            self.statements
                .get(id)
                .map_or((0, 0), |s| self.sort_key(s, now))
        });
        for stmt in queue {
            if !check_is_due
                && !touched.contains(&stmt)
                && self.can_skip(stmt, now, &mut full_groups)
            {
                continue;
            }
            let mut fires =
                |r: &Rule| self.statements.contains_key(&stmt) && r(self, stmt, now, out);
            while STATEMENT_RULES.iter().any(&mut fires) {}
        }
        if let Some(first) = self.timers.first() {
            out.wake((first.0 as f64 / 1e6 - now).clamp(0.0, CHECK_INTERVAL_S));
        }
    }

    /// Returns whether a waiting statement that nothing happened to can be skipped until the next check, because
    /// all nodes of its group are full or suspects: with hundreds of waiting statements, looking at each costs
    /// more than serving. The drawback: probes for these statements start up to one check interval later.
    fn can_skip(&self, stmt: u32, now: f64, full_groups: &mut BTreeSet<u16>) -> bool {
        let Some(s) = self.statements.get(&stmt) else {
            return true;
        };
        let unavailable = |m: (u32, &Node)| {
            m.1.suspected_at.is_some() || m.1.in_flight as f64 >= m.1.concurrency_limit.max(1.0)
        };
        let full = full_groups.contains(&s.group)
            || self.members(s.group).all(unavailable) && full_groups.insert(s.group);
        full && self.succession.is_none() && now + self.time_needed(s) < s.last_useful_at()
    }

    /// The periodic check: applies the rules for nodes, and touches all groups and all statements in flight.
    fn check_nodes(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in self.nodes.keys().copied().collect::<Vec<u32>>() {
            while NODE_RULES.iter().any(|r| r(self, id, now, out)) {}
        }
        let in_service = self.nodes.values().filter(|n| n.in_service(&self.drain));
        self.warm_nodes = in_service
            .map(|n| n.warm_share(&self.cold_start, now))
            .sum();
        self.touched_groups.extend(self.groups.keys());
        let in_flight = self
            .statements
            .iter()
            .filter(|s| s.1.in_flight().next().is_some());
        self.touched.extend(in_flight.map(|s| s.0));
        if self.replication.sessions_carry_write_age {
            // Once the affinity has ended, the write age that the session's reads carry is sufficient.
            self.sessions.retain(|_, s| s.affinity.is_active(now));
        }
    }
}
