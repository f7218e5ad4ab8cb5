//! The data plane: clients' sessions on the front, pooled onto connections to database servers.
//!
//! A task serves each client; what it may do is decided in `badgerstream_pooling`, under the lease of the view.

mod admission;
mod client;
mod placement;
mod pool;
mod server_connection;

use crate::clock;
use crate::counters::StatementCounts;
use crate::net;
use crate::view::{Server, SharedView};
use async_executor::LocalExecutor;
use async_io::Async;
use badgerstream_line_protocol::Position;
use badgerstream_pooling::freshness::PositionHistory;
use badgerstream_pooling::latency::RefusalStreak;
use badgerstream_routing::Rotation;
use net::Scratch;
use pool::{Pool, PoolUsage};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Between two looks at what rests, and at whether the end has come, in seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.25;
/// After SIGTERM, so long new connections are taken as before: the platform passes some on until it has asked twice.
const ACCEPT_AFTER_TERM_S: f64 = 2.0;
/// Descriptors kept for files and for connections that are no client's.
const RESERVED_DESCRIPTORS: usize = 500;
/// Clients beyond the most at once that are let in while others are being closed for them.
const MAX_EXCESS_CLIENTS: usize = 64;
/// Between two tries to bind the front, in seconds.
const BIND_RETRY_S: f64 = 0.5;
/// The same while the router ends.
const DRAIN_CHECK_INTERVAL_S: f64 = 0.05;
/// The part of the grace period after which what is still at a server gets its last answer. What a server was asked is waited
/// for during the first five sixths, and the process ends a little later than this (`process::shutdown`).
const FINAL_ANSWER_GRACE_FRACTION: f64 = 0.86;
/// On how many routers a server's connections are divided until control tells.
const DEFAULT_ROUTERS: usize = 9;

/// What a router may use, and its name.
#[derive(Debug, Clone)]
pub struct DataPlaneLimits {
    /// The descriptors of the process.
    pub file_limit: usize,
    /// The word for this router in `CONNECT`.
    pub name: String,
    /// The zone of this machine.
    pub zone: String,
    /// The beginning of all that is random.
    pub seed: u64,
    /// From SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

/// What the traffic tells of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHealth {
    /// The service.
    pub service: String,
    /// The server.
    pub server_id: String,
    /// When it last answered anything, in seconds of the steady clock; 0 for never.
    pub last_answer_at: f64,
    /// Since when statements or connections get no answer there; none while all is well, or nothing is asked.
    pub failing_since: Option<f64>,
}

/// What is known of a service's freshness, whose turn it is, and for how long statements are refused.
#[derive(Default)]
struct Freshness {
    history: PositionHistory,
    rotation: Rotation,
    refusals: RefusalStreak,
}

/// How a client's session is seen from outside its task.
#[derive(Default)]
struct SessionHandle {
    /// Since when it rests outside a transaction; none while it works.
    idle_since: Cell<Option<f64>>,
    /// It is inside a transaction.
    in_transaction: Cell<bool>,
    /// How far its end has come.
    drain_stage: Cell<DrainStage>,
    waker: RefCell<Option<Waker>>,
}

/// How far the end of a session has come. Each stage asks for what those before it ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
enum DrainStage {
    /// It goes on.
    #[default]
    Serving,
    /// It is closed as soon as it rests.
    CloseIdle,
    /// What no server was offered is refused, so that its client may go elsewhere.
    RejectUnplaced,
    /// What is at a server is answered by what is known of it.
    AnswerInFlight,
}

impl DrainStage {
    /// The stage this long (seconds) after the router was asked to end, of which it has `grace` seconds.
    fn at(past: f64, grace: f64, in_transaction: bool) -> Self {
        if past > grace * FINAL_ANSWER_GRACE_FRACTION {
            Self::AnswerInFlight
        } else if past > grace / 2.0 {
            Self::RejectUnplaced
        } else if past > ACCEPT_AFTER_TERM_S && !in_transaction {
            Self::CloseIdle
        } else {
            Self::Serving
        }
    }
}

