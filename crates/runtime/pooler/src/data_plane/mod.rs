//! The data plane of a router: serves the sessions of the clients that connect to the front (the
//! client-facing listener) over pooled connections to database servers.
//!
//! How a statement is processed:
//!
//! 1. `listener` accepts the client's connection and starts a task that serves its session
//!    (`client`);
//! 2. `client::dispatch` parses the statement, and answers it directly if it needs no server;
//! 3. `placement` chooses a server by the route's consistency and the freshness proofs of
//!    `service_state`;
//! 4. `admission` queues the statement for a connection and a slot there, by rank and arrival;
//! 5. `pool` hands out a connection (`server_connection`) and sets the session's values and
//!    prepared statement on it; `placement` then checks the lease once more;
//! 6. `pool::exchange` sends the statement and reads the answer; `client::single_statement`,
//!    `transaction` and `commit` decide whether the answer is forwarded, the statement is retried
//!    on another server, or its outcome is reported as in doubt.
//!
//! `maintenance` sweeps the pools and, after SIGTERM, moves the sessions through the stages of
//! `drain`.
//!
//! The policies are in `badgerstream_pooling`; this module owns the sessions, pools and service
//! states. It reads the view, which only [`crate::leader_session`] writes. Without a valid lease it
//! places nothing on a primary and commits no write. `process` starts it, `metrics` reads it.

mod admission;
mod client;
mod drain;
mod listener;
mod maintenance;
mod placement;
mod pool;
mod server_connection;
mod service_state;

use crate::counters::StatementCounts;
use crate::net::{self, Scratch};
use crate::view::{Server, SharedView};
use async_executor::LocalExecutor;
use drain::SessionHandle;
use pool::Pool;
pub use pool::PoolUsage;
pub use service_state::ProofAge;
use service_state::ServiceState;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long connections are still accepted after SIGTERM, in seconds: the platform keeps sending
/// new ones until two of its readiness checks have failed.
const ACCEPT_AFTER_TERM_S: f64 = 2.0;
/// Number of routers assumed to share a server's connections until control sends the number.
const DEFAULT_ROUTER_COUNT: usize = 9;

/// Limits and identity of a router.
#[derive(Debug, Clone)]
pub struct DataPlaneLimits {
    /// Maximum number of file descriptors of the process.
    pub file_limit: usize,
    /// Name of this router, sent to servers in `CONNECT`.
    pub name: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The grace period from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

/// Health of a server, derived from the statements and connections sent to it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHealth {
    /// Name of the service.
    pub service: String,
    /// Id of the server.
    pub server_id: String,
    /// When it last answered anything, in seconds of the monotonic clock; 0 for never.
    pub last_answer_at: f64,
    /// Since when statements or connections have had no answer, in seconds of the monotonic clock;
    /// `None` while the server answers or nothing is sent to it.
    pub failing_since: Option<f64>,
}

/// The data plane of one router.
pub struct DataPlane {
    tasks: Rc<LocalExecutor<'static>>,
    shared_view: SharedView,
    limits: DataPlaneLimits,
    scratch: Scratch,
    /// Pools by server id.
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    /// Service states by service name.
    services: RefCell<HashMap<String, ServiceState>>,
    sessions: RefCell<HashMap<u64, Rc<SessionHandle>>>,
    next_session_id: Cell<u64>,
    /// Number of statements without a response so far.
    active_statements: Cell<usize>,
    router_count: Cell<usize>,
    counts: StatementCounts,
    random: RefCell<fastrand::Rng>,
}

impl DataPlane {
    /// Binds the front address and serves clients there for as long as the executor runs. If
    /// binding fails, logs the error and retries every half second.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        shared_view: SharedView,
        front_address: SocketAddr,
        limits: DataPlaneLimits,
    ) -> Rc<Self> {
        let data_plane = Rc::new(Self {
            tasks: tasks.clone(),
            shared_view,
            scratch: RefCell::new(vec![0; net::READ_BUFFER_BYTES]),
            pools: RefCell::default(),
            services: RefCell::default(),
            sessions: RefCell::default(),
            next_session_id: Cell::new(0),
            active_statements: Cell::new(0),
            router_count: Cell::new(DEFAULT_ROUTER_COUNT),
            counts: StatementCounts::default(),
            random: RefCell::new(fastrand::Rng::with_seed(limits.seed)),
            limits,
        });
        // Bound before this returns, so that clients can connect as soon as the router reports
        // that it serves.
        let first_bind = listener::bind(front_address);
        tasks
            .spawn(data_plane.clone().accept(front_address, first_bind))
            .detach();
        tasks.spawn(data_plane.clone().maintain()).detach();
        data_plane
    }

    /// Returns the health of those servers of these services that have a pool.
    pub fn server_health(&self, services: &[String], now: f64) -> Vec<ServerHealth> {
        self.pools
            .borrow()
            .values()
            .filter(|pool| services.contains(&pool.server.service))
            .map(|pool| ServerHealth {
                service: pool.server.service.clone(),
                server_id: pool.server.id.clone(),
                last_answer_at: pool.last_answer_at(),
                failing_since: pool.failing_since(now),
            })
            .collect()
    }

    /// Returns the counts of statements by how they ended.
    pub fn counts(&self) -> &StatementCounts {
        &self.counts
    }

    /// Returns the connections and queue lengths of the pools, summed per service and sorted by
    /// service name.
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        let mut by_service: BTreeMap<String, PoolUsage> = BTreeMap::new();
        for pool in self.pools.borrow().values() {
            let usage = pool.usage();
            let sum = by_service.entry(usage.service.clone()).or_default();
            sum.service = usage.service;
            sum.idle += usage.idle;
            sum.in_use += usage.in_use;
            sum.slots_in_use += usage.slots_in_use;
            sum.waiting += usage.waiting;
        }
        by_service.into_values().collect()
    }

    /// Returns the number of connected clients.
    pub fn client_count(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// Returns the number of statements without a response plus the number of open transactions.
    pub fn open_work(&self) -> usize {
        let in_transaction = self
            .sessions
            .borrow()
            .values()
            .filter(|session| session.in_transaction.get())
            .count();
        self.active_statements.get() + in_transaction
    }

    /// Returns whether this server may be used as the primary now. A grant that is being revoked no
    /// longer permits it.
    fn is_leased(&self, server: &Server, now: f64) -> bool {
        self.granted_term(server, now).is_some()
    }

    /// Returns the primary term in which this server may be used as the primary now; `None` if it
    /// may not.
    fn granted_term(&self, server: &Server, now: f64) -> Option<u64> {
        let view = self.shared_view.view.borrow();
        view.primary(&server.service, now)
            .filter(|grant| grant.server_id == server.id)
            .map(|grant| grant.primary_term)
    }

    /// Returns whether the grant of this service names a server other than this one or is being
    /// revoked.
    fn is_granted_elsewhere(&self, service: &str, server: &Server) -> bool {
        let view = self.shared_view.view.borrow();
        view.grants
            .get(service)
            .is_some_and(|grant| grant.server_id != server.id || grant.revoking)
    }

    /// Returns the pool of a server, creating it if needed. A server that has returned with another
    /// endpoint or service gets a new pool.
    fn pool(&self, server: &Server, max_connections: usize) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&server.id)
            && pool.server.endpoint == server.endpoint
            && pool.server.service == server.service
        {
            return pool.clone();
        }
        let pool = Pool::new(server.clone(), max_connections, self.router_count.get());
        pools.insert(server.id.clone(), pool.clone());
        pool
    }
}

#[cfg(test)]
#[path = "../tests/data_plane/mod.rs"]
mod tests;
