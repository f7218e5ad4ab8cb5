//! What must hold at every event, for machines in contact or not.

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

/// What a machine knew when it was last checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CheckedState {
    leader_term: u64,
    version: u64,
}

/// What has been seen.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// Committed states by their versions.
    committed_states: BTreeMap<u64, CommittedState>,
    /// Configurations that a leader went by as committed, by epoch.
    leaders_configs: BTreeMap<u64, Rc<[u8]>>,
    last_checked: BTreeMap<NodeId, CheckedState>,
    /// How many configuration changes were acknowledged.
    pub acknowledged_changes: u64,
}

impl Safety {
    /// There is one committed state of each version, and a machine that acts knows no older one
    /// than another has known. Returns whether a newer configuration was committed.
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
            "{now}: {node} committed another state {version}"
        );
        let newest = self.committed_states.last_key_value();
        let newest = newest.map_or(0, |(version, _)| *version);
        // A leader that was isolated may learn late that an older state had been committed; it
        // doesn't act on it.
        let controller = machine.controller.as_ref();
        let acts = controller.is_some_and(|c| c.may_act(machine.clock(now)));
        assert!(
            version >= newest || !acts,
            "{now}: {node} committed {version} after {newest}"
        );
    }

    /// All leaders go by the same configuration of an epoch.
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
                "{now}: {node} goes by another configuration {epoch}"
            );
        }
    }

    /// A router goes only by what a leader went by as committed.
    pub(super) fn check_activated(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        activated: &ActivatedConfig,
    ) {
        let (now, router, epoch) = (kernel.now(), activated.router, activated.epoch);
        kernel.trace(|| format!("router {router} goes by {epoch}"));
        kernel.record(EntryKind::ConfigActive, &[router as u64, epoch]);
        kernel.digest.bytes(&activated.text);
        self.check_leaders_configs(control, now);
        let known = self.leaders_configs.get(&epoch);
        assert!(
            known.is_some_and(|known| **known == *activated.text),
            "{now}: router {router} goes by {epoch}, which was not committed"
        );
    }
}

/// Routers may use no more than one primary.
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

/// No more than one control machine may act.
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
