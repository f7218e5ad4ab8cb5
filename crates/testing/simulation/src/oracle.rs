//! What must hold. Safety at every event: one machine acts, one history of states, one outcome for an order, no read that
//! is older than what was acknowledged. Liveness whenever no more machines are lost than the budget allows.

use crate::digest::note;
use crate::disk::DiskHealth;
use crate::machine::Machine;
use crate::operators::{Outcome, epoch_of};
use crate::world::World;
use badgerstream_control::{Digest, NodeId, Voter};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A machine counts as lost for so many seconds after it is back.
pub const CATCH_UP: f64 = 4.0;
/// With the budget kept and nothing happening, control serves a read or an order within so many seconds.
pub const SERVED_WITHIN: f64 = 3.0;
/// With the budget kept and nothing happening, it agrees on a change within so many seconds.
pub const AGREED_WITHIN: f64 = 6.0;
/// After more machines were lost than the budget allows, or a cut into halves, control serves again within so many seconds of the
/// return of the last.
pub const RECOVERY: f64 = 12.0;
/// What was acknowledged so many seconds ago is in force on every router.
const IN_FORCE_WITHIN: f64 = 3.0;
/// A save that takes longer, in seconds, is a disk in trouble.
const SLOW_SAVE: f64 = 0.02;

/// What has been seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// States that were agreed on, by number.
    agreed: BTreeMap<u64, (Digest, u64)>,
    /// Configurations that a leader went by as agreed on, by epoch.
    configs: BTreeMap<u64, Rc<[u8]>>,
    /// The newest state of each machine that was looked at.
    looked_at: BTreeMap<NodeId, (u64, u64)>,
    /// When something last happened to a machine or a link.
    pub(crate) event: f64,
    /// More machines were lost than the budget allows, or halves cut from each other, and not all are back.
    overrun: bool,
    /// When that last was so.
    beyond: Option<f64>,
    /// When a read or an order was last answered.
    served: f64,
    /// When a change of the configuration was last agreed on.
    changed: f64,
    /// How many orders were acknowledged.
    pub acknowledgements: u64,
    /// Machines that are gone for good, and when their successor started.
    pub(crate) successors: BTreeMap<NodeId, Option<f64>>,
}

impl World {
    /// Something happens to this machine.
    pub(crate) fn trouble(&mut self, node: NodeId) {
        self.seen.event = self.now;
        if let Some(machine) = self.controls.get_mut(&node) {
            machine.trouble_until = self.now + CATCH_UP;
        }
    }

    /// Whether this machine counts as lost.
    pub fn is_lost(&self, node: NodeId) -> bool {
        let Some(machine) = self.controls.get(&node) else {
            return false;
        };
        if machine.removed {
            let since = self.seen.successors.get(&node).copied().flatten();
            return since.is_none_or(|since| self.now < since + CATCH_UP);
        }
        self.now < machine.trouble_until || !self.is_well(node)
    }

    /// Whether this machine runs, hears the others and can save.
    pub fn is_well(&self, node: NodeId) -> bool {
        let Some(machine) = self.controls.get(&node) else {
            return false;
        };
        let disk =
            matches!(machine.disk.health, DiskHealth::Takes(seconds) if seconds <= SLOW_SAVE);
        let cut = self.cut_off.contains(&node);
        machine.controller.is_some() && !machine.ending && !machine.frozen && disk && !cut
    }

    /// Notes whether more is lost than the budget allows. Once it was, that ends with the return of the last.
    fn note_losses(&mut self) {
        let goes_on = self.seen.overrun && self.absent() > 0;
        self.seen.overrun = self.halves || self.lost() > self.budget || goes_on;
        if self.seen.overrun {
            self.seen.beyond = Some(self.now);
        }
    }

    /// How many machines are away now, those not counted that are back and catch up.
    fn absent(&self) -> usize {
        let away = |(node, machine): &(&NodeId, &Machine)| {
            if machine.removed {
                self.is_lost(**node)
            } else {
                !self.is_well(**node)
            }
        };
        self.controls.iter().filter(away).count()
    }

    /// How many machines count as lost.
    pub fn lost(&self) -> usize {
        self.controls
            .keys()
            .filter(|node| self.is_lost(**node))
            .count()
    }

