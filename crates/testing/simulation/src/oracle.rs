//! The oracle: checks the properties that must hold in every run, regardless of its faults.
//!
//! - [`safety`]: checked after every event. At most one machine acts, there is one history of
//!   committed states, a configuration change has one outcome, and no read is older than the newest
//!   acknowledged change.
//! - [`liveness`]: while losses are within the fault budget, the control machines make progress.
//! - [`losses`]: which machines count as lost, and whether losses are within the fault budget.
//!
//! The oracle never changes the components. A violation ends the run with a panic whose message
//! contains the time in simulated seconds.

mod config_changes;
pub mod liveness;
pub mod losses;
pub mod safety;

pub use liveness::{COMMITTED_WITHIN_S, Liveness, SERVED_WITHIN_S};
pub use losses::{CATCH_UP_S, Losses, RECOVERY_S};
pub use safety::Safety;

use crate::control::ControlCluster;
use crate::edge::{ActivatedConfig, Edge};
use crate::kernel::Kernel;
use crate::operators::{Observation, Operators};

/// All checks, and the observations on which they rely.
#[derive(Clone, Default)]
pub struct Oracle {
    /// Tracks which machines count as lost.
    pub losses: Losses,
    /// The safety checks, made after every event.
    pub safety: Safety,
    /// The liveness checks, made periodically.
    pub liveness: Liveness,
}

impl Oracle {
    /// Checks safety; called after every event.
    pub(crate) fn check_safety(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        edge: &Edge,
        operators: &Operators,
    ) {
        let now = kernel.now();
        safety::check_primaries(edge, now);
        safety::check_acting_machines(control, now);
        let changes = &operators.config_changes;
        if self.safety.check_committed_states(kernel, control, changes) {
            self.liveness.config_changed(now);
        }
        self.safety.check_leaders_configs(control, now);
    }

    /// Checks a configuration that a router has just activated.
    pub(crate) fn config_activated(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        activated: &ActivatedConfig,
    ) {
        self.safety.check_activated(kernel, control, activated);
    }

    /// Checks a conclusive response to an operator's request.
    pub(crate) fn response_observed(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        operators: &mut Operators,
        observation: Observation,
    ) {
        let changes = &mut operators.config_changes;
        match observation {
            Observation::Acknowledged { change } => {
                self.safety.check_acknowledged(kernel, changes, change);
                self.liveness.served(kernel.now());
            }
            Observation::Rejected { change, status } => {
                config_changes::check_rejected(kernel, control, changes, change, status);
            }
            Observation::Read { since, body } => {
                self.liveness.served(kernel.now());
                config_changes::check_read(kernel, changes, since, &body);
            }
        }
    }

    /// Checks liveness; called every [`liveness::CHECK_INTERVAL_S`] seconds.
    pub(crate) fn check_liveness(
        &mut self,
        control: &ControlCluster,
        edge: &Edge,
        operators: &Operators,
        now: f64,
    ) {
        self.losses.update(control, now);
        if operators.is_empty() || self.losses.lost_machines(control, now) > control.fault_budget {
            return;
        }
        let changes = &operators.config_changes;
        self.liveness
            .check(&self.losses, control, edge, changes, now);
    }
}
