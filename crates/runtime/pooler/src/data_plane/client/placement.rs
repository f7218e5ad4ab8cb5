//! A connection for what the client asks, while the client is connected and the router serves.

use super::{BACKOFF_S, ClientSession, MAX_BACKOFF_DOUBLINGS};
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
    /// There is no server in time; the client should try again after this many seconds.
    RetryAfter(f64),
}

impl ClientSession {
    /// Waits for a connection until `give_up_at` (seconds), while the client is connected and
    /// shutdown doesn't reject what has no placement.
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
            self.handle.reached(DrainStage::RejectUnplaced).await;
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

    /// Waits after a primary refused a statement, longer with each attempt.
    pub(super) async fn back_off(&self, attempt: u32) {
        let doublings = attempt.min(MAX_BACKOFF_DOUBLINGS);
        net::sleep_until(clock::now() + BACKOFF_S * f64::from(1 << doublings)).await;
    }
}

impl SessionHandle {
    /// The output of a future, if it is ready by `give_up_at` (seconds) and before shutdown rejects
    /// what has no placement.
    pub(super) fn until_rejection<T>(
        &self,
        give_up_at: f64,
        future: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        or(net::until(give_up_at, future), async {
            self.reached(DrainStage::RejectUnplaced).await;
            None
        })
    }

    /// The outcome of an exchange with a server, or `TimedOut` once shutdown answers what is in
    /// flight.
    pub(super) fn until_final_answer<T>(
        &self,
        exchange: impl Future<Output = Result<T, ExchangeError>>,
    ) -> impl Future<Output = Result<T, ExchangeError>> {
        or(exchange, async {
            self.reached(DrainStage::AnswerInFlight).await;
            Err(ExchangeError::TimedOut)
        })
    }
}
