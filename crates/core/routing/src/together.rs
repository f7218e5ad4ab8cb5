//! Between the records of an instance and the decisions of `badgerstream-fleet-sharing`: what was told becomes its inputs,
//! and its verdicts bind probes, trials, first sends, copies and repeats. It decides nothing; without settings
//! nothing of it acts.

use crate::fleet::{Fleet, Kind, Settings};
use crate::state::Statement;
use crate::{ExecutionOutcome, Instance, NodeStatus, Outbox};

impl Instance {
    /// With settings, choices are made as one of many routers from now on; without, as if that never was.
    pub fn join(&mut self, settings: Option<Settings>, seed: u64, name: &str) {
        match (&mut self.fleet, settings) {
            (Some(fleet), Some(settings)) => fleet.reset(settings, seed, name),
            (none, Some(settings)) => *none = Some(Fleet::new(settings, seed, self.routers, name)),
            (Some(fleet), None) => (self.routers, self.fleet) = (fleet.told(), None),
            (None, None) => {}
        }
        self.touch_all();
    }

    /// A node's own word on how many connections it holds; this router has `own` of them.
    pub fn holds(&mut self, now: f64, id: u32, held: f64, own: f64) {
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.reported(now, id, held, own));
    }

    /// Counts routers and finds what to keep to, as often as routers look at what waits.
    pub(crate) fn settle_fleet(&mut self, now: f64, out: &mut dyn Outbox) {
        let Some(fleet) = &mut self.fleet else { return };
        if !fleet.looks(now) {
            return;
        }
        if fleet.pass(now) {
            self.routers = fleet.living();
        }
        fleet.lines().iter().for_each(|line| out.log(line));
        for (number, group) in &self.groups {
            let ready = |id: &u32| {
                Some(*id) != group.primary
                    && self.nodes[id].status == NodeStatus::Ready
                    && self.nodes[id].suspected_at.is_none()
            };
            let replicas: Vec<u32> = group.members.iter().copied().filter(ready).collect();
            fleet.grouped(
                *number,
                &replicas,
                group.arrivals_per_s(now) / replicas.len().max(1) as f64,
            );
        }
    }

    /// A probe is one that a decision waits for where statements of its group wait.
    fn probes_as(&self, id: u32) -> Kind {
        let waits = self
            .groups
            .get(&self.nodes[&id].group)
            .is_some_and(|group| !group.waiting.is_empty());
        if waits { Kind::Search } else { Kind::Idle }
    }

    pub(crate) fn turn_to_probe(&self, id: u32, now: f64) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.may(self.probes_as(id), now, id))
    }

    pub(crate) fn probing(&mut self, id: u32, now: f64) {
        self.tally.probes += 1;
        let kind = self.probes_as(id);
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.did(kind, now, id));
    }

    /// Whether a suspect may be tried now.
    pub(crate) fn may_try(&self, id: u32, now: f64) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.may(Kind::Trial, now, id))
    }

    /// It has started, and has answered nothing here since.
    fn is_new(&self, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        node.warm_share(&self.cold_start, now) < 1.0
            && node.last_heard_at < node.started_at.max(node.unreachable_at)
    }

    pub(crate) fn turn_at_new(&self, id: u32, now: f64) -> bool {
        let first =
            |fleet: &Fleet| fleet.may(Kind::First, now, id) && self.nodes[&id].in_flight == 0;
        self.fleet
            .as_ref()
            .is_none_or(|fleet| !self.is_new(id, now) || first(fleet))
    }

    pub(crate) fn may_copy(&self, now: f64) -> bool {
        self.limits.hedging && self.fleet.as_ref().is_none_or(|fleet| fleet.may_copy(now))
    }

    /// What was missed or never issued cost its node nothing.
    fn repeats(s: &Statement) -> bool {
        let failed = |ending: ExecutionOutcome| {
            !matches!(
                ending,
                ExecutionOutcome::NotEligible
                    | ExecutionOutcome::NeverIssued
                    | ExecutionOutcome::SendInterrupted
            )
        };
        s.executions.iter().any(|e| e.outcome.is_some_and(failed))
    }

    pub(crate) fn may_repeat(&self, stmt: u32, now: f64) -> bool {
        let Some(fleet) = &self.fleet else {
            return true;
        };
        fleet.may_repeat(now) || !Self::repeats(&self.statements[&stmt])
    }

    /// Whether a replica is one that this router keeps to.
    pub(crate) fn keeps(&self, group: u16, id: u32) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.keeps(group, id))
    }

    /// A statement goes there: what let it go is used.
    pub(crate) fn sends(&mut self, stmt: u32, id: u32, now: f64) {
        self.tally.sent += 1;
        let (new, suspect) = (self.is_new(id, now), self.nodes[&id].suspected_at.is_some());
        let Some((fleet, s)) = self.fleet.as_mut().zip(self.statements.get(&stmt)) else {
            return;
        };
        if s.in_flight().next().is_some() {
            fleet.copied();
        } else if Self::repeats(s) {
            fleet.repeated();
        } else if s.executions.is_empty() {
            fleet.sent_first(now);
        }
        let turns = [(Kind::First, new), (Kind::Trial, suspect)];
        turns
            .iter()
            .filter(|turn| turn.1)
            .for_each(|turn| fleet.did(turn.0, now, id));
    }
}
