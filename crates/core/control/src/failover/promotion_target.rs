//! Chooses the server to promote: the one whose log is furthest ahead, once that server is known to
//! have every acknowledged write.

use super::{
    Failover, FailoverAction, FailoverContext, Phase, Position, PromotionTarget, ServerCandidate,
};
use std::cmp::Reverse;

/// A server that could be promoted, with the end of its log.
pub(super) struct RankedCandidate<'a> {
    pub(super) server_id: &'a str,
    pub(super) position: Position,
}

/// Orders candidates at the same position; the greatest is preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference<'a> {
    /// The platform hasn't refused a moment ago to promote the server.
    not_refused: bool,
    /// The server is the recorded primary: a former leader may have requested its promotion, and a
    /// second request for the same server is harmless.
    is_recorded: bool,
    not_draining: bool,
    lowest_id: Reverse<&'a str>,
}

impl Failover {
    /// Returns the server whose log is furthest ahead, among those that answer and are `eligible`.
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

    /// Returns the end of a server's log, if the server answers.
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

    /// Proposes the paused replica that is furthest ahead, if it is known to have all acknowledged
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
        if context.sync_replicas > 0
            && !self.has_acknowledged_writes(context, old_primary_id, position)
        {
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

    /// Returns whether a server with another id at the address of this one is paused. The process
    /// that answers at the address has the log, whichever of the ids sent the last heartbeat.
    pub(super) fn is_paused_under_other_id(
        &self,
        context: &FailoverContext<'_>,
        server_id: &str,
    ) -> bool {
        context
            .members
            .iter()
            .filter(|member| (context.same_address)(server_id, &member.id))
            .any(|member| self.observed(&member.id).paused.is_some())
    }
}
