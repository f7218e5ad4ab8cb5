//! Obtains the connection for a checkout: an idle one if possible, otherwise a new one.

use super::health::UnansweredStatement;
use super::{CheckoutError, Pool};
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::server_connection::{OpenError, ServerAddress, ServerConnection};
use crate::net::sleep_until;
use badgerstream_pooling::session::Values;
use std::rc::Rc;

/// First backoff after a server refused a connection because of its connection limit, in seconds;
/// it doubles with each refusal.
const INITIAL_CONNECTION_LIMIT_BACKOFF_S: f64 = 0.05;
/// Maximum backoff after such a refusal, in seconds.
const MAX_CONNECTION_LIMIT_BACKOFF_S: f64 = 8.0 * INITIAL_CONNECTION_LIMIT_BACKOFF_S;

impl Pool {
    /// Returns the idle connection whose session state needs the fewest changes to hold these
    /// values, or opens a new connection.
    pub(super) async fn acquire_connection(
        self: &Rc<Self>,
        data_plane: &DataPlane,
        values: &Values,
    ) -> Result<ServerConnection, CheckoutError> {
        let mut backoff_s = INITIAL_CONNECTION_LIMIT_BACKOFF_S;
        loop {
            if let Some(connection) = self.take_idle(values, &data_plane.scratch) {
                return Ok(connection);
            }
            match self.open(data_plane).await {
                Ok(connection) => return Ok(connection),
                Err(OpenError::ConnectionLimit) => {
                    let now = clock::now();
                    self.record_connection_limit(now);
                    sleep_until(now + backoff_s).await;
                    backoff_s = (backoff_s * 2.0).min(MAX_CONNECTION_LIMIT_BACKOFF_S);
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

    /// Records that the server has reached its connection limit, and reduces the quota for a while.
    fn record_connection_limit(&self, now: f64) {
        let mut quota = self.connection_quota.get();
        quota.record_refusal(now);
        self.connection_quota.set(quota);
        self.connection_admission.set_limit(quota.limit(now));
        log::debug!("event=connection_limit_reached server={}", self.server.id);
    }
}
