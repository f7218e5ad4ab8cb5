//! Where a statement that opens a connection's work may go: the primary, or a replica under a proof.

use crate::freshness::History;
use crate::session::Session;
use badgerstream_wire::Position;

/// What a route demands of reads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Demand {
    /// Every acknowledged commit (`leader`).
    Fresh,
    /// Every commit acknowledged more than so many seconds before (`bounded_staleness`).
    Bounded(f64),
    /// The same, and every commit of the session (`in_house`).
    Own(f64),
}

/// What is to be sent outside of a transaction on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A read, or the beginning of a transaction that only reads.
    Read,
    /// A write, or the beginning of a transaction that may write.
    Write,
}

/// Where it may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The primary, under the lease.
    Primary,
    /// A replica whose log has this position; the primary if none has.
    Replica(Position),
}

/// What the choice goes by besides the session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// What the route demands.
    pub demand: Demand,
    /// What is to be sent.
    pub class: Class,
    /// When its first byte, or that of its transaction, arrived.
    pub arrived: f64,
    /// The primary is unknown, full or slow.
    pub primary_slow: bool,
}

/// The choice of the design: writes and fresh reads go to the primary, a marked session reads there, other reads
/// take a replica that is proven fresh enough.
pub fn choose(ask: &Ask, session: &Session, history: &History, now: f64) -> Choice {
    let (staleness, owed) = match (ask.class, ask.demand) {
        (Class::Write, _) | (_, Demand::Fresh) => return Choice::Primary,
        (_, Demand::Bounded(s)) => (s, None),
        (_, Demand::Own(s)) => (s, session.written),
    };
    if session.mark.marked(now) && !ask.primary_slow {
        return Choice::Primary;
    }
    match history.proof(ask.arrived - staleness) {
        Some(proof) => Choice::Replica(owed.map_or(proof, |owed| owed.max(proof))),
        None => Choice::Primary,
    }
}
