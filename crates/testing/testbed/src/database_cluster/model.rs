//! The state of a cluster, its construction, and queries on it. The other modules change it.

use crate::replica::{KeyWrite, Replica};
use crate::rule_checker::RuleChecker;
use badgerstream_control_api::members::{DbRole, Heartbeat, Phase};
use badgerstream_line_protocol::{ErrorCode, Position, StatementKind};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The initial primary term of each service.
const FIRST_TERM: u64 = 1;

/// Identifies a connection to a server; numbers are never reused.
pub type ConnectionId = u64;

/// Simulated durations, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time for which a new connection occupies a slot.
    pub connect_s: f64,
    /// Time for which a read, a write or a commit occupies a slot.
    pub statement_s: f64,
    /// Time from a commit at the primary until a replica receives it.
    pub replication_s: f64,
    /// Time from the receipt of a commit by a replica until its reads see it.
    pub apply_s: f64,
    /// Time from the platform's response to a promotion until the promoted server is the primary.
    pub promotion_s: f64,
    /// Time during which a replica whose log is truncated starts no statement.
    pub truncation_s: f64,
    /// Time after which a replaced primary steps down without being told to.
    pub deposed_primary_s: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect_s: 0.012,
            statement_s: 0.004,
            replication_s: 0.0014,
            apply_s: 0.06,
            promotion_s: 0.3,
            truncation_s: 0.05,
            deposed_primary_s: 1.0,
        }
    }
}

/// A service of the cluster.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Maximum number of connections to a server, over all callers.
    pub max_connections: usize,
    /// Maximum number of statements that a server runs concurrently.
    pub slots: usize,
    /// Its servers; the first one is the initial primary.
    pub servers: Vec<ServerSpec>,
}

/// A server of a service.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Its id, unique in the cluster.
    pub id: String,
    /// The address at which it listens.
    pub listen_address: SocketAddr,
    /// The address that its heartbeats advertise: that of a relay in front of it, or its own.
    pub advertised_address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// An action that the host must perform on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionOutput {
    /// Write this text.
    Send(ConnectionId, String),
    /// Close it once all earlier texts are written.
    Close(ConnectionId),
}

/// An `ERROR` line, which rejects a connection or a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Its code.
    pub code: ErrorCode,
    /// The text after the code: the server's id, or a message for people.
    pub text: String,
}

impl Rejection {
    pub(super) fn new(code: ErrorCode, text: &str) -> Self {
        Self {
            code,
            text: text.to_owned(),
        }
    }

    /// Returns the line without its line ending.
    pub(super) fn line(&self) -> String {
        format!("ERROR {} {}", self.code.as_str(), self.text)
    }

    /// Returns the line with its line ending.
    pub fn response(&self) -> String {
        format!("{}\r\n", self.line())
    }
}

/// The part of a server's state whose changes its heartbeats announce without delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedState {
    /// Whether the server considers itself the primary.
    pub is_primary: bool,
    /// Whether it drains.
    pub draining: bool,
}

/// The work that a job does at the end of its time in a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Work {
    /// Sends the first line to a new connection.
    Connect,
    /// `STATUS`, and the statements with the same response.
    Status,
    Read {
        key: String,
    },
    Write(KeyWrite),
    /// Commits a transaction.
    Commit,
}

/// A statement that waits for a slot or occupies one.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) connection: ConnectionId,
    pub(super) statement_id: String,
    pub(super) work: Work,
}

#[derive(Debug, Clone)]
pub(super) struct RunningJob {
    pub(super) ends_at_s: f64,
    pub(super) job: Job,
}

#[derive(Debug, Clone)]
pub(super) struct Transaction {
    pub(super) read_only: bool,
    /// Set after an error: only statements that end the transaction are accepted.
    pub(super) failed: bool,
    /// The primary term of its server at its beginning: in any other term it can no longer write.
    pub(super) term: u64,
    pub(super) ids: Vec<String>,
    pub(super) writes: Vec<KeyWrite>,
}

