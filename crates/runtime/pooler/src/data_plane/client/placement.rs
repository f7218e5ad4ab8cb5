//! A place at a server for what the client asks, while the client is there and the router serves.

use super::{BACKOFF_S, ClientSession, MAX_BACKOFF_DOUBLINGS};
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S};
use crate::data_plane::pool::ExchangeError;
use crate::data_plane::{DrainStage, SessionHandle, net};
use futures_lite::future::or;
use std::future::Future;

/// Why a statement has no connection.
pub(super) enum NoPlacement {
    /// The client has closed its connection.
    ClientDisconnected,
    /// No server is to be had; to be tried again in so many seconds.
    RetryAfter(f64),
}

impl ClientSession {
    /// Waits for a connection, until this second and no longer than the client is there.
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
        let ending = async {
            self.handle.reached(DrainStage::RejectUnplaced).await;
            Some(Err(RETRY_AFTER_S))
        };
        match or(
            or(place, self.client.until_closed(&self.data_plane)),
            ending,
        )
        .await
        {
            None => Err(NoPlacement::ClientDisconnected),
            Some(placed) => placed.map_err(NoPlacement::RetryAfter),
        }
    }

    /// Waits after the refusal of a primary, longer with each attempt.
    pub(super) async fn back_off(&self, attempt: u32) {
        let doublings = attempt.min(MAX_BACKOFF_DOUBLINGS);
        net::sleep_until(clock::now() + BACKOFF_S * f64::from(1 << doublings)).await;
    }
}

impl SessionHandle {
    /// What comes of this before a second of the steady clock, and before the router's end refuses what no server was
    /// offered; none if nothing does.
    pub(super) fn until_rejection<T>(
        &self,
        at: f64,
        what: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        or(net::until(at, what), async {
            self.reached(DrainStage::RejectUnplaced).await;
            None
        })
    }

    /// What comes of an exchange with a server; `Silent` once the router's end lets it wait no longer.
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
