//! The phase [`Phase::Revoking`]: the primary was given up. Its grant is being revoked, and all
//! other servers are paused and queried for their log positions, until one of them can be promoted
//! or a usable primary is found.

use super::{
    Failover, FailoverAction, FailoverContext, Observation, Phase, Primary, ServerCandidate,
    ServerCommand,
};

/// Interval between two queries to the primary that was given up.
const PRIMARY_QUERY_INTERVAL_S: f64 = 0.1;
/// Interval between two attempts to pause a replica.
const PAUSE_INTERVAL_S: f64 = 0.05;
/// Interval between two queries to a paused replica until an answer confirms the pause.
const CONFIRM_INTERVAL_S: f64 = 0.02;
/// Maximum age of the last answer of a primary that counts as back.
const RETURNED_ANSWER_MAX_AGE_S: f64 = 0.3;
/// Maximum age of the query that a primary that counts as back has answered with its last status.
const RETURNED_QUERY_MAX_AGE_S: f64 = 0.5;
/// Maximum age of the query whose status shows that a former primary is a replica, or that it is
/// back.
const STATUS_MAX_AGE_S: f64 = 1.0;
/// A replica that hasn't answered for longer than this need not be paused before a promotion.
const UNREACHABLE_EXEMPT_AFTER_S: f64 = 0.5;

/// The state of pausing the replicas.
struct PauseProgress {
    /// All replicas that must be paused are paused, and none has received any of the log since the
    /// revocation was complete.
    complete: bool,
    /// A reachable server already reports the pause term or a higher one, so it can't be paused at
    /// that term.
    pause_term_too_low: bool,
}

impl Failover {
    pub(super) fn tick_revoking(
        &mut self,
        context: &FailoverContext<'_>,
        pause_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.reinstate_primary(context, actions) {
            return;
        }
        let old_primary_id = self.old_primary_to_leave_unpaused(context);
        let old_primary_id = old_primary_id.as_deref();
        let is_revoked = self.is_revoked(context);
        // A server whose promotion was requested earlier may be primary by now, also the one that was
        // given up, in a later term.
        if let Some(found) = self.find_primary(context)
            && self.primary.as_ref() != Some(&found)
            && is_revoked
        {
            log::info!(
                "event=primary_found server={} term={}",
                found.server_id,
                found.primary_term
            );
            self.grant_primary(context.now, found, actions);
            return;
        }
        if is_revoked && self.choose_target_by_reports(context, old_primary_id, pause_term, actions)
        {
            return;
        }
        let progress = self.pause_replicas(context, old_primary_id, pause_term, actions);
        if progress.pause_term_too_low {
            self.phase = Phase::Revoking {
                pause_term: self.highest_held_term() + 1,
            };
        } else if progress.complete && is_revoked {
            self.choose_target(context, old_primary_id, pause_term, actions);
        }
    }

