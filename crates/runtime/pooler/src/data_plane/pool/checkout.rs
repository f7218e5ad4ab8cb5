//! A connection in use by one client: taken from the pool, and given back as it may be left.

use super::health::Unanswered;
use super::{AdmissionTerms, CheckoutError, Pool};
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::admission::Permit;
use crate::data_plane::net;
use crate::data_plane::server_connection::ServerConnection;
use badgerstream_line_protocol::Answer;
use badgerstream_pooling::session::{Shape, Values};
use std::rc::Rc;

/// How long the statements of the router itself may take, in seconds.
pub(super) const INTERNAL_STATEMENT_TIMEOUT_S: f64 = 1.0;

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
    pub(super) data_plane: Rc<DataPlane>,
    /// The server's pool.
    pub pool: Rc<Pool>,
    pub(super) connection: Option<ServerConnection>,
    pub(super) connection_permit: Option<Permit>,
    pub(super) slot_permit: Option<Permit>,
    pub(super) reuse: Reuse,
    /// The router changed values or shapes inside the transaction that is open.
    pub(super) changed_in_transaction: bool,
    /// The changes inside the transaction last if what was asked last succeeds.
    pub(super) commits: bool,
    pub(super) unanswered: Option<Unanswered>,
    /// What was asked last takes a slot of the server, so that its answer tells the latency.
    pub(super) takes_slot: bool,
}

impl Checkout {
    /// Waits for a connection, makes it hold exactly these values and know this shape, and waits for a place to work if
    /// what comes next `takes_slot` of the server. Our own statements take none.
    pub async fn acquire(
        data_plane: &Rc<DataPlane>,
        pool: &Rc<Pool>,
        admission_terms: &AdmissionTerms,
        values: &Values,
        shape: Option<&Shape>,
        takes_slot: bool,
    ) -> Result<Self, CheckoutError> {
        let conn = pool
            .admit(&pool.connection_admission, admission_terms)
            .await?;
        let connection = pool.acquire_connection(data_plane, values).await?;
        let mut checkout = Self {
            data_plane: data_plane.clone(),
            pool: pool.clone(),
            connection: Some(connection),
            connection_permit: Some(conn),
            slot_permit: None,
            reuse: Reuse::Clean,
            changed_in_transaction: false,
            commits: false,
            unanswered: None,
            takes_slot: false,
        };
        checkout
            .prepare(values, shape)
            .await
            .map_err(|()| CheckoutError::Unreachable)?;
        if takes_slot {
            checkout.slot_permit = Some(pool.admit(&pool.slot_admission, admission_terms).await?);
        }
        Ok(checkout)
    }

    /// The number in our name for this shape, on this connection.
    pub fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.connection
            .as_ref()
            .and_then(|l| l.state.prepared_number(shape))
    }

    /// Waits for a place to work with what has only just begun, by its rank and latest start; false if none is had in time.
    pub async fn acquire_first_slot(&mut self, admission_terms: &AdmissionTerms) -> bool {
        let pool = self.pool.clone();
        let entered = net::until(
            admission_terms.give_up_at,
            pool.admit(&pool.slot_admission, admission_terms),
        )
        .await;
        self.slot_permit = entered.and_then(Result::ok);
        self.slot_permit.is_some()
    }

    /// Waits for a place to work, if it has none. Whoever has begun keeps others waiting: it goes first.
    pub async fn acquire_slot(&mut self) {
        if self.slot_permit.is_none() {
            self.slot_permit = Some(self.pool.slot_admission.acquire(0, f64::INFINITY).await);
        }
    }

    /// Gives the place to work back.
    pub fn release_slot(&mut self) {
        self.slot_permit = None;
    }

    /// What is asked next is a `COMMIT`: own changes inside the transaction then last.
    pub fn expect_commit(&mut self) {
        self.commits = true;
    }

    /// Rolls an open transaction back, apart, so that the connection is of use again.
    pub fn roll_back(mut self) {
        if self.unanswered.is_some() {
            // What comes next on it isn't the answer to our `ABORT`: closing it rolls back, too.
            return;
        }
        let data_plane = self.data_plane.clone();
        self.slot_permit = None;
        let work = async move {
            let at = clock::now() + INTERNAL_STATEMENT_TIMEOUT_S;
            let _ = self
                .exchange(
                    b"QUERY - ABORT\r\n",
                    &mut Answer::default(),
                    at,
                    async |_: &[u8]| true,
                )
                .await;
        };
        data_plane.tasks.spawn(work).detach();
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        match self.reuse {
            Reuse::Clean => self.pool.put_idle(connection),
            Reuse::Closed => {}
            Reuse::Pending => self.drain(connection),
        }
    }
}
