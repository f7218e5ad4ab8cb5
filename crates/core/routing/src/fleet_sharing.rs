//! Connects [`Instance`] with the decisions of `badgerstream-fleet-sharing`: events become its inputs, and its
//! decisions restrict probes, trials of suspects, first executions at new nodes, second copies (hedged requests) and
//! retries. Nothing is decided here; without settings nothing is restricted.

use crate::fleet::{Action, Fleet, Settings};
use crate::state::Statement;
use crate::{ExecutionOutcome, Instance, NodeStatus, Outbox};

impl Instance {
    /// Turns fleet sharing on with settings, or off without. `name` is the name of this router in the fleet.
    pub fn set_fleet_sharing(&mut self, settings: Option<Settings>, seed: u64, name: &str) {
        match (&mut self.fleet, settings) {
            (Some(fleet), Some(settings)) => fleet.reset(settings, seed, name),
            (none, Some(settings)) => *none = Some(Fleet::new(settings, seed, self.routers, name)),
            (Some(fleet), None) => {
                self.routers = fleet.configured_routers();
                self.fleet = None;
            }
            (None, None) => {}
        }
        self.touch_all();
    }

    /// Records a node's load report for the count of routers: it holds `held` connections, `own` of them from this
    /// router.
    pub fn connections_reported(&mut self, now: f64, id: u32, held: f64, own: f64) {
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.connections_reported(now, id, held, own));
    }

    /// Updates the number of routers and the subsets of replicas, as often as routers look at waiting work.
    pub(crate) fn update_fleet(&mut self, now: f64, out: &mut dyn Outbox) {
        let Some(fleet) = &mut self.fleet else { return };
        if !fleet.update_due(now) {
            return;
        }
        if fleet.update_router_count(now) {
            self.routers = fleet.live_routers();
        }
        fleet.take_log_lines().iter().for_each(|line| out.log(line));
        for (number, group) in &self.groups {
            let ready = |id: &u32| {
                Some(*id) != group.primary
                    && self.nodes[id].status == NodeStatus::Ready
                    && self.nodes[id].suspected_at.is_none()
            };
            let replicas: Vec<u32> = group.members.iter().copied().filter(ready).collect();
            fleet.update_subset(
                *number,
                &replicas,
                group.arrivals_per_s(now) / replicas.len().max(1) as f64,
            );
        }
    }

    /// Returns which kind of probe a probe of this node is: a decision waits for it if statements of its group wait.
    fn probe_action(&self, id: u32) -> Action {
        let is_needed = self
            .groups
            .get(&self.nodes[&id].group)
            .is_some_and(|group| !group.waiting.is_empty());
        if is_needed {
            Action::NeededProbe
        } else {
            Action::IdleProbe
        }
    }

    pub(crate) fn has_probe_slot(&self, id: u32, now: f64) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.may_act(self.probe_action(id), now, id))
    }

    pub(crate) fn record_probe(&mut self, id: u32, now: f64) {
        self.tally.probes += 1;
        let action = self.probe_action(id);
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.record_action(action, now, id));
    }

    /// Returns whether this router owns a slot for a trial execution at a suspect now.
    pub(crate) fn may_try_suspect(&self, id: u32, now: f64) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.may_act(Action::SuspectTrial, now, id))
    }

    /// Returns whether a node has started lately and has not answered this router since.
    fn is_new(&self, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        node.warm_share(&self.cold_start, now) < 1.0
            && node.last_heard_at < node.started_at.max(node.unreachable_at)
    }

    /// Returns whether a statement may go to a node as far as first executions at new nodes are restricted: a new
    /// node takes one at a time from this router, in its slots.
    pub(crate) fn may_send_first(&self, id: u32, now: f64) -> bool {
        let has_slot = |fleet: &Fleet| {
            fleet.may_act(Action::FirstSend, now, id) && self.nodes[&id].in_flight == 0
        };
        self.fleet
            .as_ref()
            .is_none_or(|fleet| !self.is_new(id, now) || has_slot(fleet))
    }

    pub(crate) fn may_hedge(&self, now: f64) -> bool {
        self.limits.hedging && self.fleet.as_ref().is_none_or(|fleet| fleet.may_hedge(now))
    }

    /// Returns whether a further execution of this statement counts as a retry. Executions that were turned away
    /// untouched, cut off or never issued do not count, because they cost the node nothing.
    fn counts_as_retry(s: &Statement) -> bool {
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

    pub(crate) fn may_retry(&self, stmt: u32, now: f64) -> bool {
        let Some(fleet) = &self.fleet else {
            return true;
        };
        fleet.may_retry(now) || !Self::counts_as_retry(&self.statements[&stmt])
    }

    /// Returns whether a replica is one of those that this router uses in its group.
    pub(crate) fn uses_replica(&self, group: u16, id: u32) -> bool {
        self.fleet
            .as_ref()
            .is_none_or(|fleet| fleet.uses_replica(group, id))
    }

    /// Records that a statement goes to a node: uses up the slots and budgets that let it go.
    pub(crate) fn record_send_for_fleet(&mut self, stmt: u32, id: u32, now: f64) {
        self.tally.sent += 1;
        let is_new = self.is_new(id, now);
        let is_suspect = self.nodes[&id].suspected_at.is_some();
        let Some((fleet, s)) = self.fleet.as_mut().zip(self.statements.get(&stmt)) else {
            return;
        };
        if s.in_flight().next().is_some() {
            fleet.record_hedge();
        } else if Self::counts_as_retry(s) {
            fleet.record_retry();
        } else if s.executions.is_empty() {
            fleet.first_execution_sent(now);
        }
        let actions = [
            (Action::FirstSend, is_new),
            (Action::SuspectTrial, is_suspect),
        ];
        actions
            .iter()
            .filter(|action| action.1)
            .for_each(|action| fleet.record_action(action.0, now, id));
    }
}
