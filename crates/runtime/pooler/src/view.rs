//! The router's view of the cluster: the configuration in force, the known servers, and which
//! primaries may be used until when.
//!
//! The session with the leader ([`crate::leader_session`]) writes the view; the data plane,
//! readiness and metrics read it, all on one thread. It is never borrowed across an await; a task
//! that waits for a change uses [`SharedView::changed`].

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
    /// Address at which it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Maximum number of statements that it runs at the same time.
    pub slots: u32,
    /// Whether it drains: it gets no new statements, unless it is still the primary in use.
    pub draining: bool,
}

/// The right to use a server as the primary of a service while the lease is valid.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The server.
    pub server_id: String,
    /// The primary term in which it is the primary.
    pub primary_term: u64,
    /// Whether the grant is being revoked because another server becomes primary: new writes wait
    /// for the next grant rather than being rejected at once.
    pub revoking: bool,
}

/// A grant of a former leader that is still covered by that leader's lease.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiringGrant {
    /// The grant.
    pub grant: Grant,
    /// When the lease of that leader ends, in seconds of the monotonic clock.
    pub expires_at: f64,
}

/// What a router knows of the cluster.
#[derive(Default)]
pub struct View {
    /// The configuration in force; `None` until the first is received.
    pub config: Option<Rc<Config>>,
    /// Servers by id.
    pub servers: HashMap<String, Server>,
    /// The present leader's grant for each service, by service name.
    pub grants: HashMap<String, Grant>,
    /// When the lease on all these grants ends, in seconds of the monotonic clock; nothing may be
    /// sent to a primary under them after that.
    pub lease_expires_at: f64,
    /// Grants of former leaders by service name, for services that the present leader has not
    /// granted yet or for which it has made the same grant.
    pub expiring_grants: HashMap<String, ExpiringGrant>,
    /// Number of routers that share the servers' connections and slots; `None` while it isn't
    /// known.
    pub router_count: Option<usize>,
}

impl View {
    /// Returns the grant for the primary of this service if it may be used now.
    pub fn primary(&self, service: &str, now: f64) -> Option<&Grant> {
        let granted = self
            .grants
            .get(service)
            .filter(|grant| now < self.lease_expires_at && !grant.revoking);
        granted.or_else(|| {
            self.expiring_grants
                .get(service)
                .filter(|expiring| now < expiring.expires_at)
                .map(|expiring| &expiring.grant)
        })
    }

    /// Returns when the last of the leases of the present leader and former leaders ends, in
    /// seconds of the monotonic clock.
    pub fn last_lease_expires_at(&self) -> f64 {
        self.expiring_grants
            .values()
            .map(|expiring| expiring.expires_at)
            .fold(self.lease_expires_at, f64::max)
    }

    /// Turns the present grants into expiring ones because a new leader sends a snapshot: they may
    /// be used until the former leader's lease ends, and no longer.
    pub fn expire_grants(&mut self, now: f64) {
        let expires_at = self.lease_expires_at;
        let former: Vec<(String, Grant)> = self
            .grants
            .drain()
            .filter(|(_, grant)| !grant.revoking)
            .collect();
        self.expiring_grants
            .retain(|_, expiring| now < expiring.expires_at);
        if now < expires_at {
            let expiring = former
                .into_iter()
                .map(|(service, grant)| (service, ExpiringGrant { grant, expires_at }));
            self.expiring_grants.extend(expiring);
        }
        // The former leader's lease doesn't cover grants of the new one.
        self.lease_expires_at = f64::NEG_INFINITY;
    }

    /// Records a grant of the present leader. If a former leader made the same grant, that one
    /// stays usable until its lease ends, so that there is no gap before the new lease.
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

    /// Extends the lease. Returns whether it had expired, in which case the caller must wake the
    /// tasks that wait for a lease.
    pub fn extend_lease(&mut self, expires_at: f64, now: f64) -> bool {
        let had_expired = self.lease_expires_at < now;
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
        had_expired
    }
}

/// The view as shared by the parts of a router, with a way to wait for its changes.
#[derive(Clone, Default)]
pub struct SharedView {
    /// The view; never borrowed across an await.
    pub view: Rc<RefCell<View>>,
    /// Notified at each change, including the renewal of an expired lease and the start of
    /// shutdown.
    pub changed: Rc<Notify>,
    /// When SIGTERM was received, in seconds of the monotonic clock; `None` before.
    pub shutdown_started_at: Rc<Cell<Option<f64>>>,
}
