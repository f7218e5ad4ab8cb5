//! What proves that a promotion loses no commit whose success a client has read.
//!
//! Only routers tell clients of a success, and none does so once the grant is revoked. A server at a
//! position is safe to promote if one of these bounds what was told before:
//!
//! - The primary reported its position after the revocation was complete
//!   ([`ProofBasis::FinalPosition`]).
//! - Every router that may have used the primary has reported up to which position it passed
//!   successes on ([`ProofBasis::RouterReports`]).
//! - Of all servers that may have received the log, so few can't be compared that no write was
//!   acknowledged by these alone ([`ProofBasis::Copies`], in `log_coverage`). It takes a list of all
//!   copies to be complete, so the other two are preferred. A router's report that a client has read
//!   the success of a commit which all of them lack shows that it isn't.
//!
//! A refused connection, silence and an absent server prove nothing. A [`CoverageProof`] can be
//! created only here, and no server can be proposed without one, so a way to a promotion that
//! doesn't ask for a proof can't be written.

use super::polling::PositionSample;
use super::{Failover, FailoverContext, Position, Revocation};

/// What a [`CoverageProof`] rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofBasis {
    /// Writes of the service don't wait for replicas, so clients are promised no copy.
    NoSyncReplicas,
    /// The server has everything up to the primary's position after the revocation.
    FinalPosition,
    /// The server has everything of which any router has told a client.
    RouterReports,
    /// The server is ahead of all copies that can be queried, and the others are too few.
    Copies,
}

/// The proof that a server has every commit whose success a client has read, and that no further
/// success will be told.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct CoverageProof {
    server_id: String,
    position: Position,
    basis: ProofBasis,
}

impl CoverageProof {
    /// Returns the server that has all acknowledged commits.
    pub(super) fn server_id(&self) -> &str {
        &self.server_id
    }

    /// Returns the end of that server's log, as far as it is known.
    pub(super) fn position(&self) -> Position {
        self.position
    }

    /// Returns the name of the basis, for log lines.
    pub(super) fn basis_name(&self) -> &'static str {
        match self.basis {
            ProofBasis::NoSyncReplicas => "no_sync_replicas",
            ProofBasis::FinalPosition => "final_position",
            ProofBasis::RouterReports => "router_reports",
            ProofBasis::Copies => "copies",
        }
    }
}

impl Failover {
    /// Proves by what the primary and the routers reported after the revocation that this server
    /// has every acknowledged commit. It takes no list of copies.
    pub(super) fn prove_by_reports(
        &self,
        context: &FailoverContext<'_>,
        server_id: &str,
    ) -> Option<CoverageProof> {
        let position = self.candidate_position(server_id)?;
        // Beside a log of a later term, positions of this primary's term bound nothing.
        if self.highest_log_term() > self.current_primary_term() {
            return None;
        }
        let covers = |bound: Option<Position>| bound.is_some_and(|bound| bound <= position);
        let basis = if covers(self.final_primary_position()) {
            ProofBasis::FinalPosition
        } else if covers(self.acknowledged_position(context)) {
            ProofBasis::RouterReports
        } else {
            return None;
        };
        Some(CoverageProof {
            server_id: server_id.to_owned(),
            position,
            basis,
        })
    }

    /// Proves that this server, the one furthest ahead of all that are paused, has every
    /// acknowledged commit. The revocation must be complete, and an answer of each paused server
    /// must have confirmed its pause since.
    pub(super) fn prove_furthest_paused(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        server_id: &str,
    ) -> Option<CoverageProof> {
        if let Some(proof) = self.prove_by_reports(context, server_id) {
            return Some(proof);
        }
        self.revoked_since?;
        let position = self.candidate_position(server_id)?;
        let basis = if context.sync_replicas == 0 {
            ProofBasis::NoSyncReplicas
        } else if self.is_surpassed(context, position) {
            return None;
        } else if self.has_acknowledged_writes(context, old_primary_id, position) {
            ProofBasis::Copies
        } else {
            return None;
        };
        Some(CoverageProof {
            server_id: server_id.to_owned(),
            position,
            basis,
        })
    }

    /// Returns whether a client has read the success of a commit beyond this position, as a router
    /// has reported. Then the copies that can be compared are not all that there are.
    fn is_surpassed(&mut self, context: &FailoverContext<'_>, position: Position) -> bool {
        let surpassed = (context.surpassed_position)();
        let is_surpassed = position <= surpassed && surpassed != (0, 0);
        if is_surpassed && self.held_below != surpassed {
            log::info!(
                "event=promotion_held position={}.{} acknowledged_beyond={}.{}",
                position.0,
                position.1,
                surpassed.0,
                surpassed.1
            );
            self.held_below = surpassed;
        }
        is_surpassed
    }

    /// Returns the position that the primary reported first after the revocation was complete.
    pub(super) fn final_primary_position(&self) -> Option<Position> {
        self.first_primary_position(self.revoked_since?)
    }

    /// Returns the position up to which successes may have been told to clients, if the revocation
    /// is complete and all routers that may have told any have reported.
    fn acknowledged_position(&self, context: &FailoverContext<'_>) -> Option<Position> {
        self.revoked_since?;
        let Revocation::Announced(update_number) = self.revocation else {
            return None;
        };
        let base = self.unreported_base?;
        let reported = (context.acknowledged_position)(update_number, base.queried_at)?;
        Some(reported.max(base.position))
    }

    /// Keeps a position of the primary that covers what was told to clients by routers which can't
    /// report it any more: those whose leases have ended, of this leader and of former ones.
    pub(super) fn update_unreported_base(&mut self, context: &FailoverContext<'_>) {
        let ended_at = context.unreported_until;
        if self
            .unreported_base
            .is_some_and(|base| base.queried_at > ended_at)
        {
            return;
        }
        let covers_all = |sample: &&PositionSample| sample.queried_at > ended_at;
        if let Some(base) = self.primary_positions.iter().find(covers_all) {
            self.unreported_base = Some(*base);
        }
    }
}
