//! Periodic work: updates the quotas of the pools, closes idle connections, and advances the
//! shutdown of the sessions.

use super::DataPlane;
use super::drain::DrainStage;
use crate::clock;
use crate::net;
use badgerstream_pooler_config::config::Config;
use std::rc::Rc;

/// Interval of the checks while the router serves, in seconds.
const CHECK_INTERVAL_S: f64 = 0.25;
/// Interval of the checks while the router drains, in seconds.
const DRAIN_CHECK_INTERVAL_S: f64 = 0.05;
/// Minimum interval between two sweeps of the pools, in seconds.
const SWEEP_INTERVAL_S: f64 = 1.0;

impl DataPlane {
    /// Runs for as long as the executor does.
    pub(super) async fn maintain(self: Rc<Self>) {
        let mut swept_at = clock::now();
        loop {
            let is_draining = self.shared_view.shutdown_started_at.get().is_some();
            let interval_s = if is_draining {
                DRAIN_CHECK_INTERVAL_S
            } else {
                CHECK_INTERVAL_S
            };
            net::sleep_until(clock::now() + interval_s).await;
            let now = clock::now();
            if let Some(started_at) = self.shared_view.shutdown_started_at.get() {
                self.advance_drain(now - started_at);
            } else if now > swept_at + SWEEP_INTERVAL_S {
                swept_at = now;
                self.sweep_pools(now);
            }
        }
    }

    /// Advances every session to its stage `elapsed_s` seconds after SIGTERM.
    fn advance_drain(&self, elapsed_s: f64) {
        for session in self.sessions.borrow().values() {
            let in_transaction = session.in_transaction.get();
            session.advance_to(DrainStage::at(
                elapsed_s,
                self.limits.grace_s,
                in_transaction,
            ));
        }
    }

    /// Updates quotas, closes connections that have been idle too long, and drops the pools of
    /// servers that have departed or changed their endpoint.
    fn sweep_pools(&self, now: f64) {
        let mut pools = self.pools.borrow_mut();
        let view = self.shared_view.view.borrow();
        if let Some(router_count) = view.router_count {
            self.router_count.set(router_count);
        }
        pools.retain(|server_id, pool| {
            let max_connections = view
                .config
                .as_ref()
                .and_then(|config| max_connections(config, &pool.server.service));
            if let Some(max_connections) = max_connections {
                pool.set_quota(max_connections, self.router_count.get());
            }
            pool.sweep(now);
            view.servers
                .get(server_id)
                .is_some_and(|server| server.endpoint == pool.server.endpoint)
        });
    }
}

/// Returns the connection limit of each server of this service (`max_conns`); `None` if the
/// configuration doesn't name the service.
pub(super) fn max_connections(config: &Config, service: &str) -> Option<usize> {
    config
        .services
        .iter()
        .find(|candidate| candidate.name == service)
        .map(|service| service.max_conns as usize)
}
