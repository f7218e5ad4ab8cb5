//! Which servers may hold acknowledged writes that another server lacks.
//!
//! A write is acknowledged once `sync_replicas` replicas have it in addition to the primary. The
//! servers that can be queried are compared by their log positions. A server that can't be queried,
//! or has departed, may hold such a write until one of these proves that it doesn't:
//!
//! - The server had ended, by its own report, and the primary reported its position after that.
//!
//! Neither silence nor a refused connection proves anything: the server may be cut off from the
//! control machines and the routers, but not from its primary.

use super::{Failover, FailoverAction, FailoverContext, Position, Primary, ServerCandidate};
use crate::members::{DepartedMember, Inactivity};

impl Failover {
    /// Returns whether a replica at this position has every acknowledged write, as far as this
    /// machine can prove it.
    ///
    /// If no more servers than the primary and `sync_replicas` replicas may have later writes, the
    /// furthest of the others has every acknowledged write.
    pub(super) fn has_acknowledged_writes(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        position: Position,
    ) -> bool {
        let unproven = self.servers_with_later_writes(context, old_primary_id, position);
        let copies = context.sync_replicas as usize + 1;
        let lost = unproven.len() + usize::from(old_primary_id.is_some());
        if lost < copies {
            return true;
        }
        if self.promotion_held_by != unproven {
            log::info!(
                "event=promotion_held position={}.{} unproven={}",
                position.0,
                position.1,
                unproven.join(",")
            );
            self.promotion_held_by = unproven;
        }
        false
    }

    /// Returns the servers, apart from the old primary, that may have acknowledged writes beyond
    /// this position: members that can't be queried, and departed servers. Of several servers that
    /// were at one address only one is returned, since they have one log.
    fn servers_with_later_writes(
        &self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        position: Position,
    ) -> Vec<String> {
        let unreachable = context
            .members_except(old_primary_id)
            .filter(|member| !self.is_paused(context, member))
            .map(|member| (&member.id, member.inactivity));
        let departed = context
            .departed_except(old_primary_id)
            .map(|departed| (&departed.id, departed.inactivity));
        let candidates = unreachable
            .chain(departed)
            .filter(|(_, inactivity)| self.may_have_later_writes(*inactivity, position))
            .map(|(id, _)| id);
        let mut found: Vec<String> = Vec::new();
        for id in candidates {
            let has_same_log = |other: &str| (context.same_address)(id, other);
            let is_counted = old_primary_id.is_some_and(has_same_log)
                || found.iter().any(|other| has_same_log(other));
            if !is_counted {
                found.push(id.clone());
            }
        }
        found
    }

    fn is_paused(&self, context: &FailoverContext<'_>, member: &ServerCandidate) -> bool {
        self.observed(&member.id).paused.is_some()
            || self.is_paused_under_other_id(context, &member.id)
    }

    /// Returns whether a server that doesn't answer may have acknowledged writes beyond this
    /// position.
    fn may_have_later_writes(&self, inactivity: Inactivity, position: Position) -> bool {
        match inactivity {
            Inactivity::Unproven => true,
            Inactivity::Ended { since } => !self.primary_was_at_or_before(position, since),
        }
    }

    /// Returns whether the primary, at the first query sent after the time `since`, was not ahead
    /// of `position`.
    fn primary_was_at_or_before(&self, position: Position, since: f64) -> bool {
        self.first_primary_position(since)
            .is_some_and(|first| first <= position)
    }

    /// Returns the position that the primary reported at the first query sent after the time
    /// `since`.
    pub(super) fn first_primary_position(&self, since: f64) -> Option<Position> {
        self.primary_positions
            .iter()
            .find(|sample| sample.queried_at > since)
            .map(|sample| sample.position)
    }

    /// Examines the departed servers while the primary is in use: records those whose log is
    /// superseded, and queries those that may still run.
    pub(super) fn examine_departed(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.departed_queried_at
            .retain(|id, _| context.departed.iter().any(|departed| departed.id == *id));
        for departed in context.departed_except(Some(&primary.server_id)) {
            if self.is_superseded(context, primary, departed) {
                log::info!("event=departed_superseded server={}", departed.id);
                actions.push(FailoverAction::MarkSuperseded {
                    server_id: departed.id.clone(),
                });
            } else if !matches!(departed.inactivity, Inactivity::Ended { .. }) {
                self.query_departed(context.now, &departed.id, actions);
            }
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
        let inactive_since = match departed.inactivity {
            Inactivity::Unproven => return false,
            Inactivity::Ended { since } => since,
        };
        let Some(position) = self.first_primary_position(inactive_since) else {
            return false;
        };
        let replicas = context
            .members_except(Some(&primary.server_id))
            .filter(|member| self.has_received(&member.id, position))
            .count();
        replicas >= context.sync_replicas as usize
    }

    /// Returns whether this replica answers, and has the log up to this position.
    pub(super) fn has_received(&self, server_id: &str, position: Position) -> bool {
        let observation = self.observed(server_id);
        observation.failing_since.is_none()
            && observation
                .status
                .is_some_and(|status| !status.is_primary && status.received >= position)
    }

    /// Queries a departed server, unless that was done a short while ago.
    fn query_departed(&mut self, now: f64, server_id: &str, actions: &mut Vec<FailoverAction>) {
        let last_query_at = self.departed_queried_at.get(server_id);
        if last_query_at.is_some_and(|at| now - at < self.config.replica_poll_interval) {
            return;
        }
        self.departed_queried_at.insert(server_id.to_owned(), now);
        actions.push(FailoverAction::QueryDeparted {
            server_id: server_id.to_owned(),
        });
    }
}
