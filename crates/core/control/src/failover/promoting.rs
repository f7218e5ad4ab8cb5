//! The choice is agreed on, and the platform is asked to promote it.

use super::steady::DRAIN_MARGIN_S;
use super::*;

/// Between two questions to the server that is promoted, in seconds.
const ASK_PROMOTED_S: f64 = 0.025;
/// Between two questions or orders to the others, in seconds.
const ASK_OTHERS_S: f64 = 0.1;
/// The platform is asked again after this, in seconds.
const POST_AGAIN_S: f64 = 1.0;
/// So much later, where it said that it will do it.
const ACCEPTED_DELAY_S: f64 = 1.0;
/// So much sooner, where it had too much to do or failed.
const FAILED_ADVANCE_S: f64 = 0.8;
/// A planned change that the platform refused is tried again after this, in seconds.
const RETRY_S: f64 = 1.0;

impl Failover {
    /// What was to be agreed on holds, or doesn't.
    pub fn agreed(&mut self, now: f64, holds: bool) -> Option<FailoverAction> {
        let Phase::Proposing(choice) = &self.phase else {
            return None;
        };
        if !holds {
            self.phase = Phase::Discovering;
            return None;
        }
        let choice = choice.clone();
        let action = FailoverAction::Promote {
            server_id: choice.to.clone(),
        };
        self.pending.sent(now, &choice.to);
        self.phase = Phase::Promoting(PromotionAttempt {
            choice,
            posted: now,
            since: now,
        });
        Some(action)
    }

    /// How a call to promote this server has ended.
    pub fn promoted(&mut self, now: f64, id: &str, outcome: PromotionOutcome) {
        if !self.pending.ended(now, id, outcome) {
            return;
        }
        let Phase::Promoting(PromotionAttempt { choice, posted, .. }) = &mut self.phase else {
            return;
        };
        match outcome {
            PromotionOutcome::Refused => {
                // It is not running, says the platform: choose again.
                self.retry = now + RETRY_S;
                self.phase = match choice.planned {
                    true => Phase::Discovering,
                    false => Phase::Revoking {
                        primary_term: choice.above + 1,
                    },
                };
            }
            PromotionOutcome::Accepted => *posted = now + ACCEPTED_DELAY_S,
            PromotionOutcome::Rejected => *posted = now,
            // Too many calls, or the platform is in trouble: again soon.
            PromotionOutcome::RateLimited
            | PromotionOutcome::NotSent
            | PromotionOutcome::Unknown => {
                *posted = now - FAILED_ADVANCE_S;
            }
        }
    }

    pub(super) fn promote(
        &mut self,
        context: &FailoverContext<'_>,
        promotion: PromotionAttempt,
        actions: &mut Vec<FailoverAction>,
    ) {
        let now = context.now;
        let choice = &promotion.choice;
        let to = &choice.to;
        self.ask(now, to, ASK_PROMOTED_S, ServerCommand::Status, actions);
        let seen = self.observed(to);
        if let Some(row) = seen
            .row
            .filter(|r| seen.leads() && r.primary_term > choice.above)
        {
            log::info!(
                "event=promoted id={to} term={} after_s={:.3}",
                row.primary_term,
                now - promotion.since
            );
            self.conclude_promotion(context, choice, row.primary_term, actions);
            return;
        }
        if choice.planned {
            self.revoke_at_drain_end(context, actions);
        }
        self.hold_others(context, choice, actions);
        let silent = seen.failing.is_some() && now - seen.answered > self.timing.primary_timeout;
        if silent || !context.is_member(to) {
            log::info!("event=promoted_is_silent id={to}");
            self.give_up(actions);
        } else if now - promotion.posted > POST_AGAIN_S {
            self.pending.sent(now, to);
            actions.push(FailoverAction::Promote {
                server_id: to.clone(),
            });
            self.phase = Phase::Promoting(PromotionAttempt {
                posted: now,
                ..promotion
            });
        }
    }

    /// The choice leads this term.
    fn conclude_promotion(
        &mut self,
        context: &FailoverContext<'_>,
        choice: &PromotionTarget,
        primary_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        let promoted = Primary {
            id: choice.to.clone(),
            primary_term,
        };
        if choice.planned {
            self.revoke(actions);
            let old = self.primary.clone().unwrap_or_default();
            self.ask(
                context.now,
                &old.id,
                0.0,
                ServerCommand::StepDown(primary_term),
                actions,
            );
            self.phase = Phase::Completing(promoted);
        } else if self.given_back(context) {
            self.use_primary(context.now, promoted, actions);
        }
    }

    /// If the platform has not done it by the end of the drain, nothing new may reach the old primary any more.
    fn revoke_at_drain_end(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.revocation != Revocation::None {
            return;
        }
        let Some(Primary { id, .. }) = self.primary.clone() else {
            return;
        };
        let limit = self.timing.drain_timeout - DRAIN_MARGIN_S;
        if context
            .draining_since(&id)
            .is_some_and(|since| context.now - since > limit)
        {
            log::info!("event=primary_leaves_unreplaced id={id}");
            self.revoke(actions);
        }
    }

    /// Nobody else may acknowledge anything now that the new one would lack: not the old primary if it is back, nor those
    /// that come back or are new.
    fn hold_others(
        &mut self,
        context: &FailoverContext<'_>,
        choice: &PromotionTarget,
        actions: &mut Vec<FailoverAction>,
    ) {
        let old = self.primary.clone().map(|p| p.id);
        let primary_term = self.highest_term();
        for member in context.members.iter().filter(|m| m.id != choice.to) {
            let seen = self.observed(&member.id);
            let statement = if Some(&member.id) == old.as_ref() {
                let primary_term = seen.row.map_or(choice.above, |r| r.primary_term) + 1;
                match seen.leads() && !choice.planned {
                    true => ServerCommand::StepDown(primary_term),
                    false => ServerCommand::Status,
                }
            } else if seen.paused.is_none() && !seen.leads() && !seen.busy {
                ServerCommand::Pause(primary_term + 1)
            } else {
                ServerCommand::Status
            };
            self.ask(context.now, &member.id, ASK_OTHERS_S, statement, actions);
        }
    }
}
