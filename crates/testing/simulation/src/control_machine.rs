//! Control machines: their processes, disks and clocks, and what their decisions ask for.

use crate::disk::{Disk, WriteOutcome};
use crate::network::PeerEnvelope;
use crate::servers::Health;
use crate::simulation::{Event, Simulation, timing};
use badgerstream_control::{
    CommandOutcome, ControlRequest, Controller, FOUNDING_INCARNATION, HardState, NodeId, Output,
    PeerMessage, Recipient, Voter,
};
use std::collections::VecDeque;

/// A machine whose disk failed opens it anew this often, in seconds.
const REOPEN_INTERVAL_S: f64 = 0.25;

/// The servers that are known are put on the disk this often, in seconds, besides what has to be there at once.
pub(crate) const PERSIST_MEMBERS_INTERVAL_S: f64 = 0.5;

/// A save under way: the process waits for its disk.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    hard_state: HardState,
    /// What is to be done behind it.
    deferred_outputs: VecDeque<Output>,
    /// The disk has done it, but the process stands still.
    completed: bool,
}

/// One control machine.
#[derive(Clone)]
pub struct ControlMachine {
    /// Its decisions; none while its process doesn't run.
    pub controller: Option<Controller>,
    /// Counts its processes.
    pub process_incarnation: u64,
    /// Its disk.
    pub disk: Disk,
    /// Whether its process runs, is gone, or its machine is without power.
    pub health: Health,
    /// Its process stands still.
    pub frozen: bool,
    /// It waits for its disk.
    pub pending_write: Option<PendingWrite>,
    /// What came meanwhile.
    inbox: Vec<Event>,
    /// When the servers were last put on the disk.
    pub(crate) members_persisted_at: f64,
    /// Its clock is ahead by so many seconds.
    pub clock_offset: f64,
    /// The control machines that its settings name.
    pub seed_nodes: Vec<NodeId>,
    /// Its process was asked to end.
    pub shutting_down: bool,
    /// It was replaced: its process never comes back.
    pub removed: bool,
    /// When it was last lost in any way, or is since: see [`crate::oracle`].
    pub lost_until: f64,
}

impl ControlMachine {
    /// Whether it takes in nothing now.
    pub fn is_stalled(&self) -> bool {
        self.frozen || self.pending_write.is_some()
    }
}

impl Simulation {
    /// A machine with an empty disk, not started yet.
    pub fn add_control(&mut self, node: NodeId, incarnation: u64, seeds: &[NodeId]) {
        let machine = ControlMachine {
            controller: None,
            process_incarnation: 0,
            disk: Disk::empty(incarnation, seeds),
            health: Health::Down,
            frozen: false,
            pending_write: None,
            inbox: Vec::new(),
            members_persisted_at: f64::NEG_INFINITY,
            clock_offset: f64::from(node) * 1000.0,
            seed_nodes: seeds.to_vec(),
            shutting_down: false,
            removed: false,
            lost_until: 0.0,
        };
        self.machines.insert(node, machine);
    }

    /// Another machine at an address of its own, with an empty disk; it starts at once.
    pub fn add_and_start(&mut self, node: NodeId) {
        let incarnation = self.draw_incarnation();
        let seeds = self.seed_nodes.clone();
        self.add_control(node, incarnation, &seeds);
        self.start(node);
    }

