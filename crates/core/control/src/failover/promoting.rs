//! The choice is agreed on, and the platform is asked to promote it.

use super::watching::DRAIN_MARGIN_S;
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
    pub fn agreed(&mut self, now: f64, holds: bool) -> Option<Act> {
        let Phase::Agreeing(choice) = &self.phase else {
            return None;
        };
        if !holds {
            self.phase = Phase::Finding;
            return None;
        }
        let choice = choice.clone();
        let act = Act::Promote {
            to: choice.to.clone(),
        };
        self.pending.sent(now, &choice.to);
        self.phase = Phase::Promoting(Promotion {
            choice,
            posted: now,
            since: now,
        });
        Some(act)
    }

    /// How a call to promote this server has ended.
    pub fn promoted(&mut self, now: f64, id: &str, outcome: PromotionOutcome) {
        if !self.pending.ended(now, id, outcome) {
            return;
        }
        let Phase::Promoting(Promotion { choice, posted, .. }) = &mut self.phase else {
            return;
        };
        match outcome {
            PromotionOutcome::Refused => {
                // It is not running, says the platform: choose again.
                self.retry = now + RETRY_S;
                self.phase = match choice.planned {
                    true => Phase::Finding,
                    false => Phase::Closing {
                        term: choice.above + 1,
                    },
                };
            }
            PromotionOutcome::Accepted => *posted = now + ACCEPTED_DELAY_S,
            PromotionOutcome::Rejected => *posted = now,
            // Too many calls, or the platform is in trouble: again soon.
            PromotionOutcome::Busy | PromotionOutcome::NotSent | PromotionOutcome::Unknown => {
                *posted = now - FAILED_ADVANCE_S;
            }
        }
    }

    pub(super) fn promote(
        &mut self,
        around: &Around<'_>,
        promotion: Promotion,
        acts: &mut Vec<Act>,
    ) {
        let now = around.now;
        let choice = &promotion.choice;
        let to = &choice.to;
        self.ask(now, to, ASK_PROMOTED_S, Statement::Status, acts);
        let seen = self.observed(to);
        if let Some(row) = seen.row.filter(|r| seen.leads() && r.term > choice.above) {
            log::info!(
                "event=promoted id={to} term={} after_s={:.3}",
                row.term,
                now - promotion.since
            );
            self.conclude_promotion(around, choice, row.term, acts);
            return;
        }
        if choice.planned {
            self.revoke_at_drain_end(around, acts);
        }
        self.hold_others(around, choice, acts);
        let silent = seen.failing.is_some() && now - seen.answered > self.timing.silence;
        if silent || !around.is_member(to) {
            log::info!("event=promoted_is_silent id={to}");
            self.give_up(acts);
        } else if now - promotion.posted > POST_AGAIN_S {
            self.pending.sent(now, to);
            acts.push(Act::Promote { to: to.clone() });
            self.phase = Phase::Promoting(Promotion {
                posted: now,
                ..promotion
            });
        }
    }

    /// The choice leads this term.
    fn conclude_promotion(
        &mut self,
        around: &Around<'_>,
        choice: &Choice,
        term: u64,
        acts: &mut Vec<Act>,
    ) {
        let promoted = Primary {
            id: choice.to.clone(),
            term,
        };
        if choice.planned {
            self.revoke(acts);
            let old = self.primary.clone().unwrap_or_default();
            self.ask(around.now, &old.id, 0.0, Statement::StepDown(term), acts);
            self.phase = Phase::Switching(promoted);
        } else if self.given_back(around) {
            self.use_primary(around.now, promoted, acts);
        }
    }

    /// If the platform has not done it by the end of the drain, nothing new may reach the old primary any more.
    fn revoke_at_drain_end(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        if self.revocation != Revocation::None {
            return;
        }
        let Some(Primary { id, .. }) = self.primary.clone() else {
            return;
        };
        let limit = self.timing.drain - DRAIN_MARGIN_S;
        if around
            .draining_since(&id)
            .is_some_and(|since| around.now - since > limit)
        {
            log::info!("event=primary_leaves_unreplaced id={id}");
            self.revoke(acts);
        }
    }

    /// Nobody else may acknowledge anything now that the new one would lack: not the old primary if it is back, nor those
    /// that come back or are new.
    fn hold_others(&mut self, around: &Around<'_>, choice: &Choice, acts: &mut Vec<Act>) {
        let old = self.primary.clone().map(|p| p.id);
        let term = self.highest_term();
        for member in around.members.iter().filter(|m| m.id != choice.to) {
            let seen = self.observed(&member.id);
            let statement = if Some(&member.id) == old.as_ref() {
                let term = seen.row.map_or(choice.above, |r| r.term) + 1;
                match seen.leads() && !choice.planned {
                    true => Statement::StepDown(term),
                    false => Statement::Status,
                }
            } else if seen.paused.is_none() && !seen.leads() && !seen.busy {
                Statement::Pause(term + 1)
            } else {
                Statement::Status
            };
            self.ask(around.now, &member.id, ASK_OTHERS_S, statement, acts);
        }
    }
}
