//! The data plane of a router: clients' sessions on the front, pooled onto connections to database
//! servers.
//!
//! The way of a statement:
//!
//! 1. `listener` accepts the client's connection and starts a task that serves its session
//!    (`client`);
//! 2. `client::dispatch` parses the statement, and answers it if it needs no server;
//! 3. `placement` chooses a server by the route's consistency and the freshness proofs of
//!    `service_state`;
//! 4. `admission` queues it for a connection and a slot there, by rank and arrival;
//! 5. `pool` hands out a connection (`server_connection`) and brings it to the session's values
//!    and prepared statement; the lease is checked once more;
//! 6. `pool::exchange` sends it and reads the answer; `client::single_statement`, `transaction` and
//!    `commit` decide whether it is forwarded, retried elsewhere, or reported as in doubt.
//!
//! `maintenance` sweeps the pools and, after SIGTERM, brings sessions through the stages of
//! `drain`.
//!
//! All decisions are those of `badgerstream_pooling`; this module owns the sessions, pools and
//! service states, and reads the view, which [`crate::leader_session`] writes. It never changes the
//! view. Without a valid lease it places nothing at a primary and commits no write. `process`
//! starts it, `metrics` reads it.

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

/// For how long after SIGTERM connections are accepted as before, in seconds: the platform passes
/// some on until two of its readiness checks have failed.
const ACCEPT_AFTER_TERM_S: f64 = 2.0;
/// How many routers share a server's connections until control says so.
const DEFAULT_ROUTER_COUNT: usize = 9;

/// Limits and identity of a router.
#[derive(Debug, Clone)]
pub struct DataPlaneLimits {
    /// The most file descriptors of the process.
    pub file_limit: usize,
    /// The name of this router in the `CONNECT` that it sends to servers.
    pub name: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The grace period from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

/// A server's health as the traffic to it shows.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHealth {
    /// The service.
    pub service: String,
    /// The server.
    pub server_id: String,
    /// When it last answered anything, in seconds of the monotonic clock; 0 for never.
    pub last_answer_at: f64,
    /// Since when statements or connections get no answer, in seconds of the monotonic clock; none
    /// while they do, or nothing is sent.
    pub failing_since: Option<f64>,
}

/// The data plane of one router.
pub struct DataPlane {
    tasks: Rc<LocalExecutor<'static>>,
    shared_view: SharedView,
    limits: DataPlaneLimits,
    scratch: Scratch,
    /// By server id.
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    /// By name of the service.
    services: RefCell<HashMap<String, ServiceState>>,
    sessions: RefCell<HashMap<u64, Rc<SessionHandle>>>,
    next_session_id: Cell<u64>,
    /// Statements that are not answered yet.
    active_statements: Cell<usize>,
    router_count: Cell<usize>,
    counts: StatementCounts,
    random: RefCell<fastrand::Rng>,
}

impl DataPlane {
    /// Binds the front and serves on it for as long as the executor runs. A front that can't be
    /// bound is logged and tried again every half second.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        shared_view: SharedView,
        front: SocketAddr,
        limits: DataPlaneLimits,
    ) -> Rc<Self> {
        let data_plane = Rc::new(Self {
            tasks: tasks.clone(),
            shared_view,
            scratch: RefCell::new(vec![0; net::READ_SIZE]),
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
        // Bound before this returns, so that whoever learns that the router serves can connect.
        let first_bind = listener::bind(front);
        tasks
            .spawn(data_plane.clone().accept(front, first_bind))
            .detach();
        tasks.spawn(data_plane.clone().maintain()).detach();
        data_plane
    }

    /// The health of the servers of these services that anything was sent to.
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

    /// Counts of statements and their ends.
    pub fn counts(&self) -> &StatementCounts {
        &self.counts
    }

    /// Connections and queues of the pools, summed by service and sorted by its name.
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        let mut by_service: BTreeMap<String, PoolUsage> = BTreeMap::new();
        for pool in self.pools.borrow().values() {
            let usage = pool.usage();
            let sum = by_service.entry(usage.service.clone()).or_default();
            sum.service = usage.service;
            sum.idle += usage.idle;
            sum.in_use += usage.in_use;
            sum.working += usage.working;
            sum.waiting += usage.waiting;
        }
        by_service.into_values().collect()
    }

    /// How many clients are connected.
    pub fn client_count(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// How many statements are not answered yet, plus how many transactions are open.
    pub fn open_work(&self) -> usize {
        let in_transaction = self
            .sessions
            .borrow()
            .values()
            .filter(|session| session.in_transaction.get())
            .count();
        self.active_statements.get() + in_transaction
    }

    /// Whether this server may be used as the primary now. A grant that is being revoked counts as
    /// given back.
    fn is_leased(&self, server: &Server, now: f64) -> bool {
        self.granted_term(server, now).is_some()
    }

    /// The primary term in which this server may be used as the primary now.
    fn granted_term(&self, server: &Server, now: f64) -> Option<u64> {
        let view = self.shared_view.view.borrow();
        view.primary(&server.service, now)
            .filter(|grant| grant.server_id == server.id)
            .map(|grant| grant.primary_term)
    }

    /// Whether the grant of this service is for another server than this one, or is being revoked.
    fn is_granted_elsewhere(&self, service: &str, server: &Server) -> bool {
        let view = self.shared_view.view.borrow();
        view.grants
            .get(service)
            .is_some_and(|grant| grant.server_id != server.id || grant.revoking)
    }

    /// The pool of a server. A server that has come back at another endpoint, or in another service,
    /// gets a new one.
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
