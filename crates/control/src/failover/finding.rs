//! Nobody is known to lead: the server that does is looked for.

use super::*;

impl Failover {
    pub(super) fn find(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        for member in around.members {
            self.ask(now, &member.id, self.timing.ask, Statement::Status, acts);
        }
        if around.members.is_empty() {
            return;
        }
        if let Some((id, term)) = self.found(around) {
            match (&self.primary, self.closed) {
                (Some((old, led)), None) if *old != id || *led != term => {
                    // Routers may still use the one before.
                    let (id, term) = (old.clone(), *led);
                    self.closed = Some(u64::MAX);
                    acts.push(Act::Grant { id, term, closing: true });
                    return;
                }
                // Under the leader before us routers may have used another until a moment ago.
                (None, None) if around.record.is_some_and(|r| r.1 != term) && !(around.all_know)(0) => return,
                (_, Some(_)) if !self.given_back(around) => return,
                _ => {}
            }
            self.steady(now, &id, term, acts);
            return;
        }
        // Nobody leads whom we may use: after a while somebody is to be promoted. Beats of all must have had their time.
        let waited = now - around.since > self.timing.silence.max(2.5 * self.timing.heartbeat);
        if waited && now > around.not_before && now > self.retry {
            if self.primary.is_none() && self.closed.is_none() {
                // Nothing is granted by us, and the grants of those before us have ended.
                self.closed = Some(0);
            }
            log::info!("event=primary_missing top={}", self.highest_led());
            self.give_up(acts);
        }
    }

    /// The server that leads and may be used, with its term.
    pub(super) fn found(&self, around: &Around<'_>) -> Option<(String, u64)> {
        let top = self.highest_led();
        let leads = |id: &str| {
            let seen = self.seen.get(id)?;
            let fresh = seen.failing.is_none() && around.now - seen.answered < 1.0;
            seen.row.filter(|r| r.leader && fresh && r.term >= top)
        };
        let (id, term) = around.members.iter().find_map(|m| leads(&m.id).map(|r| (m.id.clone(), r.term)))?;
        let of_record = match around.record {
            Some((of, above)) => of == id && term >= above,
            // Nobody was promoted by us: whoever leads is the primary, once all that are known were asked.
            None => {
                let told = |m: &Candidate| self.seen.get(&m.id).is_some_and(|s| s.row.is_some());
                around.members.iter().all(told) || around.now - around.since > 1.0
            }
        };
        of_record.then_some((id, term))
    }
}
