//! One clock, all events, and what happens at each.

use crate::control_machine::{ControlMachine, PERSIST_MEMBERS_INTERVAL_S};
use crate::digest::{LastRecorded, RunDigest};
use crate::network::{PeerEnvelope, PeerNetwork};
use crate::operators::{ConfigChange, Operator};
use crate::oracle::Oracle;
use crate::routers::Router;
use crate::schedule::{EventQueue, RandomSource};
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
const LIVENESS_CHECK_INTERVAL_S: f64 = 0.2;
/// Calls of operators and heartbeats of servers have numbers from here on.
const FIRST_REQUEST_ID: u64 = 1 << 32;

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(NodeId, u64),
    Peer(PeerEnvelope),
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
enum Requester {
    Operator(usize),
    Server(String),
}

/// The whole of it.
#[derive(Clone)]
pub struct Simulation {
    /// The time, in seconds.
    pub now: f64,
    schedule: EventQueue<Event>,
    pub(crate) chance: RandomSource,
    /// Control machines.
    pub machines: BTreeMap<NodeId, ControlMachine>,
    /// The control machines that settings name.
    pub seed_nodes: Vec<NodeId>,
    /// How many control machines may be lost at once.
    pub fault_budget: usize,
    /// Connections between control machines.
    pub network: PeerNetwork,
    /// Control machines that are cut off from the others, one way at least.
    pub(crate) isolated: BTreeSet<NodeId>,
    /// The control machines are cut into two halves.
    pub halved: bool,
    /// The newest connection that a machine (first) has heard of another one.
    pub(crate) newest_connections: HashMap<(NodeId, NodeId), u64>,
    pub routers: Vec<Router>,
    pub servers: BTreeMap<String, Server>,
    pub operators: Vec<Operator>,
    pub config_changes: Vec<ConfigChange>,
    /// What the oracle has seen.
    pub oracle: Oracle,
    /// Control machines that reach no server, and pairs of control machine and router that do not meet.
    pub cut_from_servers: HashSet<NodeId>,
    pub cut_from_routers: HashSet<(NodeId, usize)>,
    /// Servers that answer no control machine, though they go on.
    pub unresponsive_to_control: HashSet<String>,
    /// Of a thousand questions to servers, so many do their work and their answers are lost.
    pub command_answers_lost_per_mille: u64,
    /// Of a thousand calls to the platform, so many do their work and their answers are lost.
    pub promotion_answers_lost_per_mille: u64,
    /// Of a thousand answers to operators, so many are lost.
    pub operator_answers_lost_per_mille: u64,
    /// The answers of the next calls to the platform, which then do nothing.
    pub scripted_statuses: Vec<u16>,
    pub checks_fencing_tokens: bool,
    pub promotion_duration_s: f64,
    pub message_delay_s: f64,
    /// The row's last field is the highest term heard of, and stays; otherwise it is 0 unless held.
    pub reports_highest_term_seen: bool,
    /// A second `ACTION_INTERVAL_S` of the same term is refused.
    pub rejects_repeated_pause: bool,
    pub statements_enabled: bool,
    pub(crate) highest_fencing_token: u64,
    pub(crate) last_commit: u64,
    pub(crate) last_router_connection: u64,
    last_request_id: u64,
    requesters: HashMap<u64, Requester>,
    /// Commits that were acknowledged, in that order.
    pub acknowledged_commits: Vec<u64>,
    /// The servers that were promoted, and when.
    pub promotions: Vec<(String, f64)>,
    pub promotion_requests: Vec<(String, u64)>,
    /// Answers to calls of a test, by their numbers.
    pub responses: BTreeMap<u64, (u16, Vec<u8>)>,
    traces: bool,
    pub acknowledgement_times: Vec<f64>,
    pub(crate) run_digest: RunDigest,
    pub(crate) last_recorded: LastRecorded,
}