    /// Whether a leader has agreed on a set of voters in which every machine is, in the life of its disk, and none that is gone.
    pub fn all_decide(&self) -> bool {
        let agreed = |machine: &Machine| {
            machine
                .controller
                .as_ref()?
                .consensus()
                .committed_state()
                .cloned()
        };
        let newest = self
            .controls
            .values()
            .filter_map(agreed)
            .max_by_key(|state| state.version);
        newest.is_some_and(|state| {
            let decides = |(node, machine): (&NodeId, &Machine)| {
                let voter = Voter {
                    node: *node,
                    incarnation: machine.disk.incarnation,
                };
                state.voters.contains(voter) != machine.removed
            };
            !state.voters.is_joint() && self.controls.iter().all(decides)
        })
    }

    /// Checked at every event.
    pub(crate) fn check(&mut self) {
        self.check_primaries();
        let acting: Vec<NodeId> = self
            .controls
            .iter()
            .filter(|(_, m)| {
                m.controller
                    .as_ref()
                    .is_some_and(|c| c.may_act(self.now + m.offset))
            })
            .map(|(node, _)| *node)
            .collect();
        assert!(
            acting.len() < 2,
            "{}: two control machines may act at once: {acting:?}",
            self.now
        );
        self.check_agreed();
        self.note_configs();
        self.note_changes();
    }