#[derive(Debug)]
pub(super) struct Session {
    pub(super) server_id: String,
    pub(super) values: BTreeMap<String, String>,
    /// For each prepared statement, by name, whether it reads or writes; its text isn't needed.
    pub(super) prepared: BTreeMap<String, StatementKind>,
    pub(super) transaction: Option<Transaction>,
    pub(super) statement_count: u64,
}

/// A commit that not enough replicas have received for its acknowledgement.
#[derive(Debug)]
pub(super) struct UnacknowledgedCommit {
    pub(super) connection: ConnectionId,
    pub(super) position: Position,
    pub(super) stamp: String,
    pub(super) write_count: u64,
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) spec: ServerSpec,
    pub(super) service: String,
    pub(super) running: bool,
    pub(super) draining: bool,
    /// Whether it considers itself the primary; a replaced primary does so until it steps down.
    pub(super) is_primary: bool,
    /// The primary term in which it is primary or replica.
    pub(super) term: u64,
    /// The term of the `PAUSE TERM` in effect: the server receives no commits until it is resumed
    /// or a term begins.
    pub(super) paused_for_term: Option<u64>,
    pub(super) replica: Replica,
    /// Time at which another server replaced it as primary, until it steps down, in seconds.
    pub(super) deposed_at_s: Option<f64>,
    /// Time until which it starts no statement, in seconds.
    pub(super) busy_until_s: f64,
    pub(super) connection_count: usize,
    pub(super) running_jobs: Vec<RunningJob>,
    pub(super) queue: VecDeque<Job>,
    pub(super) unacknowledged: VecDeque<UnacknowledgedCommit>,
    pub(super) heartbeat_count: u64,
}

impl Server {
    fn new(spec: ServerSpec, service: String, is_primary: bool) -> Self {
        Self {
            spec,
            service,
            running: true,
            draining: false,
            is_primary,
            term: FIRST_TERM,
            paused_for_term: None,
            replica: Replica::new(FIRST_TERM),
            deposed_at_s: None,
            busy_until_s: 0.0,
            connection_count: 0,
            running_jobs: Vec::new(),
            queue: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            heartbeat_count: 0,
        }
    }
}

/// A promotion that the platform has accepted.
#[derive(Debug)]
pub(super) struct PendingPromotion {
    pub(super) due_at_s: f64,
    pub(super) server_id: String,
}

#[derive(Debug)]
pub(super) struct Service {
    pub(super) spec: ServiceSpec,
    /// The newest primary term.
    pub(super) term: u64,
    pub(super) promotions: Vec<PendingPromotion>,
    /// The highest fencing token seen.
    pub(super) fencing_token: u64,
    /// The position of the last commit that was acknowledged and is still in the log.
    pub(super) acknowledged: Position,
}

/// All services, their servers and sessions, and the platform's state.
#[derive(Debug)]
pub struct DatabaseCluster {
    pub(super) timing: Timing,
    pub(super) fencing: bool,
    pub(super) seed: u64,
    pub(super) now: f64,
    pub(super) services: BTreeMap<String, Service>,
    pub(super) servers: BTreeMap<String, Server>,
    pub(super) sessions: HashMap<ConnectionId, Session>,
    pub(super) last_connection: ConnectionId,
    pub(super) outputs: Vec<ConnectionOutput>,
    /// Counts violations of the safety rules.
    pub rule_checker: RuleChecker,
}

