//! The connections to one server, and what its answers told of it.

mod acquire;
mod checkout;
mod drain;
mod exchange;
mod health;
mod idle;
mod prepare;

use super::admission::{AdmissionQueue, Permit};
use super::net::sleep_until;
use super::server_connection::ServerConnection;
use crate::clock;
use crate::view::Server;
use badgerstream_pooling::connection_quota::{ConnectionQuota, in_flight_limit};
use badgerstream_pooling::health::Health;
use badgerstream_pooling::latency::Latency;
pub(super) use checkout::Checkout;
pub(super) use exchange::ExchangeError;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The connections to one server.
pub struct Pool {
    /// The server.
    pub server: Server,
    idle: RefCell<Vec<ServerConnection>>,
    connection_admission: Rc<AdmissionQueue>,
    slot_admission: Rc<AdmissionQueue>,
    connection_quota: Cell<ConnectionQuota>,
    router_count: Cell<usize>,
    health: Cell<Health>,
    latency: Cell<Latency>,
    last_answer_at: Cell<f64>,
    /// When the youngest statement was sent that is answered.
    newest_answered_sent_at: Cell<f64>,
    failing_since: Cell<Option<f64>>,
    /// When the statements were sent that are unanswered.
    unanswered_sent_at: RefCell<Vec<f64>>,
}

/// What pools hold, and who waits there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// The service.
    pub service: String,
    /// Connections that rest.
    pub idle: usize,
    /// Connections that somebody has, or opens.
    pub in_use: usize,
    /// Places to work that are taken.
    pub working: usize,
    /// Statements that wait for either.
    pub waiting: usize,
}

impl Pool {
    /// What it holds, and who waits.
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            service: self.server.service.clone(),
            idle: self.idle.borrow().len(),
            in_use: self.connection_admission.admitted(),
            working: self.slot_admission.admitted(),
            waiting: self.connection_admission.waiting_count()
                + self.slot_admission.waiting_count(),
        }
    }

    /// For this server, as one of so many routers.
    pub fn new(server: Server, max_conns: usize, routers: usize) -> Rc<Self> {
        let connection_quota = ConnectionQuota::new(max_conns, routers);
        Rc::new(Self {
            idle: RefCell::default(),
            connection_admission: AdmissionQueue::new(connection_quota.limit(clock::now())),
            slot_admission: AdmissionQueue::new(in_flight_limit(
                server.slots as usize,
                routers,
                1.0,
            )),
            router_count: Cell::new(routers),
            connection_quota: Cell::new(connection_quota),
            health: Cell::default(),
            latency: Cell::default(),
            last_answer_at: Cell::new(0.0),
            newest_answered_sent_at: Cell::new(0.0),
            failing_since: Cell::new(None),
            unanswered_sent_at: RefCell::default(),
            server,
        })
    }

    /// Another bound on connections, or another number of routers.
    pub fn set_share(&self, max_conns: usize, routers: usize) {
        let mut connection_quota = self.connection_quota.get();
        connection_quota.update(max_conns, routers);
        self.connection_quota.set(connection_quota);
        self.connection_admission
            .set_limit(connection_quota.limit(clock::now()));
        self.router_count.set(routers);
        self.set_in_flight();
    }

    fn set_in_flight(&self) {
        let limit = in_flight_limit(
            self.server.slots as usize,
            self.router_count.get(),
            self.latency.get().network_stretch(),
        );
        if limit != self.slot_admission.limit() {
            self.slot_admission.set_limit(limit);
        }
    }

    /// In how many seconds a place to work may come free for whoever comes now; more than that, not less.
    pub fn estimated_wait(&self, admission_terms: &AdmissionTerms, now: f64) -> f64 {
        let ahead = |admission_queue: &AdmissionQueue| {
            admission_queue.entries_ahead(admission_terms.rank, admission_terms.latest_start, now)
        };
        self.latency.get().queue_wait(
            ahead(&self.connection_admission) + ahead(&self.slot_admission),
            self.slot_admission.limit(),
        )
    }

    /// Waits to be let in, unless it is plain that it can't be in time: at the beginning, or once its latest start is past.
    async fn admit(
        &self,
        admission_queue: &Rc<AdmissionQueue>,
        admission_terms: &AdmissionTerms,
    ) -> Result<Permit, CheckoutError> {
        let busy = |now: f64| {
            let wait = self.estimated_wait(admission_terms, now);
            (now + wait > admission_terms.give_up_at).then_some(CheckoutError::Busy(wait))
        };
        if !admission_queue.is_full() {
            return Ok(admission_queue
                .acquire(admission_terms.rank, admission_terms.latest_start)
                .await);
        }
        if let Some(busy) = busy(clock::now()) {
            return Err(busy);
        }
        or(
            async {
                Ok(admission_queue
                    .acquire(admission_terms.rank, admission_terms.latest_start)
                    .await)
            },
            async {
                if admission_terms.latest_start > clock::now() {
                    sleep_until(admission_terms.latest_start).await;
                    if let Some(busy) = busy(clock::now()) {
                        return Err(busy);
                    }
                }
                std::future::pending().await
            },
        )
        .await
    }

    /// Whoever comes now must wait.
    pub fn is_full(&self) -> bool {
        self.slot_admission.is_full() || self.connection_admission.is_full()
    }
}

/// By which rank and until when a statement waits to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionTerms {
    /// 0 goes first.
    pub rank: u32,
    /// Whoever is admitted by this second can still meet the target of its route.
    pub latest_start: f64,
    /// Nobody waits longer than until this second.
    pub give_up_at: f64,
}

/// No connection is had, and nothing has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CheckoutError {
    /// The server can't be reached, or is another one.
    Unreachable,
    /// So many wait that it would be admitted too late: in so many seconds.
    Busy(f64),
}
