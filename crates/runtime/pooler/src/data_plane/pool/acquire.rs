//! A connection for a checkout: an idle one, or a new one.

use super::health::Unanswered;
use super::{CheckoutError, Pool};
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::net::sleep_until;
use crate::data_plane::server_connection::{OpenError, ServerConnection};
use badgerstream_pooling::session::Values;
use std::rc::Rc;

/// The first pause after a server's refusal of a connection, in seconds; it doubles with each.
const CONNECTION_LIMIT_BACKOFF_S: f64 = 0.05;
/// The longest pause, in seconds.
const MAX_CONNECTION_LIMIT_BACKOFF_S: f64 = 8.0 * CONNECTION_LIMIT_BACKOFF_S;

impl Pool {
    /// The idle connection that is nearest to these values, or a new one.
    pub(super) async fn acquire_connection(
        self: &Rc<Self>,
        data_plane: &DataPlane,
        values: &Values,
    ) -> Result<ServerConnection, CheckoutError> {
        let mut pause = CONNECTION_LIMIT_BACKOFF_S;
        loop {
            if let Some(connection) = self.take_idle(values, &data_plane.scratch) {
                return Ok(connection);
            }
            match self.open(data_plane).await {
                Ok(connection) => return Ok(connection),
                Err(OpenError::Full) => {
                    let now = clock::now();
                    self.mark_full(now);
                    sleep_until(now + pause).await;
                    pause = (pause * 2.0).min(MAX_CONNECTION_LIMIT_BACKOFF_S);
                }
                Err(error) => {
                    self.mark_unreachable();
                    log::debug!(
                        "event=no_connection server={} error={error:?}",
                        self.server.id
                    );
                    return Err(CheckoutError::Unreachable);
                }
            }
        }
    }

    async fn open(self: &Rc<Self>, data_plane: &DataPlane) -> Result<ServerConnection, OpenError> {
        let server = &self.server;
        let router = &data_plane.limits.name;
        let opening = Unanswered::new(self, clock::now(), false);
        let opened = ServerConnection::open(
            server.endpoint,
            &server.service,
            router,
            &server.id,
            &data_plane.scratch,
        )
        .await;
        drop(opening);
        let (connection, position) = opened?;
        self.mark_answered(position);
        log::debug!("event=server_connection server={}", server.id);
        Ok(connection)
    }

    /// The server takes no more connections: fewer are used for a while.
    fn mark_full(&self, now: f64) {
        let mut connection_quota = self.connection_quota.get();
        connection_quota.record_refusal(now);
        self.connection_quota.set(connection_quota);
        self.connection_admission
            .set_limit(connection_quota.limit(now));
        log::debug!("event=connection_limit server={}", self.server.id);
    }
}
