//! What must hold. Safety at every event: one machine acts, one history of states, one outcome for an order, no read that
//! is older than what was acknowledged. Liveness whenever no more machines are lost than the budget allows.

use crate::control_machine::ControlMachine;
use crate::digest::note;
use crate::disk::DiskHealth;
use crate::operators::{ChangeOutcome, epoch_of};
use crate::simulation::Simulation;
use badgerstream_control::{Digest, NodeId, Voter};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A machine counts as lost for so many seconds after it is back.
pub const CATCH_UP_S: f64 = 4.0;
/// With the budget kept and nothing happening, control serves a read or an order within so many seconds.
pub const SERVED_WITHIN_S: f64 = 3.0;
/// With the budget kept and nothing happening, it agrees on a change within so many seconds.
pub const COMMITTED_WITHIN_S: f64 = 6.0;
/// After more machines were lost than the budget allows, or a cut into halves, control serves again within so many seconds of the
/// return of the last.
pub const RECOVERY_S: f64 = 12.0;
/// What was acknowledged so many seconds ago is in force on every router.
const FOLLOWED_WITHIN_S: f64 = 3.0;
/// A save that takes longer, in seconds, is a disk in trouble.
const SLOW_WRITE_S: f64 = 0.02;

/// What has been seen.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// States that were agreed on, by number.
    committed_states: BTreeMap<u64, (Digest, u64)>,
    /// Configurations that a leader went by as agreed on, by epoch.
    configs: BTreeMap<u64, Rc<[u8]>>,
    /// The newest state of each machine that was looked at.
    last_checked: BTreeMap<NodeId, (u64, u64)>,
    /// When something last happened to a machine or a link.
    pub(crate) last_fault_at: f64,
    /// More machines were lost than the budget allows, or halves cut from each other, and not all are back.
    over_budget: bool,
    /// When that last was so.
    last_over_budget_at: Option<f64>,
    /// When a read or an order was last answered.
    last_served_at: f64,
    /// When a change of the configuration was last agreed on.
    last_config_change_at: f64,
    /// How many orders were acknowledged.
    pub acknowledged_changes: u64,
    /// Machines that are gone for good, and when their successor started.
    pub(crate) successors: BTreeMap<NodeId, Option<f64>>,
}