    /// Grants the primary again if it is back with its log. Returns whether it is.
    fn reinstate_primary(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> bool {
        let Some(primary) = self.primary.clone() else {
            return false;
        };
        if context.is_member(&primary.server_id) {
            self.send_command(
                context.now,
                &primary.server_id,
                PRIMARY_QUERY_INTERVAL_S,
                ServerCommand::Status,
                actions,
            );
        }
        if !self.is_primary_back(context, &primary) {
            return false;
        }
        log::info!("event=primary_back server={}", primary.server_id);
        self.grant_primary(context.now, primary, actions);
        true
    }

    /// Returns whether the primary answers again as the primary of the same term, and may be used:
    /// no other server is recorded as primary, it doesn't drain, and no log has a later term.
    fn is_primary_back(&self, context: &FailoverContext<'_>, primary: &Primary) -> bool {
        let observation = self.observed(&primary.server_id);
        let answers = observation.failing_since.is_none()
            && context.now - observation.answered_at < RETURNED_ANSWER_MAX_AGE_S
            && observation.status_queried_at > context.now - RETURNED_QUERY_MAX_AGE_S;
        let is_primary = observation
            .status
            .is_some_and(|status| status.is_primary && status.primary_term == primary.primary_term);
        let no_other_recorded = context.recorded_primary.is_none_or(|record| {
            record.server_id == primary.server_id && primary.primary_term >= record.min_term
        });
        let draining = context.draining_since(&primary.server_id).is_some();
        answers
            && is_primary
            && no_other_recorded
            && !draining
            && self.highest_log_term() <= primary.primary_term
    }

    /// Returns the id of the old primary, unless that server is to be paused and may be promoted
    /// like any replica.
    fn old_primary_to_leave_unpaused(&self, context: &FailoverContext<'_>) -> Option<String> {
        let id = &self.primary.as_ref()?.server_id;
        let counts_as_replica = self.is_replica(id, context.now)
            || context.has_replacement(id)
            || self.must_step_down(context, id);
        (!counts_as_replica).then(|| id.clone())
    }

    /// Returns whether the old primary is back, but another server was committed as primary in the
    /// meantime and may have been promoted. The old primary is then made a replica, and counts as
    /// one.
    fn must_step_down(&self, context: &FailoverContext<'_>, server_id: &str) -> bool {
        let observation = self.observed(server_id);
        let is_back = observation.claims_primary()
            && observation.status_queried_at > context.now - STATUS_MAX_AGE_S;
        let records_other_server = context
            .recorded_primary
            .is_some_and(|record| record.server_id != server_id);
        is_back
            && records_other_server
            && context.is_member(server_id)
            && context.draining_since(server_id).is_none()
    }

    fn is_replica(&self, server_id: &str, now: f64) -> bool {
        let observation = self.observed(server_id);
        observation.failing_since.is_none()
            && observation.status_queried_at > now - STATUS_MAX_AGE_S
            && observation.status.is_some_and(|status| !status.is_primary)
    }

    /// Pauses all replicas, that is, all members except the old primary.
    fn pause_replicas(
        &mut self,
        context: &FailoverContext<'_>,
        old_primary_id: Option<&str>,
        pause_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) -> PauseProgress {
        let is_revoked = self.revoked_since.is_some();
        let mut progress = PauseProgress {
            complete: true,
            pause_term_too_low: false,
        };
        for member in context.members_except(old_primary_id) {
            let observation = self.observed(&member.id);
            if self.may_catch_up(&member.id) {
                progress.complete = false;
                let command = observation.resume_command();
                self.send_command(context.now, &member.id, PAUSE_INTERVAL_S, command, actions);
                continue;
            }
            if observation
                .paused
                .is_some_and(|pause| pause.term >= pause_term)
            {
                progress.complete &= self.confirm_pause(context.now, member, is_revoked, actions);
                continue;
            }
            progress.complete &= is_exempt_from_pause(context, member, &observation)
                || self.is_primary_position_final(&observation)
                || self.is_paused_under_other_id(context, &member.id);
            progress.pause_term_too_low |= observation.failing_since.is_none()
                && observation.status.is_some_and(|status| {
                    status.primary_term.max(status.highest_term) >= pause_term
                });
            // A primary can't be paused. While routers may still use it, it isn't stepped down
            // either.
            let step_down = observation.step_down_command().filter(|_| is_revoked);
            let command = step_down.unwrap_or_else(|| observation.pause_command(pause_term));
            self.send_command(context.now, &member.id, PAUSE_INTERVAL_S, command, actions);
        }
        progress
    }

    /// Queries a paused replica. Returns whether an answer has shown that the replica was still
    /// paused after the revocation was complete. Its reported position then covers every write that
    /// it received and that the old primary acknowledged to any router.
    fn confirm_pause(
        &mut self,
        now: f64,
        member: &ServerCandidate,
        is_revoked: bool,
        actions: &mut Vec<FailoverAction>,
    ) -> bool {
        let is_confirmed =
            is_revoked && self.observed(&member.id).pause_confirmed_at > self.revoked_since;
        let interval = if is_revoked && !is_confirmed {
            CONFIRM_INTERVAL_S
        } else {
            self.config.primary_poll_interval
        };
        self.send_command(now, &member.id, interval, ServerCommand::Status, actions);
        is_confirmed
    }

    /// Returns whether this replica is to receive more of the log, since no server has everything up
    /// to the position that the old primary reported after the revocation, nothing else proves that
    /// a promotion loses nothing, and the old primary is still there to send the rest.
    fn may_catch_up(&self, server_id: &str) -> bool {
        let old_primary_answers = self
            .primary
            .as_ref()
            .is_some_and(|primary| self.observed(&primary.server_id).claims_primary());
        let is_behind = self
            .final_primary_position()
            .zip(self.candidate_position(server_id))
            .is_some_and(|(last, position)| position < last);
        let is_promotion_held = !self.promotion_held_by.is_empty() || self.held_below != (0, 0);
        is_promotion_held && old_primary_answers && is_behind
    }

    /// Returns whether this replica, which doesn't answer, need not be paused because the old
    /// primary has reported its position after the revocation was complete: whichever replica is
    /// promoted must have everything up to that position.
    fn is_primary_position_final(&self, observation: &Observation) -> bool {
        observation.failing_since.is_some()
            && self.revoked_since.is_some_and(|revoked_since| {
                self.primary_positions
                    .iter()
                    .any(|sample| sample.queried_at > revoked_since)
            })
    }
}

/// Returns whether an unreachable replica need not be paused, because it has been down for a while,
/// not seen alive by any control machine or router, and the primary continued without it.
fn is_exempt_from_pause(
    context: &FailoverContext<'_>,
    member: &ServerCandidate,
    observation: &Observation,
) -> bool {
    observation.failing_since.is_some_and(|failing_since| {
        member.last_seen < failing_since + UNREACHABLE_EXEMPT_AFTER_S
            && context.now - failing_since > UNREACHABLE_EXEMPT_AFTER_S
    })
}
