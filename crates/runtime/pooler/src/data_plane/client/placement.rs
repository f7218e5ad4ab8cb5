//! Waits for a connection for a client's statement, as long as the client is connected and shutdown
//! doesn't reject the statement.

use super::{ClientSession, INITIAL_BACKOFF_S, MAX_BACKOFF_DOUBLINGS};
use crate::clock;
use crate::data_plane::drain::{DrainStage, SessionHandle};
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S, Unplaced};
use crate::data_plane::pool::ExchangeError;
use crate::net;
use futures_lite::future::or;
use std::future::Future;

/// Why a statement has no connection.
pub(super) enum NoPlacement {
    /// The client has disconnected.
    ClientDisconnected,
    /// No server was available in time; the client should try again after this many seconds.
    RetryAfter(f64),
}

impl ClientSession {
    /// Waits for a connection until `give_up_at` (seconds of the monotonic clock). Stops earlier if
    /// the client disconnects or shutdown rejects statements without a placement.
    pub(super) async fn place(
        &self,
        request: &PlacementRequest<'_>,
        tried_servers: &[String],
        give_up_at: f64,
    ) -> Result<Placement, NoPlacement> {
        let place = async {
            Some(
                self.data_plane
                    .place(request, &self.session, tried_servers, give_up_at)
                    .await,
            )
        };
        let rejected = async {
            self.handle.wait_for_stage(DrainStage::RejectUnplaced).await;
            Some(Err(Unplaced {
                retry_after_s: RETRY_AFTER_S,
            }))
        };
        let disconnected = self.client.until_closed(&self.data_plane);
        match or(or(place, disconnected), rejected).await {
            None => Err(NoPlacement::ClientDisconnected),
            Some(placed) => {
                placed.map_err(|unplaced| NoPlacement::RetryAfter(unplaced.retry_after_s))
            }
        }
    }

    /// Waits after a primary refused a statement; the wait grows with each attempt.
    pub(super) async fn back_off(&self, attempt: u32) {
        let doublings = attempt.min(MAX_BACKOFF_DOUBLINGS);
        net::sleep_until(clock::now() + INITIAL_BACKOFF_S * f64::from(1 << doublings)).await;
    }
}

impl SessionHandle {
    /// Returns the output of a future, or `None` if `give_up_at` (seconds of the monotonic clock)
    /// passes first or shutdown rejects statements without a placement first.
    pub(super) fn until_rejection<T>(
        &self,
        give_up_at: f64,
        future: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        or(net::with_deadline(give_up_at, future), async {
            self.wait_for_stage(DrainStage::RejectUnplaced).await;
            None
        })
    }

    /// Returns the result of an exchange with a server, or `TimedOut` once shutdown requires
    /// responses for statements in flight.
    pub(super) fn until_final_answer<T>(
        &self,
        exchange: impl Future<Output = Result<T, ExchangeError>>,
    ) -> impl Future<Output = Result<T, ExchangeError>> {
        or(exchange, async {
            self.wait_for_stage(DrainStage::AnswerInFlight).await;
            Err(ExchangeError::TimedOut)
        })
    }
}
