//! Checks that the control machines serve requests and commit changes, and that routers activate
//! them, while losses are within the fault budget and no faults occur.

use super::losses::{CATCH_UP_S, Losses};
use crate::control::{ControlCluster, ControlMachine};
use crate::edge::Edge;
use crate::operators::ConfigChange;

/// The interval between liveness checks, in seconds.
pub(crate) const CHECK_INTERVAL_S: f64 = 0.2;

/// The maximum time without a successful read or change, in seconds, while losses are within the
/// budget and no faults occur.
pub const SERVED_WITHIN_S: f64 = 3.0;

/// The maximum time without a committed change, in seconds, while losses are within the budget and
/// no faults occur.
pub const COMMITTED_WITHIN_S: f64 = 6.0;

/// The maximum time from the acknowledgement of a change until it is active on every router, in
/// seconds.
const ACTIVE_WITHIN_S: f64 = 3.0;

/// The last progress of the control machines. All times are seconds of simulated time.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    last_served_at: f64,
    last_config_change_at: f64,
}

impl Liveness {
    /// Records that a read or a change succeeded.
    pub(super) fn served(&mut self, now: f64) {
        self.last_served_at = now;
    }

    /// Records that a newer configuration was committed.
    pub(super) fn config_changed(&mut self, now: f64) {
        self.last_config_change_at = now;
    }

    /// Checks progress. Called only while losses are within the fault budget.
    ///
    /// # Panics
    ///
    /// If the control machines or the routers have not made progress in time.
    pub(super) fn check(
        &self,
        losses: &Losses,
        control: &ControlCluster,
        edge: &Edge,
        changes: &[ConfigChange],
        now: f64,
    ) {
        let calm_since = losses.calm_since();
        let calm_s = now - calm_since;
        if calm_s < SERVED_WITHIN_S {
            return;
        }
        let unserved_s = now - self.last_served_at.max(calm_since);
        let unchanged_s = now - self.last_config_change_at.max(calm_since);
        assert!(
            unserved_s < SERVED_WITHIN_S && unchanged_s < COMMITTED_WITHIN_S,
            "{now}: nothing served for {unserved_s:.1} s, nothing committed for \
             {unchanged_s:.1} s, {} of {} lost: {}",
            losses.lost_machines(control, now),
            control.machines.len(),
            describe(control, losses, now)
        );
        check_active_configs(edge, changes, now);
        if calm_s > CATCH_UP_S {
            check_voters(losses, control, now);
        }
    }
}

/// Checks that every change acknowledged more than [`ACTIVE_WITHIN_S`] ago is active on every
/// router, or was replaced by a newer one.
fn check_active_configs(edge: &Edge, changes: &[ConfigChange], now: f64) {
    let due = changes
        .iter()
        .filter(|change| change.acknowledged_at < now - ACTIVE_WITHIN_S);
    let newest = due.map(|change| change.epoch).max().unwrap_or(0);
    for router in edge.routers.iter().filter(|router| !router.frozen) {
        let (name, active) = (&router.name, router.active_config_epoch);
        assert!(
            active >= newest,
            "{now}: router {name} has epoch {active} active, but epoch {newest} was acknowledged \
             more than {ACTIVE_WITHIN_S} s ago"
        );
    }
}

/// Checks that every machine that has been healthy for long enough is a voter.
fn check_voters(losses: &Losses, control: &ControlCluster, now: f64) {
    let Some(leader) = control.leader(now) else {
        return;
    };
    let Some(controller) = &control.machines[&leader].controller else {
        return;
    };
    let voters = controller.consensus().voters();
    for machine in control.machines.values() {
        let node = machine.node;
        let is_back =
            !machine.removed && control.is_healthy(node) && !losses.is_lost(control, node, now);
        let voter = machine.voter();
        assert!(
            !is_back || voters.contains(&voter),
            "{now}: {voter} has been healthy for {CATCH_UP_S} s, but isn't among the voters \
             {voters:?}"
        );
    }
}

/// Describes the state of all machines for failure messages.
pub(crate) fn describe(control: &ControlCluster, losses: &Losses, now: f64) -> String {
    let describe_one = |machine: &ControlMachine| {
        let is_lost = losses.is_lost(control, machine.node, now);
        describe_machine(machine, if is_lost { " lost" } else { "" })
    };
    let machines: Vec<String> = control.machines.values().map(describe_one).collect();
    machines.join("\n  ")
}

fn describe_machine(machine: &ControlMachine, lost: &str) -> String {
    let node = machine.node;
    let Some(controller) = &machine.controller else {
        return format!("{node}: down{lost}");
    };
    let consensus = controller.consensus();
    let voters: Vec<_> = consensus.voters().iter().map(|v| v.node).collect();
    format!(
        "{node}/{:x}: voters {voters:?} leader {:?} version {} voted {:x} stalled {} disk {:?} \
         failed {}{lost}",
        machine.disk.incarnation,
        controller.leader(),
        consensus.hard_state().state.version,
        consensus.hard_state().voted_term.0,
        machine.is_stalled(),
        machine.disk.health,
        consensus.disk_failed(),
    )
}
