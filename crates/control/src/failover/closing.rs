//! The primary is given up: its grant ends, the other copies are paused, and the furthest of them is chosen.

use super::*;

impl Failover {
    /// Who is furthest of those that could lead.
    pub(super) fn best<'a>(
        &self, around: &'a Around<'_>, fit: impl Fn(&Candidate) -> bool,
    ) -> Option<(&'a str, Position)> {
        let fit = around.members.iter().filter(|m| fit(m));
        let with = fit.filter_map(|m| {
            let seen = self.seen.get(&m.id)?;
            let row = seen.row.filter(|_| seen.failing.is_none())?;
            Some((m, seen.paused.map_or(row.received, |p| p.1)))
        });
        let best = with.max_by(|(a, x), (b, y)| {
            (x, a.draining_since.is_none(), &b.id).cmp(&(y, b.draining_since.is_none(), &a.id))
        });
        best.map(|(m, at)| (m.id.as_str(), at))
    }

    pub(super) fn close(&mut self, around: &Around<'_>, term: u64, acts: &mut Vec<Act>) {
        let now = around.now;
        let primary = self.primary.clone();
        let of = primary.as_ref().map(|p| p.0.as_str());
        let draining = around
            .members
            .iter()
            .find(|m| Some(m.id.as_str()) == of)
            .is_some_and(|m| m.draining_since.is_some());
        if let Some((id, led)) = &primary {
            // It may be back with all that it had.
            if around.members.iter().any(|m| m.id == *id) {
                self.ask(now, id, 0.1, Statement::Status, acts);
            }
            let seen = self.seen.get(id).cloned().unwrap_or_default();
            let back = seen.failing.is_none() && now - seen.answered < 0.3 && seen.row_asked > now - 0.5;
            let leads = seen.row.is_some_and(|r| r.leader && r.term == *led);
            let of_record = around.record.is_none_or(|(r, above)| r == id && *led >= above);
            if back && leads && of_record && !draining && self.highest_led() <= *led {
                log::info!("event=primary_back id={id}");
                let (id, led) = (id.clone(), *led);
                self.steady(now, &id, led, acts);
                return;
            }
        }
        // Once it has given up the lead it is a copy like the others.
        let replica = |id: &&str| {
            let seen = self.seen.get(*id);
            seen.is_some_and(|s| {
                s.failing.is_none() && s.row_asked > now - 1.0 && s.row.is_some_and(|r| !r.leader)
            })
        };
        let of = of.filter(|id| !replica(id));
        // Whoever was promoted before may lead by now.
        if let Some((id, led)) = self.found(around).filter(|(id, _)| Some(id.as_str()) != of)
            && self.given_back(around)
        {
            log::info!("event=primary_found id={id} term={led}");
            self.steady(now, &id, led, acts);
            return;
        }
        let given = self.given_back(around);
        let mut ready = given;
        let mut low = false;
        for member in around.members.iter().filter(|m| Some(m.id.as_str()) != of) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            if seen.paused.is_some_and(|(at, _)| at >= term) {
                self.ask(now, &member.id, self.timing.ask, Statement::Status, acts);
                continue;
            }
            ready &= self.excused(around, member, &seen);
            low |= seen.failing.is_none() && seen.row.is_some_and(|r| r.term.max(r.held) >= term);
            let leads = seen.failing.is_none() && seen.row.is_some_and(|r| r.leader);
            let statement = match leads {
                // A primary can't be paused: once nobody uses it, it becomes a replica.
                true if given => Statement::StepDown(term),
                true => Statement::Status,
                false if seen.busy => Statement::Status,
                false => Statement::Pause(term),
            };
            self.ask(now, &member.id, 0.05, statement, acts);
        }
        if low {
            // Another term has come up meanwhile, and below it nobody pauses.
            self.phase = Phase::Closing { term: self.highest_term() + 1 };
            return;
        }
        if !ready {
            return;
        }
        let best = self.best(around, |m| {
            Some(m.id.as_str()) != of && self.seen.get(&m.id).is_some_and(|s| s.paused.is_some())
        });
        let Some((to, at)) = best else { return };
        // A commit is acknowledged once it is at so many replicas besides the primary: if no more than these can't be
        // asked, whoever else is furthest has all. Of the others it must be known that they had nothing that this one
        // lacks, as the primary had no more when they were gone already.
        let mut spare = i64::from(around.sync) - i64::from(of.is_some());
        let covered =
            |since: f64| self.trail.iter().any(|(asked, position)| *asked > since && *position <= at);
        for member in around.members.iter().filter(|m| Some(m.id.as_str()) != of) {
            let seen = self.seen.get(&member.id);
            if seen.is_none_or(|s| s.paused.is_none()) {
                let since = seen.and_then(|s| s.failing).unwrap_or(now);
                spare -= i64::from(!covered(since + 0.5));
            }
        }
        for (_, since) in around.lost.iter().filter(|(id, _)| Some(id.as_str()) != of) {
            // Whoever went long before this machine led was followed by others since.
            let long = self.trail.is_empty() && *since < around.since - 5.0;
            spare -= i64::from(!covered(*since) && !long);
        }
        if spare < 0 && around.sync > 0 {
            return;
        }
        let (to, above) = (to.to_owned(), self.highest_led().min(term.saturating_sub(1)));
        log::info!("event=primary_chosen to={to} position={}.{} above={above}", at.0, at.1);
        self.phase = Phase::Agreeing { to: to.clone(), above, planned: false };
        acts.push(Act::Agree { to, above });
    }

    /// A replica that can't be asked may be left out once it has been gone for a while and the primary went on without it.
    pub(super) fn excused(&self, around: &Around<'_>, member: &Candidate, seen: &Seen) -> bool {
        let Some(since) = seen.failing else { return false };
        member.heard < since + 0.5 && around.now - since > 0.5
    }
}
