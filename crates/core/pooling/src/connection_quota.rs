//! How much of a server one of many routers may use: connections, and statements in flight.
//!
//! The pool of a server owns its quota; the number of routers comes from the leading control
//! machine.

/// For how long only half of the quota is used after a server refused a connection, in seconds.
/// Servers drop within that time the connections that others left behind.
pub const REFUSAL_PENALTY_S: f64 = 3.0;
/// Connections of a server that are not divided: control queries it, and a router that has just
/// started isn't counted yet.
const RESERVED_CONNECTIONS: usize = 6;
/// The least connections and statements in flight of a router at a server.
const MIN_PER_ROUTER: usize = 2;

/// How many statements one of `routers` routers has in flight at a server of `slots` slots.
///
/// Twice its equal share, since clients don't spread evenly over routers, and two at least; what is
/// beyond that would only wait at the server, where it can't be ranked. `network_stretch` is how
/// many times as long a statement takes for the router as for the server: as many more are on
/// their way.
pub fn in_flight_limit(slots: usize, routers: usize, network_stretch: f64) -> usize {
    let share = 2.0 * slots as f64 * network_stretch / routers.max(1) as f64;
    (share.ceil() as usize).min(slots).max(MIN_PER_ROUTER)
}

/// A router's quota of a server's connections. The quotas of all together stay below what the
/// server takes: above it, connections being opened, each of which costs the server a slot for a
/// while, would push each other out.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionQuota {
    max_connections: usize,
    routers: usize,
    penalty_until: f64,
}

impl ConnectionQuota {
    /// A quota of `max_connections`, which are divided among `routers` routers.
    pub fn new(max_connections: usize, routers: usize) -> Self {
        Self {
            max_connections,
            routers: routers.max(1),
            penalty_until: 0.0,
        }
    }

    /// Changes the number of connections and of routers; a penalty stays.
    pub fn update(&mut self, max_connections: usize, routers: usize) {
        self.max_connections = max_connections;
        self.routers = routers.max(1);
    }

    /// The server has refused a connection.
    pub fn record_refusal(&mut self, now: f64) {
        self.penalty_until = now + REFUSAL_PENALTY_S;
    }

    /// The router's part of the connections that aren't reserved.
    pub fn base_limit(&self) -> usize {
        (self.max_connections.saturating_sub(RESERVED_CONNECTIONS) / self.routers)
            .clamp(MIN_PER_ROUTER, self.max_connections.max(MIN_PER_ROUTER))
    }

    /// How many connections may be open now.
    pub fn limit(&self, now: f64) -> usize {
        if now < self.penalty_until {
            (self.base_limit() / 2).max(MIN_PER_ROUTER)
        } else {
            self.base_limit()
        }
    }
}
