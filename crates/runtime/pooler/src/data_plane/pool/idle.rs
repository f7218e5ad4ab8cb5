//! Idle connections: kept for the next client, and closed when they were idle for long or exceed
//! the quota.

use super::Pool;
use crate::clock;
use crate::data_plane::server_connection::ServerConnection;
use crate::net::Scratch;
use badgerstream_pooling::session::Values;

/// After how many seconds an idle connection is closed.
const IDLE_TIMEOUT_S: f64 = 30.0;

impl Pool {
    /// Closes connections that were idle for long or exceed the quota, and applies the quota.
    pub(in crate::data_plane) fn sweep(&self, now: f64) {
        let limit = self.connection_quota.get().limit(now);
        let closed: Vec<ServerConnection> = {
            let mut idle = self.idle.borrow_mut();
            let mut excess =
                (idle.len() + self.connection_admission.admitted()).saturating_sub(limit);
            // Those that have been idle for longest come first.
            let is_closed = |connection: &mut ServerConnection| {
                let is_closed = excess > 0 || now - connection.idle_since > IDLE_TIMEOUT_S;
                excess = excess.saturating_sub(1);
                is_closed
            };
            idle.extract_if(.., is_closed).collect()
        };
        drop(closed);
        self.connection_admission.set_limit(limit);
    }

    /// The usable idle connection whose state is nearest to these values.
    pub(super) fn take_idle(&self, values: &Values, scratch: &Scratch) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            // Of equals the one used last, so that the others become old enough to be closed.
            let (index, _) = idle
                .iter()
                .enumerate()
                .rev()
                .min_by_key(|(_, connection)| connection.state.distance(values))?;
            let mut connection = idle.swap_remove(index);
            if !connection.is_unusable(scratch) {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next client, or closes it if the quota has shrunk.
    pub(super) fn put_idle(&self, mut connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.connection_quota.get().limit(clock::now()).max(1);
        if idle.len() + self.connection_admission.admitted() <= limit {
            connection.prepare_for_idle();
            idle.push(connection);
        }
    }
}