impl DatabaseCluster {
    /// Returns a cluster whose servers all run; the first of each service is its primary. With
    /// `fencing`, the platform rejects a fencing token below the highest one seen. `seed` is an
    /// input of the hash in commit stamps.
    pub fn new(specs: Vec<ServiceSpec>, timing: Timing, fencing: bool, seed: u64) -> Self {
        let mut services = BTreeMap::new();
        let mut servers = BTreeMap::new();
        for spec in specs {
            for (n, server) in spec.servers.iter().enumerate() {
                let id = server.id.clone();
                servers.insert(id, Server::new(server.clone(), spec.name.clone(), n == 0));
            }
            let service = Service {
                term: FIRST_TERM,
                promotions: Vec::new(),
                fencing_token: 0,
                acknowledged: Position {
                    term: FIRST_TERM,
                    number: 0,
                },
                spec,
            };
            services.insert(service.spec.name.clone(), service);
        }
        Self {
            timing,
            fencing,
            seed,
            now: 0.0,
            services,
            servers,
            sessions: HashMap::new(),
            last_connection: 0,
            outputs: Vec::new(),
            rule_checker: RuleChecker::default(),
        }
    }

    /// Returns the ids of all servers, running or not.
    pub fn server_ids(&self) -> Vec<String> {
        self.servers.keys().cloned().collect()
    }

    /// Returns the listen address of a server while it runs.
    pub fn listen_address(&self, id: &str) -> Option<SocketAddr> {
        let server = self.servers.get(id).filter(|server| server.running)?;
        Some(server.spec.listen_address)
    }

    /// Returns the primary of a service in its newest term, if it runs.
    pub fn primary(&self, service: &str) -> Option<&str> {
        let term = self.services.get(service)?.term;
        let primary = self.servers.values().find(|server| {
            server.service == service && server.running && server.is_primary && server.term == term
        })?;
        Some(primary.spec.id.as_str())
    }

    /// Returns whether another server of the service is the primary of its newest term.
    pub(super) fn has_other_primary(&self, server: &Server) -> bool {
        self.primary(&server.service)
            .is_some_and(|primary| primary != server.spec.id)
    }

    /// Returns the value of a key as a server's reads see it.
    pub fn read(&self, id: &str, key: &str) -> Option<&str> {
        self.servers.get(id)?.replica.get(key)
    }

    /// Returns the row with which a server answers `STATUS`.
    pub fn status_row(&self, id: &str) -> Option<String> {
        let server = self.servers.get(id)?;
        let role = if server.is_primary {
            "leader"
        } else {
            "follower"
        };
        let lag_ms = server.replica.next_unapplied().map_or(0.0, |commit| {
            (self.now - commit.received_at_s).max(0.0) * 1000.0
        });
        Some(format!(
            "{role} {} {} {} {lag_ms:.0} {} {}",
            server.term,
            server.replica.received(),
            server.paused_for_term.unwrap_or(0),
            server.running_jobs.len(),
            server.connection_count
        ))
    }

    /// Returns the body of a server's next heartbeat; `None` while it doesn't run.
    pub fn next_heartbeat(&mut self, id: &str) -> Option<Heartbeat> {
        let server = self.servers.get_mut(id).filter(|server| server.running)?;
        let service = self.services.get(&server.service)?;
        server.heartbeat_count += 1;
        Some(Heartbeat {
            backend: server.service.clone(),
            endpoint: server.spec.advertised_address.to_string(),
            zone: server.spec.zone.clone(),
            epoch: "v1".to_owned(),
            capacity: service.spec.slots as u32,
            phase: if server.draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
            cold_left_ms: 0,
            db_role: Some(if server.is_primary {
                DbRole::Leader
            } else {
                DbRole::Follower
            }),
            call_seq: server.heartbeat_count,
        })
    }

    /// Returns the state whose changes a server's heartbeats announce without delay; the default
    /// for an unknown id.
    pub fn announced_state(&self, id: &str) -> AnnouncedState {
        self.servers
            .get(id)
            .map_or_else(AnnouncedState::default, |server| AnnouncedState {
                is_primary: server.is_primary,
                draining: server.draining,
            })
    }

    pub(super) fn server_mut(&mut self, id: &str) -> &mut Server {
        self.servers
            .get_mut(id)
            .expect("servers are never removed, and ids come from sessions and servers")
    }
}
