//! What the data plane of a router goes by: the configuration in force, the known servers, and
//! which primaries may be used until when.
//!
//! The session with the leader ([`crate::leader_session`]) writes it, the data plane, readiness and
//! metrics read it, all on one thread. The view is never borrowed across an await; who waits for a
//! change uses [`SharedView::changed`].

use crate::notify::Notify;
use badgerstream_pooler_config::config::Config;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A database server as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id, sent in `CONNECT` so that another server that reuses the address is never mistaken
    /// for it.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How many statements it works on at once.
    pub slots: u32,
    /// It drains: nothing new is sent there, unless it still is the primary in use.
    pub draining: bool,
}

/// The right to use a server as the primary of a service, as long as the lease runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The server.
    pub server_id: String,
    /// The primary term that it leads.
    pub primary_term: u64,
    /// The grant is being taken back, as another server becomes primary: new writes are held rather
    /// than refused.
    pub revoking: bool,
}

/// A grant of a former leader, which its lease still covers.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiringGrant {
    /// The grant.
    pub grant: Grant,
    /// When the lease of that leader ends, in seconds of the monotonic clock.
    pub until: f64,
}

/// What a router knows.
#[derive(Default)]
pub struct View {
    /// The configuration in force; `None` before the first.
    pub config: Option<Rc<Config>>,
    /// Servers by id.
    pub servers: HashMap<String, Server>,
    /// The primary of each service under the lease.
    pub grants: HashMap<String, Grant>,
    /// When the lease on all grants ends, in seconds of the monotonic clock; nothing may be sent to
    /// a primary after it.
    pub lease_until: f64,
    /// Grants of the former leader: the present one has said nothing of these services yet, or
    /// grants the same.
    pub expiring_grants: HashMap<String, ExpiringGrant>,
    /// How many routers share the servers' connections and slots; `None` while that isn't known.
    pub router_count: Option<usize>,
}

impl View {
    /// The primary of this service, if it may be used now.
    pub fn primary(&self, service: &str, now: f64) -> Option<&Grant> {
        let granted = self
            .grants
            .get(service)
            .filter(|grant| now < self.lease_until && !grant.revoking);
        granted.or_else(|| {
            self.expiring_grants
                .get(service)
                .filter(|expiring| now < expiring.until)
                .map(|expiring| &expiring.grant)
        })
    }

    /// When the last lease ends, of the present leader or the former one, in seconds of the
    /// monotonic clock.
    pub fn leased_until(&self) -> f64 {
        self.expiring_grants
            .values()
            .map(|expiring| expiring.until)
            .fold(self.lease_until, f64::max)
    }

    /// A new leader sends a snapshot: what the one before granted may be used to the end of its
    /// lease, and no longer.
    pub fn expire_grants(&mut self, now: f64) {
        let until = self.lease_until;
        let former: Vec<(String, Grant)> = self
            .grants
            .drain()
            .filter(|(_, grant)| !grant.revoking)
            .collect();
        self.expiring_grants
            .retain(|_, expiring| now < expiring.until);
        if now < until {
            let expiring = former
                .into_iter()
                .map(|(service, grant)| (service, ExpiringGrant { grant, until }));
            self.expiring_grants.extend(expiring);
        }
        // The lease of the former leader covers nothing that the new one grants.
        self.lease_until = f64::NEG_INFINITY;
    }

    /// Takes a grant of the present leader. If the former one granted the same, that grant stays
    /// usable until the new lease covers it.
    pub fn set_grant(&mut self, service: String, grant: Grant) {
        let is_same = self.expiring_grants.get(&service).is_some_and(|expiring| {
            expiring.grant.server_id == grant.server_id
                && expiring.grant.primary_term == grant.primary_term
        });
        if grant.revoking || !is_same {
            self.expiring_grants.remove(&service);
        }
        self.grants.insert(service, grant);
    }

    /// Extends the lease; returns whether it had run out, so that those who wait for one are to be
    /// woken.
    pub fn extend_lease(&mut self, until: f64, now: f64) -> bool {
        let had_expired = self.lease_until < now;
        self.lease_until = self.lease_until.max(until);
        had_expired
    }
}

/// The view as the parts of a router share it, with a way to wait for its changes.
#[derive(Clone, Default)]
pub struct SharedView {
    /// The view; never borrowed across an await.
    pub view: Rc<RefCell<View>>,
    /// Notified at each change, also of the lease.
    pub changed: Rc<Notify>,
    /// When SIGTERM came, in seconds of the monotonic clock.
    pub shutdown_started_at: Rc<Cell<Option<f64>>>,
}
