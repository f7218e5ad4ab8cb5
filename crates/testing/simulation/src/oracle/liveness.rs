//! With the fault budget kept and nothing happening, control serves, commits, and routers follow.

use super::losses::{CATCH_UP_S, Losses};
use crate::control::{ControlCluster, ControlMachine};
use crate::edge::Edge;
use crate::operators::ConfigChange;

/// How often liveness is checked, in seconds.
pub(crate) const CHECK_INTERVAL_S: f64 = 0.2;

/// With the budget kept and nothing happening, a read or a change is served within so many seconds.
pub const SERVED_WITHIN_S: f64 = 3.0;

/// With the budget kept and nothing happening, a change is committed within so many seconds.
pub const COMMITTED_WITHIN_S: f64 = 6.0;

/// What was acknowledged so many seconds ago is active on every router.
const ACTIVE_WITHIN_S: f64 = 3.0;

/// When control last did its work. All times are seconds of simulated time.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    last_served_at: f64,
    last_config_change_at: f64,
}

impl Liveness {
    /// A read or a change was answered with success.
    pub(super) fn served(&mut self, now: f64) {
        self.last_served_at = now;
    }

    /// A newer configuration was committed.
    pub(super) fn config_changed(&mut self, now: f64) {
        self.last_config_change_at = now;
    }

    /// Called with the fault budget kept.
    ///
    /// # Panics
    ///
    /// If control hasn't done its work in time.
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

/// What was acknowledged a while ago is active on every router.
fn check_active_configs(edge: &Edge, changes: &[ConfigChange], now: f64) {
    let due = changes
        .iter()
        .filter(|change| change.acknowledged_at < now - ACTIVE_WITHIN_S);
    let newest = due.map(|change| change.epoch).max().unwrap_or(0);
    for router in edge.routers.iter().filter(|router| !router.frozen) {
        let (name, active) = (&router.name, router.active_config_epoch);
        assert!(
            active >= newest,
            "{now}: {name} goes by {active}, not {newest}"
        );
    }
}

/// A machine that has been healthy for long enough is a voter.
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
            "{now}: {voter} is back for {CATCH_UP_S} s and doesn't vote: {voters:?}"
        );
    }
}

/// The state of all machines, for messages.
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
