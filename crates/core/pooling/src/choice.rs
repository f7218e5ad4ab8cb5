//! The destination of a statement: the primary, or a replica that is proven fresh enough.
//!
//! The data plane calls [`choose`] each time it looks for a server. This module never knows which
//! replicas there are; it only says which position a replica must have.

use crate::freshness::PositionHistory;
use crate::session::Session;
use badgerstream_line_protocol::Position;

/// The consistency that a route demands of its reads (`mode` of the configuration).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Consistency {
    /// Linearizable: every acknowledged commit is seen (`leader`).
    Strong,
    /// Every commit is seen that was acknowledged more than this many seconds before the read
    /// arrived (`bounded_staleness`).
    Bounded(f64),
    /// As `Bounded`, and every commit of the session itself (`in_house`).
    ReadYourWrites(f64),
}

/// Whether a statement, or a transaction, reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// A read, or the beginning of a read-only transaction.
    Read,
    /// A write, or the beginning of a transaction that may write.
    Write,
}

/// Where a statement may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The primary, under the lease.
    Primary,
    /// Any replica whose log has reached this position; the primary if there is none.
    Replica(Position),
}

/// What the choice depends on besides the session and the history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceInput {
    /// The consistency of the route.
    pub consistency: Consistency,
    /// Whether the statement or its transaction reads or writes.
    pub access: Access,
    /// When its first byte, or that of its transaction, arrived.
    pub arrived_at: f64,
    /// The primary is unknown, saturated or failing, or was tried for this statement already.
    pub avoid_primary: bool,
}

/// Chooses the destination. Writes and `Strong` reads always go to the primary; so do reads of a
/// session with primary affinity, unless the primary is to be avoided. All other reads go to a
/// replica if there is a freshness proof, and to the primary otherwise.
pub fn choose(
    input: &ChoiceInput,
    session: &Session,
    history: &PositionHistory,
    now: f64,
) -> Destination {
    let (staleness_s, required_write) = match (input.access, input.consistency) {
        (Access::Write, _) | (_, Consistency::Strong) => return Destination::Primary,
        (_, Consistency::Bounded(staleness_s)) => (staleness_s, None),
        (_, Consistency::ReadYourWrites(staleness_s)) => (staleness_s, session.last_write),
    };
    if session.primary_affinity.is_active(now) && !input.avoid_primary {
        return Destination::Primary;
    }
    match history.proof(input.arrived_at - staleness_s) {
        Some(proof) => {
            Destination::Replica(required_write.map_or(proof, |written| written.max(proof)))
        }
        None => Destination::Primary,
    }
}
