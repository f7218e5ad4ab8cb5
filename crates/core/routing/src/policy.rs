//! All of badgerstream's decisions. A front builds one [`Instance`] a router, tells it what happened by the
//! input methods (`listing`, `arrived`, `executed`, `probed`, ...), then calls `settle`, which goes through
//! the rules and sends what they conclude through an `Outbox`. The types of both directions are in `lib.rs`;
//! docs/design.md tells the mechanism. Inputs record facts; sends pass `permitted`, answers `conclude`.
//! Here is the order of the rules; each file of `policy/` has one concern, and the figures that only it uses.

mod choice;
mod guards;
mod health;
mod inputs;
pub mod mark;
mod pace;
mod primary;
pub mod rotation;
mod rules;
mod sends;
mod worth;

use crate::{
    Instance, Outbox,
    state::{Node, ROUNDING_S},
};
use std::collections::BTreeSet;

/// The design's figure: how long a node may go unheard; the other, a session's mark, is `MARK_S`.
const IDLE_S: f64 = 1.0;
/// Health is looked over this often, also when nothing comes in; a lost primary is looked for at this pace.
const BEAT_S: f64 = 0.05;
const SEARCH_S: f64 = 0.1;
/// A statement spends at most this share of an average one's worth on probes.
const PROBE_SHARE: f64 = 0.1;
/// Copies of late executions begin when more than this share of them was never answered.
const IN_VAIN: f64 = 0.65;
/// Executions out at a node, from all routers, before its room is learnt, and the least it is left with.
const ROOM: f64 = 16.0;
const LEAST_ROOM: f64 = 4.0;
/// The weight of one answer in a node's pace and strain, and of how many its first guess stands.
const GAIN: f64 = 0.1;
const PRIOR: f64 = 4.0;

/// A condition and an effect on one statement or node: true when it fired.
type Rule = fn(&mut Instance, u32, f64, &mut dyn Outbox) -> bool;

/// Gone through in this order for each touched statement until none fires.
const STATEMENT_RULES: [Rule; 8] = [
    Instance::close_over,
    Instance::answer_last_moment,
    Instance::wait_for_primary,
    Instance::give_up,
    Instance::inquire,
    Instance::send_next,
    Instance::ask,
    Instance::copy_overdue,
];

/// Gone through for every node at each beat.
const NODE_RULES: [Rule; 2] = [Instance::suspect, Instance::probe_unheard];

impl Instance {
    /// Goes through the rules for all that was touched or has come due, until none fires.
    pub fn settle(&mut self, now: f64, out: &mut dyn Outbox) {
        let due = ((now * 1e6) as u64, u32::MAX);
        while let Some(timer) = self.timers.first().copied().filter(|t| *t <= due) {
            _ = (self.timers.remove(&timer), self.touched.insert(timer.1));
        }
        let beat = self
            .beat
            .is_none_or(|last| now - last >= BEAT_S - ROUNDING_S);
        if beat {
            self.beat = Some(now);
            self.look_over(now, out);
            out.wake(BEAT_S);
        }
        self.update_restart_pacing(now, out);
        self.believe(now, out);
        self.settle_succession(now, out);
        let (touched, mut full) = (std::mem::take(&mut self.touched), BTreeSet::new());
        let groups = std::mem::take(&mut self.touched_groups);
        let waiting = groups.iter().flat_map(|group| &self.groups[group].waiting);
        let mut queue: Vec<u32> = touched.iter().chain(waiting).copied().collect();
        queue.sort_by_cached_key(|id| {
            self.statements
                .get(id)
                .map_or((0, 0), |s| self.rank(s, now))
        });
        for stmt in queue {
            if !beat && !touched.contains(&stmt) && self.stuck(stmt, now, &mut full) {
                continue;
            }
            let mut fires =
                |r: &Rule| self.statements.contains_key(&stmt) && r(self, stmt, now, out);
            while STATEMENT_RULES.iter().any(&mut fires) {}
        }
        if let Some(first) = self.timers.first() {
            out.wake((first.0 as f64 / 1e6 - now).clamp(0.0, BEAT_S));
        }
    }

    /// Between beats a statement that nothing happened to need not be looked at while its group is full: with
    /// hundreds that wait, looking costs more than serving. Harm: what is asked for them comes a beat later.
    fn stuck(&self, stmt: u32, now: f64, full: &mut BTreeSet<u16>) -> bool {
        let Some(s) = self.statements.get(&stmt) else {
            return true;
        };
        let taken =
            |m: (u32, &Node)| m.1.suspected.is_some() || m.1.out as f64 >= m.1.room.max(1.0);
        let full =
            full.contains(&s.group) || self.members(s.group).all(taken) && full.insert(s.group);
        full && self.succession.is_none() && now + self.needed(s) < s.last_use()
    }

    fn look_over(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in self.nodes.keys().copied().collect::<Vec<u32>>() {
            while NODE_RULES.iter().any(|r| r(self, id, now, out)) {}
        }
        let ready = self.nodes.values().filter(|n| n.in_service(&self.drain));
        self.warm = ready.map(|n| n.warmth(&self.cold, now)).sum();
        self.touched_groups.extend(self.groups.keys());
        let sent = self
            .statements
            .iter()
            .filter(|s| s.1.live().next().is_some());
        self.touched.extend(sent.map(|s| s.0));
        if self.replication.carried {
            // Past the mark, the carried age tells as much.
            self.sessions.retain(|_, s| s.0.marked(now));
        }
    }
}
