//! Which servers may hold acknowledged writes that another server lacks.
//!
//! A write is acknowledged once `sync_replicas` replicas have it in addition to the primary. The
//! servers that can be queried are compared by their log positions. A server that can't be queried,
//! or has departed, may hold such a write, unless the primary reported a position that isn't ahead
//! at a time when the server was already down, or when no writes were acknowledged any more.

use super::{Failover, FailoverAction, FailoverContext, Position, Primary, ServerCandidate};
use crate::members::DepartedMember;

/// A server that can't be reached may have received more of the log until this long after it began
/// to fail, or after it last answered a router.
const FAILING_GRACE_S: f64 = 0.5;

impl Failover {
    /// Returns how many more replicas could be unreachable without loss of an acknowledged write,
    /// if the replica at this position is promoted. Below zero, such a write may be lost.
    ///
    /// If no more servers than the primary and `sync_replicas` replicas are unreachable or gone,
    /// the furthest of the others has every acknowledged write.
    pub(super) fn spare_replica_count(
        &self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        position: Position,
    ) -> i64 {
        let unreachable = context
            .members_except(old_primary_id)
            .filter(|member| self.may_have_later_writes(context, member, position))
            .count();
        let departed = context
            .departed
            .iter()
            .filter(|departed| Some(departed.id.as_str()) != old_primary_id)
            .filter(|departed| {
                let unchanged_since = self.unchanged_since(departed.inactive_since);
                !self.primary_was_at_or_before(position, unchanged_since)
            })
            .count();
        i64::from(context.sync_replicas)
            - i64::from(old_primary_id.is_some())
            - unreachable as i64
            - departed as i64
    }

    /// Returns whether this member isn't paused and may have acknowledged writes beyond this
    /// position. A server that answers routers isn't down, even if it doesn't answer this machine.
    fn may_have_later_writes(
        &self,
        context: &FailoverContext<'_>,
        member: &ServerCandidate,
        position: Position,
    ) -> bool {
        let observation = self.observed(&member.id);
        if observation.paused.is_some() || self.is_paused_under_other_id(context, &member.id) {
            return false;
        }
        let down_since = observation
            .failing_since
            .unwrap_or(context.now)
            .max(observation.answered_router_at)
            + FAILING_GRACE_S;
        !self.primary_was_at_or_before(position, self.unchanged_since(down_since))
    }

    /// Returns the time since which a server that has been down since `down_since` can't have
    /// received new acknowledged writes: that time, or the time when the revocation was complete
    /// if that is earlier, since no router gets an acknowledgement after it.
    fn unchanged_since(&self, down_since: f64) -> f64 {
        self.revoked_since
            .map_or(down_since, |revoked_since| down_since.min(revoked_since))
    }

    /// Returns whether the primary, at a query sent after the time `since`, was not ahead of
    /// `position`. A server that was down by that time has nothing that a replica at `position`
    /// lacks.
    pub(super) fn primary_was_at_or_before(&self, position: Position, since: f64) -> bool {
        self.first_primary_position(since)
            .is_some_and(|first| first <= position)
    }

    /// Returns the position that the primary reported at the first query sent after the time
    /// `since`.
    fn first_primary_position(&self, since: f64) -> Option<Position> {
        self.primary_positions
            .iter()
            .find(|sample| sample.queried_at > since)
            .map(|sample| sample.position)
    }

    /// Records the departed servers whose log is superseded, while the primary is in use.
    pub(super) fn record_superseded(
        &self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        let superseded = context
            .departed
            .iter()
            .filter(|departed| departed.id != primary.server_id)
            .filter(|departed| self.is_superseded(context, primary, departed));
        for departed in superseded {
            log::info!("event=departed_superseded server={}", departed.id);
            actions.push(FailoverAction::MarkSuperseded {
                server_id: departed.id.clone(),
            });
        }
    }

    /// Returns whether the primary and `sync_replicas` replicas have everything that the departed
    /// server may have had. Its writes are then as safe as newly acknowledged ones.
    fn is_superseded(
        &self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        departed: &DepartedMember,
    ) -> bool {
        let Some(position) = self.first_primary_position(departed.inactive_since) else {
            return false;
        };
        let replicas = context
            .members_except(Some(&primary.server_id))
            .filter(|member| self.has_received(&member.id, position))
            .count();
        replicas >= context.sync_replicas as usize
    }

    /// Returns whether this replica answers, and has the log up to this position.
    fn has_received(&self, server_id: &str, position: Position) -> bool {
        let observation = self.observed(server_id);
        observation.failing_since.is_none()
            && observation
                .status
                .is_some_and(|status| !status.is_primary && status.received >= position)
    }
}
