//! How many connections to a server one of many routers may have.

/// After `CONNLIMIT`, so long no more than the plain share is used, in seconds.
pub const CAUTION_S: f64 = 5.0;

/// A router's share of a server's connections. Up to twice the plain share are used while nobody is refused: clients
/// don't spread evenly over routers.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    max_conns: usize,
    routers: usize,
    caution_until: f64,
}

impl Share {
    /// Of this many connections, among this many routers.
    pub fn new(max_conns: usize, routers: usize) -> Self {
        Self { max_conns, routers: routers.max(1), caution_until: 0.0 }
    }

    /// Another number of connections or routers.
    pub fn set(&mut self, max_conns: usize, routers: usize) {
        self.max_conns = max_conns;
        self.routers = routers.max(1);
    }

    /// The server has refused a connection.
    pub fn refused(&mut self, now: f64) {
        self.caution_until = now + CAUTION_S;
    }

    /// The plain share.
    pub fn plain(&self) -> usize {
        (self.max_conns / self.routers).max(3).min(self.max_conns.max(1))
    }

    /// How many may be open now.
    pub fn limit(&self, now: f64) -> usize {
        if now < self.caution_until { self.plain() } else { (self.plain() * 2).min(self.max_conns.max(1)) }
    }
}
