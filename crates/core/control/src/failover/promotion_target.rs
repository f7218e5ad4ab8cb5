//! Which server is promoted: the one that is furthest ahead, once it is known to have every write
//! that was acknowledged.

use super::{
    Failover, FailoverAction, FailoverContext, Phase, Position, PromotionTarget, ServerCandidate,
};
use std::cmp::Reverse;

/// A server that can't be reached may have received the log for this long after its last answer.
const FAILING_GRACE_S: f64 = 0.5;
/// A server that departed this long before this machine led was outlived by others that have
/// followed the primary since.
const LONG_DEPARTED_S: f64 = 5.0;

/// A server that could be promoted.
pub(super) struct RankedCandidate<'a> {
    pub(super) server_id: &'a str,
    pub(super) position: Position,
}

/// What decides between candidates at the same position; the greatest is preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference<'a> {
    /// The platform hasn't just refused to promote it.
    not_refused: bool,
    /// It is the recorded primary: a former leader may have requested its promotion, and a second
    /// request for the same server does no harm.
    is_recorded: bool,
    not_draining: bool,
    lowest_id: Reverse<&'a str>,
}

impl Failover {
    /// The server that is furthest ahead, of those that answer and are `eligible`.
    pub(super) fn furthest_candidate<'a>(
        &self,
        context: &'a FailoverContext<'_>,
        eligible: impl Fn(&ServerCandidate) -> bool,
    ) -> Option<RankedCandidate<'a>> {
        context
            .members
            .iter()
            .filter(|member| eligible(member))
            .filter_map(|member| Some((self.candidate_position(&member.id)?, member)))
            .max_by_key(|&(position, member)| (position, self.preference(context, member)))
            .map(|(position, member)| RankedCandidate {
                server_id: &member.id,
                position,
            })
    }

    /// The end of a server's log, if it answers.
    fn candidate_position(&self, server_id: &str) -> Option<Position> {
        let observation = self.observations.get(server_id)?;
        let status = observation
            .status
            .filter(|_| observation.failing_since.is_none())?;
        let paused_position = observation.paused.map(|pause| pause.position);
        Some(paused_position.unwrap_or(status.received))
    }

    fn preference<'a>(
        &self,
        context: &FailoverContext<'_>,
        member: &'a ServerCandidate,
    ) -> Preference<'a> {
        Preference {
            not_refused: !self.pending_promotion.is_refused(context.now, &member.id),
            is_recorded: context
                .recorded_primary
                .is_some_and(|record| record.server_id == member.id),
            not_draining: member.draining_since.is_none(),
            lowest_id: Reverse(&member.id),
        }
    }

    /// Proposes the furthest of the paused replicas, if it is known to have all acknowledged
    /// writes.
    pub(super) fn choose_target(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        pause_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let furthest = self.furthest_candidate(context, |member| {
            Some(member.id.as_str()) != old_primary_id && self.observed(&member.id).paused.is_some()
        });
        let Some(RankedCandidate {
            server_id,
            position,
        }) = furthest
        else {
            return;
        };
        if context.sync_replicas > 0 && self.spare_replicas(context, old_primary_id, position) < 0 {
            return;
        }
        if !self.pending_promotion.permits(context.now, server_id) {
            return;
        }
        let after_term = self.highest_log_term().min(pause_term.saturating_sub(1));
        log::info!(
            "event=primary_chosen server={server_id} position={}.{} after_term={after_term}",
            position.0,
            position.1
        );
        self.propose_target(
            PromotionTarget {
                server_id: server_id.to_owned(),
                after_term,
                planned: false,
            },
            actions,
        );
    }

    /// Enters [`Phase::Proposing`] with this target.
    pub(super) fn propose_target(
        &mut self,
        target: PromotionTarget,
        actions: &mut Vec<FailoverAction>,
    ) {
        actions.push(FailoverAction::ProposePrimary {
            server_id: target.server_id.clone(),
            after_term: target.after_term,
        });
        self.phase = Phase::Proposing(target);
    }

    /// Whether another id at the address of this server is paused. Whichever process answers
    /// there has the log, no matter which of the ids sent the last heartbeat.
    pub(super) fn is_represented(&self, context: &FailoverContext<'_>, server_id: &str) -> bool {
        context
            .members
            .iter()
            .filter(|member| (context.same_address)(server_id, &member.id))
            .any(|member| self.observed(&member.id).paused.is_some())
    }

    /// How many more replicas could be out of reach without an acknowledged write being lost, if
    /// the replica at this position is promoted; below zero, one may be lost.
    ///
    /// A write is acknowledged once `sync_replicas` replicas have it besides the primary. If no
    /// more servers than that are out of reach, the furthest of the others has every such write.
    /// A server out of reach doesn't count if it is known that it had nothing which the chosen one
    /// lacks: the primary had no more when that server was already down, or after nothing was
    /// acknowledged any more. A server that answers routers isn't down, though it doesn't answer
    /// this machine.
    fn spare_replicas(
        &self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        position: Position,
    ) -> i64 {
        let unreachable = context
            .members_except(old_primary_id)
            .filter(|member| self.may_have_more(context, member, position))
            .count();
        let departed = context
            .departed
            .iter()
            .filter(|departed| Some(departed.id.as_str()) != old_primary_id)
            .filter(|departed| {
                let long_departed = self.primary_positions.is_empty()
                    && departed.inactive_since < context.leading_since - LONG_DEPARTED_S;
                !self.is_covered(self.unchanged_since(departed.inactive_since), position)
                    && !long_departed
            })
            .count();
        i64::from(context.sync_replicas)
            - i64::from(old_primary_id.is_some())
            - unreachable as i64
            - departed as i64
    }

    /// Whether this member isn't paused and may have acknowledged writes beyond this position.
    fn may_have_more(
        &self,
        context: &FailoverContext<'_>,
        member: &ServerCandidate,
        position: Position,
    ) -> bool {
        let observation = self.observed(&member.id);
        if observation.paused.is_some() || self.is_represented(context, &member.id) {
            return false;
        }
        let down_since = observation
            .failing_since
            .unwrap_or(context.now)
            .max(observation.answered_router_at)
            + FAILING_GRACE_S;
        !self.is_covered(self.unchanged_since(down_since), position)
    }

    /// From when on a server that is down since then had no new acknowledged writes: since it is
    /// down, or since the revocation, after which no router gets an acknowledgement.
    fn unchanged_since(&self, down_since: f64) -> f64 {
        self.revoked_since
            .map_or(down_since, |revoked_since| down_since.min(revoked_since))
    }
}
