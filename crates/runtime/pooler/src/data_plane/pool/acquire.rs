//! A connection for a checkout: an idle one, or a new one.

use super::health::UnansweredStatement;
use super::{CheckoutError, Pool};
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::server_connection::{OpenError, ServerAddress, ServerConnection};
use crate::net::sleep_until;
use badgerstream_pooling::session::Values;
use std::rc::Rc;

/// The first backoff after a server refused a connection for having too many, in seconds; it
/// doubles with each refusal.
const CONNECTION_LIMIT_BACKOFF_S: f64 = 0.05;
/// The longest backoff, in seconds.
const MAX_CONNECTION_LIMIT_BACKOFF_S: f64 = 8.0 * CONNECTION_LIMIT_BACKOFF_S;

impl Pool {
    /// The idle connection whose state is nearest to these values, or a new one.
    pub(super) async fn acquire_connection(
        self: &Rc<Self>,
        data_plane: &DataPlane,
        values: &Values,
    ) -> Result<ServerConnection, CheckoutError> {
        let mut backoff = CONNECTION_LIMIT_BACKOFF_S;
        loop {
            if let Some(connection) = self.take_idle(values, &data_plane.scratch) {
                return Ok(connection);
            }
            match self.open(data_plane).await {
                Ok(connection) => return Ok(connection),
                Err(OpenError::Full) => {
                    let now = clock::now();
                    self.mark_full(now);
                    sleep_until(now + backoff).await;
                    backoff = (backoff * 2.0).min(MAX_CONNECTION_LIMIT_BACKOFF_S);
                }
                Err(error) => {
                    self.mark_unreachable();
                    log::debug!(
                        "event=server_connection_failed server={} error={error:?}",
                        self.server.id
                    );
                    return Err(CheckoutError::Unreachable);
                }
            }
        }
    }

    async fn open(self: &Rc<Self>, data_plane: &DataPlane) -> Result<ServerConnection, OpenError> {
        let address = ServerAddress {
            endpoint: self.server.endpoint,
            service: &self.server.service,
            server_id: &self.server.id,
        };
        let unanswered = UnansweredStatement::new(self, clock::now(), false);
        let opened =
            ServerConnection::open(&address, &data_plane.limits.name, &data_plane.scratch).await;
        drop(unanswered);
        let opened = opened?;
        self.mark_answered(opened.position);
        log::debug!("event=server_connection_opened server={}", self.server.id);
        Ok(opened.connection)
    }

    /// The server takes no more connections: the quota is reduced for a while.
    fn mark_full(&self, now: f64) {
        let mut quota = self.connection_quota.get();
        quota.record_refusal(now);
        self.connection_quota.set(quota);
        self.connection_admission.set_limit(quota.limit(now));
        log::debug!("event=connection_limit_reached server={}", self.server.id);
    }
}
