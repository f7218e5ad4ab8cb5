//! The phases [`Phase::Proposing`] and [`Phase::Promoting`]: the control machines commit the
//! promotion target, and the platform is requested to promote it.

use super::{
    Failover, FailoverAction, FailoverContext, Phase, Primary, PromotionAttempt, PromotionTarget,
    Revocation, ServerCommand,
};
use crate::promotion::PromotionOutcome;

/// Between two queries to the target.
const TARGET_QUERY_INTERVAL_S: f64 = 0.025;
/// Between two commands to each of the other servers.
const OTHERS_COMMAND_INTERVAL_S: f64 = 0.1;
/// Between two requests to the platform.
const REQUEST_INTERVAL_S: f64 = 1.0;
/// By how much the next request is later if the platform has accepted the last.
const ACCEPTED_DELAY_S: f64 = 1.0;
/// By how much it is sooner if the platform was overloaded or failed.
const FAILED_ADVANCE_S: f64 = 0.8;
/// Between a promotion that the platform refused and the next planned one.
const RETRY_BACKOFF_S: f64 = 1.0;

impl Failover {
    /// The proposal of the target was committed, or came to nothing. Returns what is to be done.
    pub(crate) fn proposal_decided(&mut self, now: f64, committed: bool) -> Option<FailoverAction> {
        let Phase::Proposing(target) = &self.phase else {
            return None;
        };
        if !committed {
            self.phase = Phase::Discovering;
            return None;
        }
        let target = target.clone();
        let server_id = target.server_id.clone();
        self.pending_promotion.record_sent(now, &server_id);
        self.phase = Phase::Promoting(PromotionAttempt {
            target,
            backoff_from: now,
            started_at: now,
        });
        Some(FailoverAction::Promote { server_id })
    }

    /// A request to the platform to promote this server has ended.
    pub(crate) fn promotion_completed(
        &mut self,
        now: f64,
        server_id: &str,
        outcome: PromotionOutcome,
    ) {
        if !self
            .pending_promotion
            .record_outcome(now, server_id, outcome)
        {
            return;
        }
        let Phase::Promoting(PromotionAttempt {
            target,
            backoff_from,
            ..
        }) = &mut self.phase
        else {
            return;
        };
        match outcome {
            // The target isn't running: another is chosen.
            PromotionOutcome::Refused => {
                self.retry_at = now + RETRY_BACKOFF_S;
                self.phase = if target.planned {
                    Phase::Discovering
                } else {
                    Phase::Revoking {
                        pause_term: target.after_term + 1,
                    }
                };
            }
            PromotionOutcome::Accepted => *backoff_from = now + ACCEPTED_DELAY_S,
            PromotionOutcome::Rejected => *backoff_from = now,
            PromotionOutcome::RateLimited
            | PromotionOutcome::NotSent
            | PromotionOutcome::Unknown => *backoff_from = now - FAILED_ADVANCE_S,
        }
    }

    pub(super) fn tick_promoting(
        &mut self,
        context: &FailoverContext<'_>,
        attempt: PromotionAttempt,
        actions: &mut Vec<FailoverAction>,
    ) {
        let now = context.now;
        let target = &attempt.target;
        let target_id = &target.server_id;
        self.send_command(
            now,
            target_id,
            TARGET_QUERY_INTERVAL_S,
            ServerCommand::Status,
            actions,
        );
        let observation = self.observed(target_id);
        let status = observation.status.filter(|status| {
            observation.claims_primary() && status.primary_term > target.after_term
        });
        if let Some(status) = status {
            log::info!(
                "event=primary_promoted server={target_id} term={} after_s={:.3}",
                status.primary_term,
                now - attempt.started_at
            );
            self.conclude_promotion(context, target, status.primary_term, actions);
            return;
        }
        if target.planned {
            self.revoke_at_drain_end(context, actions);
        }
        self.fence_others(context, target, actions);
        let is_silent = observation.failing_since.is_some()
            && now - observation.answered_at > self.config.primary_timeout;
        if is_silent || !context.is_member(target_id) {
            log::info!("event=promotion_target_lost server={target_id}");
            self.abandon_primary(actions);
        } else if now - attempt.backoff_from > REQUEST_INTERVAL_S {
            self.retry_promotion(now, attempt, actions);
        }
    }

    /// Requests the platform once more to promote the target.
    fn retry_promotion(
        &mut self,
        now: f64,
        attempt: PromotionAttempt,
        actions: &mut Vec<FailoverAction>,
    ) {
        let server_id = attempt.target.server_id.clone();
        self.pending_promotion.record_sent(now, &server_id);
        actions.push(FailoverAction::Promote { server_id });
        self.phase = Phase::Promoting(PromotionAttempt {
            backoff_from: now,
            ..attempt
        });
    }

    /// The target is primary of this term.
    fn conclude_promotion(
        &mut self,
        context: &FailoverContext<'_>,
        target: &PromotionTarget,
        primary_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let promoted = Primary {
            server_id: target.server_id.clone(),
            primary_term,
        };
        if target.planned {
            self.revoke_grant(actions);
            let old_primary = self.primary.clone().unwrap_or_default();
            self.send_command(
                context.now,
                &old_primary.server_id,
                0.0,
                ServerCommand::StepDown(primary_term),
                actions,
            );
            self.phase = Phase::Completing(promoted);
        } else if self.is_revoked(context) {
            self.grant_primary(context.now, promoted, actions);
        }
    }

    /// If the target isn't primary when the old primary's drain is about to end, nothing new may
    /// reach the old one any more.
    fn revoke_at_drain_end(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.revocation != Revocation::None {
            return;
        }
        let Some(Primary { server_id, .. }) = self.primary.clone() else {
            return;
        };
        if context
            .draining_since(&server_id)
            .is_some_and(|since| self.is_drain_ending(context.now, since))
        {
            log::info!("event=primary_drained_unreplaced server={server_id}");
            self.revoke_grant(actions);
        }
    }

    /// Keeps all other servers from acknowledging anything that the target would lack: an old
    /// primary that is back, and replicas that are back or new.
    fn fence_others(
        &mut self,
        context: &FailoverContext<'_>,
        target: &PromotionTarget,
        actions: &mut Vec<FailoverAction>,
    ) {
        let pause_term = self.highest_held_term() + 1;
        for member in context.members_except(Some(&target.server_id)) {
            let observation = self.observed(&member.id);
            let command = if self.is_primary(&member.id) {
                // In a planned promotion it serves until the target is primary.
                observation
                    .step_down_command()
                    .filter(|_| !target.planned)
                    .unwrap_or(ServerCommand::Status)
            } else if observation.paused.is_none() {
                observation.pause_command(pause_term)
            } else {
                ServerCommand::Status
            };
            self.send_command(
                context.now,
                &member.id,
                OTHERS_COMMAND_INTERVAL_S,
                command,
                actions,
            );
        }
    }
}
