//! The phases [`Phase::Proposing`] and [`Phase::Promoting`]: the control machines commit the
//! promotion target, and then the platform is requested to promote it.

use super::{
    Failover, FailoverAction, FailoverContext, Phase, Primary, PromotionAttempt, PromotionTarget,
    ServerCommand,
};
use crate::promotion::PromotionOutcome;

/// Interval between two queries to the target.
const TARGET_QUERY_INTERVAL_S: f64 = 0.025;
/// Interval between two commands to each of the other servers.
const OTHERS_COMMAND_INTERVAL_S: f64 = 0.1;
/// Interval between two requests to the platform, counted from `PromotionAttempt::backoff_from`.
const REQUEST_INTERVAL_S: f64 = 1.0;
/// The next request is sent this much later if the platform accepted the last one.
const ACCEPTED_DELAY_S: f64 = 1.0;
/// The next request is sent this much sooner if the platform was overloaded, couldn't be reached or
/// gave no clear answer.
const FAILED_ADVANCE_S: f64 = 0.8;

impl Failover {
    /// Records whether the proposal of the target was committed. Returns the action to carry out.
    pub(crate) fn proposal_decided(&mut self, now: f64, committed: bool) -> Option<FailoverAction> {
        let Phase::Proposing(target) = &self.phase else {
            return None;
        };
        if !committed {
            self.phase = Phase::Discovering;
            return None;
        }
        let target = target.clone();
        let server_id = target.server_id().to_owned();
        self.pending_promotion.record_sent(now, &server_id);
        self.phase = Phase::Promoting(PromotionAttempt {
            target,
            backoff_from: now,
            started_at: now,
        });
        Some(FailoverAction::Promote { server_id })
    }

    /// Records the outcome of a request to the platform to promote this server.
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
            // The platform refused the target, usually because it isn't running: another server is
            // chosen.
            PromotionOutcome::Refused => {
                self.phase = Phase::Revoking {
                    pause_term: target.after_term() + 1,
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
        let target_id = target.server_id();
        self.send_command(
            now,
            target_id,
            TARGET_QUERY_INTERVAL_S,
            ServerCommand::Status,
            actions,
        );
        let observation = self.observed(target_id);
        let status = observation.status.filter(|status| {
            observation.claims_primary() && status.primary_term > target.after_term()
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

    /// Repeats the request to the platform to promote the target.
    fn retry_promotion(
        &mut self,
        now: f64,
        attempt: PromotionAttempt,
        actions: &mut Vec<FailoverAction>,
    ) {
        let server_id = attempt.target.server_id().to_owned();
        self.pending_promotion.record_sent(now, &server_id);
        actions.push(FailoverAction::Promote { server_id });
        self.phase = Phase::Promoting(PromotionAttempt {
            backoff_from: now,
            ..attempt
        });
    }

    /// Continues after the target has become the primary of this term.
    fn conclude_promotion(
        &mut self,
        context: &FailoverContext<'_>,
        target: &PromotionTarget,
        primary_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let promoted = Primary {
            server_id: target.server_id().to_owned(),
            primary_term,
        };
        if self.is_revoked(context) {
            self.grant_primary(context.now, promoted, actions);
        }
    }

    /// Keeps all other servers from acknowledging writes that the target would lack: an old primary
    /// that is back, and replicas that are back or new.
    fn fence_others(
        &mut self,
        context: &FailoverContext<'_>,
        target: &PromotionTarget,
        actions: &mut Vec<FailoverAction>,
    ) {
        let pause_term = self.highest_held_term() + 1;
        for member in context.members_except(Some(target.server_id())) {
            let observation = self.observed(&member.id);
            let command = if self.is_primary(&member.id) {
                observation
                    .step_down_command()
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
