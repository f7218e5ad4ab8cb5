//! Idle connections: kept for the next client, and closed when they rest for too long or are too many.

use super::Pool;
use crate::clock;
use crate::edge::link::Link;
use crate::edge::net;
use badgerstream_pooling::session::Values;

/// A connection that rests for so long is closed, in seconds.
const IDLE_S: f64 = 30.0;

impl Pool {
    /// Closes connections that have rested for long.
    pub fn sweep(&self, now: f64) {
        let old: Vec<Link> = {
            let mut idle = self.idle.borrow_mut();
            let limit = self.share.get().limit(now);
            let mut over = (idle.len() + self.conns.busy()).saturating_sub(limit);
            // Those that have rested longest stand first.
            let spare = |l: &mut Link| {
                let go = over > 0 || now - l.idle_since > IDLE_S;
                over = over.saturating_sub(1);
                go
            };
            idle.extract_if(.., spare).collect()
        };
        drop(old);
        self.conns.set_limit(self.share.get().limit(now));
    }

    /// The idle connection that is nearest to these values and still stands.
    pub(super) fn take_idle(&self, values: &Values, scratch: &net::Scratch) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        loop {
            // The one used last among equals: the others may then rest until they are closed.
            let (at, _) = idle
                .iter()
                .enumerate()
                .rev()
                .min_by_key(|(_, l)| l.held.distance(values))?;
            let mut link = idle.swap_remove(at);
            if !link.is_spent(scratch) {
                return Some(link);
            }
        }
    }

    pub(super) fn put_idle(&self, mut link: Link) {
        // The share may have shrunk meanwhile.
        let mut idle = self.idle.borrow_mut();
        if idle.len() + self.conns.busy() <= self.share.get().limit(clock::now()).max(1) {
            link.rest();
            idle.push(link);
        }
    }
}
