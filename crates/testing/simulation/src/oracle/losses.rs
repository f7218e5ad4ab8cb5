//! Tracks which control machines count as lost, and whether losses are within the fault budget.

use super::liveness::COMMITTED_WITHIN_S;
use crate::control::{ControlCluster, ControlMachine};
use badgerstream_control::NodeId;
use std::collections::BTreeMap;

/// The time that a machine still counts as lost after it has returned, in seconds.
pub const CATCH_UP_S: f64 = 4.0;

/// The maximum time until the control machines serve again after the last machine has returned, in
/// seconds. It applies after losses beyond the budget, or a partition into halves.
pub const RECOVERY_S: f64 = 12.0;

/// The maximum time until the successor of a removed machine starts, in seconds.
const SUCCESSOR_START_S: f64 = 3.0;

/// The losses observed so far. All times are seconds of simulated time.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// The time of the last fault or recovery of a machine or a link.
    last_fault_at: f64,
    /// For each machine, the time until which it counts as lost because of its last fault or
    /// recovery.
    lost_until: BTreeMap<NodeId, f64>,
    /// For each machine that is replaced, the time by which its successor has started.
    successor_starts_at: BTreeMap<NodeId, f64>,
    /// Whether losses exceeded the budget or the halves were partitioned, and not all machines have
    /// returned since.
    over_budget: bool,
    /// The last time at which `over_budget` was true.
    last_over_budget_at: Option<f64>,
}

impl Losses {
    /// Records a fault or a recovery of this machine.
    pub(crate) fn record_fault(&mut self, node: NodeId, now: f64) {
        self.last_fault_at = now;
        self.lost_until.insert(node, now + CATCH_UP_S);
    }

    /// Records a fault or a recovery of links.
    pub(crate) fn record_network_fault(&mut self, now: f64) {
        self.last_fault_at = now;
    }

    /// Records that another machine replaces this one from now on.
    pub(crate) fn expect_successor(&mut self, node: NodeId, now: f64) {
        let starts_at = now + SUCCESSOR_START_S;
        self.successor_starts_at.insert(node, starts_at);
    }

    /// Returns whether this machine counts as lost.
    pub fn is_lost(&self, control: &ControlCluster, node: NodeId, now: f64) -> bool {
        let Some(machine) = control.machines.get(&node) else {
            return false;
        };
        if machine.removed {
            let successor = self.successor_starts_at.get(&node);
            return successor.is_none_or(|starts_at| now < starts_at + CATCH_UP_S);
        }
        let lost_until = self.lost_until.get(&node).copied().unwrap_or(0.0);
        now < lost_until || !control.is_healthy(node)
    }

    /// Returns the number of machines that count as lost.
    pub fn lost_machines(&self, control: &ControlCluster, now: f64) -> usize {
        let nodes = control.machines.keys();
        nodes
            .filter(|node| self.is_lost(control, **node, now))
            .count()
    }

    /// Returns the number of machines that are absent now, without those that have returned and are
    /// catching up.
    fn absent_machines(&self, control: &ControlCluster, now: f64) -> usize {
        let is_absent = |machine: &&ControlMachine| {
            if machine.removed {
                self.is_lost(control, machine.node, now)
            } else {
                !control.is_healthy(machine.node)
            }
        };
        control.machines.values().filter(is_absent).count()
    }

    /// Updates whether losses exceed the budget. Once they do, this state lasts until the last
    /// machine has returned.
    pub(super) fn update(&mut self, control: &ControlCluster, now: f64) {
        let goes_on = self.over_budget && self.absent_machines(control, now) > 0;
        let exceeds = self.lost_machines(control, now) > control.fault_budget;
        self.over_budget = control.is_halved() || exceeds || goes_on;
        if self.over_budget {
            self.last_over_budget_at = Some(now);
        }
    }

    /// Returns the time since which no fault has occurred and the control machines must make
    /// progress.
    pub(super) fn calm_since(&self) -> f64 {
        // Changes need not be committed before the recovery period ends, so the limit for commits
        // is counted back from its end.
        let recovered = self
            .last_over_budget_at
            .map_or(0.0, |until| until + RECOVERY_S - COMMITTED_WITHIN_S);
        self.last_fault_at.max(recovered)
    }
}
