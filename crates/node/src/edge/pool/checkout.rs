//! A connection in use by one client: taken from the pool, and given back as it may be left.

use super::health::Unanswered;
use super::{Admission, CheckoutError, Pool};
use crate::clock;
use crate::edge::Edge;
use crate::edge::gate::Permit;
use crate::edge::link::{Link, OpenError};
use crate::edge::net::{self, sleep_until};
use badgerstream_pooling::session::{Shape, Values};
use badgerstream_wire::{Answer, State};
use std::rc::Rc;

/// An answer that nobody waits for any more is awaited for so long, in seconds.
const DRAIN_S: f64 = 3.0;
/// An answer that is overdue and that nobody waits for any more is awaited for so long, in seconds.
const OVERDUE_DRAIN_S: f64 = 0.5;
/// How long our own statements may take, in seconds.
pub(super) const OWN_S: f64 = 1.0;
/// The pause after a server's refusal of a connection, in seconds.
const FULL_PAUSE_S: f64 = 0.05;

/// Whether the connection of a `Checkout` may be used by the next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Reuse {
    /// As it was taken: for the next.
    Clean,
    /// A statement outside a transaction is unanswered: nobody may have it until the answer is in.
    Pending,
    /// Closed: a transaction is open, or nobody knows what it holds.
    Closed,
}

/// A connection in use by one client, with its places at the server. Dropping it leaves the connection as it may be
/// left.
pub struct Checkout {
    pub(super) edge: Rc<Edge>,
    /// The server's pool.
    pub pool: Rc<Pool>,
    pub(super) link: Option<Link>,
    pub(super) conn: Option<Permit>,
    pub(super) slot: Option<Permit>,
    pub(super) reuse: Reuse,
    /// Own changes were made inside the transaction that is open.
    pub(super) changed_inside: bool,
    pub(super) keeps: bool,
    pub(super) unanswered: Option<Unanswered>,
    /// What was asked last takes a slot of the server, so that its answer tells the latency.
    pub(super) takes_slot: bool,
}

impl Checkout {
    /// Waits for a connection, makes it hold exactly these values and know this shape, and waits for a place to work if
    /// what comes next `takes_slot` of the server. Our own statements take none.
    pub async fn take(
        edge: &Rc<Edge>, pool: &Rc<Pool>, admission: &Admission, values: &Values, shape: Option<&Shape>,
        takes_slot: bool,
    ) -> Result<Self, CheckoutError> {
        let conn = pool.enter(&pool.conns, admission).await?;
        let mut pause = FULL_PAUSE_S;
        let link = loop {
            if let Some(link) = pool.take_idle(values, &edge.scratch) {
                break link;
            }
            let server = &pool.server;
            let who = &edge.limits.name;
            let opening = Unanswered::new(pool, clock::now(), false);
            let opened = Link::open(server.endpoint, &server.service, who, &server.id, &edge.scratch).await;
            drop(opening);
            match opened {
                Ok((link, position)) => {
                    pool.mark_answered(position);
                    log::debug!("event=server_connection server={}", server.id);
                    break link;
                }
                Err(OpenError::Full) => {
                    let now = clock::now();
                    let mut share = pool.share.get();
                    share.refused(now);
                    pool.share.set(share);
                    pool.conns.set_limit(share.limit(now));
                    log::debug!("event=connection_limit server={}", server.id);
                    sleep_until(now + pause).await;
                    pause = (pause * 2.0).min(8.0 * FULL_PAUSE_S);
                }
                Err(error) => {
                    pool.mark_unreachable();
                    log::debug!("event=no_connection server={} error={error:?}", server.id);
                    return Err(CheckoutError::Unreachable);
                }
            }
        };
        let mut checkout = Self {
            edge: edge.clone(),
            pool: pool.clone(),
            link: Some(link),
            conn: Some(conn),
            slot: None,
            reuse: Reuse::Clean,
            changed_inside: false,
            keeps: false,
            unanswered: None,
            takes_slot: false,
        };
        checkout.prepare(values, shape).await.map_err(|()| CheckoutError::Unreachable)?;
        if takes_slot {
            checkout.slot = Some(pool.enter(&pool.slots, admission).await?);
        }
        Ok(checkout)
    }

    /// The number in our name for this shape, on this connection.
    pub fn number(&self, shape: &Shape) -> Option<u32> {
        self.link.as_ref().and_then(|l| l.held.number(shape))
    }

    /// Waits for a place to work with what has only just begun, by its rank and latest start; false if none is had in time.
    pub async fn enter_first(&mut self, admission: &Admission) -> bool {
        let pool = self.pool.clone();
        let entered = net::until(admission.give_up, pool.enter(&pool.slots, admission)).await;
        self.slot = entered.and_then(Result::ok);
        self.slot.is_some()
    }

    /// Waits for a place to work, if it has none. Whoever has begun keeps others waiting: it goes first.
    pub async fn enter(&mut self) {
        if self.slot.is_none() {
            self.slot = Some(self.pool.slots.enter(0, f64::INFINITY).await);
        }
    }

    /// Gives the place to work back.
    pub fn leave(&mut self) {
        self.slot = None;
    }

    /// What is asked next is a `COMMIT`: own changes inside the transaction then last.
    pub fn keep_changes(&mut self) {
        self.keeps = true;
    }

    /// Rolls an open transaction back, apart, so that the connection is of use again.
    pub fn roll_back(mut self) {
        if self.unanswered.is_some() {
            // What comes next on it isn't the answer to our `ABORT`: closing it rolls back, too.
            return;
        }
        let edge = self.edge.clone();
        self.slot = None;
        let work = async move {
            let at = clock::now() + OWN_S;
            let _ = self.ask(b"QUERY - ABORT\r\n", &mut Answer::default(), at, async |_: &[u8]| true).await;
        };
        edge.tasks.spawn(work).detach();
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        match self.reuse {
            Reuse::Clean => self.pool.put_idle(link),
            Reuse::Closed => {}
            Reuse::Pending => {
                // The server works on it still: its place is taken until it answers, and breaking it off would waste
                // what it did. If the answer is overdue it has most likely been given, and the place is free.
                let overdue = self.is_overtaken();
                let drain = if overdue { OVERDUE_DRAIN_S } else { DRAIN_S };
                let (edge, pool) = (self.edge.clone(), self.pool.clone());
                let slot = self.slot.take().filter(|_| !overdue);
                let unanswered = self.unanswered.take();
                let sent = unanswered.as_ref().filter(|_| self.takes_slot).map(|u| u.sent);
                let permits = (self.conn.take(), slot, unanswered);
                let tasks = edge.tasks.clone();
                let work = async move {
                    let now = clock::now();
                    let drained = net::until(now + drain, async {
                        loop {
                            let mut answer = Answer::default();
                            if let Some(outcome) = link.answer(&mut answer, &edge.scratch).await? {
                                return Ok::<_, ()>(outcome);
                            }
                        }
                    });
                    if let Some(Ok(outcome)) = drained.await {
                        pool.mark_answered(outcome.position);
                        if let Some(sent) = sent {
                            // It was not lost but slow, as others are then.
                            pool.record_answer(sent);
                        }
                        if outcome.state == State::Idle && outcome.error.is_none() && link.is_clean() {
                            pool.put_idle(link);
                        }
                    }
                    drop(permits);
                };
                tasks.spawn(work).detach();
            }
        }
    }
}
