//! The primary is about to leave: another is made ready while it serves.

use super::*;

impl Failover {
    pub(super) fn begin_handing(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let Some((primary, _)) = self.primary.clone() else { return };
        if around.sync == 0 {
            // Nothing but its own end keeps the old one from acknowledging: routers let go of it first.
            self.give_up(acts);
            return;
        }
        let best = self.best(around, |m| m.id != primary && m.draining_since.is_none());
        if let Some((to, _)) = best {
            let (to, term) = (to.to_owned(), self.highest_term() + 1);
            log::info!("event=primary_leaves id={primary} to={to}");
            self.phase = Phase::Handing { to, term, since: around.now };
        }
    }

    pub(super) fn hand(&mut self, around: &Around<'_>, to: &str, term: u64, since: f64, acts: &mut Vec<Act>) {
        let now = around.now;
        let Some((primary, of)) = self.primary.clone() else { return };
        let seen = self.seen.get(&primary).cloned().unwrap_or_default();
        let heard = seen.answered.max(self.evidence);
        if now - heard > self.timing.silence
            || (seen.refused && seen.failing.is_some_and(|f| f > self.evidence))
        {
            self.give_up(acts);
            return;
        }
        self.ask(now, &primary, self.timing.ask, Statement::Status, acts);
        let mut furthest = (0, 0);
        let mut ready = true;
        let mut paused_at = f64::NEG_INFINITY;
        for member in around.members.iter().filter(|m| m.id != primary && m.id != to) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            match seen.paused {
                Some((at, position)) if at == term => {
                    furthest = furthest.max(position);
                    paused_at = paused_at.max(seen.answered);
                }
                _ => {
                    ready = false;
                    self.ask(now, &member.id, 0.05, Statement::Pause(term), acts);
                }
            }
        }
        self.ask(now, to, 0.04, Statement::Status, acts);
        let it = self.seen.get(to).cloned().unwrap_or_default();
        let caught_up = it.failing.is_none()
            && it.row.is_some_and(|r| !r.leader && r.received >= furthest)
            && (it.row_asked > paused_at || furthest == (0, 0));
        // Whoever is gone may have had commits that only the primary has as well.
        let has = it.row.map_or((0, 0), |r| r.received);
        let gone = around.lost.iter().filter(|(id, _)| *id != primary);
        let covered =
            |since: f64| self.trail.iter().any(|(asked, position)| *asked > since && *position <= has);
        if ready && caught_up && gone.into_iter().all(|(_, since)| covered(*since)) {
            let above = self.highest_led().max(of);
            self.phase = Phase::Agreeing { to: to.to_owned(), above, planned: true };
            acts.push(Act::Agree { to: to.to_owned(), above });
        } else if now - since > 1.5 {
            log::info!("event=handing_given_up to={to}");
            self.retry = now + 0.5;
            self.phase = Phase::Steady;
        }
    }
}
