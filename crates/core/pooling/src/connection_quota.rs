//! How many connections to a server one of many routers may have.

/// After a server has turned a connection away, so long only half of the share is used, in seconds: what others left
/// behind there is dropped within that time.
pub const REFUSAL_PENALTY_S: f64 = 3.0;
/// Connections of a server that are not divided: control asks it, and a router that has just come isn't counted yet.
const RESERVED_CONNS: usize = 6;

/// How many statements one of so many routers has in work at a server of so many slots at once. Twice its plain share,
/// since clients don't spread evenly over routers, and two at least; what is more only waits at the server, where it
/// can't be ranked. `stretch` is how much longer a statement takes for the router than for the server, because of the
/// way there and back: so many more are on their way.
pub fn in_flight_limit(slots: usize, routers: usize, stretch: f64) -> usize {
    let connection_quota = 2.0 * slots as f64 * stretch / routers.max(1) as f64;
    (connection_quota.ceil() as usize).min(slots).max(2)
}

/// A router's share of a server's connections. The shares of all together stay below what the server takes: one over
/// it and openings, each of which costs the server a slot for a while, push each other out.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionQuota {
    max_conns: usize,
    routers: usize,
    penalty_until: f64,
}

impl ConnectionQuota {
    /// Of this many connections, among this many routers.
    pub fn new(max_conns: usize, routers: usize) -> Self {
        Self {
            max_conns,
            routers: routers.max(1),
            penalty_until: 0.0,
        }
    }

    /// Another number of connections or routers.
    pub fn update(&mut self, max_conns: usize, routers: usize) {
        self.max_conns = max_conns;
        self.routers = routers.max(1);
    }

    /// The server has refused a connection.
    pub fn record_refusal(&mut self, now: f64) {
        self.penalty_until = now + REFUSAL_PENALTY_S;
    }

    /// The plain share, of what is left besides control's connections.
    pub fn base_limit(&self) -> usize {
        (self.max_conns.saturating_sub(RESERVED_CONNS) / self.routers)
            .clamp(2, self.max_conns.max(2))
    }

    /// How many may be open now.
    pub fn limit(&self, now: f64) -> usize {
        if now < self.penalty_until {
            (self.base_limit() / 2).max(2)
        } else {
            self.base_limit()
        }
    }
}
