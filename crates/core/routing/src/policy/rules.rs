//! The rules for a statement, in the order in which they are applied. Each returns whether it fired.

use crate::succession::{Admission, Resolution};
use crate::{
    ExecutionOutcome, Instance, Outbox,
    state::{ROUNDING_S, Statement},
};

/// A statement that ended in this many errors fails by itself, whichever node executes it.
const MAX_ERRORS: usize = 2;

impl Instance {
    /// Removes a statement that has its final answer, or whose client has left.
    pub(super) fn close_finished(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.statements[&stmt].finished && self.forget(stmt, now, out)
    }

    /// Answers a statement before its deadline, whatever else is going on: two clock steps earlier.
    pub(super) fn answer_before_deadline(
        &mut self,
        stmt: u32,
        now: f64,
        out: &mut dyn Outbox,
    ) -> bool {
        let s = &self.statements[&stmt];
        now >= s.deadline - 2.0 * self.limits.clock_step_s - ROUNDING_S
            && self.conclude(stmt, now, out)
    }

    /// While a group changes its primary, a statement that needs the primary waits in order, or is answered at once
    /// if waiting is futile.
    pub(super) fn wait_for_primary(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        matches!(self.admit_statement(stmt, now), Admission::Reject { .. })
            && self.conclude(stmt, now, out)
    }

    /// Gives up a statement that can no longer get a useful answer: it would come too late, the statement may not
    /// be sent again, or it fails on every node.
    pub(super) fn give_up(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let in_flight = s.in_flight().next().is_some();
        let errors = s
            .executions
            .iter()
            .filter(|e| e.outcome == Some(ExecutionOutcome::Errored))
            .count();
        let spent = s.executions.len() >= self.limits.max_executions || errors >= MAX_ERRORS;
        let spent = spent || !self.repeatable(s, None, now) && !self.may_inquire(s, now);
        let time_needed_s = if in_flight { 0.0 } else { self.time_needed(s) };
        let late = now + time_needed_s >= s.last_useful_at();
        let futile = late
            || spent && !in_flight
            || self.held_too_long(s, now)
            || self.requires_lost_commit(s);
        futile && self.conclude(stmt, now, out)
    }

    /// Returns whether half of a statement's time is over while no node ever had all of it, and there is no hope: the
    /// primary is unknown or a suspect, or an answer would be late. Its client still has time to try elsewhere. The
    /// drawback: some late answers are never given. Does not apply during a change of primary.
    pub fn held_too_long(&self, s: &Statement, now: f64) -> bool {
        let primary_works = self.groups[&s.group]
            .primary
            .is_some_and(|p| self.nodes[&p].suspected_at.is_none());
        let late = now + self.time_needed(s) >= s.slo_deadline;
        let settled = self
            .succession
            .as_ref()
            .is_none_or(|succession| succession.is_settled(s.group));
        settled
            && (late || !primary_works)
            && s.reached_no_node()
            && now >= s.halfway_at - ROUNDING_S
    }

    /// Asks the new primary how an earlier execution of a write ended, if a repeat of the write is no longer
    /// certain to be dropped as a duplicate.
    pub(super) fn inquire(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let due = !s.waits_for_primary
            && s.may_have_run().next().is_some()
            && s.in_flight().all(|e| self.overdue(e, now));
        if !due || self.doubt_resolution(s, now) != Resolution::Inquire || !self.may_inquire(s, now)
        {
            return false;
        }
        let primary = self.groups[&s.group]
            .primary
            .filter(|p| self.can_take_execution(s, *p, now, true));
        primary.is_some_and(|id| self.execute_for(stmt, id, now, true, out))
    }

    /// Sends a statement that is not in flight, or lets it wait for a node.
    pub(super) fn send_next(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let in_flight = s.in_flight().next().is_some();
        let held = s.held_until > now + ROUNDING_S;
        if held && !in_flight {
            // Waiting statements are looked at in each periodic check. Otherwise nothing would look at a held one
            // until half of its time is over.
            self.groups
                .get_mut(&s.group)
                .expect("known")
                .waiting
                .insert(stmt);
        }
        if in_flight || held {
            return false;
        }
        if let Some(node) = self.choose(stmt, now).filter(|_| self.may_retry(stmt, now)) {
            return self.execute(stmt, node, now, out);
        }
        let s = self.statements.get_mut(&stmt).expect("open");
        let group = self.groups.get_mut(&s.group).expect("known");
        group.waiting.insert(stmt);
        if s.is_write() && group.primary.is_none() {
            s.held_until = now + s.hold_s();
        }
        false
    }

    /// Probes a member if a statement waits to know which one is the primary, or where a replica stands. Its probes
    /// cost only a small part of its value; if many routers probed at fixed intervals instead, the probes would
    /// cost more than the statements are worth. The drawback: a router without such statements learns of changes
    /// late.
    pub(super) fn probe_for_statement(
        &mut self,
        stmt: u32,
        now: f64,
        out: &mut dyn Outbox,
    ) -> bool {
        let s = &self.statements[&stmt];
        let Some(id) = self.member_to_probe(s, now) else {
            return false;
        };
        let s = self.statements.get_mut(&stmt).expect("open");
        s.probe_count += 1.0;
        s.last_probe_at = now;
        self.probe(id, now, out)
    }

    /// Sends a second copy of a statement whose executions in flight are all overdue, where a repeat is harmless or
    /// will be dropped: answers may be lost, or the node may hang or be slow. The drawback: if the node was slow only
    /// for a moment, the work is done twice.
    pub(super) fn hedge_overdue(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let overdue = s.in_flight().next().is_some() && s.in_flight().all(|e| self.overdue(e, now));
        let useful =
            overdue && self.may_hedge(now) && now + self.time_needed(s) < s.last_useful_at();
        useful
            && self
                .choose(stmt, now)
                .is_some_and(|node| self.execute(stmt, node, now, out))
    }
}
