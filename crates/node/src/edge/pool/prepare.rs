//! Bringing a connection to the values and prepared shapes that its next statement needs.

use super::checkout::{Checkout, OWN_S, Reuse};
use crate::clock;
use crate::edge::net::{self, sleep_until};
use badgerstream_pooling::session::{Shape, Values};
use badgerstream_wire::{Answer, State};
use futures_lite::future::or;

impl Checkout {
    /// Makes the connection hold exactly these values and know this shape. On failure it is closed.
    pub async fn prepare(&mut self, values: &Values, shape: Option<&Shape>) -> Result<(), ()> {
        let Some(link) = &mut self.link else { return Err(()) };
        let changes = link.held.changes(values, shape);
        if changes.is_empty() {
            return Ok(());
        }
        let inside = self.reuse == Reuse::Closed;
        let state = if inside { State::Open } else { State::Idle };
        // Until all are acknowledged nobody knows what it holds.
        self.reuse = Reuse::Closed;
        let mut bytes = Vec::new();
        for change in &changes {
            bytes.extend_from_slice(format!("QUERY - {}\r\n", change.text()).as_bytes());
        }
        let edge = &self.edge;
        let (sent, pool) = (clock::now(), &self.pool);
        let made = async {
            link.send(&bytes).await.map_err(drop)?;
            for change in &changes {
                let mut answer = Answer::default();
                let outcome = link.answer(&mut answer, &edge.scratch).await?.ok_or(())?;
                if outcome.error.is_some() || outcome.state != state {
                    return Err(());
                }
                link.held.acknowledged(change);
            }
            pool.record_round_trip(sent);
            Ok(())
        };
        // Another connection does as well: an answer that most likely is lost isn't waited for.
        let lost = async {
            loop {
                sleep_until(clock::now() + pool.latency().overdue_after(0.0)).await;
                if pool.last_answered.get() > sent {
                    return Err(());
                }
            }
        };
        match net::until(sent + OWN_S, or(made, lost)).await {
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
