//! The rules of the databases and of the platform, without sockets and clock: whoever owns those hands in seconds and
//! what was said, and takes out what is answered.
//!
//! Time is taken in steps of its own: [`DatabaseCluster::step`] does all that is due, in order, and [`DatabaseCluster::next`] tells when it
//! is to be called again.

use crate::replica::{Commit, Replica};
use crate::rule_checker::RuleChecker;
use badgerstream_control_api::members::{DbRole, Heartbeat, Phase};
use badgerstream_line_protocol::{
    ErrorCode, ParsedStatement, Position, Request, StatementKind, TransactionState,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

mod failover;
mod sessions;
mod statements;

/// Statements that wait for a slot of one server, at most; more are answered `RETRY`.
const MAX_QUEUED_STATEMENTS: usize = 200;

/// A connection to a server, by a number that is never used again.
pub type ConnectionId = u64;

/// Spans of the world, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// What a new connection occupies a slot for.
    pub open: f64,
    /// What a read, a write or a commit occupies a slot for.
    pub work: f64,
    /// From the primary to a replica, one way.
    pub network: f64,
    /// From when a replica has received a commit until reads see it.
    pub apply: f64,
    /// From the platform's answer until the named server leads.
    pub promote: f64,
    /// For so long a replica that was cut back answers nothing.
    pub cut: f64,
    /// For so long a replaced primary goes on by itself.
    pub lead_on: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            open: 0.012,
            work: 0.004,
            network: 0.0014,
            apply: 0.06,
            promote: 0.3,
            cut: 0.05,
            lead_on: 1.0,
        }
    }
}

/// A service to be played.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// How many replicas receive a commit before it is answered.
    pub sync_replicas: u32,
    /// Connections that a server takes from all callers together.
    pub max_conns: usize,
    /// Statements that a server runs at a time.
    pub slots: usize,
    /// Its servers; the first one leads.
    pub servers: Vec<ServerSpec>,
}

/// A server to be played.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Its id, like no other's.
    pub id: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Where it says that it is reached: a relay before it, or the same.
    pub told: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
}

/// What is to be done on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionOutput {
    /// To be written.
    Send(ConnectionId, String),
    /// To be closed, once all before it is written.
    Close(ConnectionId),
}

/// What a statement does while it occupies a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Work {
    Open,
    Status,
    ConfigRead { thing: String },
    Write { thing: String, data: String },
    Commit,
}

#[derive(Debug, Clone)]
struct Job {
    conn: ConnectionId,
    id: String,
    work: Work,
}

#[derive(Debug, Clone)]
struct Transaction {
    fetch: bool,
    failed: bool,
    /// The term that its server led in when it began.
    term: u64,
    ids: Vec<String>,
    puts: Vec<(String, String)>,
}

#[derive(Debug)]
struct Session {
    server: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (StatementKind, String)>,
    transaction: Option<Transaction>,
    statements: u64,
}

/// A commit whose answer waits for a replica.
#[derive(Debug)]
struct UnacknowledgedCommit {
    conn: ConnectionId,
    position: Position,
    stamp: String,
    writes: u64,
}

#[derive(Debug)]
struct Server {
    spec: ServerSpec,
    service: String,
    running: bool,
    draining: bool,
    leads: bool,
    /// The term that it leads or follows.
    term: u64,
    /// It receives nothing, and holds this term.
    paused: Option<u64>,
    copy: Replica,
    /// Since when another leads, while this one goes on.
    deposed: Option<f64>,
    busy_until: f64,
    conns: usize,
    running_jobs: Vec<(f64, Job)>,
    waiting: VecDeque<Job>,
    unacknowledged: VecDeque<UnacknowledgedCommit>,
    call_seq: u64,
}

#[derive(Debug)]
struct Service {
    spec: ServiceSpec,
    term: u64,
    /// Who is to lead, and from when.
    promotions: Vec<(f64, String)>,
    /// The highest fence seen.
    fence: u64,
    /// The furthest commit that was answered and is still in the log.
    answered: Position,
}

/// All services, and what the platform knows of them.
#[derive(Debug)]
pub struct DatabaseCluster {
    timing: Timing,
    fencing: bool,
    seed: u64,
    now: f64,
    services: BTreeMap<String, Service>,
    servers: BTreeMap<String, Server>,
    sessions: HashMap<ConnectionId, Session>,
    next: ConnectionId,
    out: Vec<ConnectionOutput>,
    /// What was seen of the users' rules.
    pub rule_checker: RuleChecker,
}

impl DatabaseCluster {
    /// All servers run, and each service's first one leads term 1. With `fencing` the platform refuses a fence below one
    /// that it has seen. The seed makes the stamps.
    pub fn new(services: Vec<ServiceSpec>, timing: Timing, fencing: bool, seed: u64) -> Self {
        let mut cluster = Self {
            timing,
            fencing,
            seed,
            now: 0.0,
            services: BTreeMap::new(),
            servers: BTreeMap::new(),
            sessions: HashMap::new(),
            next: 0,
            out: Vec::new(),
            rule_checker: RuleChecker::default(),
        };
        for service in services {
            for (at, spec) in service.servers.iter().enumerate() {
                let server = Server {
                    spec: spec.clone(),
                    service: service.name.clone(),
                    running: true,
                    draining: false,
                    leads: at == 0,
                    term: 1,
                    paused: None,
                    copy: Replica::new(1),
                    deposed: None,
                    busy_until: 0.0,
                    conns: 0,
                    running_jobs: Vec::new(),
                    waiting: VecDeque::new(),
                    unacknowledged: VecDeque::new(),
                    call_seq: 0,
                };
                cluster.servers.insert(spec.id.clone(), server);
            }
            let start = Position { term: 1, number: 0 };
            let name = service.name.clone();
            let state = Service {
                spec: service,
                term: 1,
                promotions: Vec::new(),
                fence: 0,
                answered: start,
            };
            cluster.services.insert(name, state);
        }
        cluster
    }

