//! A connection in use by one client: taken from the pool, and returned as its state allows.

use super::health::UnansweredStatement;
use super::{CheckoutError, Pool};
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::admission::{AdmissionTerms, Permit};
use crate::data_plane::server_connection::ServerConnection;
use crate::net;
use badgerstream_line_protocol::ResponseReader;
use badgerstream_pooling::session::{Shape, Values};
use std::rc::Rc;

/// How long statements of the router itself may take, in seconds.
pub(super) const INTERNAL_STATEMENT_TIMEOUT_S: f64 = 1.0;
/// The rank of what has begun already, and keeps others waiting until it ends.
const RANK_OF_BEGUN: u32 = 0;

/// What becomes of a connection when its [`Checkout`] is dropped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Reuse {
    /// It is idle, and returned to the pool.
    Clean,
    /// A statement outside a transaction is unanswered: it is returned once the answer is in.
    Pending,
    /// A transaction is open, or its state is unknown: it is closed, which rolls back.
    Closed,
}

/// A connection in use by one client, with its permits.
pub(in crate::data_plane) struct Checkout {
    pub(super) data_plane: Rc<DataPlane>,
    /// The server's pool.
    pub(in crate::data_plane) pool: Rc<Pool>,
    /// None once it broke.
    pub(super) connection: Option<ServerConnection>,
    pub(super) connection_permit: Option<Permit>,
    pub(super) slot_permit: Option<Permit>,
    pub(super) reuse: Reuse,
    /// The router changed values or prepared statements inside the transaction that is open.
    pub(super) changed_in_transaction: bool,
    /// The last statement is a `COMMIT`: if it succeeds, changes inside the transaction persist.
    pub(super) commits: bool,
    pub(super) unanswered: Option<UnansweredStatement>,
    /// The last statement takes a slot of the server, so that its answer shows the latency.
    pub(super) takes_slot: bool,
}

impl Checkout {
    /// Waits for a connection, brings it to these values and this shape, and waits for a slot if
    /// what comes next takes one. The router's own statements take none.
    ///
    /// # Errors
    /// [`CheckoutError`]; nothing of the client has been sent.
    pub(in crate::data_plane) async fn acquire(
        data_plane: &Rc<DataPlane>,
        pool: &Rc<Pool>,
        terms: &AdmissionTerms,
        values: &Values,
        shape: Option<&Shape>,
        takes_slot: bool,
    ) -> Result<Self, CheckoutError> {
        let connection_permit = pool.admit(&pool.connection_admission, terms).await?;
        let connection = pool.acquire_connection(data_plane, values).await?;
        let mut checkout = Self {
            data_plane: data_plane.clone(),
            pool: pool.clone(),
            connection: Some(connection),
            connection_permit: Some(connection_permit),
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
            .map_err(|_| CheckoutError::Unreachable)?;
        if takes_slot {
            checkout.slot_permit = Some(pool.admit(&pool.slot_admission, terms).await?);
        }
        Ok(checkout)
    }

    /// The number in the router's name for this shape, on this connection.
    pub(in crate::data_plane) fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.connection
            .as_ref()
            .and_then(|connection| connection.state.prepared_number(shape))
    }

    /// Waits for the first slot of a transaction, by its rank and latest start. False if there is
    /// none in time.
    pub(in crate::data_plane) async fn acquire_first_slot(
        &mut self,
        terms: &AdmissionTerms,
    ) -> bool {
        let pool = self.pool.clone();
        let admitted = net::until(terms.give_up_at, pool.admit(&pool.slot_admission, terms)).await;
        self.slot_permit = admitted.and_then(Result::ok);
        self.slot_permit.is_some()
    }

    /// Waits for a slot, unless it has one. It goes first: what has begun keeps others waiting.
    pub(in crate::data_plane) async fn acquire_slot(&mut self) {
        if self.slot_permit.is_none() {
            let queue = &self.pool.slot_admission;
            self.slot_permit = Some(queue.acquire(RANK_OF_BEGUN, f64::INFINITY).await);
        }
    }

    /// Gives the slot back.
    pub(in crate::data_plane) fn release_slot(&mut self) {
        self.slot_permit = None;
    }

    /// The next statement is a `COMMIT`: with its success, changes inside the transaction persist.
    pub(in crate::data_plane) fn expect_commit(&mut self) {
        self.commits = true;
    }

    /// Rolls an open transaction back in a task of its own, so that the connection can be reused.
    pub(in crate::data_plane) fn roll_back(mut self) {
        if self.unanswered.is_some() {
            // The next answer on it isn't that of our `ABORT`. Closing it rolls back, too.
            return;
        }
        let data_plane = self.data_plane.clone();
        self.slot_permit = None;
        let abort = async move {
            let give_up_at = clock::now() + INTERNAL_STATEMENT_TIMEOUT_S;
            let discard = async |_: &[u8]| true;
            // Without success the connection isn't clean, and is closed with the checkout.
            let _ = self
                .exchange(
                    b"QUERY - ABORT\r\n",
                    &mut ResponseReader::default(),
                    give_up_at,
                    discard,
                )
                .await;
        };
        data_plane.tasks.spawn(abort).detach();
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
