//! Idle connections: they are kept for the next client, and closed when they have been idle too
//! long or exceed the quota.

use super::Pool;
use crate::clock;
use crate::data_plane::server_connection::ServerConnection;
use crate::net::Scratch;
use badgerstream_pooling::session::Values;

/// An idle connection is closed after this many seconds.
const IDLE_TIMEOUT_S: f64 = 30.0;

impl Pool {
    /// Closes connections that have been idle longer than [`IDLE_TIMEOUT_S`] or exceed the quota,
    /// and sets the admission limit to the quota.
    pub(in crate::data_plane) fn sweep(&self, now: f64) {
        let limit = self.connection_quota.get().limit(now);
        let closed: Vec<ServerConnection> = {
            let mut idle = self.idle.borrow_mut();
            let mut excess =
                (idle.len() + self.connection_admission.admitted()).saturating_sub(limit);
            // The connections that have been idle longest come first.
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

    /// Takes the usable idle connection whose session state needs the fewest changes to hold these
    /// values.
    pub(super) fn take_idle(&self, values: &Values, scratch: &Scratch) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            // Among equals, takes the most recently used one, so that the others reach the idle
            // timeout and are closed.
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

    /// Keeps a connection for the next client, or closes it if it exceeds the quota.
    pub(super) fn put_idle(&self, mut connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.connection_quota.get().limit(clock::now()).max(1);
        if idle.len() + self.connection_admission.admitted() <= limit {
            connection.prepare_for_idle();
            idle.push(connection);
        }
    }
}
