//! All control machines: starts and ends their processes and calls their controllers.

use super::disk::Disk;
use super::machine::ControlMachine;
use super::network::PeerNetwork;
use super::timing::timing;
use crate::event::{ControlEvent, Process};
use crate::health::Health;
use crate::kernel::Kernel;
use badgerstream_control::{Controller, FOUNDING_INCARNATION, NodeId, Output, State};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// The exclusive upper bound of the random part of disk and process incarnations.
const INCARNATION_BOUND: u64 = 1 << 40;

/// All control machines, and the network between them.
#[derive(Clone)]
pub struct ControlCluster {
    /// The machines, including those that were replaced.
    pub machines: BTreeMap<NodeId, ControlMachine>,
    /// The control machines that the settings name.
    pub seed_nodes: Vec<NodeId>,
    /// The maximum number of control machines that may be lost at the same time.
    pub fault_budget: usize,
    /// Connections between control machines.
    pub network: PeerNetwork,
    /// Control machines that are isolated from the others in at least one direction.
    pub(super) isolated: BTreeSet<NodeId>,
    /// Whether the control machines are partitioned into two halves.
    pub(super) halved: bool,
    /// The newest connection on which each receiver has accepted a message from each sender; the
    /// keys are pairs of receiver and sender.
    pub(super) newest_connections: HashMap<(NodeId, NodeId), u64>,
    /// Control machines that can't reach any server.
    pub partitioned_from_servers: HashSet<NodeId>,
}

impl ControlCluster {
    /// Creates a cluster without machines. The settings name the first three of the `machines` that
    /// the caller will add.
    pub(crate) fn new(machines: u32, fault_budget: usize) -> ControlCluster {
        ControlCluster {
            machines: BTreeMap::new(),
            seed_nodes: (1..=machines.min(3)).collect(),
            fault_budget,
            network: PeerNetwork::default(),
            isolated: BTreeSet::new(),
            halved: false,
            newest_connections: HashMap::new(),
            partitioned_from_servers: HashSet::new(),
        }
    }

    /// Adds a machine of the founding voter set, with an empty disk, without starting it.
    pub(crate) fn add_founding_machine(&mut self, node: NodeId) {
        let machine = ControlMachine::new(node, FOUNDING_INCARNATION, &self.seed_nodes);
        self.machines.insert(node, machine);
    }

    /// Adds a machine with an empty disk, without starting it.
    pub(crate) fn add_machine(&mut self, kernel: &mut Kernel, node: NodeId) {
        let incarnation = draw_disk_incarnation(kernel);
        let machine = ControlMachine::new(node, incarnation, &self.seed_nodes);
        self.machines.insert(node, machine);
    }

    pub(crate) fn machine_mut(&mut self, node: NodeId) -> &mut ControlMachine {
        self.machines.get_mut(&node).expect("the machine exists")
    }

    /// Starts the machine's process from the state on its disk.
    pub(crate) fn start(&mut self, kernel: &mut Kernel, node: NodeId) {
        let incarnation = 1 + kernel.random.below(INCARNATION_BOUND);
        let stale_seed_nodes = self.stale_seed_nodes(kernel, node);
        let fault_budget = self.fault_budget;
        let is_founding_seed = self.seed_nodes.contains(&node);
        let machine = self.machine_mut(node);
        if machine.process_incarnation > 0 || !is_founding_seed {
            machine.seed_nodes = stale_seed_nodes;
        }
        machine.process_incarnation = incarnation;
        machine.health = Health::Up;
        machine.frozen = false;
        machine.shutting_down = false;
        machine.pending_write = None;
        machine.inbox.clear();
        let clock = machine.clock(kernel.now());
        let voter = machine.voter();
        let hard_state = machine.disk.hard_state.clone();
        let mut controller = Controller::new(voter, hard_state, clock, incarnation, timing());
        controller.set_seeds_and_budget(machine.seed_nodes.clone(), fault_budget);
        controller.restore_members(clock, machine.disk.members.clone(), 0.0);
        machine.controller = Some(controller);
        kernel.schedule(0.0, ControlEvent::Tick(Process { node, incarnation }));
        kernel.trace(|| format!("control {node} starts as {voter}"));
    }

    /// Draws the seed nodes of an outdated list, with up to three entries. One of them may be a
    /// machine that was removed, but never all.
    fn stale_seed_nodes(&mut self, kernel: &mut Kernel, of: NodeId) -> Vec<NodeId> {
        let others = self
            .machines
            .values()
            .filter(|machine| !machine.removed && machine.node != of);
        let others: Vec<NodeId> = others.map(|machine| machine.node).collect();
        let removed = self.machines.values().filter(|machine| machine.removed);
        let removed: Vec<NodeId> = removed.map(|machine| machine.node).collect();
        let random = &mut kernel.random;
        let mut seed_nodes: Vec<NodeId> = (0..2).filter_map(|_| random.pick(&others)).collect();
        seed_nodes.extend(random.pick(&removed).or(random.pick(&others)));
        seed_nodes
    }

