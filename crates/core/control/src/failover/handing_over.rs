//! The primary is about to leave: another is made ready while it serves.

use super::*;

/// Between two pauses of a copy, in seconds.
const PAUSE_AGAIN_S: f64 = 0.05;
/// Between two questions to a copy that was paused, until one confirms it, in seconds.
const CONFIRM_AGAIN_S: f64 = 0.02;
/// Between two questions to the coming primary, in seconds.
const ASK_COMING_S: f64 = 0.04;
/// The coming primary must be ready within this, in seconds.
const LONGEST_S: f64 = 1.5;
/// The pause until the next try, in seconds.
const RETRY_S: f64 = 0.5;

/// How far the pausing of the other copies has come.
struct Pausing {
    complete: bool,
    /// The furthest position among them.
    furthest: Position,
    /// When the last of them answered.
    answered: f64,
}

impl Failover {
    /// Begins to hand over, if there is anybody to hand over to.
    pub(super) fn begin_handing(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if context.sync == 0 {
            // Nothing but its own end keeps the old one from acknowledging: routers let go of it first.
            self.give_up(actions);
            return;
        }
        let best = self.best(context, |m| {
            m.id != primary.id && m.draining_since.is_none()
        });
        if let Some((to, _)) = best {
            let (to, primary_term) = (to.to_owned(), self.highest_term() + 1);
            log::info!("event=primary_leaves id={} to={to}", primary.id);
            self.phase = Phase::Handover(Handover {
                to,
                primary_term,
                since: context.now,
            });
        }
    }

    pub(super) fn hand_over(
        &mut self,
        context: &FailoverContext<'_>,
        handing: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) {
        let now = context.now;
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if self.primary_death(now).is_some() {
            self.give_up(actions);
            return;
        }
        let to = &handing.to;
        self.ask(
            now,
            &primary.id,
            self.timing.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        let pausing = self.pause_others(context, &primary.id, handing, actions);
        self.ask(now, to, ASK_COMING_S, ServerCommand::Status, actions);
        if pausing.complete
            && self.has_caught_up(to, &pausing)
            && self.covers_lost(context, &primary.id, to)
        {
            let above = self.highest_led().max(primary.primary_term);
            self.phase = Phase::Proposing(PromotionTarget {
                to: to.clone(),
                above,
                planned: true,
            });
            actions.push(FailoverAction::ProposePrimary {
                server_id: to.clone(),
                after_term: above,
            });
        } else if now - handing.since > LONGEST_S {
            log::info!("event=handing_given_up to={to}");
            self.retry = now + RETRY_S;
            self.phase = Phase::Steady;
        }
    }

    /// Pauses all copies but the primary and the coming one.
    fn pause_others(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &str,
        handing: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) -> Pausing {
        let mut pausing = Pausing {
            complete: true,
            furthest: (0, 0),
            answered: f64::NEG_INFINITY,
        };
        for member in context
            .members
            .iter()
            .filter(|m| m.id != primary && m.id != handing.to)
        {
            let seen = self.observed(&member.id);
            match seen.paused {
                Some((at, position)) if at == handing.primary_term => {
                    pausing.furthest = pausing.furthest.max(position);
                    pausing.answered = pausing.answered.max(seen.answered);
                    if seen.pause_confirmed.is_none() {
                        pausing.complete = false;
                        self.ask(
                            context.now,
                            &member.id,
                            CONFIRM_AGAIN_S,
                            ServerCommand::Status,
                            actions,
                        );
                    }
                }
                _ => {
                    pausing.complete &= self.is_represented(context, &member.id);
                    let primary_term = self
                        .primary
                        .as_ref()
                        .map_or(0, |primary| primary.primary_term);
                    // The primary before this one may not know yet that it is none, and can't be paused.
                    let deposed =
                        seen.leads() && seen.row.is_some_and(|row| row.primary_term < primary_term);
                    let statement = if deposed {
                        ServerCommand::StepDown(primary_term)
                    } else {
                        ServerCommand::Pause(handing.primary_term)
                    };
                    self.ask(context.now, &member.id, PAUSE_AGAIN_S, statement, actions);
                }
            }
        }
        pausing
    }

    /// The coming primary has all that the paused ones have, by a row that was asked for after they were paused.
    fn has_caught_up(&self, to: &str, pausing: &Pausing) -> bool {
        let seen = self.observed(to);
        seen.failing.is_none()
            && seen
                .row
                .is_some_and(|r| !r.is_primary && r.received >= pausing.furthest)
            && (seen.row_asked > pausing.answered || pausing.furthest == (0, 0))
    }

    /// Whoever is gone may have had commits that only the primary has as well: the coming one must have them.
    fn covers_lost(&self, context: &FailoverContext<'_>, primary: &str, to: &str) -> bool {
        let received = self.observed(to).row.map_or((0, 0), |r| r.received);
        let mut lost = context.lost.iter().filter(|(id, _)| *id != primary);
        lost.all(|(_, since)| self.covered(*since, received))
    }
}