impl Simulation {
    /// Something happens to this machine.
    pub(crate) fn record_fault(&mut self, node: NodeId) {
        self.oracle.last_fault_at = self.now;
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.lost_until = self.now + CATCH_UP_S;
        }
    }

    /// Whether this machine counts as lost.
    pub fn is_lost(&self, node: NodeId) -> bool {
        let Some(machine) = self.machines.get(&node) else {
            return false;
        };
        if machine.removed {
            let since = self.oracle.successors.get(&node).copied().flatten();
            return since.is_none_or(|since| self.now < since + CATCH_UP_S);
        }
        self.now < machine.lost_until || !self.is_healthy(node)
    }

    /// Whether this machine runs, hears the others and can save.
    pub fn is_healthy(&self, node: NodeId) -> bool {
        let Some(machine) = self.machines.get(&node) else {
            return false;
        };
        let disk = matches!(machine.disk.health, DiskHealth::WriteLatency(seconds) if seconds <= SLOW_WRITE_S);
        let cut = self.isolated.contains(&node);
        machine.controller.is_some() && !machine.shutting_down && !machine.frozen && disk && !cut
    }

    /// Notes whether more is lost than the budget allows. Once it was, that ends with the return of the last.
    fn update_budget_state(&mut self) {
        let goes_on = self.oracle.over_budget && self.absent_machines() > 0;
        self.oracle.over_budget =
            self.halved || self.lost_machines() > self.fault_budget || goes_on;
        if self.oracle.over_budget {
            self.oracle.last_over_budget_at = Some(self.now);
        }
    }

    /// How many machines are away now, those not counted that are back and catch up.
    fn absent_machines(&self) -> usize {
        let away = |(node, machine): &(&NodeId, &ControlMachine)| {
            if machine.removed {
                self.is_lost(**node)
            } else {
                !self.is_healthy(**node)
            }
        };
        self.machines.iter().filter(away).count()
    }

    /// How many machines count as lost.
    pub fn lost_machines(&self) -> usize {
        self.machines
            .keys()
            .filter(|node| self.is_lost(**node))
            .count()
    }

    /// Whether a leader has agreed on a set of voters in which every machine is, in the life of its disk, and none that is gone.
    pub fn all_machines_vote(&self) -> bool {
        let agreed = |machine: &ControlMachine| {
            machine
                .controller
                .as_ref()?
                .consensus()
                .committed_state()
                .cloned()
        };
        let newest = self
            .machines
            .values()
            .filter_map(agreed)
            .max_by_key(|state| state.version);
        newest.is_some_and(|state| {
            let decides = |(node, machine): (&NodeId, &ControlMachine)| {
                let voter = Voter {
                    node: *node,
                    incarnation: machine.disk.incarnation,
                };
                state.voters.contains(voter) != machine.removed
            };
            !state.voters.is_joint() && self.machines.iter().all(decides)
        })
    }

    /// Checked at every event.
    pub(crate) fn check_safety(&mut self) {
        self.check_primaries();
        let acting: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.controller
                    .as_ref()
                    .is_some_and(|c| c.may_act(self.now + m.clock_offset))
            })
            .map(|(node, _)| *node)
            .collect();
        assert!(
            acting.len() < 2,
            "{}: two control machines may act at once: {acting:?}",
            self.now
        );
        self.check_committed_states();
        self.check_configs();
        self.record_changes();
    }

    /// Leaders go by one configuration of an epoch.
    fn check_configs(&mut self) {
        for (node, machine) in &self.machines {
            let Some(controller) = machine.controller.as_ref().filter(|c| c.is_leader()) else {
                continue;
            };
            let (epoch, text) = controller.config();
            let known = self
                .oracle
                .configs
                .entry(epoch)
                .or_insert_with(|| Rc::from(text));
            assert!(
                **known == *text,
                "{}: {node} goes by another configuration {epoch}",
                self.now
            );
        }
    }

    /// A router goes by a configuration from now on.
    pub(crate) fn check_active_config(&mut self, router: usize, epoch: u64, text: &[u8]) {
        self.trace(|| format!("router {router} goes by {epoch}"));
        self.record(note::CONFIG_IN_FORCE, &[router as u64, epoch]);
        self.run_digest.bytes(text);
        self.check_configs();
        let agreed = self
            .oracle
            .configs
            .get(&epoch)
            .is_some_and(|known| **known == *text);
        assert!(
            agreed,
            "{}: router {router} goes by {epoch}, which was not agreed on",
            self.now
        );
    }

    fn check_primaries(&self) {
        let usable: std::collections::HashSet<(&str, u64)> = self
            .routers
            .iter()
            .filter_map(|router| router.usable_primary(self.now + router.clock_offset))
            .map(|grant| (grant.server_id.as_str(), grant.primary_term))
            .collect();
        assert!(
            usable.len() < 2,
            "{}: two primaries may be used at once: {usable:?}",
            self.now
        );
    }

    /// There is one state of each number, and epochs never go back.
    fn check_committed_states(&mut self) {
        for (node, machine) in &self.machines {
            let Some(controller) = &machine.controller else {
                continue;
            };
            let Some(state) = controller.consensus().committed_state() else {
                continue;
            };
            let ballot = controller
                .consensus()
                .leader_term()
                .map_or(0, |ballot| ballot.0);
            if self
                .oracle
                .last_checked
                .insert(*node, (ballot, state.version))
                == Some((ballot, state.version))
            {
                continue;
            }
            let (digest, epoch) = (state.digest(), state.config_epoch);
            if self
                .oracle
                .committed_states
                .last_key_value()
                .is_none_or(|(_, (_, newest))| epoch > *newest)
            {
                self.oracle.last_config_change_at = self.now;
            }
            self.run_digest.number(note::AGREED);
            self.run_digest.time(self.now);
            for number in [u64::from(*node), ballot, state.version, epoch] {
                self.run_digest.number(number);
            }
            self.run_digest.bytes(digest.bytes());
            let other = self
                .oracle
                .committed_states
                .insert(state.version, (digest, epoch));
            assert!(
                other.is_none_or(|(other, _)| other == digest),
                "{}: {node} agreed on another state {}",
                self.now,
                state.version
            );
            let newest = self
                .oracle
                .committed_states
                .last_key_value()
                .map_or(0, |(seq, _)| *seq);
            // A leader that was cut off may learn late that an older state had been agreed on; it acts on it no more.
            let acts = controller.may_act(self.now + machine.clock_offset);
            assert!(
                state.version >= newest || !acts,
                "{}: {node} agreed on {} after {newest}",
                self.now,
                state.version
            );
            let refused = self.config_changes.iter().find(|order| {
                order.outcome == ChangeOutcome::Rejected
                    && order.epoch == epoch
                    && order.body == state.config
            });
            assert!(
                refused.is_none(),
                "{}: a refused order is in force: {refused:?}",
                self.now
            );
        }
    }

    pub(crate) fn check_acknowledged(&mut self, at: usize) {
        let now = self.now;
        self.trace(|| format!("order {at} is acknowledged"));
        self.record(
            note::ORDER_ACKNOWLEDGED,
            &[at as u64, self.config_changes[at].epoch],
        );
        assert_ne!(
            self.config_changes[at].outcome,
            ChangeOutcome::Rejected,
            "{now}: order {at} was refused before"
        );
        let order = self.config_changes[at].clone();
        let rival = self.config_changes.iter().enumerate().find(|(other, o)| {
            *other != at
                && o.outcome == ChangeOutcome::Acknowledged
                && (o.base_epoch == order.base_epoch || o.epoch == order.epoch)
        });
        assert!(
            rival.is_none(),
            "{now}: orders {at} {order:?} and {rival:?} were both acknowledged"
        );
        self.oracle.last_served_at = now;
        let order = &mut self.config_changes[at];
        if order.outcome == ChangeOutcome::Pending {
            order.outcome = ChangeOutcome::Acknowledged;
            order.acknowledged_at = now;
            self.oracle.acknowledged_changes += 1;
        }
    }

    pub(crate) fn check_rejected(&mut self, at: usize, status: u16) {
        let now = self.now;
        self.trace(|| format!("order {at} is refused with {status}"));
        let epoch = self.config_changes[at].epoch;
        self.record(note::ORDER_REFUSED, &[at as u64, epoch, u64::from(status)]);
        let order = &mut self.config_changes[at];
        assert_ne!(
            order.outcome,
            ChangeOutcome::Acknowledged,
            "{now}: order {at} was acknowledged, and then {status}"
        );
        order.outcome = ChangeOutcome::Rejected;
        let (epoch, body) = (order.epoch, order.body.clone());
        let newest = self.newest_config();
        assert!(
            newest.is_none_or(|(e, b)| e != epoch || b != body),
            "{now}: order {at} in force is refused"
        );
    }

    fn newest_config(&self) -> Option<(u64, Rc<[u8]>)> {
        let agreed = |machine: &ControlMachine| {
            let state = machine.controller.as_ref()?.consensus().committed_state()?;
            Some((state.version, state.config_epoch, state.config.clone()))
        };
        let newest = self
            .machines
            .values()
            .filter_map(agreed)
            .max_by_key(|(seq, _, _)| *seq);
        newest.map(|(_, epoch, config)| (epoch, config))
    }

    /// The epoch that was read, by a call that was made at that second at the earliest.
    pub(crate) fn check_read(&mut self, since: f64, body: &[u8]) -> u64 {
        self.oracle.last_served_at = self.now;
        let epoch = epoch_of(body);
        self.record(note::CONFIG_READ, &[epoch]);
        let before = self
            .config_changes
            .iter()
            .filter(|order| order.acknowledged_at < since);
        let newest = before.map(|order| order.epoch).max().unwrap_or(0);
        assert!(
            epoch >= newest,
            "{}: {epoch} is read, {newest} was acknowledged before",
            self.now
        );
        let known = epoch == 0 || self.config_changes.iter().any(|order| *order.body == *body);
        assert!(known, "{}: what is read was never sent", self.now);
        let refused = self
            .config_changes
            .iter()
            .find(|o| o.outcome == ChangeOutcome::Rejected && *o.body == *body);
        assert!(
            refused.is_none(),
            "{}: a refused order is read: {refused:?}",
            self.now
        );
        epoch
    }

    /// Called now and then: with the budget kept, control does its work.
    pub(crate) fn check_liveness(&mut self) {
        self.update_budget_state();
        // Service may rest until the end of the recovery, and is there from then on.
        let recovered = self
            .oracle
            .last_over_budget_at
            .map_or(0.0, |until| until + RECOVERY_S - COMMITTED_WITHIN_S);
        let calm_from = self.oracle.last_fault_at.max(recovered);
        let since = self.now - calm_from;
        if self.operators.is_empty()
            || self.lost_machines() > self.fault_budget
            || since < SERVED_WITHIN_S
        {
            return;
        }
        let unserved = self.now - self.oracle.last_served_at.max(calm_from);
        let unchanged = self.now - self.oracle.last_config_change_at.max(calm_from);
        assert!(
            unserved < SERVED_WITHIN_S && unchanged < COMMITTED_WITHIN_S,
            "{}: nothing served for {unserved:.1} s, nothing agreed on for {unchanged:.1} s, {} of {} lost: {}",
            self.now,
            self.lost_machines(),
            self.machines.len(),
            self.describe()
        );
        self.check_routers_follow();
        if since > CATCH_UP_S {
            self.check_voters();
        }
    }

    /// What was acknowledged a while ago is in force on every router.
    fn check_routers_follow(&self) {
        let due = self
            .config_changes
            .iter()
            .filter(|order| order.acknowledged_at < self.now - FOLLOWED_WITHIN_S);
        let newest = due.map(|order| order.epoch).max().unwrap_or(0);
        for router in self.routers.iter().filter(|router| !router.frozen) {
            let (name, in_force) = (&router.name, router.active_config_epoch);
            assert!(
                in_force >= newest,
                "{}: {name} goes by {in_force}, not {newest}",
                self.now
            );
        }
    }

    /// Whoever is well for long enough decides, if there is a place.
    fn check_voters(&self) {
        let Some(leader) = self.leader() else { return };
        let Some(controller) = &self.machines[&leader].controller else {
            return;
        };
        let voters = controller.consensus().voters();
        for (node, machine) in &self.machines {
            let voter = Voter {
                node: *node,
                incarnation: machine.disk.incarnation,
            };
            let well = !machine.removed && self.is_healthy(*node) && !self.is_lost(*node);
            assert!(
                !well || voters.contains(&voter),
                "{}: {voter} is back for {CATCH_UP_S} s and decides nothing: {voters:?}",
                self.now
            );
        }
    }

    /// How the machines stand, for messages.
    pub fn describe(&self) -> String {
        let one = |(node, machine): (&NodeId, &ControlMachine)| {
            let lost = if self.is_lost(*node) { " lost" } else { "" };
            let Some(controller) = &machine.controller else {
                return format!("{node}: down{lost}");
            };
            let consensus = controller.consensus();
            format!(
                "{node}/{:x}: voters {:?} leader {:?} seq {} promised {:x} frozen {} disk {:?} failed {}{lost}",
                machine.disk.incarnation,
                consensus
                    .voters()
                    .iter()
                    .map(|v| v.node)
                    .collect::<Vec<_>>(),
                controller.leader(),
                consensus.hard_state().state.version,
                consensus.hard_state().voted_term.0,
                machine.is_stalled(),
                machine.disk.health,
                consensus.disk_failed(),
            )
        };
        let all: Vec<String> = self.machines.iter().map(one).collect();
        all.join("\n  ")
    }
}
