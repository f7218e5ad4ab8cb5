//! Chooses the destination of a statement: the primary, or a replica that is proven fresh enough.
//!
//! The data plane calls [`choose`] each time it looks for a server. This module does not know which
//! replicas exist; it only determines the log position that a replica must have reached.

use crate::freshness::PositionHistory;
use crate::session::Session;
use badgerstream_line_protocol::Position;

/// The consistency that a route requires for its reads (`mode` in the configuration).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Consistency {
    /// Linearizable: a read sees every acknowledged commit (`leader`).
    Strong,
    /// A read sees every commit that was acknowledged more than this many seconds before the read
    /// arrived (`bounded_staleness`).
    Bounded(f64),
    /// As `Bounded`, and a read also sees every commit of its own session (`in_house`).
    ReadYourWrites(f64),
}

/// Whether a statement, or a transaction, reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// A read, or the start of a read-only transaction.
    Read,
    /// A write, or the start of a transaction that may write.
    Write,
}

/// The servers that may run a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// Only the primary, while its lease is valid.
    Primary,
    /// Any replica whose log has reached this position; the primary if there is no such replica.
    Replica(Position),
}

/// The input of [`choose`] besides the session and the position history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceInput {
    /// The consistency of the route.
    pub consistency: Consistency,
    /// Whether the statement, or its transaction, reads or writes.
    pub access: Access,
    /// When the first byte of the statement, or of its transaction, arrived, in seconds.
    pub arrived_at: f64,
    /// Whether to avoid the primary: it is unknown, saturated or failing, or this statement was
    /// already tried there.
    pub avoid_primary: bool,
}

/// Chooses the destination of a statement at time `now`, in seconds.
///
/// Writes and `Strong` reads always go to the primary. Reads of a session with primary affinity
/// also go there, unless the primary is to be avoided. All other reads go to a replica if there is
/// a freshness proof, and to the primary otherwise.
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
