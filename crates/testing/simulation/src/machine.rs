//! Control machines: their processes, disks and clocks, and what their decisions ask for.

use crate::disk::{Disk, Save};
use crate::links::Parcel;
use crate::servers::Health;
use crate::world::{Event, World, timing};
use badgerstream_control::{
    CommandOutcome, ControlRequest, Controller, FOUNDING_INCARNATION, HardState, NodeId, Output,
    PeerMessage, Recipient, Voter,
};
use std::collections::VecDeque;

/// A machine whose disk failed opens it anew this often, in seconds.
const REOPEN: f64 = 0.25;

/// The servers that are known are put on the disk this often, in seconds, besides what has to be there at once.
pub(crate) const KEEP_SERVERS: f64 = 0.5;

/// A save under way: the process waits for its disk.
#[derive(Clone, Debug)]
pub struct Saving {
    record: HardState,
    /// What is to be done behind it.
    rest: VecDeque<Output>,
    /// The disk has done it, but the process stands still.
    done: bool,
}

/// One control machine.
#[derive(Clone)]
pub struct Machine {
    /// Its decisions; none while its process doesn't run.
    pub controller: Option<Controller>,
    /// Counts its processes.
    pub life: u64,
    /// Its disk.
    pub disk: Disk,
    /// Whether its process runs, is gone, or its machine is without power.
    pub health: Health,
    /// Its process stands still.
    pub frozen: bool,
    /// It waits for its disk.
    pub saving: Option<Saving>,
    /// What came meanwhile.
    inbox: Vec<Event>,
    /// When the servers were last put on the disk.
    pub(crate) servers_kept: f64,
    /// Its clock is ahead by so many seconds.
    pub offset: f64,
    /// The control machines that its settings name.
    pub seeds: Vec<NodeId>,
    /// Its process was asked to end.
    pub ending: bool,
    /// It was replaced: its process never comes back.
    pub removed: bool,
    /// When it was last lost in any way, or is since: see [`crate::oracle`].
    pub trouble_until: f64,
}

impl Machine {
    /// Whether it takes in nothing now.
    pub fn stands_still(&self) -> bool {
        self.frozen || self.saving.is_some()
    }
}

impl World {
    /// A machine with an empty disk, not started yet.
    pub fn add_control(&mut self, node: NodeId, incarnation: u64, seeds: &[NodeId]) {
        let machine = Machine {
            controller: None,
            life: 0,
            disk: Disk::empty(incarnation, seeds),
            health: Health::Down,
            frozen: false,
            saving: None,
            inbox: Vec::new(),
            servers_kept: f64::NEG_INFINITY,
            offset: f64::from(node) * 1000.0,
            seeds: seeds.to_vec(),
            ending: false,
            removed: false,
            trouble_until: 0.0,
        };
        self.controls.insert(node, machine);
    }

    /// Another machine at an address of its own, with an empty disk; it starts at once.
    pub fn join(&mut self, node: NodeId) {
        let incarnation = self.draw_incarnation();
        let seeds = self.seeds.clone();
        self.add_control(node, incarnation, &seeds);
        self.start(node);
    }

    /// Three control machines as a list that runs late has them: some may be gone by now, but not all.
    fn listed_seeds(&mut self, of: NodeId) -> Vec<NodeId> {
        let others = self
            .controls
            .iter()
            .filter(|(node, machine)| !machine.removed && **node != of);
        let listed: Vec<NodeId> = others.map(|(node, _)| *node).collect();
        let gone: Vec<NodeId> = self
            .controls
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
        let budget = self.budget;
        self.trouble(node);
        let seeds = self.listed_seeds(node);
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        if machine.life > 0 || !self.seeds.contains(&node) {
            machine.seeds = seeds;
        }
        machine.life = life;
        machine.health = Health::Up;
        machine.frozen = false;
        machine.ending = false;
        machine.saving = None;
        machine.inbox.clear();
        let clock = now + machine.offset;
        let me = Voter {
            node,
            incarnation: machine.disk.incarnation,
        };
        let mut controller =
            Controller::new(me, machine.disk.record.clone(), clock, life, timing());
        controller.set_seeds_and_budget(machine.seeds.clone(), budget);
        controller.restore_members(clock, machine.disk.servers.clone(), 0.0);
        machine.controller = Some(controller);
        self.put(0.0, Event::Tick(node, life));
        self.say(|| format!("control {node} starts as {me}"));
    }