    /// Three control machines as a list that runs late has them: some may be gone by now, but not all.
    fn stale_seed_nodes(&mut self, of: NodeId) -> Vec<NodeId> {
        let others = self
            .machines
            .iter()
            .filter(|(node, machine)| !machine.removed && **node != of);
        let listed: Vec<NodeId> = others.map(|(node, _)| *node).collect();
        let gone: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.removed)
            .map(|(node, _)| *node)
            .collect();
        let mut seeds: Vec<NodeId> = (0..2).filter_map(|_| self.chance.pick(&listed)).collect();
        seeds.extend(self.chance.pick(&gone).or(self.chance.pick(&listed)));
        seeds
    }

    fn draw_incarnation(&mut self) -> u64 {
        FOUNDING_INCARNATION + 1 + self.draw(1 << 40)
    }

    /// Starts a control machine with what its disk holds.
    pub fn start(&mut self, node: NodeId) {
        let now = self.now;
        let life = 1 + self.draw(1 << 40);
        let budget = self.fault_budget;
        self.record_fault(node);
        let seeds = self.stale_seed_nodes(node);
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        if machine.process_incarnation > 0 || !self.seed_nodes.contains(&node) {
            machine.seed_nodes = seeds;
        }
        machine.process_incarnation = life;
        machine.health = Health::Up;
        machine.frozen = false;
        machine.shutting_down = false;
        machine.pending_write = None;
        machine.inbox.clear();
        let clock = now + machine.clock_offset;
        let me = Voter {
            node,
            incarnation: machine.disk.incarnation,
        };
        let mut controller =
            Controller::new(me, machine.disk.hard_state.clone(), clock, life, timing());
        controller.set_seeds_and_budget(machine.seed_nodes.clone(), budget);
        controller.restore_members(clock, machine.disk.members.clone(), 0.0);
        machine.controller = Some(controller);
        self.schedule(0.0, Event::Tick(node, life));
        self.trace(|| format!("control {node} starts as {me}"));
    }

    /// The process ends; its disk stays as at the last save, or has the one that was under way.
    pub fn kill(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} killed"));
        self.end_process(node, Health::Down);
    }

    /// The machine loses power: nobody is told.
    pub fn power_off(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} loses power"));
        self.end_process(node, Health::Unresponsive);
    }

    fn end_process(&mut self, node: NodeId, health: Health) {
        self.record_fault(node);
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        machine.controller = None;
        if let Some(saving) = machine.pending_write.take() {
            machine
                .disk
                .interrupt_write(saving.hard_state, &mut self.chance);
        }
        machine.health = health;
        machine.frozen = false;
        machine.inbox.clear();
        for router in &mut self.routers {
            router.forget_connection(node);
        }
        // Whoever has a connection to it opens another one.
        for other in self
            .machines
            .keys()
            .copied()
            .filter(|other| *other != node)
            .collect::<Vec<_>>()
        {
            self.network.reset(other, node);
        }
    }

    /// The disk is lost with the process.
    pub fn lose_disk(&mut self, node: NodeId) {
        self.kill(node);
        self.trace(|| format!("control {node} loses its disk"));
        let incarnation = self.draw_incarnation();
        let seeds = self.seed_nodes.clone();
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        machine.disk = Disk::empty(incarnation, &seeds);
        machine.seed_nodes = seeds;
    }

    /// The machine is gone for good.
    pub fn remove(&mut self, node: NodeId) {
        self.power_off(node);
        self.machines
            .get_mut(&node)
            .expect("the machine exists")
            .removed = true;
    }

    /// The process stands still.
    pub fn freeze(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} frozen"));
        self.record_fault(node);
        self.machines
            .get_mut(&node)
            .expect("the machine exists")
            .frozen = true;
    }

    /// It goes on.
    pub fn thaw(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} thawed"));
        self.record_fault(node);
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        machine.frozen = false;
        if machine
            .pending_write
            .as_ref()
            .is_some_and(|saving| saving.completed)
        {
            let life = machine.process_incarnation;
            self.persist_completed(node, life);
        }
        self.drain_inbox(node);
    }

    fn drain_inbox(&mut self, node: NodeId) {
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        if machine.is_stalled() {
            return;
        }
        for event in std::mem::take(&mut machine.inbox) {
            self.handle(event);
            // Each is an event of its own to the oracle, though all happen at one moment.
            self.check_safety();
        }
    }

    /// The machine that leads and may act.
    pub fn leader(&self) -> Option<NodeId> {
        let acts = |(node, machine): (&NodeId, &ControlMachine)| {
            let clock = self.now + machine.clock_offset;
            let controller = machine.controller.as_ref().filter(|_| !machine.frozen)?;
            controller.may_act(clock).then_some(*node)
        };
        self.machines.iter().find_map(acts)
    }

    /// The phase in which the leader sees the service.
    pub fn phase(&self) -> &'static str {
        let controller = self
            .leader()
            .and_then(|leader| self.machines[&leader].controller.as_ref());
        let Some(controller) = controller else {
            return "none";
        };
        controller
            .primaries()
            .first()
            .map_or("unknown", |primary| primary.phase)
    }

    /// A call to this control machine; its answer is found in `replies` under this number.
    pub fn submit_request(&mut self, node: NodeId, number: u64, call: ControlRequest) {
        self.with_controller(node, |controller, now| {
            controller.handle_request(now, number, call)
        });
    }

    /// Lets the machine decide; nothing happens if its process doesn't run.
    pub fn with_controller(
        &mut self,
        node: NodeId,
        act: impl FnOnce(&mut Controller, f64) -> Vec<Output>,
    ) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else {
            return;
        };
        let clock = now + machine.clock_offset;
        let Some(controller) = &mut machine.controller else {
            return;
        };
        let out = act(controller, clock);
        self.perform_outputs(node, out.into());
    }

    /// Whether this process takes in an event now; if it only stands still, the event waits.
    pub fn admit(&mut self, node: NodeId, life: Option<u64>, event: &Event) -> bool {
        let Some(machine) = self.machines.get_mut(&node) else {
            return false;
        };
        if machine.controller.is_none()
            || life.is_some_and(|life| life != machine.process_incarnation)
        {
            return false;
        }
        if machine.is_stalled() {
            machine.inbox.push(event.clone());
            return false;
        }
        true
    }

    /// Does what was decided, in order; behind a save nothing happens before it is done.
    pub fn perform_outputs(&mut self, node: NodeId, mut out: VecDeque<Output>) {
        let life = self.machines[&node].process_incarnation;
        while let Some(one) = out.pop_front() {
            match one {
                Output::Persist => match self.begin_persist(node, out) {
                    Some(rest) => out = rest,
                    None => return,
                },
                Output::PersistMembers(then) => {
                    if self.persist_members(node) {
                        then.into_iter().rev().for_each(|next| out.push_front(next));
                    }
                }
                Output::SendToPeer(to, message) => self.send_to_peer(node, to, message),
                Output::SendToRouter(connection, message) => {
                    self.send_to_router(node, connection, message);
                }
                Output::SendUpdate(connection, news) => {
                    self.send_to_router(node, connection, (*news).clone());
                }
                Output::SendCommand {
                    server_id: id,
                    endpoint,
                    command: statement,
                    ..
                } => self.send_command(node, id, &endpoint, statement),
                Output::Promote {
                    server_id: id,
                    fencing_token: fence,
                    deadline: before,
                    ..
                } => {
                    let way = self.message_delay();
                    self.schedule(
                        way,
                        Event::Post {
                            node,
                            life,
                            id,
                            fence,
                            before,
                        },
                    );
                }
                Output::Respond(call, answer) => self.respond(node, call, answer),
            }
        }
    }

    /// The servers that are known are on the disk from now on, if it takes them.
    pub(crate) fn persist_members(&mut self, node: NodeId) -> bool {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else {
            return false;
        };
        let taken = machine.disk.begin_write(now) != WriteOutcome::Rejected;
        if let Some(controller) = machine.controller.as_ref().filter(|_| taken) {
            machine.disk.members = controller.members().to_persist();
            machine.members_persisted_at = now;
        }
        taken
    }

    /// The outputs that follow; none if they wait for the disk.
    fn begin_persist(&mut self, node: NodeId, rest: VecDeque<Output>) -> Option<VecDeque<Output>> {
        let now = self.now;
        let machine = self.machines.get_mut(&node).expect("the machine exists");
        let record = machine
            .controller
            .as_ref()
            .expect("a process saves")
            .hard_state()
            .clone();
        match machine.disk.begin_write(now) {
            WriteOutcome::CompletedAt(at) => {
                let life = machine.process_incarnation;
                machine.pending_write = Some(PendingWrite {
                    hard_state: record,
                    deferred_outputs: rest,
                    completed: false,
                });
                self.schedule(at - now, Event::Saved(node, life));
                None
            }
            WriteOutcome::Rejected => {
                machine.disk.interrupt_write(record, &mut self.chance);
                self.trace(|| format!("control {node}: a save fails"));
                let machine = self.machines.get_mut(&node).expect("the machine exists");
                let clock = now + machine.clock_offset;
                let controller = machine.controller.as_mut().expect("a process saves");
                let mut out = rest;
                out.extend(controller.persist_failed(clock));
                let life = machine.process_incarnation;
                self.schedule(REOPEN_INTERVAL_S, Event::Reopen(node, life));
                Some(out)
            }
        }
    }

    /// A save is done.
    pub(crate) fn persist_completed(&mut self, node: NodeId, life: u64) {
        let now = self.now;
        let Some(machine) = self
            .machines
            .get_mut(&node)
            .filter(|machine| machine.process_incarnation == life)
        else {
            return;
        };
        if machine.frozen {
            if let Some(saving) = &mut machine.pending_write {
                saving.completed = true;
            }
            return;
        }
        let Some(saving) = machine.pending_write.take() else {
            return;
        };
        machine.disk.hard_state = saving.hard_state;
        let clock = now + machine.clock_offset;
        let Some(controller) = &mut machine.controller else {
            return;
        };
        let mut out: VecDeque<Output> = controller.persisted(clock).into();
        out.extend(saving.deferred_outputs);
        self.perform_outputs(node, out);
        self.drain_inbox(node);
    }

    /// A disk that failed is opened anew, if it takes bytes again.
    pub(crate) fn reopen_disk(&mut self, node: NodeId, life: u64) {
        let now = self.now;
        let Some(machine) = self
            .machines
            .get_mut(&node)
            .filter(|machine| machine.process_incarnation == life)
        else {
            return;
        };
        if machine.disk.begin_write(now) == WriteOutcome::Rejected {
            self.schedule(REOPEN_INTERVAL_S, Event::Reopen(node, life));
            return;
        }
        let clock = now + machine.clock_offset;
        let record = machine.disk.hard_state.clone();
        if let Some(controller) = &mut machine.controller {
            controller.disk_reopened(clock, record);
        }
    }

    fn send_to_peer(&mut self, from: NodeId, to: Recipient, message: PeerMessage) {
        let machine = &self.machines[&from];
        let sender = Voter {
            node: from,
            incarnation: machine.disk.incarnation,
        };
        let life = machine.process_incarnation;
        let (connection, new) = self.network.connection(from, to.node(), life);
        if new {
            self.schedule(0.0, Event::Met(from, to.node(), life));
        }
        let envelope = PeerEnvelope {
            from: sender,
            process_incarnation: life,
            to,
            connection,
            sent_at: self.now,
            message,
        };
        if self.chance.per_mille(self.network.resets_per_mille) {
            self.network.reset(from, to.node());
            return;
        }
        self.transmit(envelope);
    }

    /// A message goes on its way, or is held up.
    pub(crate) fn transmit(&mut self, envelope: PeerEnvelope) {
        let (from, to) = (envelope.from.node, envelope.to.node());
        if self.network.is_blocked(from, to) {
            self.network.hold_back(from, to, envelope);
            return;
        }
        let way = self.message_delay();
        let at = self.network.arrival_time(from, to, self.now, way);
        self.schedule(at - self.now, Event::Peer(envelope));
    }

    /// A message arrives, unless its connection was reset, it is for somebody else, or from a life that is over.
    pub(crate) fn deliver_peer_message(&mut self, envelope: PeerEnvelope, event: &Event) {
        let (from, to) = (envelope.from, envelope.to.node());
        if self.network.is_blocked(from.node, to) {
            self.network.hold_back(from.node, to, envelope);
            return;
        }
        let Some(machine) = self.machines.get(&to) else {
            return;
        };
        let me = Voter {
            node: to,
            incarnation: machine.disk.incarnation,
        };
        if !envelope.to.matches(me) {
            // It learns all the same that a control machine has that address.
            self.with_controller(to, |controller, _| controller.peer_discovered(from.node));
            return;
        }
        let current = self
            .newest_connections
            .get(&(to, from.node))
            .is_none_or(|newest| *newest <= envelope.connection);
        if !current || !self.admit(to, None, event) {
            return;
        }
        self.newest_connections
            .insert((to, from.node), envelope.connection);
        self.with_controller(to, |controller, now| {
            controller.handle_peer_message(now, from, envelope.message)
        });
    }

    fn send_command(
        &mut self,
        node: NodeId,
        id: String,
        endpoint: &str,
        statement: badgerstream_control::ServerCommand,
    ) {
        let machine = &self.machines[&node];
        let (life, asked) = (machine.process_incarnation, self.now + machine.clock_offset);
        let server = self
            .servers
            .get(&id)
            .filter(|server| server.endpoint == endpoint);
        let health = server.map_or(Health::Down, |server| server.health);
        let way = self.message_delay();
        let silent =
            self.cut_from_servers.contains(&node) || self.unresponsive_to_control.contains(&id);
        if silent || health == Health::Unresponsive {
            self.schedule(
                0.6,
                Event::CommandOutcome {
                    node,
                    life,
                    id,
                    asked: CommandOutcome::TimedOut,
                },
            );
        } else if health == Health::Down {
            self.schedule(
                2.0 * way,
                Event::CommandOutcome {
                    node,
                    life,
                    id,
                    asked: CommandOutcome::Refused,
                },
            );
        } else {
            self.schedule(
                way,
                Event::AskAt {
                    node,
                    life,
                    id,
                    statement,
                    asked,
                },
            );
        }
    }

    /// Any control machine that runs, as a caller would find one.
    pub(crate) fn random_reachable_machine(&mut self) -> Option<NodeId> {
        let runs = |(node, machine): &(&NodeId, &ControlMachine)| {
            machine.controller.is_some()
                && !machine.is_stalled()
                && !self.cut_from_servers.contains(node)
        };
        let fit: Vec<NodeId> = self
            .machines
            .iter()
            .filter(runs)
            .map(|(node, _)| *node)
            .collect();
        self.chance.pick(&fit)
    }
}
