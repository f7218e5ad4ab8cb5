//! A primary is in use: its health is watched, and its replicas follow it.

use super::*;

impl Failover {
    pub(super) fn watch(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        let Some((primary, term)) = self.primary.clone() else {
            self.phase = Phase::Finding;
            return;
        };
        self.ask(now, &primary, self.timing.ask, Statement::Status, acts);
        for member in around.members.iter().filter(|m| m.id != primary) {
            let deposed = self.row(&member.id).is_some_and(|r| r.leader && r.term < term);
            // Who holds a term above the primary's was paused, by us or by a leader before us.
            let paused = self.seen.get(&member.id).is_some_and(|s| {
                s.pausing.is_some() || !s.resumed && s.row.is_some_and(|r| !r.leader && r.held > term)
            });
            let busy = self.seen.get(&member.id).is_some_and(|s| s.busy);
            if deposed {
                self.ask(now, &member.id, 0.1, Statement::StepDown(term), acts);
            } else if paused {
                let statement = if busy { Statement::Status } else { Statement::Resume };
                self.ask(now, &member.id, 0.1, statement, acts);
            } else {
                self.ask(now, &member.id, self.timing.ask_replica, Statement::Status, acts);
            }
        }
        let seen = self.seen.get(&primary).cloned().unwrap_or_default();
        if let Some(row) = seen.row
            && seen.failing.is_none()
            && (!row.leader || row.term != term)
            && seen.row_asked > self.evidence
        {
            log::info!("event=primary_changed_itself id={primary} term={}", row.term);
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id: primary, term, closing: true });
            self.phase = Phase::Finding;
            return;
        }
        if around.record.is_some_and(|(id, above)| id == primary && above != term) && now > self.settle {
            self.settle = now + 1.0;
            acts.push(Act::Settle { id: primary.clone(), term });
        }
        let heard = seen.answered.max(self.evidence);
        let refused = seen.refused && seen.failing.is_some_and(|f| f > self.evidence);
        if refused || now - heard > self.timing.silence {
            log::info!("event=primary_dead id={primary} refused={refused} silent_s={:.2}", now - heard);
            self.give_up(acts);
            return;
        }
        let leaves = around.members.iter().find(|m| m.id == primary).and_then(|m| m.draining_since);
        if let Some(since) = leaves {
            if now - since > self.timing.drain - 0.7 {
                log::info!("event=primary_leaves_unreplaced id={primary}");
                self.give_up(acts);
            } else if now > self.retry && now >= around.not_before {
                self.begin_handing(around, acts);
            }
        }
    }
}
