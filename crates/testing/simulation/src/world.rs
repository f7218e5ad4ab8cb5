//! One clock, all events, and what happens at each.

use crate::digest::{LastNoted, RunDigest};
use crate::links::{Links, Parcel};
use crate::machine::{KEEP_SERVERS, Machine};
use crate::operators::{Operator, Order};
use crate::oracle::Seen;
use crate::routers::Router;
use crate::schedule::{Chance, Schedule};
use crate::servers::{Health, SERVICE, Server};
use badgerstream_control::{
    CommandOutcome, ControlConfig, ControlRequest, ControlResponse, Controller, FailoverConfig,
    LeaseRequest, NodeId, PromotionOutcome, RouterMessage, ServerCommand,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// As the program sets them by default, with heartbeats of 1.2 s.
pub fn timing() -> ControlConfig {
    let service = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: 0.6,
        query_timeout: 0.6,
        heartbeat_interval: 1.2,
        drain_timeout: 7.0,
    };
    ControlConfig {
        lease_duration: 1.0,
        election_timeout: 0.6,
        contact_timeout: 1.0,
        platform_call_timeout: 1.0,
        duty_handover_delay: 0.0,
        request_timeout: 0.9,
        member_timeout: 4.8,
        failover: service,
    }
}

/// How often liveness is looked at, in seconds.
const LOOK: f64 = 0.2;
/// Calls of operators and heartbeats of servers have numbers from here on.
const FIRST_CALL: u64 = 1 << 32;

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(NodeId, u64),
    Peer(Parcel),
    Met(NodeId, NodeId, u64),
    Saved(NodeId, u64),
    Reopen(NodeId, u64),
    ControlRequest(NodeId, u64, ControlRequest),
    Operator(usize),
    Resign(NodeId),
    Look,
    AskAt {
        node: NodeId,
        life: u64,
        id: String,
        statement: ServerCommand,
        asked: f64,
    },
    CommandOutcome {
        node: NodeId,
        life: u64,
        id: String,
        asked: CommandOutcome,
    },
    Renew {
        node: NodeId,
        life: u64,
        conn: u64,
        router: usize,
        call: LeaseRequest,
    },
    News {
        router: usize,
        conn: u64,
        message: RouterMessage,
    },
    RouterTick(usize),
    Heartbeat(String),
    Statement(usize),
    At {
        router: usize,
        server: String,
        write: bool,
        seen: usize,
        sent: f64,
    },
    Answered {
        router: usize,
        server: String,
    },
    Replicate,
    Append {
        from: String,
        to: String,
        term: u64,
        log: Vec<(u64, u64)>,
    },
    Appended {
        primary: String,
        term: u64,
        length: usize,
    },
    Post {
        node: NodeId,
        life: u64,
        id: String,
        fence: u64,
        before: f64,
    },
    PostAt {
        node: NodeId,
        life: u64,
        id: String,
        fence: u64,
    },
    Promote(String),
    PostAnswer {
        node: NodeId,
        life: u64,
        id: String,
        outcome: PromotionOutcome,
    },
    Depose(String, u64),
}

/// Who waits for the answer to a call.
#[derive(Clone, Debug)]
enum Caller {
    Operator(usize),
    Server(String),
}

