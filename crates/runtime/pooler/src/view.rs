//! What the data plane goes by: the configuration in force, the servers that are known, and which primary may be
//! used until when. Written by the session with control, read by the data plane; both on the one thread.

use badgerstream_pooler_config::config::Config;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A database server as its heartbeats tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id, sent in `CONNECT` so that whoever reuses the address is never mistaken for it.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How many statements it works on at once.
    pub slots: u32,
    /// It leaves: nothing new is sent there, unless it still is the primary in use.
    pub draining: bool,
}

/// The right to use a server as the primary of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The server.
    pub id: String,
    /// The term that it leads.
    pub term: u64,
    /// The change to another primary is near: hold new writes rather than refuse them.
    pub closing: bool,
}

/// What a router knows.
#[derive(Default)]
pub struct View {
    /// The configuration in force; none before the first.
    pub config: Option<Rc<Config>>,
    /// Servers by id.
    pub servers: HashMap<String, Server>,
    /// The primary of each service under the lease.
    pub grants: HashMap<String, Grant>,
    /// The lease on all grants runs until then, in seconds of the steady clock; nothing may be sent to a primary after.
    pub lease_until: f64,
    /// Grants of a leader that is gone, each until the lease that it gave ends: the new leader has said nothing of these yet, or
    /// grants the same.
    pub fading: HashMap<String, (Grant, f64)>,
    /// How many routers share the servers' connections and slots; 0 while that isn't known.
    pub routers: usize,
    /// Counts every change of the fields above but the lease's end.
    pub changes: u64,
}

impl View {
    /// The primary of this service, if it may be used now.
    pub fn primary(&self, service: &str, now: f64) -> Option<&Grant> {
        let granted = self
            .grants
            .get(service)
            .filter(|grant| now < self.lease_until && !grant.closing);
        granted.or_else(|| {
            self.fading
                .get(service)
                .filter(|(_, until)| now < *until)
                .map(|(grant, _)| grant)
        })
    }

    /// When the last lease ends, of the leader that is there or of the one before.
    pub fn leased_until(&self) -> f64 {
        self.fading
            .values()
            .map(|(_, until)| *until)
            .fold(self.lease_until, f64::max)
    }
}

/// The view as it is shared, with a way to wait for its changes.
#[derive(Clone, Default)]
pub struct Shared {
    /// The view itself; never borrowed across an await.
    pub view: Rc<RefCell<View>>,
    /// Woken at each change, also of the lease.
    pub changed: Rc<crate::notify::Notify>,
    /// SIGTERM has come, at this second of the steady clock.
    pub ending: Rc<Cell<Option<f64>>>,
}
