//! The connections to one server, and what its answers told of it.

mod acquire;
mod checkout;
mod drain;
mod exchange;
mod health;
mod idle;
mod prepare;

use super::gate::{Gate, Permit};
use super::link::Link;
use super::net::sleep_until;
use crate::clock;
use crate::view::Server;
use badgerstream_pooling::health::Health;
use badgerstream_pooling::latency::Latency;
use badgerstream_pooling::share::{Share, in_flight};
pub(super) use checkout::Checkout;
pub(super) use exchange::ExchangeError;
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The connections to one server.
pub struct Pool {
    /// The server.
    pub server: Server,
    idle: RefCell<Vec<Link>>,
    conns: Rc<Gate>,
    slots: Rc<Gate>,
    share: Cell<Share>,
    routers: Cell<usize>,
    health: Cell<Health>,
    latency: Cell<Latency>,
    last_answer: Cell<f64>,
    /// When the youngest statement was sent that is answered.
    last_answered: Cell<f64>,
    failing_since: Cell<Option<f64>>,
    /// When the statements were sent that are unanswered.
    unanswered: RefCell<Vec<f64>>,
}

/// What pools hold, and who waits there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolFigures {
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
    pub fn figures(&self) -> PoolFigures {
        PoolFigures {
            service: self.server.service.clone(),
            idle: self.idle.borrow().len(),
            in_use: self.conns.busy(),
            working: self.slots.busy(),
            waiting: self.conns.waiting() + self.slots.waiting(),
        }
    }

    /// For this server, as one of so many routers.
    pub fn new(server: Server, max_conns: usize, routers: usize) -> Rc<Self> {
        let share = Share::new(max_conns, routers);
        Rc::new(Self {
            idle: RefCell::default(),
            conns: Gate::new(share.limit(clock::now())),
            slots: Gate::new(in_flight(server.slots as usize, routers, 1.0)),
            routers: Cell::new(routers),
            share: Cell::new(share),
            health: Cell::default(),
            latency: Cell::default(),
            last_answer: Cell::new(0.0),
            last_answered: Cell::new(0.0),
            failing_since: Cell::new(None),
            unanswered: RefCell::default(),
            server,
        })
    }

    /// Another bound on connections, or another number of routers.
    pub fn set_share(&self, max_conns: usize, routers: usize) {
        let mut share = self.share.get();
        share.set(max_conns, routers);
        self.share.set(share);
        self.conns.set_limit(share.limit(clock::now()));
        self.routers.set(routers);
        self.set_in_flight();
    }

    fn set_in_flight(&self) {
        let limit = in_flight(
            self.server.slots as usize,
            self.routers.get(),
            self.latency.get().stretch(),
        );
        if limit != self.slots.limit() {
            self.slots.set_limit(limit);
        }
    }

    /// In how many seconds a place to work may come free for whoever comes now; more than that, not less.
    pub fn wait(&self, admission: &Admission, now: f64) -> f64 {
        let ahead = |gate: &Gate| gate.ahead(admission.rank, admission.latest_start, now);
        self.latency
            .get()
            .queue_wait(ahead(&self.conns) + ahead(&self.slots), self.slots.limit())
    }

    /// Waits to be let in, unless it is plain that it can't be in time: at the beginning, or once its latest start is past.
    async fn enter(&self, gate: &Rc<Gate>, admission: &Admission) -> Result<Permit, CheckoutError> {
        let busy = |now: f64| {
            let wait = self.wait(admission, now);
            (now + wait > admission.give_up).then_some(CheckoutError::Busy(wait))
        };
        if !gate.is_full() {
            return Ok(gate.enter(admission.rank, admission.latest_start).await);
        }
        if let Some(busy) = busy(clock::now()) {
            return Err(busy);
        }
        or(
            async { Ok(gate.enter(admission.rank, admission.latest_start).await) },
            async {
                if admission.latest_start > clock::now() {
                    sleep_until(admission.latest_start).await;
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
        self.slots.is_full() || self.conns.is_full()
    }
}

/// By which rank and until when a statement waits to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// 0 goes first.
    pub rank: u32,
    /// Whoever is admitted by this second can still meet the target of its route.
    pub latest_start: f64,
    /// Nobody waits longer than until this second.
    pub give_up: f64,
}

/// No connection is had, and nothing has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CheckoutError {
    /// The server can't be reached, or is another one.
    Unreachable,
    /// So many wait that it would be admitted too late: in so many seconds.
    Busy(f64),
}
