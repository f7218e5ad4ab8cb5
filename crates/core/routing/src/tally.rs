//! What was given up, by which rule, and what stood in the way at each member that could have taken it: counted for
//! whoever reads the log, decided elsewhere.

use crate::state::Statement;
use crate::{Currency, Ending, Instance, Standing};
use std::collections::BTreeMap;

/// Counts by name, over the router's life.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub taken: u64,
    /// Final answers of ours, by the rule that gave the statement up.
    pub given_up: BTreeMap<&'static str, u64>,
    /// For each of them, its group's members by what stood in the way there.
    pub in_the_way: BTreeMap<&'static str, u64>,
    /// Members of the groups of what waits, at moments when somebody looked, by what stands in the way there.
    pub waits_for: BTreeMap<&'static str, u64>,
    pub probes: u64,
    pub sent: u64,
}

impl Tally {
    /// One line for the log, each name as one word.
    pub fn line(&self) -> String {
        let word = |name: &str| name.replace(',', "").replace(' ', "_");
        let counts = |of: &BTreeMap<&'static str, u64>| {
            let each = of
                .iter()
                .map(|(name, count)| format!("{}={count}", word(name)));
            each.collect::<Vec<_>>().join(",")
        };
        format!(
            "taken={} sent={} probes={} given_up[{}] in_the_way[{}] waits_for[{}]",
            self.taken,
            self.sent,
            self.probes,
            counts(&self.given_up),
            counts(&self.in_the_way),
            counts(&self.waits_for)
        )
    }
}

impl Instance {
    /// What stands in the way of sending a statement to a member now; nothing, where it could go.
    pub fn in_the_way(&self, s: &Statement, id: u32, now: f64) -> &'static str {
        let (node, leads) = (&self.nodes[&id], self.groups[&s.group].primary == Some(id));
        let met = s.executions.iter().any(|e| e.node == id);
        let pinned = matches!(s.kind.currency, Currency::Primary | Currency::Latest);
        if pinned && !leads {
            return if self.groups[&s.group].primary.is_none() {
                "no primary known"
            } else {
                "no primary"
            };
        }
        let full = !self.has_room(s, id, now);
        let rules: [(&'static str, bool); 9] = [
            ("drains or is gone", node.standing != Standing::Ready),
            ("was met", met),
            ("suspect", node.suspected.is_some()),
            ("not its turn", !self.pacing_allows_send(id, now)),
            ("data too old", !self.current(s, id, now)),
            ("no room", full && node.out > 0),
            // Nothing of this router's is out there: only a part of one may be, and its lot is beyond that.
            ("no room in parts", full),
            ("cold", !self.bearable(node, id, s, now)),
            ("primary, while replicas may do", leads && !pinned),
        ];
        rules
            .iter()
            .find(|rule| rule.1)
            .map_or("nothing", |rule| rule.0)
    }

    /// A statement gets a final answer of ours: by which rule, in the order in which they act.
    pub(crate) fn note(&mut self, stmt: u32, now: f64) {
        let Some(s) = self.statements.get(&stmt) else {
            return;
        };
        let errors = s
            .executions
            .iter()
            .filter(|e| e.ended == Some(Ending::Errored))
            .count();
        let rule = if s.executions.is_empty() && now >= s.slo_end {
            "too late, never sent"
        } else if self.held_too_long(s, now) {
            "held too long"
        } else if errors > 1 {
            "errs everywhere"
        } else if s.executions.len() >= self.allowance.executions {
            "all executions spent"
        } else if !self.repeatable(s, None, now) {
            "may have run"
        } else if s.executions.is_empty() {
            "too late to begin"
        } else {
            "too late to repeat"
        };
        let members = self.groups[&s.group].members.clone();
        let ways: Vec<&'static str> = members
            .iter()
            .map(|id| self.in_the_way(s, *id, now))
            .collect();
        *self.tally.given_up.entry(rule).or_default() += 1;
        ways.into_iter()
            .for_each(|way| *self.tally.in_the_way.entry(way).or_default() += 1);
    }

    /// Looks at what waits: for whoever reads the log.
    pub fn note_waiting(&mut self, now: f64) {
        let waiting: Vec<u32> = self
            .groups
            .values()
            .flat_map(|group| &group.waiting)
            .copied()
            .collect();
        let open = waiting.iter().filter_map(|stmt| self.statements.get(stmt));
        let ways: Vec<&'static str> = open
            .flat_map(|s| self.groups[&s.group].members.iter().map(move |id| (s, *id)))
            .map(|(s, id)| self.in_the_way(s, id, now))
            .collect();
        ways.into_iter()
            .for_each(|way| *self.tally.waits_for.entry(way).or_default() += 1);
    }
}