/// The whole of it.
#[derive(Clone)]
pub struct World {
    /// The time, in seconds.
    pub now: f64,
    schedule: Schedule<Event>,
    pub(crate) chance: Chance,
    /// Control machines.
    pub controls: BTreeMap<NodeId, Machine>,
    /// The control machines that settings name.
    pub seeds: Vec<NodeId>,
    /// How many control machines may be lost at once.
    pub budget: usize,
    /// Connections between control machines.
    pub links: Links,
    /// Control machines that are cut off from the others, one way at least.
    pub(crate) cut_off: BTreeSet<NodeId>,
    /// The control machines are cut into two halves.
    pub halves: bool,
    /// The newest connection that a machine (first) has heard of another one.
    pub(crate) lives_heard: HashMap<(NodeId, NodeId), u64>,
    pub routers: Vec<Router>,
    pub servers: BTreeMap<String, Server>,
    pub operators: Vec<Operator>,
    pub orders: Vec<Order>,
    /// What the oracle has seen.
    pub seen: Seen,
    /// Control machines that reach no server, and pairs of control machine and router that do not meet.
    pub deaf_controls: HashSet<NodeId>,
    pub apart: HashSet<(NodeId, usize)>,
    /// Servers that answer no control machine, though they go on.
    pub mute: HashSet<String>,
    /// Of a thousand questions to servers, so many do their work and their answers are lost.
    pub lost_answers: u64,
    /// Of a thousand calls to the platform, so many do their work and their answers are lost.
    pub lost_posts: u64,
    /// Of a thousand answers to operators, so many are lost.
    pub lost_replies: u64,
    /// The answers of the next calls to the platform, which then do nothing.
    pub statuses: Vec<u16>,
    pub fencing: bool,
    pub promote_s: f64,
    pub delay: f64,
    /// The row's last field is the highest term heard of, and stays; otherwise it is 0 unless held.
    pub held_is_heard: bool,
    /// A second `PAUSE` of the same term is refused.
    pub pause_once: bool,
    pub traffic: bool,
    pub(crate) fence: u64,
    pub(crate) next_commit: u64,
    pub(crate) connections: u64,
    calls: u64,
    callers: HashMap<u64, Caller>,
    /// Commits that were acknowledged, in that order.
    pub acked: Vec<u64>,
    /// The servers that were promoted, and when.
    pub promoted: Vec<(String, f64)>,
    pub posts: Vec<(String, u64)>,
    /// Answers to calls of a test, by their numbers.
    pub replies: BTreeMap<u64, (u16, Vec<u8>)>,
    loud: bool,
    pub served: Vec<f64>,
    pub(crate) run_digest: RunDigest,
    pub(crate) last_noted: LastNoted,
}

impl World {
    /// Three control machines, two routers, and the servers a (primary), b, c; nothing has run yet.
    pub fn new(seed: u64) -> World {
        let mut world = World::control_only(seed, 3, 1);
        for at in 0..2 {
            world.add_router(at);
        }
        for id in ["a", "b", "c"] {
            world.add_server(id, &format!("10.0.0.{}:1", id.as_bytes()[0]), id == "a");
        }
        world.put(0.0, Event::Replicate);
        world
    }

    /// So many control machines, of which so many may be lost at once, and nothing else.
    pub fn control_only(seed: u64, machines: u32, budget: usize) -> World {
        let mut world = World {
            now: 0.0,
            schedule: Schedule::default(),
            chance: Chance::new(seed),
            controls: BTreeMap::new(),
            seeds: (1..=machines.min(3)).collect(),
            budget,
            links: Links::default(),
            cut_off: BTreeSet::new(),
            halves: false,
            lives_heard: HashMap::new(),
            routers: Vec::new(),
            servers: BTreeMap::new(),
            operators: Vec::new(),
            orders: Vec::new(),
            seen: Seen::default(),
            deaf_controls: HashSet::new(),
            apart: HashSet::new(),
            mute: HashSet::new(),
            lost_answers: 0,
            lost_posts: 0,
            lost_replies: 0,
            statuses: Vec::new(),
            fencing: false,
            promote_s: 0.6,
            delay: 0.0015,
            held_is_heard: false,
            pause_once: false,
            traffic: true,
            fence: 0,
            next_commit: 0,
            connections: 0,
            calls: FIRST_CALL,
            callers: HashMap::new(),
            acked: Vec::new(),
            promoted: Vec::new(),
            posts: Vec::new(),
            replies: BTreeMap::new(),
            loud: std::env::var("LOUD").is_ok(),
            served: Vec::new(),
            run_digest: RunDigest::default(),
            last_noted: LastNoted::default(),
        };
        let seeds = world.seeds.clone();
        for node in 1..=machines {
            world.add_control(node, badgerstream_control::FOUNDING_INCARNATION, &seeds);
            world.start(node);
        }
        world.put(LOOK, Event::Look);
        world
    }

