//! The oracle: what must hold in every run, whatever faults there are.
//!
//! - [`safety`]: at every event. One machine acts, there is one history of committed states, a
//!   configuration change has one outcome, and no read is older than what was acknowledged.
//! - [`liveness`]: with the fault budget kept, control does its work.
//! - [`losses`]: which machines count as lost, and whether the budget is kept.
//!
//! It only looks at the parts; a violation ends the run by a panic that names the second.

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

/// Everything that is checked, and what was seen so far.
#[derive(Clone, Default)]
pub struct Oracle {
    /// Which machines count as lost.
    pub losses: Losses,
    /// What must hold at every event.
    pub safety: Safety,
    /// What must go on.
    pub liveness: Liveness,
}

impl Oracle {
    /// Checks what must hold at every event.
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

    /// A router goes by this configuration from now on.
    pub(crate) fn config_activated(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        activated: &ActivatedConfig,
    ) {
        self.safety.check_activated(kernel, control, activated);
    }

    /// An operator has a clear response.
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

    /// Checks that control does its work; called now and then.
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
