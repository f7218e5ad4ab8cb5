//! Bringing a connection to the values and prepared shapes that its next statement needs.

use super::Pool;
use super::checkout::{Checkout, INTERNAL_STATEMENT_TIMEOUT_S, Reuse};
use crate::clock;
use crate::data_plane::net::{self, Scratch, sleep_until};
use crate::data_plane::server_connection::ServerConnection;
use badgerstream_line_protocol::{Answer, State};
use badgerstream_pooling::connection::StateChange;
use badgerstream_pooling::session::{Shape, Values};
use futures_lite::future::or;

impl Checkout {
    /// Makes the connection hold exactly these values and know this shape. On failure it is closed.
    pub async fn prepare(&mut self, values: &Values, shape: Option<&Shape>) -> Result<(), ()> {
        let Some(connection) = &mut self.connection else {
            return Err(());
        };
        let changes = connection.state.changes(values, shape);
        if changes.is_empty() {
            return Ok(());
        }
        let inside = self.reuse == Reuse::Closed;
        let state = if inside { State::Open } else { State::Idle };
        // Until all are acknowledged nobody knows what it holds.
        self.reuse = Reuse::Closed;
        let (sent_at, pool, scratch) = (clock::now(), &self.pool, &self.data_plane.scratch);
        let made = async {
            apply(connection, &changes, state, scratch).await?;
            pool.record_round_trip(sent_at);
            Ok(())
        };
        match net::until(
            sent_at + INTERNAL_STATEMENT_TIMEOUT_S,
            or(made, overtaken(pool, sent_at)),
        )
        .await
        {
            Some(Ok(())) => {
                self.reuse = if inside { Reuse::Closed } else { Reuse::Clean };
                self.changed_in_transaction |= inside;
                Ok(())
            }
            _ => {
                self.pool.mark_failing();
                self.connection = None;
                Err(())
            }
        }
    }
}

/// Sends the changes and waits until the server has acknowledged all of them, in this state.
async fn apply(
    connection: &mut ServerConnection,
    changes: &[StateChange],
    state: State,
    scratch: &Scratch,
) -> Result<(), ()> {
    let lines: String = changes
        .iter()
        .map(|change| format!("QUERY - {}\r\n", change.text()))
        .collect();
    connection.send(lines.as_bytes()).await.map_err(drop)?;
    for change in changes {
        let mut answer = Answer::default();
        let outcome = connection
            .read_answer(&mut answer, scratch)
            .await?
            .ok_or(())?;
        if outcome.error.is_some() || outcome.state != state {
            return Err(());
        }
        connection.state.record_acknowledged(change);
    }
    Ok(())
}

/// Waits until the answer to what was sent then most likely is lost: another connection does as well.
async fn overtaken(pool: &Pool, sent_at: f64) -> Result<(), ()> {
    loop {
        sleep_until(clock::now() + pool.latency().overdue_after(0.0)).await;
        if pool.newest_answered_sent_at.get() > sent_at {
            return Err(());
        }
    }
}