    /// Ends the process and interrupts a write that is in progress. Other machines must open new
    /// connections to it.
    pub(crate) fn end_process(&mut self, kernel: &mut Kernel, node: NodeId, health: Health) {
        let machine = self.machine_mut(node);
        machine.controller = None;
        if let Some(write) = machine.pending_write.take() {
            machine
                .disk
                .interrupt_write(write.hard_state, &mut kernel.random);
        }
        machine.health = health;
        machine.frozen = false;
        machine.inbox.clear();
        for other in self.nodes_except(node) {
            self.network.reset(other, node);
        }
    }

    /// Replaces the disk by an empty one, and resets the machine's settings to the founding seed
    /// nodes.
    pub(crate) fn replace_disk(&mut self, kernel: &mut Kernel, node: NodeId) {
        kernel.trace(|| format!("control {node} loses its disk"));
        let incarnation = draw_disk_incarnation(kernel);
        let seed_nodes = self.seed_nodes.clone();
        let machine = self.machine_mut(node);
        machine.disk = Disk::empty(incarnation, &seed_nodes);
        machine.seed_nodes = seed_nodes;
    }

    pub(super) fn nodes_except(&self, node: NodeId) -> Vec<NodeId> {
        let nodes = self.machines.keys().copied();
        nodes.filter(|other| *other != node).collect()
    }

    /// Calls the machine's controller and returns its outputs; `None` if the process isn't running.
    pub(crate) fn decide(
        &mut self,
        node: NodeId,
        now: f64,
        decision: impl FnOnce(&mut Controller, f64) -> Vec<Output>,
    ) -> Option<Vec<Output>> {
        let machine = self.machines.get_mut(&node)?;
        let clock = machine.clock(now);
        let controller = machine.controller.as_mut()?;
        Some(decision(controller, clock))
    }

    /// Returns the event if its addressee can handle it now. If the addressee is stalled, the event
    /// is queued in its inbox; if it isn't running, the event is dropped.
    pub(crate) fn admit(&mut self, event: ControlEvent) -> Option<ControlEvent> {
        let Some(addressee) = event.addressee() else {
            return Some(event);
        };
        let machine = self.machines.get_mut(&addressee.node())?;
        if machine.controller.is_none() || !addressee.accepts(machine.process_incarnation) {
            return None;
        }
        if machine.is_stalled() {
            machine.inbox.push(event);
            return None;
        }
        Some(event)
    }

    /// Removes and returns the events in the process's inbox; none while the process is stalled.
    pub(crate) fn take_inbox(&mut self, node: NodeId) -> Vec<ControlEvent> {
        let machine = self.machine_mut(node);
        if machine.is_stalled() {
            return Vec::new();
        }
        std::mem::take(&mut machine.inbox)
    }

    /// Returns the machine that is the leader and may act.
    pub fn leader(&self, now: f64) -> Option<NodeId> {
        let acts = |machine: &ControlMachine| {
            let controller = machine.controller.as_ref().filter(|_| !machine.frozen)?;
            let may_act = controller.may_act(machine.clock(now));
            may_act.then_some(machine.node)
        };
        self.machines.values().find_map(acts)
    }

    /// Returns the failover phase of the service according to the leader, as named in its status.
    pub fn phase(&self, now: f64) -> &'static str {
        let controller = self
            .leader(now)
            .and_then(|leader| self.machines[&leader].controller.as_ref());
        let Some(controller) = controller else {
            return "none";
        };
        controller
            .primaries()
            .first()
            .map_or("unknown", |primary| primary.phase)
    }

    /// Returns whether this machine is running, not isolated, and writes to its disk at normal
    /// speed.
    pub fn is_healthy(&self, node: NodeId) -> bool {
        let Some(machine) = self.machines.get(&node) else {
            return false;
        };
        let runs = machine.controller.is_some() && !machine.shutting_down && !machine.frozen;
        runs && machine.disk.health.is_healthy() && !self.isolated.contains(&node)
    }

    /// Returns the newest state that any running machine knows to be committed.
    pub(crate) fn newest_committed_state(&self) -> Option<Rc<State>> {
        let committed = |machine: &ControlMachine| {
            let consensus = machine.controller.as_ref()?.consensus();
            consensus.committed_state().cloned()
        };
        self.machines
            .values()
            .filter_map(committed)
            .max_by_key(|state| state.version)
    }

    /// Returns whether the committed voter set consists of all machines that were not removed, each
    /// with its current disk.
    pub fn all_machines_vote(&self) -> bool {
        let Some(state) = self.newest_committed_state() else {
            return false;
        };
        let votes_as_it_should =
            |machine: &ControlMachine| state.voters.contains(machine.voter()) != machine.removed;
        !state.voters.is_joint() && self.machines.values().all(votes_as_it_should)
    }

    /// Draws a machine that is running, not stalled, and reachable by servers.
    pub(crate) fn random_reachable_machine(&self, kernel: &mut Kernel) -> Option<NodeId> {
        let is_reachable = |machine: &&ControlMachine| {
            machine.controller.is_some()
                && !machine.is_stalled()
                && !self.partitioned_from_servers.contains(&machine.node)
        };
        let reachable = self.machines.values().filter(is_reachable);
        let reachable: Vec<NodeId> = reachable.map(|machine| machine.node).collect();
        kernel.random.pick(&reachable)
    }
}

fn draw_disk_incarnation(kernel: &mut Kernel) -> u64 {
    FOUNDING_INCARNATION + 1 + kernel.random.below(INCARNATION_BOUND)
}
