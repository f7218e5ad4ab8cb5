//! Idle connections: kept for the next client, and closed when they rest for too long or are too many.

use super::Pool;
use crate::clock;
use crate::data_plane::net;
use crate::data_plane::server_connection::ServerConnection;
use badgerstream_pooling::session::Values;

/// A connection that rests for so long is closed, in seconds.
const IDLE_TIMEOUT_S: f64 = 30.0;

impl Pool {
    /// Closes connections that have rested for long.
    pub fn sweep(&self, now: f64) {
        let old: Vec<ServerConnection> = {
            let mut idle = self.idle.borrow_mut();
            let limit = self.connection_quota.get().limit(now);
            let mut over =
                (idle.len() + self.connection_admission.admitted()).saturating_sub(limit);
            // Those that have rested longest stand first.
            let spare = |l: &mut ServerConnection| {
                let go = over > 0 || now - l.idle_since > IDLE_TIMEOUT_S;
                over = over.saturating_sub(1);
                go
            };
            idle.extract_if(.., spare).collect()
        };
        drop(old);
        self.connection_admission
            .set_limit(self.connection_quota.get().limit(now));
    }

    /// The idle connection that is nearest to these values and still stands.
    pub(super) fn take_idle(
        &self,
        values: &Values,
        scratch: &net::Scratch,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            // The one used last among equals: the others may then rest until they are closed.
            let (at, _) = idle
                .iter()
                .enumerate()
                .rev()
                .min_by_key(|(_, l)| l.state.distance(values))?;
            let mut connection = idle.swap_remove(at);
            if !connection.is_unusable(scratch) {
                return Some(connection);
            }
        }
    }

    pub(super) fn put_idle(&self, mut connection: ServerConnection) {
        // The share may have shrunk meanwhile.
        let mut idle = self.idle.borrow_mut();
        if idle.len() + self.connection_admission.admitted()
            <= self.connection_quota.get().limit(clock::now()).max(1)
        {
            connection.prepare_for_idle();
            idle.push(connection);
        }
    }
}