    /// The process ends; its disk stays as at the last save, or has the one that was under way.
    pub fn kill(&mut self, node: NodeId) {
        self.say(|| format!("control {node} killed"));
        self.end(node, Health::Down);
    }

    /// The machine loses power: nobody is told.
    pub fn power_off(&mut self, node: NodeId) {
        self.say(|| format!("control {node} loses power"));
        self.end(node, Health::Dark);
    }

    fn end(&mut self, node: NodeId, health: Health) {
        self.trouble(node);
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        machine.controller = None;
        if let Some(saving) = machine.saving.take() {
            machine
                .disk
                .save_unfinished(saving.record, &mut self.chance);
        }
        machine.health = health;
        machine.frozen = false;
        machine.inbox.clear();
        for router in &mut self.routers {
            router.forget_connection(node);
        }
        // Whoever has a connection to it opens another one.
        for other in self
            .controls
            .keys()
            .copied()
            .filter(|other| *other != node)
            .collect::<Vec<_>>()
        {
            self.links.reset(other, node);
        }
    }

    /// The disk is lost with the process.
    pub fn wipe(&mut self, node: NodeId) {
        self.kill(node);
        self.say(|| format!("control {node} loses its disk"));
        let incarnation = self.draw_incarnation();
        let seeds = self.seeds.clone();
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        machine.disk = Disk::empty(incarnation, &seeds);
        machine.seeds = seeds;
    }

    /// The machine is gone for good.
    pub fn remove(&mut self, node: NodeId) {
        self.power_off(node);
        self.controls
            .get_mut(&node)
            .expect("the machine exists")
            .removed = true;
    }

    /// The process stands still.
    pub fn freeze(&mut self, node: NodeId) {
        self.say(|| format!("control {node} frozen"));
        self.trouble(node);
        self.controls
            .get_mut(&node)
            .expect("the machine exists")
            .frozen = true;
    }

    /// It goes on.
    pub fn thaw(&mut self, node: NodeId) {
        self.say(|| format!("control {node} thawed"));
        self.trouble(node);
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        machine.frozen = false;
        if machine.saving.as_ref().is_some_and(|saving| saving.done) {
            let life = machine.life;
            self.saved(node, life);
        }
        self.take_inbox(node);
    }

    fn take_inbox(&mut self, node: NodeId) {
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        if machine.stands_still() {
            return;
        }
        for event in std::mem::take(&mut machine.inbox) {
            self.handle(event);
            // Each is an event of its own to the oracle, though all happen at one moment.
            self.check();
        }
    }

    /// The machine that leads and may act.
    pub fn leader(&self) -> Option<NodeId> {
        let acts = |(node, machine): (&NodeId, &Machine)| {
            let clock = self.now + machine.offset;
            let controller = machine.controller.as_ref().filter(|_| !machine.frozen)?;
            controller.may_act(clock).then_some(*node)
        };
        self.controls.iter().find_map(acts)
    }