    /// A number below that one.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.chance.below(below)
    }

    pub(crate) fn put(&mut self, after: f64, event: Event) {
        self.schedule.put(self.now + after, event);
    }

    /// Whether such an event is to happen.
    pub(crate) fn waits_for(&self, is: impl Fn(&Event) -> bool) -> bool {
        self.schedule.all().any(is)
    }

    pub(crate) fn say(&self, text: impl FnOnce() -> String) {
        if self.loud {
            eprintln!("{:9.4} {}", self.now, text());
        }
    }

    /// How long a message takes.
    pub(crate) fn way(&mut self) -> f64 {
        self.delay * (0.8 + 0.004 * self.draw(100) as f64)
    }

    /// This machine hears no other one, or is heard by none, or both.
    pub fn cut_off(&mut self, node: NodeId, hears_nobody: bool, unheard: bool) {
        self.say(|| {
            format!("control {node} is cut off: hears nobody {hears_nobody}, unheard {unheard}")
        });
        self.cut_off.insert(node);
        let others: Vec<NodeId> = self
            .controls
            .keys()
            .copied()
            .filter(|other| *other != node)
            .collect();
        for other in others {
            if hears_nobody {
                self.links.cut.insert((other, node));
            }
            if unheard {
                self.links.cut.insert((node, other));
            }
        }
        self.trouble(node);
    }

    /// Nothing is cut at this machine any more.
    pub fn heal(&mut self, node: NodeId) {
        self.say(|| format!("control {node} is no longer cut off"));
        self.cut_off.remove(&node);
        self.links
            .cut
            .retain(|(from, to)| *from != node && *to != node);
        self.trouble(node);
        self.release_held();
    }

    /// These control machines and those don't reach each other; each reaches all routers, servers and operators.
    pub fn cut_halves(&mut self, half: &[NodeId], other: &[NodeId]) {
        self.say(|| format!("control is cut into {half:?} and {other:?}"));
        self.halves = true;
        self.seen.event = self.now;
        for one in half {
            other
                .iter()
                .for_each(|other| self.links.cut_between(*one, *other));
        }
    }

    /// The halves reach each other again; what else was cut is whole as well.
    pub fn join_halves(&mut self) {
        self.say(|| "control is no longer cut into halves".to_owned());
        self.seen.event = self.now;
        self.heal_all();
    }

    /// Nothing is cut any more.
    pub fn heal_all(&mut self) {
        self.halves = false;
        self.cut_off.clear();
        self.links.cut.clear();
        self.release_held();
    }

    fn release_held(&mut self) {
        for (from, to) in self.links.to_release() {
            for parcel in self.links.release(from, to, self.now, &mut self.chance) {
                let way = self.way();
                let at = self.links.arrival(from, to, self.now, way);
                self.put(at - self.now, Event::Peer(parcel));
            }
        }
    }

    /// All connections between control machines end.
    pub fn reset_links(&mut self) {
        let nodes: Vec<NodeId> = self.controls.keys().copied().collect();
        for from in &nodes {
            for to in nodes.iter().filter(|to| *to != from) {
                self.links.reset(*from, *to);
            }
        }
        self.seen.event = self.now;
    }

    /// The disk of this machine takes what is written like this from now on.
    pub fn set_disk(&mut self, node: NodeId, health: crate::disk::DiskHealth) {
        self.say(|| format!("disk of control {node}: {health:?}"));
        self.trouble(node);
        self.controls
            .get_mut(&node)
            .expect("the machine exists")
            .disk
            .health = health;
    }

    /// This machine is asked to end.
    pub fn resign(&mut self, node: NodeId) {
        self.say(|| format!("control {node} is asked to end"));
        self.trouble(node);
        if let Some(machine) = self.controls.get_mut(&node) {
            machine.ending = true;
        }
        self.with(node, badgerstream_control::Controller::resign);
    }

    /// It is asked to end soon, and will be removed.
    pub fn leave_before_removal(&mut self, node: NodeId) {
        self.trouble(node);
        self.put(1.5, Event::Resign(node));
    }

    /// Another machine takes the place of this one, from now on.
    pub fn seen_successor(&mut self, node: NodeId) {
        self.seen.successors.insert(node, Some(self.now + 3.0));
    }

    pub(crate) fn call_for_operator(&mut self, at: usize) -> u64 {
        self.calls += 1;
        self.callers.insert(self.calls, Caller::Operator(at));
        self.calls
    }

    pub(crate) fn call_for_server(&mut self, id: &str) -> u64 {
        self.calls += 1;
        self.callers
            .insert(self.calls, Caller::Server(id.to_owned()));
        self.calls
    }

    /// A control machine answers a call.
    pub(crate) fn reply(&mut self, node: NodeId, call: u64, answer: ControlResponse) {
        let clock = self.now + self.controls[&node].offset;
        let answer = match clock < answer.valid_until {
            true => answer,
            // It rested on contact that is over.
            false => ControlResponse {
                status: 503,
                body: std::rc::Rc::from([]),
                valid_until: f64::INFINITY,
            },
        };
        match self.callers.remove(&call) {
            Some(Caller::Operator(_)) if self.chance.of_thousand(self.lost_replies) => {}
            Some(Caller::Operator(at)) => self.answer_operator(at, call, &answer),
            Some(Caller::Server(id)) if answer.status != 200 => {
                self.put(0.05, Event::Heartbeat(id));
            }
            Some(Caller::Server(_)) => {}
            None => {
                self.replies
                    .entry(call)
                    .or_insert((answer.status, answer.body.to_vec()));
            }
        }
    }

    /// Lets so many seconds pass.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some((at, event)) = self.schedule.next_until(until) {
            self.now = self.now.max(at);
            self.handle(event);
            self.check();
        }
        self.now = until;
    }

    /// Lets the next event happen.
    pub fn step(&mut self) {
        if let Some((at, event)) = self.schedule.next_until(f64::INFINITY) {
            self.now = self.now.max(at);
            self.handle(event);
            self.check();
        }
    }

    /// Runs until this holds; gives the seconds it took, or panics after so many.
    pub fn run_until(&mut self, most: f64, what: &str, holds: impl Fn(&World) -> bool) -> f64 {
        let begin = self.now;
        while !holds(self) {
            assert!(
                self.now - begin < most,
                "not within {most} s: {what} (phase {})",
                self.phase()
            );
            self.run(0.005);
        }
        self.now - begin
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match &event {
            Event::Tick(node, life) => {
                if !self.reaches(*node, Some(*life), &event) {
                    return;
                }
                self.with(*node, badgerstream_control::Controller::tick);
                if self.now - self.controls[node].servers_kept >= KEEP_SERVERS {
                    self.keep_servers(*node);
                }
                let leads = self.controls[node]
                    .controller
                    .as_ref()
                    .is_some_and(Controller::is_leader);
                self.put(if leads { 0.02 } else { 0.05 }, Event::Tick(*node, *life));
            }
            Event::Peer(parcel) => self.deliver(parcel.clone(), &event),
            Event::Met(node, other, life) => {
                if self.reaches(*node, Some(*life), &event) {
                    self.with(*node, |controller, _| controller.peer_connected(*other));
                }
            }
            Event::Saved(node, life) => self.saved(*node, *life),
            Event::Reopen(node, life) => self.reopen(*node, *life),
            Event::ControlRequest(node, number, call) => {
                if self.reaches(*node, None, &event) {
                    self.call(*node, *number, call.clone());
                }
            }
            Event::Operator(at) => self.operate(*at),
            Event::Resign(node) => {
                if self.reaches(*node, None, &event) {
                    self.resign(*node);
                }
            }
            Event::Look => {
                self.check_liveness();
                self.put(LOOK, Event::Look);
            }
            Event::AskAt {
                node,
                life,
                id,
                statement,
                asked,
            } => {
                if self.servers[id].health != Health::Up {
                    let refused = Event::CommandOutcome {
                        node: *node,
                        life: *life,
                        id: id.clone(),
                        asked: CommandOutcome::Refused,
                    };
                    self.put(0.001, refused);
                    return;
                }
                let row = self.run_statement(id, *statement);
                if !matches!(statement, ServerCommand::Status) {
                    self.say(|| format!("control {node} {statement:?} {id}: {row:?}"));
                }
                let lost = self.draw(1000) < self.lost_answers;
                let way = self.way();
                let (after, asked) = match row {
                    _ if lost => (0.6, CommandOutcome::TimedOut),
                    Some(row) => (
                        way,
                        CommandOutcome::Status {
                            command: *statement,
                            status: row,
                            sent_at: *asked,
                        },
                    ),
                    None => (way, CommandOutcome::Busy),
                };
                self.put(
                    after,
                    Event::CommandOutcome {
                        node: *node,
                        life: *life,
                        id: id.clone(),
                        asked,
                    },
                );
            }
            Event::CommandOutcome {
                node,
                life,
                id,
                asked,
            } => {
                if self.reaches(*node, Some(*life), &event) {
                    let control = self.controls.get_mut(node).unwrap();
                    let now = self.now + control.offset;
                    control
                        .controller
                        .as_mut()
                        .unwrap()
                        .command_completed(now, SERVICE, id, *asked);
                }
            }
            Event::Renew {
                node,
                life,
                conn,
                router,
                call,
            } => {
                if self.apart.contains(&(*node, *router)) {
                    return;
                }
                if self.reaches(*node, Some(*life), &event) {
                    let call = call.clone();
                    self.with(*node, |s, now| s.handle_lease_request(now, *conn, call));
                }
            }
            Event::News {
                router,
                conn,
                message,
            } => {
                if self.routers[*router].frozen {
                    self.routers[*router].inbox.push(event);
                    return;
                }
                self.news(*router, *conn, message.clone());
            }
            Event::RouterTick(router) => {
                self.router_tick(*router);
                self.put(0.01, Event::RouterTick(*router));
            }
            Event::Heartbeat(id) => {
                self.beat(id);
            }
            Event::Statement(router) => {
                self.statement(*router);
                let wait = 0.02 + 0.0002 * self.draw(100) as f64;
                self.put(wait, Event::Statement(*router));
            }
            Event::At {
                router,
                server,
                write,
                seen,
                sent,
            } => self.at(*router, server, *write, *seen, *sent),
            Event::Answered { router, server } => {
                let clock = self.now + self.routers[*router].offset;
                self.routers[*router].evidence.insert(server.clone(), clock);
            }
            Event::Replicate => {
                self.replicate();
                self.put(0.006, Event::Replicate);
            }
            Event::Append {
                from,
                to,
                term,
                log,
            } => {
                let server = self.servers.get_mut(to).unwrap();
                if server.health != Health::Up
                    || server.leader
                    || server.deaf
                    || server.held.is_some()
                    || self.now < server.apart_until
                    || server.term > *term
                {
                    return;
                }
                server.term = *term;
                if server.log.len() <= log.len() || server.log[..log.len()] != log[..] {
                    server.log.clone_from(log);
                }
                let way = self.way();
                self.put(
                    way,
                    Event::Appended {
                        primary: from.clone(),
                        term: *term,
                        length: log.len(),
                    },
                );
            }
            Event::Appended {
                primary,
                term,
                length,
            } => {
                let server = self.servers.get_mut(primary).unwrap();
                if server.health != Health::Up || !server.leader || server.term != *term {
                    return;
                }
                let from = server.acked;
                if *length > from {
                    server.acked = *length;
                    let news: Vec<u64> = server.log[from..*length].iter().map(|e| e.1).collect();
                    self.acknowledge(primary, *term, news);
                }
            }
            Event::Post {
                node,
                life,
                id,
                fence,
                before,
            } => {
                if !self.reaches(*node, Some(*life), &event) {
                    return;
                }
                let control = &self.controls[node];
                let promised = control
                    .controller
                    .as_ref()
                    .unwrap()
                    .hard_state()
                    .voted_term
                    .0;
                if self.now + control.offset >= *before || promised != *fence {
                    let outcome = PromotionOutcome::NotSent;
                    let answer = Event::PostAnswer {
                        node: *node,
                        life: *life,
                        id: id.clone(),
                        outcome,
                    };
                    self.put(0.0, answer);
                    return;
                }
                let way = self.way();
                self.put(
                    way,
                    Event::PostAt {
                        node: *node,
                        life: *life,
                        id: id.clone(),
                        fence: *fence,
                    },
                );
            }
            Event::PostAt {
                node,
                life,
                id,
                fence,
            } => self.post_at(*node, *life, id, *fence),
            Event::Promote(id) => self.promote(id),
            Event::PostAnswer {
                node,
                life,
                id,
                outcome,
            } => {
                if self.reaches(*node, Some(*life), &event) {
                    let control = self.controls.get_mut(node).unwrap();
                    let now = self.now + control.offset;
                    control
                        .controller
                        .as_mut()
                        .unwrap()
                        .promotion_completed(now, SERVICE, id, *outcome);
                }
            }
            Event::Depose(id, term) => {
                let server = self.servers.get_mut(id).unwrap();
                if server.leader && server.term < *term {
                    if server.health == Health::Up {
                        server.leader = false;
                    } else {
                        self.put(1.0, event);
                    }
                }
            }
        }
    }
}
