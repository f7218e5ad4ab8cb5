//! A connection for a checkout: an idle one, or a new one.

use super::health::Unanswered;
use super::{CheckoutError, Pool};
use crate::clock;
use crate::edge::Edge;
use crate::edge::link::{Link, OpenError};
use crate::edge::net::sleep_until;
use badgerstream_pooling::session::Values;
use std::rc::Rc;

/// The first pause after a server's refusal of a connection, in seconds; it doubles with each.
const FULL_PAUSE_S: f64 = 0.05;
/// The longest pause, in seconds.
const MAX_FULL_PAUSE_S: f64 = 8.0 * FULL_PAUSE_S;

impl Pool {
    /// The idle connection that is nearest to these values, or a new one.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        edge: &Edge,
        values: &Values,
    ) -> Result<Link, CheckoutError> {
        let mut pause = FULL_PAUSE_S;
        loop {
            if let Some(link) = self.take_idle(values, &edge.scratch) {
                return Ok(link);
            }
            match self.open(edge).await {
                Ok(link) => return Ok(link),
                Err(OpenError::Full) => {
                    let now = clock::now();
                    self.mark_full(now);
                    sleep_until(now + pause).await;
                    pause = (pause * 2.0).min(MAX_FULL_PAUSE_S);
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

    async fn open(self: &Rc<Self>, edge: &Edge) -> Result<Link, OpenError> {
        let server = &self.server;
        let router = &edge.limits.name;
        let opening = Unanswered::new(self, clock::now(), false);
        let opened = Link::open(
            server.endpoint,
            &server.service,
            router,
            &server.id,
            &edge.scratch,
        )
        .await;
        drop(opening);
        let (link, position) = opened?;
        self.mark_answered(position);
        log::debug!("event=server_connection server={}", server.id);
        Ok(link)
    }

    /// The server takes no more connections: fewer are used for a while.
    fn mark_full(&self, now: f64) {
        let mut share = self.share.get();
        share.refused(now);
        self.share.set(share);
        self.conns.set_limit(share.limit(now));
        log::debug!("event=connection_limit server={}", self.server.id);
    }
}
