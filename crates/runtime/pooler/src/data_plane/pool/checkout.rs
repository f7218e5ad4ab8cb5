//! A connection in use by one client: it is taken from the pool, and returned if its state allows.

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

/// Timeout of the statements that the router sends on its own, in seconds.
pub(super) const INTERNAL_STATEMENT_TIMEOUT_S: f64 = 1.0;
/// Rank of statements in transactions that have begun at the server: they go first, as an open
/// transaction keeps other statements waiting until it ends.
const OPEN_TRANSACTION_RANK: u32 = 0;

/// What happens to a connection when its [`Checkout`] is dropped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Reuse {
    /// The connection is idle and is returned to the pool.
    Clean,
    /// A statement outside a transaction is unanswered: the connection is returned to the pool once
    /// the answer has been read.
    Pending,
    /// A transaction is open or the connection's state is unknown: the connection is closed, which
    /// rolls the transaction back.
    Closed,
}

/// A connection in use by one client, with its permits.
pub(in crate::data_plane) struct Checkout {
    pub(super) data_plane: Rc<DataPlane>,
    /// The server's pool.
    pub(in crate::data_plane) pool: Rc<Pool>,
    /// `None` once the connection has broken.
    pub(super) connection: Option<ServerConnection>,
    pub(super) connection_permit: Option<Permit>,
    pub(super) slot_permit: Option<Permit>,
    pub(super) reuse: Reuse,
    /// The router changed values or prepared statements inside the open transaction.
    pub(super) changed_in_transaction: bool,
    /// The last statement is a `COMMIT`: if it succeeds, those changes persist.
    pub(super) commits: bool,
    pub(super) unanswered: Option<UnansweredStatement>,
    /// The last statement takes a slot of the server, so the time to its answer counts as latency.
    pub(super) takes_slot: bool,
}

impl Checkout {
    /// Waits for a connection, sets these values and prepares this shape on it, and waits for a
    /// slot if `takes_slot`. The router's own statements take no slot.
    ///
    /// # Errors
    /// [`CheckoutError`]; no statement of the client has been sent then.
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

    /// Returns the number in the name that the router gave this shape on this connection; `None` if
    /// it is not prepared there.
    pub(in crate::data_plane) fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.connection
            .as_ref()
            .and_then(|connection| connection.state.prepared_number(shape))
    }

    /// Waits for the first slot of a transaction, by its rank and latest start. Returns whether it
    /// got one in time.
    pub(in crate::data_plane) async fn acquire_first_slot(
        &mut self,
        terms: &AdmissionTerms,
    ) -> bool {
        let pool = self.pool.clone();
        let admitted =
            net::with_deadline(terms.give_up_at, pool.admit(&pool.slot_admission, terms)).await;
        self.slot_permit = admitted.and_then(Result::ok);
        self.slot_permit.is_some()
    }

    /// Waits for a slot unless the checkout has one. It goes before statements that have not begun,
    /// as an open transaction keeps others waiting.
    pub(in crate::data_plane) async fn acquire_slot(&mut self) {
        if self.slot_permit.is_none() {
            let queue = &self.pool.slot_admission;
            self.slot_permit = Some(queue.acquire(OPEN_TRANSACTION_RANK, f64::INFINITY).await);
        }
    }

    /// Releases the slot.
    pub(in crate::data_plane) fn release_slot(&mut self) {
        self.slot_permit = None;
    }

    /// Records that the next statement is a `COMMIT`: if it succeeds, changes of values and
    /// prepared statements inside the transaction persist.
    pub(in crate::data_plane) fn expect_commit(&mut self) {
        self.commits = true;
    }

    /// Rolls back an open transaction in a separate task, so that the connection can be reused.
    pub(in crate::data_plane) fn roll_back(mut self) {
        if self.unanswered.is_some() {
            // The next answer on the connection would not be that to our `ABORT`. Dropping the
            // checkout closes the connection, which rolls back as well.
            return;
        }
        let data_plane = self.data_plane.clone();
        self.slot_permit = None;
        let abort = async move {
            let give_up_at = clock::now() + INTERNAL_STATEMENT_TIMEOUT_S;
            let discard = async |_: &[u8]| true;
            // If this fails, the connection isn't clean and is closed with the checkout.
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
