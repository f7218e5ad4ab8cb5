//! Where a statement that opens a connection's work may go: the primary, or a replica under a proof.

use crate::freshness::PositionHistory;
use crate::session::Session;
use badgerstream_line_protocol::Position;

/// The consistency that a route asks of its reads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Consistency {
    /// Every acknowledged commit (`leader`).
    Strong,
    /// Every commit acknowledged more than so many seconds before (`bounded_staleness`).
    Bounded(f64),
    /// The same, and every commit of the session (`in_house`).
    ReadYourWrites(f64),
}

/// Whether a statement, or a transaction, reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// A read, or the beginning of a transaction that only reads.
    Read,
    /// A write, or the beginning of a transaction that may write.
    Write,
}

/// Where it may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The primary, under the lease.
    Primary,
    /// A replica whose log has this position; the primary if none has.
    Replica(Position),
}

/// What the choice depends on besides the session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceInput {
    /// The consistency of the route.
    pub consistency: Consistency,
    /// Whether it reads or writes.
    pub access: Access,
    /// When its first byte, or that of its transaction, arrived.
    pub arrived_at: f64,
    /// The primary is unknown, full or slow.
    pub avoid_primary: bool,
}

/// The choice of the design: writes and fresh reads go to the primary, a marked session reads there, other reads
/// take a replica that is proven fresh enough.
pub fn choose(
    input: &ChoiceInput,
    session: &Session,
    history: &PositionHistory,
    now: f64,
) -> Destination {
    let (staleness, owed) = match (input.access, input.consistency) {
        (Access::Write, _) | (_, Consistency::Strong) => return Destination::Primary,
        (_, Consistency::Bounded(s)) => (s, None),
        (_, Consistency::ReadYourWrites(s)) => (s, session.last_write),
    };
    if session.primary_affinity.marked(now) && !input.avoid_primary {
        return Destination::Primary;
    }
    match history.proof(input.arrived_at - staleness) {
        Some(proof) => Destination::Replica(owed.map_or(proof, |owed| owed.max(proof))),
        None => Destination::Primary,
    }
}
