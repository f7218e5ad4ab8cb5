//! The choice is agreed on, and the platform is asked to promote it.

use super::*;

impl Failover {
    /// What was to be agreed on holds, or doesn't.
    pub fn agreed(&mut self, now: f64, holds: bool) -> Option<Act> {
        let Phase::Agreeing { to, above, planned } = &self.phase else { return None };
        let (to, above, planned) = (to.clone(), *above, *planned);
        if !holds {
            self.phase = Phase::Finding;
            return None;
        }
        let act = Act::Promote { to: to.clone() };
        self.phase = Phase::Promoting { to, above, planned, posted: now, tries: 1, since: now };
        Some(act)
    }

    /// The platform's answer; none if there was none in time.
    pub fn promoted(&mut self, now: f64, status: Option<u16>) {
        let Phase::Promoting { posted, above, planned, .. } = &mut self.phase else { return };
        match status {
            Some(409) => {
                // It is not running, says the platform: choose again.
                let (above, planned) = (*above, *planned);
                self.retry = now + 1.0;
                if planned {
                    self.phase = Phase::Finding;
                } else {
                    self.phase = Phase::Closing { term: above + 1 };
                }
            }
            Some(status) if status < 300 => *posted = now + 1.0,
            // Too many calls, or the platform is in trouble: again soon.
            _ => *posted = now - 0.8,
        }
    }

    pub(super) fn promote(
        &mut self, around: &Around<'_>, to: &str, above: u64, planned: bool, post: (f64, u32, f64),
        acts: &mut Vec<Act>,
    ) {
        let (now, (posted, tries, since)) = (around.now, post);
        self.ask(now, to, 0.025, Statement::Status, acts);
        let it = self.seen.get(to).cloned().unwrap_or_default();
        if let Some(row) = it.row.filter(|r| r.leader && r.term > above && it.failing.is_none()) {
            log::info!("event=promoted id={to} term={} after_s={:.3}", row.term, now - since);
            if planned {
                let (id, of) = self.primary.clone().unwrap_or_default();
                if self.closed.is_none() {
                    self.closed = Some(u64::MAX);
                    acts.push(Act::Grant { id: id.clone(), term: of, closing: true });
                }
                self.ask(now, &id, 0.0, Statement::StepDown(row.term), acts);
                self.phase = Phase::Switching { to: to.to_owned(), term: row.term };
            } else if self.given_back(around) {
                self.steady(now, to, row.term, acts);
            }
            return;
        }
        let of = self.primary.clone().unwrap_or_default();
        let leaves = around.members.iter().find(|m| m.id == of.0).and_then(|m| m.draining_since);
        if planned
            && self.closed.is_none()
            && leaves.is_some_and(|since| now - since > self.timing.drain - 0.7)
        {
            // The platform has not done it in time, and nothing new may reach the old one any more.
            log::info!("event=primary_leaves_unreplaced id={}", of.0);
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id: of.0, term: of.1, closing: true });
        }
        // Nobody else may acknowledge anything now that the new one would lack: not the old primary if it is back, nor
        // those that come back or are new.
        let (of, term) = (self.primary.clone().map(|p| p.0), self.highest_term());
        for member in around.members.iter().filter(|m| m.id != to) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            let leads = seen.failing.is_none() && seen.row.is_some_and(|r| r.leader);
            let statement = if Some(&member.id) == of.as_ref() {
                if leads && !planned { Statement::StepDown(above + 1) } else { Statement::Status }
            } else if seen.paused.is_none() && !leads && !seen.busy {
                Statement::Pause(term + 1)
            } else {
                Statement::Status
            };
            self.ask(now, &member.id, 0.1, statement, acts);
        }
        let silent = it.failing.is_some() && now - it.answered > self.timing.silence;
        if silent || !around.members.iter().any(|m| m.id == to) {
            log::info!("event=promoted_is_silent id={to}");
            self.give_up(acts);
        } else if now - posted > 1.0 {
            self.phase =
                Phase::Promoting { to: to.to_owned(), above, planned, posted: now, tries: tries + 1, since };
            acts.push(Act::Promote { to: to.to_owned() });
        }
    }
}
