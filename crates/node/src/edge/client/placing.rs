//! A place at a server for what the client asks, while the client is there.

use super::{BACKOFF_S, ClientSession, MAX_BACKOFF_DOUBLINGS};
use crate::clock;
use crate::edge::net;
use crate::edge::place::{Placement, PlacementRequest};
use futures_lite::future::or;

/// Why a statement has no connection.
pub(super) enum NoPlacement {
    /// The client has closed its connection.
    ClientGone,
    /// No server is to be had; to be tried again in so many seconds.
    RetryAfter(f64),
}

impl ClientSession {
    /// Waits for a connection, until this second and no longer than the client is there.
    pub(super) async fn place(
        &self, request: &PlacementRequest<'_>, tried: &[String], give_up: f64,
    ) -> Result<Placement, NoPlacement> {
        let place = async { Some(self.edge.place(request, &self.session, tried, give_up).await) };
        match or(place, self.client.until_closed(&self.edge)).await {
            None => Err(NoPlacement::ClientGone),
            Some(placed) => placed.map_err(NoPlacement::RetryAfter),
        }
    }

    /// Waits after the refusal of a primary, longer with each attempt.
    pub(super) async fn back_off(&self, attempt: u32) {
        let doublings = attempt.min(MAX_BACKOFF_DOUBLINGS);
        net::sleep_until(clock::now() + BACKOFF_S * f64::from(1 << doublings)).await;
    }
}
