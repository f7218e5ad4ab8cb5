//! Sets the session values and the prepared statement that the next statement needs on a
//! connection.

use super::Pool;
use super::checkout::{Checkout, INTERNAL_STATEMENT_TIMEOUT_S, Reuse};
use crate::clock;
use crate::data_plane::server_connection::ServerConnection;
use crate::net::{self, Scratch, sleep_until};
use badgerstream_line_protocol::{ResponseReader, TransactionState};
use badgerstream_pooling::connection::StateChange;
use badgerstream_pooling::session::{Shape, Values};
use futures_lite::future::or;
use thiserror::Error;

/// The session state could not be set on the connection, which has been closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("setting the session state on the server connection failed; the connection is closed")]
pub(in crate::data_plane) struct PrepareFailed;

impl Checkout {
    /// Sets exactly these values on the connection and prepares this shape there.
    ///
    /// # Errors
    /// [`PrepareFailed`]; the connection is closed then.
    pub(in crate::data_plane) async fn prepare(
        &mut self,
        values: &Values,
        shape: Option<&Shape>,
    ) -> Result<(), PrepareFailed> {
        let Some(connection) = &mut self.connection else {
            return Err(PrepareFailed);
        };
        let changes = connection.state.changes(values, shape);
        if changes.is_empty() {
            return Ok(());
        }
        let in_transaction = self.reuse == Reuse::Closed;
        let expected_state = if in_transaction {
            TransactionState::Open
        } else {
            TransactionState::Idle
        };
        // Until all changes are acknowledged, the state of the connection is unknown.
        self.reuse = Reuse::Closed;
        let sent_at = clock::now();
        let (pool, scratch) = (&self.pool, &self.data_plane.scratch);
        let applied = async {
            apply(connection, &changes, expected_state, scratch).await?;
            pool.record_round_trip(sent_at);
            Ok(())
        };
        let give_up_at = sent_at + INTERNAL_STATEMENT_TIMEOUT_S;
        match net::with_deadline(give_up_at, or(applied, fail_when_overtaken(pool, sent_at))).await
        {
            Some(Ok(())) => {
                self.reuse = if in_transaction {
                    Reuse::Closed
                } else {
                    Reuse::Clean
                };
                self.changed_in_transaction |= in_transaction;
                Ok(())
            }
            _ => {
                self.pool.mark_failing();
                self.connection = None;
                Err(PrepareFailed)
            }
        }
    }
}

/// Sends the changes and waits until the server has acknowledged each of them with this transaction
/// state.
async fn apply(
    connection: &mut ServerConnection,
    changes: &[StateChange],
    expected_state: TransactionState,
    scratch: &Scratch,
) -> Result<(), PrepareFailed> {
    let lines: String = changes
        .iter()
        .map(|change| format!("QUERY - {}\r\n", change.text()))
        .collect();
    connection
        .send(lines.as_bytes())
        .await
        .map_err(|_| PrepareFailed)?;
    for change in changes {
        let mut answer = ResponseReader::default();
        let outcome = connection
            .read_answer(&mut answer, scratch)
            .await
            .ok()
            .flatten()
            .ok_or(PrepareFailed)?;
        if outcome.error.is_some() || outcome.state != expected_state {
            return Err(PrepareFailed);
        }
        connection.state.record_acknowledged(change);
    }
    Ok(())
}

/// Fails once the answer to the changes sent at `sent_at` is most likely lost, as the statement can
/// still use another connection.
async fn fail_when_overtaken(pool: &Pool, sent_at: f64) -> Result<(), PrepareFailed> {
    loop {
        sleep_until(clock::now() + pool.latency().overdue_after_s(0.0)).await;
        if pool.newest_answered_sent_at.get() > sent_at {
            return Err(PrepareFailed);
        }
    }
}
