//! Limits on how much of a server one of many routers may use: connections and statements in
//! flight.
//!
//! The pool of each server owns a quota. The number of routers comes from the leading control
//! machine.

/// How long the router uses only half of its quota after a server refused a connection, in seconds.
/// Within this time, servers drop connections that other routers left behind.
pub const REFUSAL_PENALTY_S: f64 = 3.0;
/// Connections of a server that are not divided among the routers: control machines query the
/// server too, and a router that has just started isn't counted yet.
const RESERVED_CONNECTIONS: usize = 6;
/// Minimum number of connections, and of statements in flight, for one router at a server.
const MIN_PER_ROUTER: usize = 2;

/// Returns how many statements one of `router_count` routers may have in flight at a server with
/// `slots` slots.
///
/// This is twice the router's equal share, because clients don't spread evenly over routers; at
/// most `slots` and at least two. More statements would only wait at the server, where they can't
/// be ordered by rank. `network_overhead_factor` is the time that a statement takes as the router
/// sees it, divided by the time that it takes at the server
/// ([`network_overhead_factor`](crate::latency::Latency::network_overhead_factor)). The share is
/// multiplied by it, because that many times as many statements are in transit or running.
pub fn in_flight_limit(slots: usize, router_count: usize, network_overhead_factor: f64) -> usize {
    let share = 2.0 * slots as f64 * network_overhead_factor / router_count.max(1) as f64;
    (share.ceil() as usize).min(slots).max(MIN_PER_ROUTER)
}

/// A router's quota of a server's connections.
///
/// The quotas of all routers together stay below the number that the server accepts. Above it,
/// connections that are being opened, each of which occupies a slot of the server for a while,
/// would displace each other.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionQuota {
    max_connections: usize,
    router_count: usize,
    /// Until when only half of the quota is used, in seconds.
    penalty_until: f64,
}

impl ConnectionQuota {
    /// Creates a quota for a server that accepts `max_connections`, divided among `router_count`
    /// routers.
    pub fn new(max_connections: usize, router_count: usize) -> Self {
        Self {
            max_connections,
            router_count: router_count.max(1),
            penalty_until: 0.0,
        }
    }

    /// Changes the number of connections and of routers. A penalty for a refusal stays in force.
    pub fn update(&mut self, max_connections: usize, router_count: usize) {
        self.max_connections = max_connections;
        self.router_count = router_count.max(1);
    }

    /// Records that the server refused a connection at time `now`, in seconds.
    pub fn record_refusal(&mut self, now: f64) {
        self.penalty_until = now + REFUSAL_PENALTY_S;
    }

    /// Returns the router's share of the connections that aren't reserved.
    pub fn base_limit(&self) -> usize {
        (self.max_connections.saturating_sub(RESERVED_CONNECTIONS) / self.router_count)
            .clamp(MIN_PER_ROUTER, self.max_connections.max(MIN_PER_ROUTER))
    }

    /// Returns how many connections may be open at time `now`, in seconds.
    pub fn limit(&self, now: f64) -> usize {
        if now < self.penalty_until {
            (self.base_limit() / 2).max(MIN_PER_ROUTER)
        } else {
            self.base_limit()
        }
    }
}
