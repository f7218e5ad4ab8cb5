//! Bringing a connection to the values and prepared shapes that its next statement needs.

use super::Pool;
use super::checkout::{Checkout, OWN_STATEMENT_S, Reuse};
use crate::clock;
use crate::edge::link::Link;
use crate::edge::net::{self, Scratch, sleep_until};
use badgerstream_line_protocol::{Answer, State};
use badgerstream_pooling::connection::StateChange;
use badgerstream_pooling::session::{Shape, Values};
use futures_lite::future::or;

impl Checkout {
    /// Makes the connection hold exactly these values and know this shape. On failure it is closed.
    pub async fn prepare(&mut self, values: &Values, shape: Option<&Shape>) -> Result<(), ()> {
        let Some(link) = &mut self.link else {
            return Err(());
        };
        let changes = link.held.changes(values, shape);
        if changes.is_empty() {
            return Ok(());
        }
        let inside = self.reuse == Reuse::Closed;
        let state = if inside { State::Open } else { State::Idle };
        // Until all are acknowledged nobody knows what it holds.
        self.reuse = Reuse::Closed;
        let (sent, pool, scratch) = (clock::now(), &self.pool, &self.edge.scratch);
        let made = async {
            apply(link, &changes, state, scratch).await?;
            pool.record_round_trip(sent);
            Ok(())
        };
        match net::until(sent + OWN_STATEMENT_S, or(made, overtaken(pool, sent))).await {
            Some(Ok(())) => {
                self.reuse = if inside { Reuse::Closed } else { Reuse::Clean };
                self.changed_inside |= inside;
                Ok(())
            }
            _ => {
                self.pool.mark_failing();
                self.link = None;
                Err(())
            }
        }
    }
}

/// Sends the changes and waits until the server has acknowledged all of them, in this state.
async fn apply(
    link: &mut Link,
    changes: &[StateChange],
    state: State,
    scratch: &Scratch,
) -> Result<(), ()> {
    let lines: String = changes
        .iter()
        .map(|change| format!("QUERY - {}\r\n", change.text()))
        .collect();
    link.send(lines.as_bytes()).await.map_err(drop)?;
    for change in changes {
        let mut answer = Answer::default();
        let outcome = link.answer(&mut answer, scratch).await?.ok_or(())?;
        if outcome.error.is_some() || outcome.state != state {
            return Err(());
        }
        link.held.acknowledged(change);
    }
    Ok(())
}

/// Waits until the answer to what was sent then most likely is lost: another connection does as well.
async fn overtaken(pool: &Pool, sent: f64) -> Result<(), ()> {
    loop {
        sleep_until(clock::now() + pool.latency().overdue_after(0.0)).await;
        if pool.last_answered.get() > sent {
            return Err(());
        }
    }
}