impl SessionHandle {
    /// Waits until the session's end has come this far.
    async fn reached(&self, stage: DrainStage) {
        poll_fn(|cx| {
            if self.drain_stage.get() >= stage {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// The session's end comes this far, at least.
    fn advance_to(&self, stage: DrainStage) {
        if self.drain_stage.get() >= stage {
            return;
        }
        self.drain_stage.set(stage);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// The data plane of one router.
pub struct DataPlane {
    tasks: Rc<LocalExecutor<'static>>,
    shared_view: SharedView,
    limits: DataPlaneLimits,
    scratch: Scratch,
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    freshness: RefCell<HashMap<String, Freshness>>,
    sessions: RefCell<HashMap<u64, Rc<SessionHandle>>>,
    next_session: Cell<u64>,
    active_statements: Cell<usize>,
    router_count: Cell<usize>,
    counts: StatementCounts,
    random: RefCell<fastrand::Rng>,
}

impl DataPlane {
    /// Opens the front and serves on it for as long as the executor runs. A front that can't be bound is tried again
    /// every half second.
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
            freshness: RefCell::default(),
            sessions: RefCell::default(),
            next_session: Cell::new(0),
            active_statements: Cell::new(0),
            router_count: Cell::new(DEFAULT_ROUTERS),
            counts: StatementCounts::default(),
            random: RefCell::new(fastrand::Rng::with_seed(limits.seed)),
            limits,
        });
        // Bound before this returns, so that whoever hears that the router serves finds it so.
        let listener = bind(front);
        tasks
            .spawn(data_plane.clone().accept(front, listener))
            .detach();
        tasks.spawn(data_plane.clone().maintain()).detach();
        data_plane
    }

    /// Control knows that the log of a service's primary was here, and that it covers every commit acknowledged
    /// before this second of the steady clock.
    pub fn record_confirmed_position(&self, service: &str, covers_from: f64, position: Position) {
        self.update_freshness(service, |f| f.history.record(covers_from, position));
    }

    /// What the traffic tells of the servers of these services.
    pub fn server_health(&self, services: &[String], now: f64) -> Vec<ServerHealth> {
        let pools = self.pools.borrow();
        let wanted = pools
            .values()
            .filter(|pool| services.contains(&pool.server.service));
        let of_pool = |pool: &Rc<Pool>| ServerHealth {
            service: pool.server.service.clone(),
            server_id: pool.server.id.clone(),
            last_answer_at: pool.last_answer_at(),
            failing_since: pool.failing_since(now),
        };
        wanted.map(of_pool).collect()
    }

    /// What clients asked, and what became of it.
    pub fn counts(&self) -> &StatementCounts {
        &self.counts
    }

    /// Of each service how old the newest position is that its primary answered, in seconds.
    pub fn proof_ages(&self, now: f64) -> Vec<(String, f64)> {
        let all = self.freshness.borrow();
        let age = |(service, known): (&String, &Freshness)| {
            Some((service.clone(), now - known.history.newest_query_at()?))
        };
        all.iter().filter_map(age).collect()
    }

    /// Of each service what the pools of its servers hold and who waits there.
    pub fn pool_usage(&self) -> Vec<PoolUsage> {
        let mut figures: BTreeMap<String, PoolUsage> = BTreeMap::new();
        for pool in self.pools.borrow().values() {
            let of_pool = pool.usage();
            let sum = figures.entry(of_pool.service.clone()).or_default();
            sum.service.clone_from(&of_pool.service);
            sum.idle += of_pool.idle;
            sum.in_use += of_pool.in_use;
            sum.working += of_pool.working;
            sum.waiting += of_pool.waiting;
        }
        figures.into_values().collect()
    }

    /// How many clients are connected.
    pub fn client_count(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// How many statements are in work or transactions open.
    pub fn open_work(&self) -> usize {
        let inside = self
            .sessions
            .borrow()
            .values()
            .filter(|s| s.in_transaction.get())
            .count();
        self.active_statements.get() + inside
    }

    /// This server may be used as the primary now. A closing grant counts as given back, so it is none.
    fn is_leased(&self, server: &Server, now: f64) -> bool {
        self.granted_term(server, now).is_some()
    }

    /// The term in which this server may be used as the primary now.
    fn granted_term(&self, server: &Server, now: f64) -> Option<u64> {
        let view = self.shared_view.view.borrow();
        view.primary(&server.service, now)
            .filter(|g| g.server_id == server.id)
            .map(|g| g.primary_term)
    }

    /// The grant of this service has gone to another server than this one, or is being taken back.
    fn is_granted_elsewhere(&self, service: &str, server: &Server) -> bool {
        let view = self.shared_view.view.borrow();
        view.grants
            .get(service)
            .is_some_and(|g| g.server_id != server.id || g.revoking)
    }

    /// The server answered this position, asked then under the lease.
    fn record_answer_position(&self, server: &Server, asked: f64, position: Option<Position>) {
        if let Some(position) = position {
            self.update_freshness(&server.service, |f| f.history.record(asked, position));
        }
    }

    fn update_freshness<T>(&self, service: &str, with: impl FnOnce(&mut Freshness) -> T) -> T {
        let mut all = self.freshness.borrow_mut();
        if !all.contains_key(service) {
            // Anywhere, so that routers which start together do not all go to the same replica.
            let rotation = Rotation {
                next: self.random.borrow_mut().usize(..),
            };
            all.insert(
                service.to_owned(),
                Freshness {
                    rotation,
                    ..Freshness::default()
                },
            );
        }
        with(all.get_mut(service).expect("just put there"))
    }

    /// The pool of a server; a server that has come back elsewhere gets a new one.
    fn pool(&self, server: &Server, max_conns: usize) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&server.id)
            && pool.server.endpoint == server.endpoint
            && pool.server.service == server.service
        {
            return pool.clone();
        }
        let pool = Pool::new(server.clone(), max_conns, self.router_count.get());
        pools.insert(server.id.clone(), pool.clone());
        pool
    }

    /// The most clients at once.
    fn max_clients(&self) -> usize {
        self.limits
            .file_limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(16)
    }

    async fn accept(
        self: Rc<Self>,
        front: SocketAddr,
        listener: std::io::Result<Async<TcpListener>>,
    ) {
        let listener = bind_until_bound(front, listener).await;
        log::info!("event=front_open front={front}");
        loop {
            // The listener lives until the end: the queue of connections that the platform still passes on is served.
            let taken = listener.accept().await;
            let stream = match taken {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error={error}");
                    net::sleep_until(clock::now() + 0.05).await;
                    continue;
                }
            };
            if self
                .shared_view
                .shutdown_started_at
                .get()
                .is_some_and(|at| clock::now() > at + ACCEPT_AFTER_TERM_S)
            {
                return;
            }
            if self.sessions.borrow().len() >= self.max_clients() {
                self.close_longest_idle();
            }
            if self.sessions.borrow().len() >= self.max_clients() + MAX_EXCESS_CLIENTS {
                log::warn!("event=client_refused clients={}", self.client_count());
                continue;
            }
            self.start_session(stream);
        }
    }

    /// Serves a client in a task of its own.
    fn start_session(self: &Rc<Self>, stream: Async<TcpStream>) {
        let id = self.next_session.get();
        self.next_session.set(id + 1);
        let handle = Rc::new(SessionHandle::default());
        self.sessions.borrow_mut().insert(id, handle.clone());
        let data_plane = self.clone();
        let work = async move {
            client::serve(&data_plane, stream, handle).await;
            data_plane.sessions.borrow_mut().remove(&id);
        };
        self.tasks.spawn(work).detach();
    }

    /// The session that has rested longest is closed: at rest, with nothing asked, that is no failure.
    fn close_longest_idle(&self) {
        let sessions = self.sessions.borrow();
        let resting = sessions
            .values()
            .filter(|s| s.drain_stage.get() == DrainStage::Serving && s.idle_since.get().is_some());
        if let Some(longest) = resting.min_by(|a, b| {
            a.idle_since
                .get()
                .partial_cmp(&b.idle_since.get())
                .expect("clock")
        }) {
            longest.advance_to(DrainStage::CloseIdle);
        }
    }

    /// Looks after what rests, and at the end ends it.
    async fn maintain(self: Rc<Self>) {
        let mut swept = clock::now();
        loop {
            let ending = self.shared_view.shutdown_started_at.get().is_some();
            net::sleep_until(
                clock::now()
                    + if ending {
                        DRAIN_CHECK_INTERVAL_S
                    } else {
                        MAINTENANCE_INTERVAL_S
                    },
            )
            .await;
            let now = clock::now();
            if let Some(ending) = self.shared_view.shutdown_started_at.get() {
                for session in self.sessions.borrow().values() {
                    let in_transaction = session.in_transaction.get();
                    session.advance_to(DrainStage::at(
                        now - ending,
                        self.limits.grace_s,
                        in_transaction,
                    ));
                }
            } else if now > swept + 1.0 {
                swept = now;
                self.sweep(now);
            }
        }
    }

    fn sweep(&self, now: f64) {
        let mut pools = self.pools.borrow_mut();
        let view = self.shared_view.view.borrow();
        if let Some(router_count) = view.router_count {
            self.router_count.set(router_count);
        }
        pools.retain(|id, pool| {
            let known = view
                .servers
                .get(id)
                .is_some_and(|s| s.endpoint == pool.server.endpoint);
            let max_conns = view.config.as_ref().and_then(|c| {
                c.services
                    .iter()
                    .find(|s| s.name == pool.server.service)
                    .map(|s| s.max_conns as usize)
            });
            if let Some(max_conns) = max_conns {
                pool.set_share(max_conns, self.router_count.get());
            }
            pool.sweep(now);
            known
        });
    }
}

/// The listener, once the front can be bound.
async fn bind_until_bound(
    front: SocketAddr,
    first: std::io::Result<Async<TcpListener>>,
) -> Async<TcpListener> {
    let mut bound = first;
    loop {
        match bound {
            Ok(listener) => return listener,
            Err(error) => log::error!("event=front_not_bound front={front} error={error}"),
        }
        net::sleep_until(clock::now() + BIND_RETRY_S).await;
        bound = bind(front);
    }
}

fn bind(front: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(front)
}

#[cfg(test)]
#[path = "../tests/data_plane.rs"]
mod tests;
