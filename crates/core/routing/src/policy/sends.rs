//! Sends and final answers: the only place from which each leaves, and what they change.

use super::HEDGE_UNANSWERED_SHARE;
use crate::{
    DedupScope, Instance, Outbox, PrimaryAffinity, Repeat,
    state::{AnswerContext, Execution, NEVER, Session},
};

impl Instance {
    /// Sends a statement to a node, if permitted. Returns whether it did.
    pub(super) fn execute(&mut self, stmt: u32, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.execute_for(stmt, id, now, false, out)
    }

    /// Sends a statement, or an inquiry about an earlier execution of it (`is_inquiry`), to a node, if permitted.
    /// Returns whether it did.
    pub(super) fn execute_for(
        &mut self,
        stmt: u32,
        id: u32,
        now: f64,
        is_inquiry: bool,
        out: &mut dyn Outbox,
    ) -> bool {
        let s = &self.statements[&stmt];
        if !self.permitted(s, id, now, is_inquiry) {
            return false;
        }
        let term = self.term(s.group);
        let length = self.length(s.share_indices[0]);
        let group = self.groups.get_mut(&s.group).expect("known");
        let limit = s.last_useful_at() - now;
        group.waiting.remove(&stmt);
        if s.session != 0 && group.primary == Some(id) {
            self.sessions
                .entry(s.session)
                .or_insert(Session {
                    affinity: PrimaryAffinity::default(),
                    last_write_lsn: NEVER,
                })
                .affinity
                .touch(now);
        }
        self.succession
            .iter_mut()
            .for_each(|succession| succession.record_sent(stmt));
        self.record_send(stmt, id, now);
        let execution = Execution {
            term,
            is_inquiry,
            length,
            ..Execution::new(id, now)
        };
        self.statements
            .get_mut(&stmt)
            .expect("open")
            .executions
            .push(execution);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.add_in_flight(now, length);
        if node.suspected_at.is_some() {
            node.last_trial_at = now;
            node.trials += 1;
        }
        node.recent_sends.push_back(now);
        while node
            .recent_sends
            .pop_front_if(|at| now - *at >= self.cold_start.window_s)
            .is_some()
        {}
        if is_inquiry {
            out.inquire(stmt, id, limit);
        } else {
            out.execute(stmt, id, limit);
        }
        true
    }

    /// Gives a statement the router's own final answer: a rejection if a retry by its client is harmless, otherwise
    /// an abort. Every such answer leaves from here.
    pub(super) fn conclude(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let retry_is_harmless = match s.workload.repeat {
            Repeat::Deduplicated { scope, .. } => scope == DedupScope::Anywhere,
            repeat => repeat == Repeat::Idempotent,
        };
        // A retry of a read that owes a lost commit would be as futile.
        let requires_lost_commit = self.requires_lost_commit(s);
        if !requires_lost_commit && (retry_is_harmless || s.may_have_run().next().is_none()) {
            // A retry is a new statement with a new SLO time, which its client no longer has.
            out.reject(stmt, s.retry_after(&self.limits));
        } else {
            out.abort(stmt);
        }
        self.count_given_up(stmt, now);
        self.forget(stmt, now, out)
    }

    /// Removes a statement, with its timers and its place in the queue. Its executions in flight count as
    /// unanswered, and are cancelled unless the answer is streaming.
    pub(super) fn forget(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let Some(s) = self.statements.remove(&stmt) else {
            return false;
        };
        s.timers(stmt, self.limits.clock_step_s)
            .iter()
            .for_each(|at| _ = self.timers.remove(at));
        self.groups
            .get_mut(&s.group)
            .expect("known")
            .waiting
            .remove(&stmt);
        self.succession
            .iter_mut()
            .for_each(|succession| succession.forget_statement(s.group, stmt));
        for (execution, e) in (0..).zip(&s.executions).filter(|e| e.1.outcome.is_none()) {
            self.learn_lateness(self.late(e, now), true);
            let context = AnswerContext {
                mean_in_flight: self.expected_arrivals(s.group, e.node)
                    * self.nodes[&e.node].latency_s,
                max_congestion: self.max_congestion(),
                length: Some(e.length),
                answers_get_lost: self.unanswered_share > HEDGE_UNANSWERED_SHARE,
            };
            let node = self.nodes.get_mut(&e.node).expect("listed");
            node.record_unanswered(now, (now - e.sent_at) / s.workload.slo, context);
            if self.limits.cancellation && s.deadline.is_finite() {
                out.cancel(stmt, execution);
            }
        }
        true
    }
}
