//! Counters for the log: how many statements were given up and by which rule, and what kept each member of the group
//! from taking them. They do not influence any decision.

use crate::state::Statement;
use crate::{Consistency, ExecutionOutcome, Instance, NodeStatus};
use std::collections::BTreeMap;

/// Counters since the router's start.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Statements that arrived.
    pub accepted: u64,
    /// Final answers of the router itself, by the rule that gave the statement up.
    pub given_up: BTreeMap<&'static str, u64>,
    /// Members of the groups of the statements given up, by what kept them from taking the statement.
    pub given_up_obstacles: BTreeMap<&'static str, u64>,
    /// Members of the groups of the statements that were waiting at each call of [`Instance::count_waiting`], by what
    /// kept them from taking the statement.
    pub waiting_obstacles: BTreeMap<&'static str, u64>,
    /// Probes.
    pub probes: u64,
    /// Executions sent.
    pub sent: u64,
}

impl Tally {
    /// Returns the counters as one line for the log, with each name as one word.
    pub fn log_line(&self) -> String {
        let word = |name: &str| name.replace(',', "").replace(' ', "_");
        let counts = |of: &BTreeMap<&'static str, u64>| {
            let each = of
                .iter()
                .map(|(name, count)| format!("{}={count}", word(name)));
            each.collect::<Vec<_>>().join(",")
        };
        format!(
            "taken={} sent={} probes={} given_up[{}] in_the_way[{}] waits_for[{}]",
            self.accepted,
            self.sent,
            self.probes,
            counts(&self.given_up),
            counts(&self.given_up_obstacles),
            counts(&self.waiting_obstacles)
        )
    }
}

impl Instance {
    /// Returns what keeps a member from taking a statement now; "nothing" if it could take it.
    pub fn obstacle(&self, s: &Statement, id: u32, now: f64) -> &'static str {
        let node = &self.nodes[&id];
        let is_primary = self.groups[&s.group].primary == Some(id);
        let tried = s.executions.iter().any(|e| e.node == id);
        let needs_primary = matches!(
            s.workload.consistency,
            Consistency::Primary | Consistency::Latest
        );
        if needs_primary && !is_primary {
            return if self.groups[&s.group].primary.is_none() {
                "no primary known"
            } else {
                "no primary"
            };
        }
        let full = !self.has_capacity(s, id, now);
        let obstacles: [(&'static str, bool); 9] = [
            ("drains or is gone", node.status != NodeStatus::Ready),
            ("was met", tried),
            ("suspect", node.suspected_at.is_some()),
            ("not its turn", !self.pacing_allows_send(id, now)),
            ("data too old", !self.fresh_enough(s, id, now)),
            ("no room", full && node.in_flight > 0),
            // None of this router's executions is in flight there: the limit is below 1 and admits only a part of
            // the statements, and this one's admission rank is too high.
            ("no room in parts", full),
            ("cold", !self.within_cold_budget(node, id, s, now)),
            (
                "primary, while replicas may do",
                is_primary && !needs_primary,
            ),
        ];
        obstacles
            .iter()
            .find(|obstacle| obstacle.1)
            .map_or("nothing", |obstacle| obstacle.0)
    }

    /// Counts a statement that gets a final answer of the router itself. The conditions are checked in the order in
    /// which the rules apply.
    pub(crate) fn count_given_up(&mut self, stmt: u32, now: f64) {
        let Some(s) = self.statements.get(&stmt) else {
            return;
        };
        let errors = s
            .executions
            .iter()
            .filter(|e| e.outcome == Some(ExecutionOutcome::Errored))
            .count();
        let rule = if s.executions.is_empty() && now >= s.slo_deadline {
            "too late, never sent"
        } else if self.held_too_long(s, now) {
            "held too long"
        } else if errors > 1 {
            "errs everywhere"
        } else if s.executions.len() >= self.limits.max_executions {
            "all executions spent"
        } else if !self.repeatable(s, None, now) {
            "may have run"
        } else if s.executions.is_empty() {
            "too late to begin"
        } else {
            "too late to repeat"
        };
        let members = self.groups[&s.group].members.clone();
        let obstacles: Vec<&'static str> = members
            .iter()
            .map(|id| self.obstacle(s, *id, now))
            .collect();
        *self.tally.given_up.entry(rule).or_default() += 1;
        obstacles.into_iter().for_each(|obstacle| {
            *self.tally.given_up_obstacles.entry(obstacle).or_default() += 1;
        });
    }

    /// Counts what keeps the members of each group from taking the statements that wait now.
    pub fn count_waiting(&mut self, now: f64) {
        let waiting: Vec<u32> = self
            .groups
            .values()
            .flat_map(|group| &group.waiting)
            .copied()
            .collect();
        let open = waiting.iter().filter_map(|stmt| self.statements.get(stmt));
        let obstacles: Vec<&'static str> = open
            .flat_map(|s| self.groups[&s.group].members.iter().map(move |id| (s, *id)))
            .map(|(s, id)| self.obstacle(s, id, now))
            .collect();
        obstacles.into_iter().for_each(|obstacle| {
            *self.tally.waiting_obstacles.entry(obstacle).or_default() += 1;
        });
    }
}