    /// The ids of all servers, running or not.
    pub fn ids(&self) -> Vec<String> {
        self.servers.keys().cloned().collect()
    }

    /// Where a server is reached, while it runs.
    pub fn endpoint(&self, id: &str) -> Option<SocketAddr> {
        self.servers
            .get(id)
            .filter(|s| s.running)
            .map(|s| s.spec.endpoint)
    }

    /// Who leads a service in its newest term, if that one runs.
    pub fn primary(&self, service: &str) -> Option<&str> {
        let term = self.services.get(service)?.term;
        let leads = |s: &&Server| s.service == service && s.running && s.leads && s.term == term;
        self.servers
            .values()
            .find(leads)
            .map(|s| s.spec.id.as_str())
    }

    /// What a server's reads see of a thing.
    pub fn read(&self, id: &str, thing: &str) -> Option<&str> {
        self.servers.get(id)?.copy.get(thing)
    }

    /// The row of `STATUS`.
    pub fn status(&self, id: &str) -> Option<String> {
        self.servers.get(id).map(|s| self.row(s))
    }

    /// The body of a server's next beat; none while it doesn't run.
    pub fn beat(&mut self, id: &str) -> Option<Heartbeat> {
        let slots = self
            .services
            .get(&self.servers.get(id)?.service)?
            .spec
            .slots as u32;
        let server = self.servers.get_mut(id).filter(|s| s.running)?;
        server.call_seq += 1;
        Some(Heartbeat {
            backend: server.service.clone(),
            endpoint: server.spec.told.to_string(),
            zone: server.spec.zone.clone(),
            epoch: "v1".to_owned(),
            capacity: slots,
            phase: if server.draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
            cold_left_ms: 0,
            db_role: Some(if server.leads {
                DbRole::Leader
            } else {
                DbRole::Follower
            }),
            call_seq: server.call_seq,
        })
    }

    /// What a server tells at once when it changes: whether it leads, and whether it drains.
    pub fn tells(&self, id: &str) -> (bool, bool) {
        self.servers
            .get(id)
            .map_or((false, false), |s| (s.leads, s.draining))
    }

    /// When [`DatabaseCluster::step`] has something to do.
    pub fn next(&self) -> Option<f64> {
        if !self.out.is_empty() {
            return Some(self.now);
        }
        let mut times: Vec<f64> = Vec::new();
        times.extend(
            self.services
                .values()
                .flat_map(|s| s.promotions.iter().map(|p| p.0)),
        );
        for server in self.servers.values().filter(|s| s.running) {
            times.extend(server.running_jobs.iter().map(|j| j.0));
            times.extend(self.receives(server).map(|c| c.given + self.timing.network));
            times.extend(
                server
                    .copy
                    .unapplied()
                    .map(|c| c.received + self.timing.apply),
            );
            if server.leads
                && self
                    .primary(&server.service)
                    .is_some_and(|p| p != server.spec.id)
            {
                times.extend(server.deposed.map(|at| at + self.timing.lead_on));
            }
        }
        times
            .into_iter()
            .min_by(f64::total_cmp)
            .map(|at| at.max(self.now))
    }

    /// Does all that is due, and gives what is to be written.
    pub fn step(&mut self, now: f64) -> Vec<ConnectionOutput> {
        self.step_to(now);
        std::mem::take(&mut self.out)
    }

    fn step_to(&mut self, now: f64) {
        let out = std::mem::take(&mut self.out);
        let mut all = out;
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.now = at;
            self.due();
            all.append(&mut self.out);
        }
        self.out = all;
        self.now = self.now.max(now);
    }

    /// The next commit that a replica receives.
    fn receives(&self, server: &Server) -> Option<&Commit> {
        if server.leads || server.paused.is_some() {
            return None;
        }
        let primary = &self.servers[self.primary(&server.service)?];
        (server.term == primary.term).then(|| primary.copy.after(server.copy.received().number))?
    }

    /// Everything of this moment.
    fn due(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            while let Some((_, id)) = self.services.get_mut(name).and_then(|s| {
                s.promotions
                    .iter()
                    .position(|p| p.0 <= now)
                    .map(|at| s.promotions.remove(at))
            }) {
                self.takes_over(name, &id);
            }
        }
        for id in self.ids() {
            if !self.servers[&id].running {
                continue;
            }
            let server = &self.servers[&id];
            let replaced = server.leads && self.primary(&server.service).is_some_and(|p| p != id);
            if replaced
                && server
                    .deposed
                    .is_some_and(|at| at + self.timing.lead_on <= now)
            {
                self.step_down(&id);
            }
            while let Some(commit) = self
                .receives(&self.servers[&id])
                .filter(|c| c.given + self.timing.network <= now)
            {
                let commit = Commit {
                    received: now,
                    ..commit.clone()
                };
                self.server(&id).copy.receive(commit);
            }
            let apply = self.timing.apply;
            let server = self.server(&id);
            while server
                .copy
                .unapplied()
                .is_some_and(|c| server.leads || c.received + apply <= now)
            {
                server.copy.apply();
            }
        }
        for id in self.ids() {
            while let Some(at) = self.servers[&id]
                .running_jobs
                .iter()
                .position(|j| j.0 <= now)
            {
                let (_, job) = self.server(&id).running_jobs.remove(at);
                self.done(&id, job);
            }
            self.fill_slots(&id);
            self.answer_commits(&id);
        }
    }

    fn server(&mut self, id: &str) -> &mut Server {
        self.servers.get_mut(id).expect("servers are never removed")
    }
}
