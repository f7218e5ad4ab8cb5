//! Which control machines count as lost, and whether the fault budget is kept.

use super::liveness::COMMITTED_WITHIN_S;
use crate::control::{ControlCluster, ControlMachine};
use badgerstream_control::NodeId;
use std::collections::BTreeMap;

/// A machine counts as lost for so many seconds after it is back.
pub const CATCH_UP_S: f64 = 4.0;

/// After more machines were lost than the budget allows, or a partition into halves, control serves
/// again within so many seconds of the return of the last.
pub const RECOVERY_S: f64 = 12.0;

/// The successor of a removed machine starts within so many seconds.
const SUCCESSOR_START_S: f64 = 3.0;

/// What is known of losses. All times are seconds of simulated time.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// When something last happened to a machine or a link.
    last_fault_at: f64,
    /// Until when a machine counts as lost since the last fault at it.
    lost_until: BTreeMap<NodeId, f64>,
    /// When the successor of a removed machine has started.
    successor_starts_at: BTreeMap<NodeId, f64>,
    /// More machines were lost than the budget allows, or halves partitioned, and not all are back.
    over_budget: bool,
    /// When that last was so.
    last_over_budget_at: Option<f64>,
}

impl Losses {
    /// Something happens to this machine.
    pub(crate) fn record_fault(&mut self, node: NodeId, now: f64) {
        self.last_fault_at = now;
        self.lost_until.insert(node, now + CATCH_UP_S);
    }

    /// Something happens to links.
    pub(crate) fn record_network_fault(&mut self, now: f64) {
        self.last_fault_at = now;
    }

    /// Another machine takes the place of this one, from now on.
    pub(crate) fn expect_successor(&mut self, node: NodeId, now: f64) {
        let starts_at = now + SUCCESSOR_START_S;
        self.successor_starts_at.insert(node, starts_at);
    }

    /// Whether this machine counts as lost.
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

    /// How many machines count as lost.
    pub fn lost_machines(&self, control: &ControlCluster, now: f64) -> usize {
        let nodes = control.machines.keys();
        nodes
            .filter(|node| self.is_lost(control, **node, now))
            .count()
    }

    /// How many machines are away now, without those that are back and catch up.
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

    /// Notes whether more is lost than the budget allows. Once it was, that ends with the return of
    /// the last machine.
    pub(super) fn update(&mut self, control: &ControlCluster, now: f64) {
        let goes_on = self.over_budget && self.absent_machines(control, now) > 0;
        let exceeds = self.lost_machines(control, now) > control.fault_budget;
        self.over_budget = control.is_halved() || exceeds || goes_on;
        if self.over_budget {
            self.last_over_budget_at = Some(now);
        }
    }

    /// Since when nothing has happened and control must do its work.
    pub(super) fn calm_since(&self) -> f64 {
        // Service may rest until the end of the recovery, and is there from then on.
        let recovered = self
            .last_over_budget_at
            .map_or(0.0, |until| until + RECOVERY_S - COMMITTED_WITHIN_S);
        self.last_fault_at.max(recovered)
    }
}
