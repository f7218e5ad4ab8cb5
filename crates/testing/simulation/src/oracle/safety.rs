//! The safety checks, made after every event, for reachable and isolated machines alike.

use super::config_changes::check_not_rejected;
use crate::control::{ControlCluster, ControlMachine};
use crate::digest::EntryKind;
use crate::edge::{ActivatedConfig, Edge};
use crate::kernel::Kernel;
use crate::operators::ConfigChange;
use badgerstream_control::{Digest, NodeId, State};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// A state that some machine knew to be committed.
#[derive(Clone, Debug)]
struct CommittedState {
    digest: Digest,
    config_epoch: u64,
}

/// The state of a machine when it was last checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CheckedState {
    leader_term: u64,
    version: u64,
}

/// The observations on which the safety checks rely.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// Committed states by their versions.
    committed_states: BTreeMap<u64, CommittedState>,
    /// Configurations that a leader used as committed, by epoch.
    leaders_configs: BTreeMap<u64, Rc<[u8]>>,
    last_checked: BTreeMap<NodeId, CheckedState>,
    /// The number of configuration changes that were acknowledged.
    pub acknowledged_changes: u64,
}

impl Safety {
    /// Checks that each version has only one committed state, and that a machine that may act knows
    /// the newest version. Returns whether a newer configuration was committed.
    pub(super) fn check_committed_states(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        changes: &[ConfigChange],
    ) -> bool {
        let mut config_changed = false;
        for machine in control.machines.values() {
            let Some(controller) = &machine.controller else {
                continue;
            };
            let Some(state) = controller.consensus().committed_state() else {
                continue;
            };
            let checked = CheckedState {
                leader_term: controller
                    .consensus()
                    .leader_term()
                    .map_or(0, |term| term.0),
                version: state.version,
            };
            if self.last_checked.insert(machine.node, checked) == Some(checked) {
                continue;
            }
            config_changed |= self.has_newer_config(state);
            let digest = state.digest();
            record_committed(kernel, machine.node, checked, state, &digest);
            self.check_history(machine, state, digest, kernel.now());
            check_not_rejected(state, changes, kernel.now());
        }
        config_changed
    }

    fn has_newer_config(&self, state: &State) -> bool {
        let newest = self.committed_states.last_key_value();
        newest.is_none_or(|(_, newest)| state.config_epoch > newest.config_epoch)
    }

    fn check_history(&mut self, machine: &ControlMachine, state: &State, digest: Digest, now: f64) {
        let (node, version) = (machine.node, state.version);
        let committed = CommittedState {
            digest,
            config_epoch: state.config_epoch,
        };
        let other = self.committed_states.insert(version, committed);
        assert!(
            other.is_none_or(|other| other.digest == digest),
            "{now}: {node} committed a state of version {version} that differs from the one \
             committed before"
        );
        let newest = self.committed_states.last_key_value();
        let newest = newest.map_or(0, |(version, _)| *version);
        // A leader that was isolated may learn late that an older state was committed, but must not
        // act on it.
        let controller = machine.controller.as_ref();
        let acts = controller.is_some_and(|c| c.may_act(machine.clock(now)));
        assert!(
            version >= newest || !acts,
            "{now}: {node} may act on committed version {version}, but version {newest} is \
             committed"
        );
    }

    /// Checks that all leaders use the same configuration for an epoch.
    pub(super) fn check_leaders_configs(&mut self, control: &ControlCluster, now: f64) {
        for machine in control.machines.values() {
            let Some(controller) = machine.leading_controller() else {
                continue;
            };
            let (epoch, text) = controller.config();
            let known = self
                .leaders_configs
                .entry(epoch)
                .or_insert_with(|| Rc::from(text));
            let node = machine.node;
            assert!(
                **known == *text,
                "{now}: leader {node} uses a configuration of epoch {epoch} that differs from the \
                 one that a leader used before"
            );
        }
    }

    /// Checks that a router activates only a configuration that a leader used as committed.
    pub(super) fn check_activated(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        activated: &ActivatedConfig,
    ) {
        let (now, router, epoch) = (kernel.now(), activated.router, activated.epoch);
        kernel.trace(|| format!("router {router} activates epoch {epoch}"));
        kernel.record(EntryKind::ConfigActive, &[router as u64, epoch]);
        kernel.digest.bytes(&activated.text);
        self.check_leaders_configs(control, now);
        let known = self.leaders_configs.get(&epoch);
        assert!(
            known.is_some_and(|known| **known == *activated.text),
            "{now}: router {router} activated epoch {epoch}, which was not committed"
        );
    }
}

/// Checks that routers may use at most one primary at a time.
pub(super) fn check_primaries(edge: &Edge, now: f64) {
    let usable: HashSet<(&str, u64)> = edge
        .routers
        .iter()
        .filter_map(|router| router.usable_primary(router.clock(now)))
        .map(|grant| (grant.server_id.as_str(), grant.primary_term))
        .collect();
    assert!(
        usable.len() < 2,
        "{now}: two primaries may be used at once: {usable:?}"
    );
}

/// Checks that at most one control machine may act.
pub(super) fn check_acting_machines(control: &ControlCluster, now: f64) {
    let may_act = |machine: &&ControlMachine| {
        let controller = machine.controller.as_ref();
        controller.is_some_and(|c| c.may_act(machine.clock(now)))
    };
    let acting = control.machines.values().filter(may_act);
    let acting: Vec<NodeId> = acting.map(|machine| machine.node).collect();
    assert!(
        acting.len() < 2,
        "{now}: two control machines may act at once: {acting:?}"
    );
}

fn record_committed(
    kernel: &mut Kernel,
    node: NodeId,
    checked: CheckedState,
    state: &State,
    digest: &Digest,
) {
    let numbers = [
        u64::from(node),
        checked.leader_term,
        checked.version,
        state.config_epoch,
    ];
    kernel.record(EntryKind::StateCommitted, &numbers);
    kernel.digest.bytes(digest.bytes());
}
