//! The rules for a statement, in the order in which they are gone through.

use crate::succession::{Next, Verdict};
use crate::{
    Ending, Instance, Outbox,
    state::{ROUNDING_S, Statement},
};

/// So many errors show that a statement errs by itself, whoever executes it.
const ERRORS: usize = 2;

impl Instance {
    pub(super) fn close_over(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.statements[&stmt].over && self.forget(stmt, now, out)
    }

    /// Guards rule 1: whatever else is going on, the answer is out before the client's time is up.
    pub(super) fn answer_last_moment(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        now >= s.due - 2.0 * self.allowance.step - ROUNDING_S && self.conclude(stmt, now, out)
    }

    /// While its group changes its primary, who needs one waits in order, or hears at once that it is vain.
    pub(super) fn wait_for_primary(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        matches!(self.verdict(stmt, now), Verdict::Refuse { .. }) && self.conclude(stmt, now, out)
    }

    /// Nothing it could still get is worth anything, is back in time or may be sent, or it errs everywhere.
    pub(super) fn give_up(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let sent = s.live().next().is_some();
        let errors = s
            .executions
            .iter()
            .filter(|e| e.ended == Some(Ending::Errored))
            .count();
        let spent = s.executions.len() >= self.allowance.executions || errors >= ERRORS;
        let spent = spent || !self.repeatable(s, None, now) && !self.inquirable(s, now);
        let late = now + if sent { 0.0 } else { self.needed(s) } >= s.last_use();
        let vain = late || spent && !sent || self.held_too_long(s, now) || self.owes_lost(s);
        vain && self.conclude(stmt, now, out)
    }

    /// Half of its time is gone and no node had a byte of it: hopeless where who leads is out of reach, or an
    /// answer would be late. Its client can still try elsewhere. Harm: some late answers are never given.
    pub fn held_too_long(&self, s: &Statement, now: f64) -> bool {
        let led = self.groups[&s.group]
            .primary
            .is_some_and(|p| self.nodes[&p].suspected.is_none());
        let late = now + self.needed(s) >= s.slo_end;
        let alone = self
            .succession
            .as_ref()
            .is_none_or(|succession| succession.settled(s.group));
        alone && (late || !led) && s.unwritten() && now >= s.halfway - ROUNDING_S
    }

    /// Its repeat is no longer sure to be dropped: the new primary is asked how it ended.
    pub(super) fn inquire(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let due =
            !s.waits && s.may_have_run().next().is_some() && s.live().all(|e| self.overdue(e, now));
        if !due || self.next(s, now) != Next::Inquire || !self.inquirable(s, now) {
            return false;
        }
        let leader = self.groups[&s.group]
            .primary
            .filter(|p| self.open_for(s, *p, now, true));
        leader.is_some_and(|id| self.execute_for(stmt, id, now, true, out))
    }

    pub(super) fn send_next(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let (live, held) = (s.live().next().is_some(), s.held_until > now + ROUNDING_S);
        if held && !live {
            // Who is held looks again at each beat: else nothing would until half of its time is over.
            self.groups
                .get_mut(&s.group)
                .expect("known")
                .waiting
                .insert(stmt);
        }
        if live || held {
            return false;
        }
        if let Some(node) = self.choose(stmt, now).filter(|_| self.may_retry(stmt, now)) {
            return self.execute(stmt, node, now, out);
        }
        let s = self.statements.get_mut(&stmt).expect("open");
        let group = self.groups.get_mut(&s.group).expect("known");
        group.waiting.insert(stmt);
        if s.writes() && group.primary.is_none() {
            s.held_until = now + s.hold();
        }
        false
    }

    /// What waits to know who leads, or a replica's position, asks for it at a small part of its worth: many
    /// routers that probed by the clock would cost more than they serve. Harm: who asks nothing hears late.
    pub(super) fn ask(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let Some(id) = self.unknown(s, now) else {
            return false;
        };
        let s = self.statements.get_mut(&stmt).expect("open");
        (s.probes, s.probed) = (s.probes + 1.0, now);
        self.probe(id, now, out)
    }

    /// All that is out is overdue: a second copy where a repeat is harmless or dropped, whether answers got
    /// lost or the node hangs or slows. Harm: a node only slow for a moment does the work twice.
    pub(super) fn copy_overdue(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let fires = s.live().next().is_some() && s.live().all(|e| self.overdue(e, now));
        let useful = fires && self.may_hedge(now) && now + self.needed(s) < s.last_use();
        useful
            && self
                .choose(stmt, now)
                .is_some_and(|node| self.execute(stmt, node, now, out))
    }
}