    /// The phase in which the leader sees the service.
    pub fn phase(&self) -> &'static str {
        let controller = self
            .leader()
            .and_then(|leader| self.controls[&leader].controller.as_ref());
        let Some(controller) = controller else {
            return "none";
        };
        controller
            .primaries()
            .first()
            .map_or("unknown", |primary| primary.phase)
    }

    /// A call to this control machine; its answer is found in `replies` under this number.
    pub fn call(&mut self, node: NodeId, number: u64, call: ControlRequest) {
        self.with(node, |controller, now| {
            controller.handle_request(now, number, call)
        });
    }

    /// Lets the machine decide; nothing happens if its process doesn't run.
    pub fn with(&mut self, node: NodeId, act: impl FnOnce(&mut Controller, f64) -> Vec<Output>) {
        let now = self.now;
        let Some(machine) = self.controls.get_mut(&node) else {
            return;
        };
        let clock = now + machine.offset;
        let Some(controller) = &mut machine.controller else {
            return;
        };
        let out = act(controller, clock);
        self.perform(node, out.into());
    }

    /// Whether this process takes in an event now; if it only stands still, the event waits.
    pub fn reaches(&mut self, node: NodeId, life: Option<u64>, event: &Event) -> bool {
        let Some(machine) = self.controls.get_mut(&node) else {
            return false;
        };
        if machine.controller.is_none() || life.is_some_and(|life| life != machine.life) {
            return false;
        }
        if machine.stands_still() {
            machine.inbox.push(event.clone());
            return false;
        }
        true
    }

    /// Does what was decided, in order; behind a save nothing happens before it is done.
    pub fn perform(&mut self, node: NodeId, mut out: VecDeque<Output>) {
        let life = self.controls[&node].life;
        while let Some(one) = out.pop_front() {
            match one {
                Output::Persist => match self.begin_save(node, out) {
                    Some(rest) => out = rest,
                    None => return,
                },
                Output::PersistMembers(then) => {
                    if self.keep_servers(node) {
                        then.into_iter().rev().for_each(|next| out.push_front(next));
                    }
                }
                Output::SendToPeer(to, message) => self.send(node, to, message),
                Output::SendToRouter(connection, message) => {
                    self.send_news(node, connection, message);
                }
                Output::SendUpdate(connection, news) => {
                    self.send_news(node, connection, (*news).clone());
                }
                Output::SendCommand {
                    server_id: id,
                    endpoint,
                    command: statement,
                    ..
                } => self.ask_server(node, id, &endpoint, statement),
                Output::Promote {
                    server_id: id,
                    fencing_token: fence,
                    deadline: before,
                    ..
                } => {
                    let way = self.way();
                    self.put(
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
                Output::Respond(call, answer) => self.reply(node, call, answer),
            }
        }
    }

    /// The servers that are known are on the disk from now on, if it takes them.
    pub(crate) fn keep_servers(&mut self, node: NodeId) -> bool {
        let now = self.now;
        let Some(machine) = self.controls.get_mut(&node) else {
            return false;
        };
        let taken = machine.disk.begin_save(now) != Save::Refused;
        if let Some(controller) = machine.controller.as_ref().filter(|_| taken) {
            machine.disk.servers = controller.members().to_persist();
            machine.servers_kept = now;
        }
        taken
    }

    /// The outputs that follow; none if they wait for the disk.
    fn begin_save(&mut self, node: NodeId, rest: VecDeque<Output>) -> Option<VecDeque<Output>> {
        let now = self.now;
        let machine = self.controls.get_mut(&node).expect("the machine exists");
        let record = machine
            .controller
            .as_ref()
            .expect("a process saves")
            .hard_state()
            .clone();
        match machine.disk.begin_save(now) {
            Save::DoneAt(at) => {
                let life = machine.life;
                machine.saving = Some(Saving {
                    record,
                    rest,
                    done: false,
                });
                self.put(at - now, Event::Saved(node, life));
                None
            }
            Save::Refused => {
                machine.disk.save_unfinished(record, &mut self.chance);
                self.say(|| format!("control {node}: a save fails"));
                let machine = self.controls.get_mut(&node).expect("the machine exists");
                let clock = now + machine.offset;
                let controller = machine.controller.as_mut().expect("a process saves");
                let mut out = rest;
                out.extend(controller.persist_failed(clock));
                let life = machine.life;
                self.put(REOPEN, Event::Reopen(node, life));
                Some(out)
            }
        }
    }

    /// A save is done.
    pub(crate) fn saved(&mut self, node: NodeId, life: u64) {
        let now = self.now;
        let Some(machine) = self
            .controls
            .get_mut(&node)
            .filter(|machine| machine.life == life)
        else {
            return;
        };
        if machine.frozen {
            if let Some(saving) = &mut machine.saving {
                saving.done = true;
            }
            return;
        }
        let Some(saving) = machine.saving.take() else {
            return;
        };
        machine.disk.record = saving.record;
        let clock = now + machine.offset;
        let Some(controller) = &mut machine.controller else {
            return;
        };
        let mut out: VecDeque<Output> = controller.persisted(clock).into();
        out.extend(saving.rest);
        self.perform(node, out);
        self.take_inbox(node);
    }

    /// A disk that failed is opened anew, if it takes bytes again.
    pub(crate) fn reopen(&mut self, node: NodeId, life: u64) {
        let now = self.now;
        let Some(machine) = self
            .controls
            .get_mut(&node)
            .filter(|machine| machine.life == life)
        else {
            return;
        };
        if machine.disk.begin_save(now) == Save::Refused {
            self.put(REOPEN, Event::Reopen(node, life));
            return;
        }
        let clock = now + machine.offset;
        let record = machine.disk.record.clone();
        if let Some(controller) = &mut machine.controller {
            controller.disk_reopened(clock, record);
        }
    }

    fn send(&mut self, from: NodeId, to: Recipient, message: PeerMessage) {
        let machine = &self.controls[&from];
        let sender = Voter {
            node: from,
            incarnation: machine.disk.incarnation,
        };
        let life = machine.life;
        let (connection, new) = self.links.connection(from, to.node(), life);
        if new {
            self.put(0.0, Event::Met(from, to.node(), life));
        }
        let parcel = Parcel {
            from: sender,
            life,
            to,
            connection,
            sent: self.now,
            message,
        };
        if self.chance.of_thousand(self.links.resets) {
            self.links.reset(from, to.node());
            return;
        }
        self.pass(parcel);
    }

    /// A message goes on its way, or is held up.
    pub(crate) fn pass(&mut self, parcel: Parcel) {
        let (from, to) = (parcel.from.node, parcel.to.node());
        if self.links.is_cut(from, to) {
            self.links.hold(from, to, parcel);
            return;
        }
        let way = self.way();
        let at = self.links.arrival(from, to, self.now, way);
        self.put(at - self.now, Event::Peer(parcel));
    }

    /// A message arrives, unless its connection was reset, it is for somebody else, or from a life that is over.
    pub(crate) fn deliver(&mut self, parcel: Parcel, event: &Event) {
        let (from, to) = (parcel.from, parcel.to.node());
        if self.links.is_cut(from.node, to) {
            self.links.hold(from.node, to, parcel);
            return;
        }
        let Some(machine) = self.controls.get(&to) else {
            return;
        };
        let me = Voter {
            node: to,
            incarnation: machine.disk.incarnation,
        };
        if !parcel.to.matches(me) {
            // It learns all the same that a control machine has that address.
            self.with(to, |controller, _| controller.peer_discovered(from.node));
            return;
        }
        let current = self
            .lives_heard
            .get(&(to, from.node))
            .is_none_or(|newest| *newest <= parcel.connection);
        if !current || !self.reaches(to, None, event) {
            return;
        }
        self.lives_heard.insert((to, from.node), parcel.connection);
        self.with(to, |controller, now| {
            controller.handle_peer_message(now, from, parcel.message)
        });
    }

    fn ask_server(
        &mut self,
        node: NodeId,
        id: String,
        endpoint: &str,
        statement: badgerstream_control::ServerCommand,
    ) {
        let machine = &self.controls[&node];
        let (life, asked) = (machine.life, self.now + machine.offset);
        let server = self
            .servers
            .get(&id)
            .filter(|server| server.endpoint == endpoint);
        let health = server.map_or(Health::Down, |server| server.health);
        let way = self.way();
        let silent = self.deaf_controls.contains(&node) || self.mute.contains(&id);
        if silent || health == Health::Dark {
            self.put(
                0.6,
                Event::CommandOutcome {
                    node,
                    life,
                    id,
                    asked: CommandOutcome::TimedOut,
                },
            );
        } else if health == Health::Down {
            self.put(
                2.0 * way,
                Event::CommandOutcome {
                    node,
                    life,
                    id,
                    asked: CommandOutcome::Refused,
                },
            );
        } else {
            self.put(
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
    pub(crate) fn any_control(&mut self) -> Option<NodeId> {
        let runs = |(node, machine): &(&NodeId, &Machine)| {
            machine.controller.is_some()
                && !machine.stands_still()
                && !self.deaf_controls.contains(node)
        };
        let fit: Vec<NodeId> = self
            .controls
            .iter()
            .filter(runs)
            .map(|(node, _)| *node)
            .collect();
        self.chance.pick(&fit)
    }
}