impl Simulation {
    /// Three control machines, two routers, and the servers a (primary), b, c; nothing has run yet.
    pub fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation::control_only(seed, 3, 1);
        for at in 0..2 {
            simulation.add_router(at);
        }
        for id in ["a", "b", "c"] {
            simulation.add_server(id, &format!("10.0.0.{}:1", id.as_bytes()[0]), id == "a");
        }
        simulation.schedule(0.0, Event::Replicate);
        simulation
    }

    /// So many control machines, of which so many may be lost at once, and nothing else.
    pub fn control_only(seed: u64, machines: u32, budget: usize) -> Simulation {
        let mut simulation = Simulation {
            now: 0.0,
            schedule: EventQueue::default(),
            chance: RandomSource::new(seed),
            machines: BTreeMap::new(),
            seed_nodes: (1..=machines.min(3)).collect(),
            fault_budget: budget,
            network: PeerNetwork::default(),
            isolated: BTreeSet::new(),
            halved: false,
            newest_connections: HashMap::new(),
            routers: Vec::new(),
            servers: BTreeMap::new(),
            operators: Vec::new(),
            config_changes: Vec::new(),
            oracle: Oracle::default(),
            cut_from_servers: HashSet::new(),
            cut_from_routers: HashSet::new(),
            unresponsive_to_control: HashSet::new(),
            command_answers_lost_per_mille: 0,
            promotion_answers_lost_per_mille: 0,
            operator_answers_lost_per_mille: 0,
            scripted_statuses: Vec::new(),
            checks_fencing_tokens: false,
            promotion_duration_s: 0.6,
            message_delay_s: 0.0015,
            reports_highest_term_seen: false,
            rejects_repeated_pause: false,
            statements_enabled: true,
            highest_fencing_token: 0,
            last_commit: 0,
            last_router_connection: 0,
            last_request_id: FIRST_REQUEST_ID,
            requesters: HashMap::new(),
            acknowledged_commits: Vec::new(),
            promotions: Vec::new(),
            promotion_requests: Vec::new(),
            responses: BTreeMap::new(),
            traces: std::env::var("LOUD").is_ok(),
            acknowledgement_times: Vec::new(),
            run_digest: RunDigest::default(),
            last_recorded: LastRecorded::default(),
        };
        let seeds = simulation.seed_nodes.clone();
        for node in 1..=machines {
            simulation.add_control(node, badgerstream_control::FOUNDING_INCARNATION, &seeds);
            simulation.start(node);
        }
        simulation.schedule(LIVENESS_CHECK_INTERVAL_S, Event::Look);
        simulation
    }

    /// A number below that one.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.chance.below(below)
    }

    pub(crate) fn schedule(&mut self, after: f64, event: Event) {
        self.schedule.push(self.now + after, event);
    }

    /// Whether such an event is to happen.
    pub(crate) fn is_scheduled(&self, is: impl Fn(&Event) -> bool) -> bool {
        self.schedule.pending().any(is)
    }

    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.traces {
            eprintln!("{:9.4} {}", self.now, text());
        }
    }

    /// How long a message takes.
    pub(crate) fn message_delay(&mut self) -> f64 {
        self.message_delay_s * (0.8 + 0.004 * self.draw(100) as f64)
    }

    /// This machine hears no other one, or is heard by none, or both.
    pub fn isolate(&mut self, node: NodeId, hears_nobody: bool, unheard: bool) {
        self.trace(|| {
            format!("control {node} is cut off: hears nobody {hears_nobody}, unheard {unheard}")
        });
        self.isolated.insert(node);
        let others: Vec<NodeId> = self
            .machines
            .keys()
            .copied()
            .filter(|other| *other != node)
            .collect();
        for other in others {
            if hears_nobody {
                self.network.blocked.insert((other, node));
            }
            if unheard {
                self.network.blocked.insert((node, other));
            }
        }
        self.record_fault(node);
    }

    /// Nothing is cut at this machine any more.
    pub fn heal(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} is no longer cut off"));
        self.isolated.remove(&node);
        self.network
            .blocked
            .retain(|(from, to)| *from != node && *to != node);
        self.record_fault(node);
        self.release_held_back();
    }

    /// These control machines and those don't reach each other; each reaches all routers, servers and operators.
    pub fn partition_halves(&mut self, half: &[NodeId], other: &[NodeId]) {
        self.trace(|| format!("control is cut into {half:?} and {other:?}"));
        self.halved = true;
        self.oracle.last_fault_at = self.now;
        for one in half {
            other
                .iter()
                .for_each(|other| self.network.block_both_ways(*one, *other));
        }
    }

    /// The halves reach each other again; what else was cut is whole as well.
    pub fn rejoin_halves(&mut self) {
        self.trace(|| "control is no longer cut into halves".to_owned());
        self.oracle.last_fault_at = self.now;
        self.heal_all();
    }

    /// Nothing is cut any more.
    pub fn heal_all(&mut self) {
        self.halved = false;
        self.isolated.clear();
        self.network.blocked.clear();
        self.release_held_back();
    }

    fn release_held_back(&mut self) {
        for (from, to) in self.network.releasable() {
            for envelope in self.network.release(from, to, self.now, &mut self.chance) {
                let way = self.message_delay();
                let at = self.network.arrival_time(from, to, self.now, way);
                self.schedule(at - self.now, Event::Peer(envelope));
            }
        }
    }

    /// All connections between control machines end.
    pub fn reset_connections(&mut self) {
        let nodes: Vec<NodeId> = self.machines.keys().copied().collect();
        for from in &nodes {
            for to in nodes.iter().filter(|to| *to != from) {
                self.network.reset(*from, *to);
            }
        }
        self.oracle.last_fault_at = self.now;
    }

    /// The disk of this machine takes what is written like this from now on.
    pub fn set_disk_health(&mut self, node: NodeId, health: crate::disk::DiskHealth) {
        self.trace(|| format!("disk of control {node}: {health:?}"));
        self.record_fault(node);
        self.machines
            .get_mut(&node)
            .expect("the machine exists")
            .disk
            .health = health;
    }

    /// This machine is asked to end.
    pub fn request_shutdown(&mut self, node: NodeId) {
        self.trace(|| format!("control {node} is asked to end"));
        self.record_fault(node);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.shutting_down = true;
        }
        self.with_controller(node, badgerstream_control::Controller::resign);
    }

    /// It is asked to end soon, and will be removed.
    pub fn schedule_shutdown(&mut self, node: NodeId) {
        self.record_fault(node);
        self.schedule(1.5, Event::Resign(node));
    }

    /// Another machine takes the place of this one, from now on.
    pub fn expect_successor(&mut self, node: NodeId) {
        self.oracle.successors.insert(node, Some(self.now + 3.0));
    }

    pub(crate) fn register_operator_request(&mut self, at: usize) -> u64 {
        self.last_request_id += 1;
        self.requesters
            .insert(self.last_request_id, Requester::Operator(at));
        self.last_request_id
    }

    pub(crate) fn register_server_request(&mut self, id: &str) -> u64 {
        self.last_request_id += 1;
        self.requesters
            .insert(self.last_request_id, Requester::Server(id.to_owned()));
        self.last_request_id
    }

    /// A control machine answers a call.
    pub(crate) fn respond(&mut self, node: NodeId, call: u64, answer: ControlResponse) {
        let clock = self.now + self.machines[&node].clock_offset;
        let answer = match clock < answer.valid_until {
            true => answer,
            // It rested on contact that is over.
            false => ControlResponse {
                status: 503,
                body: std::rc::Rc::from([]),
                valid_until: f64::INFINITY,
            },
        };
        match self.requesters.remove(&call) {
            Some(Requester::Operator(_))
                if self.chance.per_mille(self.operator_answers_lost_per_mille) => {}
            Some(Requester::Operator(at)) => self.answer_operator(at, call, &answer),
            Some(Requester::Server(id)) if answer.status != 200 => {
                self.schedule(0.05, Event::Heartbeat(id));
            }
            Some(Requester::Server(_)) => {}
            None => {
                self.responses
                    .entry(call)
                    .or_insert((answer.status, answer.body.to_vec()));
            }
        }
    }

    /// Lets so many seconds pass.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some((at, event)) = self.schedule.pop_until(until) {
            self.now = self.now.max(at);
            self.handle(event);
            self.check_safety();
        }
        self.now = until;
    }

    /// Lets the next event happen.
    pub fn step(&mut self) {
        if let Some((at, event)) = self.schedule.pop_until(f64::INFINITY) {
            self.now = self.now.max(at);
            self.handle(event);
            self.check_safety();
        }
    }

    /// Runs until this holds; gives the seconds it took, or panics after so many.
    pub fn run_until(&mut self, most: f64, what: &str, holds: impl Fn(&Simulation) -> bool) -> f64 {
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
                if !self.admit(*node, Some(*life), &event) {
                    return;
                }
                self.with_controller(*node, badgerstream_control::Controller::tick);
                if self.now - self.machines[node].members_persisted_at >= PERSIST_MEMBERS_INTERVAL_S
                {
                    self.persist_members(*node);
                }
                let leads = self.machines[node]
                    .controller
                    .as_ref()
                    .is_some_and(Controller::is_leader);
                self.schedule(if leads { 0.02 } else { 0.05 }, Event::Tick(*node, *life));
            }
            Event::Peer(envelope) => self.deliver_peer_message(envelope.clone(), &event),
            Event::Met(node, other, life) => {
                if self.admit(*node, Some(*life), &event) {
                    self.with_controller(*node, |controller, _| controller.peer_connected(*other));
                }
            }
            Event::Saved(node, life) => self.persist_completed(*node, *life),
            Event::Reopen(node, life) => self.reopen_disk(*node, *life),
            Event::ControlRequest(node, number, call) => {
                if self.admit(*node, None, &event) {
                    self.submit_request(*node, *number, call.clone());
                }
            }
            Event::Operator(at) => self.operator_acts(*at),
            Event::Resign(node) => {
                if self.admit(*node, None, &event) {
                    self.request_shutdown(*node);
                }
            }
            Event::Look => {
                self.check_liveness();
                self.schedule(LIVENESS_CHECK_INTERVAL_S, Event::Look);
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
                    self.schedule(0.001, refused);
                    return;
                }
                let row = self.execute_command(id, *statement);
                if !matches!(statement, ServerCommand::Status) {
                    self.trace(|| format!("control {node} {statement:?} {id}: {row:?}"));
                }
                let lost = self.draw(1000) < self.command_answers_lost_per_mille;
                let way = self.message_delay();
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
                self.schedule(
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
                if self.admit(*node, Some(*life), &event) {
                    let control = self.machines.get_mut(node).unwrap();
                    let now = self.now + control.clock_offset;
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
                if self.cut_from_routers.contains(&(*node, *router)) {
                    return;
                }
                if self.admit(*node, Some(*life), &event) {
                    let call = call.clone();
                    self.with_controller(*node, |s, now| s.handle_lease_request(now, *conn, call));
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
                self.router_message_arrived(*router, *conn, message.clone());
            }
            Event::RouterTick(router) => {
                self.router_tick(*router);
                self.schedule(0.01, Event::RouterTick(*router));
            }
            Event::Heartbeat(id) => {
                self.send_heartbeat(id);
            }
            Event::Statement(router) => {
                self.send_statement(*router);
                let wait = 0.02 + 0.0002 * self.draw(100) as f64;
                self.schedule(wait, Event::Statement(*router));
            }
            Event::At {
                router,
                server,
                write,
                seen,
                sent,
            } => self.statement_arrived(*router, server, *write, *seen, *sent),
            Event::Answered { router, server } => {
                let clock = self.now + self.routers[*router].clock_offset;
                self.routers[*router]
                    .last_answers
                    .insert(server.clone(), clock);
            }
            Event::Replicate => {
                self.replicate();
                self.schedule(0.006, Event::Replicate);
            }
            Event::Append {
                from,
                to,
                term,
                log,
            } => {
                let server = self.servers.get_mut(to).unwrap();
                if server.health != Health::Up
                    || server.is_primary
                    || server.receives_nothing
                    || server.paused_at_term.is_some()
                    || self.now < server.reconnects_at
                    || server.primary_term > *term
                {
                    return;
                }
                server.primary_term = *term;
                if server.log.len() <= log.len() || server.log[..log.len()] != log[..] {
                    server.log.clone_from(log);
                }
                let way = self.message_delay();
                self.schedule(
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
                if server.health != Health::Up || !server.is_primary || server.primary_term != *term
                {
                    return;
                }
                let from = server.acknowledged_length;
                if *length > from {
                    server.acknowledged_length = *length;
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
                if !self.admit(*node, Some(*life), &event) {
                    return;
                }
                let control = &self.machines[node];
                let promised = control
                    .controller
                    .as_ref()
                    .unwrap()
                    .hard_state()
                    .voted_term
                    .0;
                if self.now + control.clock_offset >= *before || promised != *fence {
                    let outcome = PromotionOutcome::NotSent;
                    let answer = Event::PostAnswer {
                        node: *node,
                        life: *life,
                        id: id.clone(),
                        outcome,
                    };
                    self.schedule(0.0, answer);
                    return;
                }
                let way = self.message_delay();
                self.schedule(
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
            } => self.promotion_request_arrived(*node, *life, id, *fence),
            Event::Promote(id) => self.promote(id),
            Event::PostAnswer {
                node,
                life,
                id,
                outcome,
            } => {
                if self.admit(*node, Some(*life), &event) {
                    let control = self.machines.get_mut(node).unwrap();
                    let now = self.now + control.clock_offset;
                    control
                        .controller
                        .as_mut()
                        .unwrap()
                        .promotion_completed(now, SERVICE, id, *outcome);
                }
            }
            Event::Depose(id, term) => {
                let server = self.servers.get_mut(id).unwrap();
                if server.is_primary && server.primary_term < *term {
                    if server.health == Health::Up {
                        server.is_primary = false;
                    } else {
                        self.schedule(1.0, event);
                    }
                }
            }
        }
    }
}