    /// Leaders go by one configuration of an epoch.
    fn note_configs(&mut self) {
        for (node, machine) in &self.controls {
            let Some(controller) = machine.controller.as_ref().filter(|c| c.is_leader()) else {
                continue;
            };
            let (epoch, text) = controller.config();
            let known = self
                .seen
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
    pub(crate) fn judge_in_force(&mut self, router: usize, epoch: u64, text: &[u8]) {
        self.say(|| format!("router {router} goes by {epoch}"));
        self.note(note::CONFIG_IN_FORCE, &[router as u64, epoch]);
        self.run_digest.bytes(text);
        self.note_configs();
        let agreed = self
            .seen
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
            .filter_map(|router| router.primary(self.now + router.offset))
            .map(|grant| (grant.server_id.as_str(), grant.primary_term))
            .collect();
        assert!(
            usable.len() < 2,
            "{}: two primaries may be used at once: {usable:?}",
            self.now
        );
    }

    /// There is one state of each number, and epochs never go back.
    fn check_agreed(&mut self) {
        for (node, machine) in &self.controls {
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
            if self.seen.looked_at.insert(*node, (ballot, state.version))
                == Some((ballot, state.version))
            {
                continue;
            }
            let (digest, epoch) = (state.digest(), state.config_epoch);
            if self
                .seen
                .agreed
                .last_key_value()
                .is_none_or(|(_, (_, newest))| epoch > *newest)
            {
                self.seen.changed = self.now;
            }
            self.run_digest.number(note::AGREED);
            self.run_digest.time(self.now);
            for number in [u64::from(*node), ballot, state.version, epoch] {
                self.run_digest.number(number);
            }
            self.run_digest.bytes(digest.bytes());
            let other = self.seen.agreed.insert(state.version, (digest, epoch));
            assert!(
                other.is_none_or(|(other, _)| other == digest),
                "{}: {node} agreed on another state {}",
                self.now,
                state.version
            );
            let newest = self.seen.agreed.last_key_value().map_or(0, |(seq, _)| *seq);
            // A leader that was cut off may learn late that an older state had been agreed on; it acts on it no more.
            let acts = controller.may_act(self.now + machine.offset);
            assert!(
                state.version >= newest || !acts,
                "{}: {node} agreed on {} after {newest}",
                self.now,
                state.version
            );
            let refused = self.orders.iter().find(|order| {
                order.outcome == Outcome::Refused
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

    pub(crate) fn judge_confirmed(&mut self, at: usize) {
        let now = self.now;
        self.say(|| format!("order {at} is acknowledged"));
        self.note(
            note::ORDER_ACKNOWLEDGED,
            &[at as u64, self.orders[at].epoch],
        );
        assert_ne!(
            self.orders[at].outcome,
            Outcome::Refused,
            "{now}: order {at} was refused before"
        );
        let order = self.orders[at].clone();
        let rival = self.orders.iter().enumerate().find(|(other, o)| {
            *other != at
                && o.outcome == Outcome::Confirmed
                && (o.base == order.base || o.epoch == order.epoch)
        });
        assert!(
            rival.is_none(),
            "{now}: orders {at} {order:?} and {rival:?} were both acknowledged"
        );
        self.seen.served = now;
        let order = &mut self.orders[at];
        if order.outcome == Outcome::Open {
            order.outcome = Outcome::Confirmed;
            order.confirmed = now;
            self.seen.acknowledgements += 1;
        }
    }

    pub(crate) fn judge_refused(&mut self, at: usize, status: u16) {
        let now = self.now;
        self.say(|| format!("order {at} is refused with {status}"));
        let epoch = self.orders[at].epoch;
        self.note(note::ORDER_REFUSED, &[at as u64, epoch, u64::from(status)]);
        let order = &mut self.orders[at];
        assert_ne!(
            order.outcome,
            Outcome::Confirmed,
            "{now}: order {at} was acknowledged, and then {status}"
        );
        order.outcome = Outcome::Refused;
        let (epoch, body) = (order.epoch, order.body.clone());
        let newest = self.newest_config();
        assert!(
            newest.is_none_or(|(e, b)| e != epoch || b != body),
            "{now}: order {at} in force is refused"
        );
    }

    fn newest_config(&self) -> Option<(u64, Rc<[u8]>)> {
        let agreed = |machine: &Machine| {
            let state = machine.controller.as_ref()?.consensus().committed_state()?;
            Some((state.version, state.config_epoch, state.config.clone()))
        };
        let newest = self
            .controls
            .values()
            .filter_map(agreed)
            .max_by_key(|(seq, _, _)| *seq);
        newest.map(|(_, epoch, config)| (epoch, config))
    }

    /// The epoch that was read, by a call that was made at that second at the earliest.
    pub(crate) fn judge_read(&mut self, since: f64, body: &[u8]) -> u64 {
        self.seen.served = self.now;
        let epoch = epoch_of(body);
        self.note(note::CONFIG_READ, &[epoch]);
        let before = self.orders.iter().filter(|order| order.confirmed < since);
        let newest = before.map(|order| order.epoch).max().unwrap_or(0);
        assert!(
            epoch >= newest,
            "{}: {epoch} is read, {newest} was acknowledged before",
            self.now
        );
        let known = epoch == 0 || self.orders.iter().any(|order| *order.body == *body);
        assert!(known, "{}: what is read was never sent", self.now);
        let refused = self
            .orders
            .iter()
            .find(|o| o.outcome == Outcome::Refused && *o.body == *body);
        assert!(
            refused.is_none(),
            "{}: a refused order is read: {refused:?}",
            self.now
        );
        epoch
    }

    /// Called now and then: with the budget kept, control does its work.
    pub(crate) fn check_liveness(&mut self) {
        self.note_losses();
        // Service may rest until the end of the recovery, and is there from then on.
        let recovered = self
            .seen
            .beyond
            .map_or(0.0, |until| until + RECOVERY - AGREED_WITHIN);
        let calm_from = self.seen.event.max(recovered);
        let since = self.now - calm_from;
        if self.operators.is_empty() || self.lost() > self.budget || since < SERVED_WITHIN {
            return;
        }
        let unserved = self.now - self.seen.served.max(calm_from);
        let unchanged = self.now - self.seen.changed.max(calm_from);
        assert!(
            unserved < SERVED_WITHIN && unchanged < AGREED_WITHIN,
            "{}: nothing served for {unserved:.1} s, nothing agreed on for {unchanged:.1} s, {} of {} lost: {}",
            self.now,
            self.lost(),
            self.controls.len(),
            self.describe()
        );
        self.check_in_force();
        if since > CATCH_UP {
            self.check_voters();
        }
    }

    /// What was acknowledged a while ago is in force on every router.
    fn check_in_force(&self) {
        let due = self
            .orders
            .iter()
            .filter(|order| order.confirmed < self.now - IN_FORCE_WITHIN);
        let newest = due.map(|order| order.epoch).max().unwrap_or(0);
        for router in self.routers.iter().filter(|router| !router.frozen) {
            let (name, in_force) = (&router.name, router.in_force);
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
        let Some(controller) = &self.controls[&leader].controller else {
            return;
        };
        let voters = controller.consensus().voters();
        for (node, machine) in &self.controls {
            let voter = Voter {
                node: *node,
                incarnation: machine.disk.incarnation,
            };
            let well = !machine.removed && self.is_well(*node) && !self.is_lost(*node);
            assert!(
                !well || voters.contains(&voter),
                "{}: {voter} is back for {CATCH_UP} s and decides nothing: {voters:?}",
                self.now
            );
        }
    }

    /// How the machines stand, for messages.
    pub fn describe(&self) -> String {
        let one = |(node, machine): (&NodeId, &Machine)| {
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
                machine.stands_still(),
                machine.disk.health,
                consensus.disk_failed(),
            )
        };
        let all: Vec<String> = self.controls.iter().map(one).collect();
        all.join("\n  ")
    }
}
