//! The connection pool of one server, and the server's health as its answers show it.
//!
//! - `checkout`: a connection in use by one client; `acquire` and `idle` provide it, `prepare`
//!   sets the session's state on it, `exchange` sends a statement, `drain` reads an answer that
//!   no client waits for any more;
//! - `health`: the server's health and latency, and its unanswered statements.
//!
//! The data plane owns one [`Pool`] per server; placement and the client sessions use it. The pool
//! doesn't check the lease and retries no statement.

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

/// The connection pool of one server. Times are seconds of the monotonic clock.
pub(super) struct Pool {
    /// The server.
    pub(super) server: Server,
    /// Idle connections; the most recently used one is last.
    idle: RefCell<Vec<ServerConnection>>,
    connection_admission: Rc<AdmissionQueue>,
    slot_admission: Rc<AdmissionQueue>,
    connection_quota: Cell<ConnectionQuota>,
    router_count: Cell<usize>,
    health: Cell<Health>,
    latency: Cell<Latency>,
    /// When the server last answered anything; 0 for never.
    last_answer_at: Cell<f64>,
    /// Latest send time among the statements that have been answered.
    newest_answered_sent_at: Cell<f64>,
    /// Since when connections have failed; cleared by the next answer.
    failing_since: Cell<Option<f64>>,
    /// Send times of the statements that have not been answered.
    unanswered_sent_at: RefCell<Vec<f64>>,
}

/// Connections and queue length of one pool, or the sums over all pools of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Name of the service.
    pub service: String,
    /// Number of idle connections.
    pub idle: usize,
    /// Number of connections that are checked out or being opened.
    pub in_use: usize,
    /// Number of slots in use.
    pub slots_in_use: usize,
    /// Number of statements that wait for a connection or a slot.
    pub waiting: usize,
}

/// Why no connection could be checked out. No statement of the client has been sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CheckoutError {
    /// The server can't be reached, or another server now has its address.
    Unreachable,
    /// The estimated wait for admission exceeds the statement's limit.
    Busy {
        /// The estimated wait, in seconds.
        wait_s: f64,
    },
}

impl Pool {
    /// Creates the pool of a server that accepts `max_connections` in total from `router_count`
    /// routers.
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

    /// Returns the numbers of its connections, used slots and waiting statements.
    pub(super) fn usage(&self) -> PoolUsage {
        PoolUsage {
            service: self.server.service.clone(),
            idle: self.idle.borrow().len(),
            in_use: self.connection_admission.admitted(),
            slots_in_use: self.slot_admission.admitted(),
            waiting: self.connection_admission.waiting_count()
                + self.slot_admission.waiting_count(),
        }
    }

    /// Updates how many connections the server accepts and how many routers share them.
    pub(super) fn set_quota(&self, max_connections: usize, router_count: usize) {
        let mut quota = self.connection_quota.get();
        quota.update(max_connections, router_count);
        self.connection_quota.set(quota);
        self.connection_admission
            .set_limit(quota.limit(clock::now()));
        self.router_count.set(router_count);
        self.update_in_flight_limit();
    }

    /// Adapts the limit of statements in flight to the latency: a slow network needs more of them
    /// to keep the server's slots busy.
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

    /// Returns whether a statement that arrives now must wait for a connection or a slot.
    pub(super) fn is_full(&self) -> bool {
        self.slot_admission.is_full() || self.connection_admission.is_full()
    }

    /// Estimates how many seconds a statement that arrives now waits for admission. The estimate
    /// errs on the high side.
    pub(super) fn estimated_wait(&self, terms: &AdmissionTerms, now: f64) -> f64 {
        let ahead =
            |queue: &AdmissionQueue| queue.entries_ahead(terms.rank, terms.latest_start, now);
        self.latency.get().queue_wait_s(
            ahead(&self.connection_admission) + ahead(&self.slot_admission),
            self.slot_admission.limit(),
        )
    }

    /// Waits for a permit of this queue. The wait is estimated at the beginning and again when the
    /// latest start has passed; if an estimate exceeds the statement's limit, this fails at once.
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

    /// Fails if the estimated wait ends after `terms.give_up_at`.
    fn check_wait(&self, terms: &AdmissionTerms) -> Result<(), CheckoutError> {
        let now = clock::now();
        let wait_s = self.estimated_wait(terms, now);
        if now + wait_s > terms.give_up_at {
            return Err(CheckoutError::Busy { wait_s });
        }
        Ok(())
    }
}
