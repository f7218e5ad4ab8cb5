//! A connection in use by one client: taken from the pool, and given back as it may be left.

use super::health::Unanswered;
use super::{Admission, CheckoutError, Pool};
use crate::clock;
use crate::edge::Edge;
use crate::edge::gate::Permit;
use crate::edge::link::Link;
use crate::edge::net;
use badgerstream_line_protocol::Answer;
use badgerstream_pooling::session::{Shape, Values};
use std::rc::Rc;

/// How long the statements of the router itself may take, in seconds.
pub(super) const OWN_STATEMENT_S: f64 = 1.0;

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
    /// The router changed values or shapes inside the transaction that is open.
    pub(super) changed_inside: bool,
    /// The changes inside the transaction last if what was asked last succeeds.
    pub(super) keeps: bool,
    pub(super) unanswered: Option<Unanswered>,
    /// What was asked last takes a slot of the server, so that its answer tells the latency.
    pub(super) takes_slot: bool,
}

impl Checkout {
    /// Waits for a connection, makes it hold exactly these values and know this shape, and waits for a place to work if
    /// what comes next `takes_slot` of the server. Our own statements take none.
    pub async fn take(
        edge: &Rc<Edge>,
        pool: &Rc<Pool>,
        admission: &Admission,
        values: &Values,
        shape: Option<&Shape>,
        takes_slot: bool,
    ) -> Result<Self, CheckoutError> {
        let conn = pool.enter(&pool.conns, admission).await?;
        let link = pool.acquire(edge, values).await?;
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
        checkout
            .prepare(values, shape)
            .await
            .map_err(|()| CheckoutError::Unreachable)?;
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
            let at = clock::now() + OWN_STATEMENT_S;
            let _ = self
                .ask(
                    b"QUERY - ABORT\r\n",
                    &mut Answer::default(),
                    at,
                    async |_: &[u8]| true,
                )
                .await;
        };
        edge.tasks.spawn(work).detach();
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(link) = self.link.take() else { return };
        match self.reuse {
            Reuse::Clean => self.pool.put_idle(link),
            Reuse::Closed => {}
            Reuse::Pending => self.drain(link),
        }
    }
}
