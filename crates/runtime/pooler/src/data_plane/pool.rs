//! The connections to one server, and what its answers say of it.
//!
//! - `checkout`: a connection while one client uses it; `acquire` and `idle` get it, `prepare`
//!   brings it to the session's state, `exchange` sends a statement, `drain` reads an answer that
//!   nobody waits for any more;
//! - `health`: health, latency and unanswered statements.
//!
//! The data plane owns one [`Pool`] a server; placement and the client sessions use it. It doesn't
//! know the lease, and retries nothing.

mod acquire;
mod checkout;
mod drain;
mod exchange;
mod health;
mod idle;
mod prepare;

use super::admission::{AdmissionQueue, AdmissionTerms, Permit};
use super::server_connection::ServerConnection;
use crate::clock;
use crate::net::sleep_until;
use crate::view::Server;
use badgerstream_pooling::connection_quota::{ConnectionQuota, in_flight_limit};
use badgerstream_pooling::health::Health;
use badgerstream_pooling::latency::Latency;
pub(super) use checkout::Checkout;
pub(super) use exchange::ExchangeError;
use futures_lite::future::or;
pub(super) use prepare::PrepareFailed;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;

/// The connections to one server. Times are seconds of the monotonic clock.
pub(super) struct Pool {
    /// The server.
    pub(super) server: Server,
    /// Idle connections, the one used last at the end.
    idle: RefCell<Vec<ServerConnection>>,
    connection_admission: Rc<AdmissionQueue>,
    slot_admission: Rc<AdmissionQueue>,
    connection_quota: Cell<ConnectionQuota>,
    router_count: Cell<usize>,
    health: Cell<Health>,
    latency: Cell<Latency>,
    /// When the server last answered anything; 0 for never.
    last_answer_at: Cell<f64>,
    /// When the newest statement was sent that has been answered.
    newest_answered_sent_at: Cell<f64>,
    /// Since when connections fail, until the next answer.
    failing_since: Cell<Option<f64>>,
    /// When the statements were sent that have not been answered.
    unanswered_sent_at: RefCell<Vec<f64>>,
}

/// Connections and queues of a pool, or of all pools of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// The service.
    pub service: String,
    /// Idle connections.
    pub idle: usize,
    /// Connections that are checked out or being opened.
    pub in_use: usize,
    /// Slots that are taken.
    pub working: usize,
    /// Statements that wait for a connection or a slot.
    pub waiting: usize,
}

/// There is no connection; nothing has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CheckoutError {
    /// The server can't be reached, or another one is at its address.
    Unreachable,
    /// Admission would come too late: in about this many seconds.
    Busy {
        /// The estimated wait, in seconds.
        wait_s: f64,
    },
}

impl Pool {
    /// A pool for this server, which takes `max_connections` of `router_count` routers.
    pub(super) fn new(server: Server, max_connections: usize, router_count: usize) -> Rc<Self> {
        let quota = ConnectionQuota::new(max_connections, router_count);
        let in_flight = in_flight_limit(server.slots as usize, router_count, 1.0);
        Rc::new(Self {
            idle: RefCell::default(),
            connection_admission: AdmissionQueue::new(quota.limit(clock::now())),
            slot_admission: AdmissionQueue::new(in_flight),
            router_count: Cell::new(router_count),
            connection_quota: Cell::new(quota),
            health: Cell::default(),
            latency: Cell::default(),
            last_answer_at: Cell::new(0.0),
            newest_answered_sent_at: Cell::new(0.0),
            failing_since: Cell::new(None),
            unanswered_sent_at: RefCell::default(),
            server,
        })
    }

    /// Its connections and queues.
    pub(super) fn usage(&self) -> PoolUsage {
        PoolUsage {
            service: self.server.service.clone(),
            idle: self.idle.borrow().len(),
            in_use: self.connection_admission.admitted(),
            working: self.slot_admission.admitted(),
            waiting: self.connection_admission.waiting_count()
                + self.slot_admission.waiting_count(),
        }
    }

    /// Changes how many connections the server takes, or of how many routers.
    pub(super) fn set_quota(&self, max_connections: usize, router_count: usize) {
        let mut quota = self.connection_quota.get();
        quota.update(max_connections, router_count);
        self.connection_quota.set(quota);
        self.connection_admission
            .set_limit(quota.limit(clock::now()));
        self.router_count.set(router_count);
        self.update_in_flight_limit();
    }

    /// Follows the latency: across a slow network more is in flight.
    fn update_in_flight_limit(&self) {
        let limit = in_flight_limit(
            self.server.slots as usize,
            self.router_count.get(),
            self.latency.get().network_overhead_factor(),
        );
        if limit != self.slot_admission.limit() {
            self.slot_admission.set_limit(limit);
        }
    }

    /// Whether whoever comes now must wait.
    pub(super) fn is_full(&self) -> bool {
        self.slot_admission.is_full() || self.connection_admission.is_full()
    }

    /// The estimated seconds until admission of one that comes now: rather too many than too few.
    pub(super) fn estimated_wait(&self, terms: &AdmissionTerms, now: f64) -> f64 {
        let ahead =
            |queue: &AdmissionQueue| queue.entries_ahead(terms.rank, terms.latest_start, now);
        self.latency.get().queue_wait_s(
            ahead(&self.connection_admission) + ahead(&self.slot_admission),
            self.slot_admission.limit(),
        )
    }

    /// Waits for a permit of this queue. Fails as soon as it is clear that admission comes too
    /// late, which is estimated at the beginning and once the latest start is past.
    async fn admit(
        &self,
        queue: &Rc<AdmissionQueue>,
        terms: &AdmissionTerms,
    ) -> Result<Permit, CheckoutError> {
        if !queue.is_full() {
            return Ok(queue.acquire(terms.rank, terms.latest_start).await);
        }
        self.check_wait(terms)?;
        or(
            async { Ok(queue.acquire(terms.rank, terms.latest_start).await) },
            async {
                if terms.latest_start > clock::now() {
                    sleep_until(terms.latest_start).await;
                    self.check_wait(terms)?;
                }
                pending().await
            },
        )
        .await
    }

    /// Fails if the estimated wait ends after the statement gives up.
    fn check_wait(&self, terms: &AdmissionTerms) -> Result<(), CheckoutError> {
        let now = clock::now();
        let wait_s = self.estimated_wait(terms, now);
        if now + wait_s > terms.give_up_at {
            return Err(CheckoutError::Busy { wait_s });
        }
        Ok(())
    }
}
