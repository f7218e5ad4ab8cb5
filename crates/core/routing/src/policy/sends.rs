//! Sends and final answers: the one way to each, and what they leave behind.

use super::IN_VAIN;
use crate::{
    Instance, Mark, Outbox, Repeat, Within,
    state::{Execution, NEVER, Signs},
};

impl Instance {
    pub(super) fn execute(&mut self, stmt: u32, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.execute_for(stmt, id, now, false, out)
    }

    pub(super) fn execute_for(
        &mut self,
        stmt: u32,
        id: u32,
        now: f64,
        asks: bool,
        out: &mut dyn Outbox,
    ) -> bool {
        let s = &self.statements[&stmt];
        if !self.permitted(s, id, now, asks) {
            return false;
        }
        let (term, length) = (self.term(s.group), self.length(s.served_as[0]));
        let (group, limit) = (
            self.groups.get_mut(&s.group).expect("known"),
            s.last_use() - now,
        );
        group.waiting.remove(&stmt);
        if s.session != 0 && group.primary == Some(id) {
            self.sessions
                .entry(s.session)
                .or_insert((Mark::default(), NEVER))
                .0
                .touch(now);
        }
        self.succession
            .iter_mut()
            .for_each(|succession| succession.sent(stmt));
        self.record_send(stmt, id, now);
        let sent = Execution {
            term,
            asks,
            length,
            ..Execution::new(id, now)
        };
        self.statements
            .get_mut(&stmt)
            .expect("open")
            .executions
            .push(sent);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.enters(now, length);
        if node.suspected.is_some() {
            (node.trial_at, node.trials) = (now, node.trials + 1);
        }
        node.sends.push_back(now);
        while node
            .sends
            .pop_front_if(|at| now - *at >= self.cold.window)
            .is_some()
        {}
        if asks {
            out.inquire(stmt, id, limit);
        } else {
            out.execute(stmt, id, limit);
        }
        true
    }

    /// The one way to a final answer of ours: a rejection only where trying again is harmless, else an abort.
    pub(super) fn conclude(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let known = match s.kind.repeat {
            Repeat::Deduplicated { within, .. } => within == Within::Anywhere,
            repeat => repeat == Repeat::Idempotent,
        };
        let lost = self.owes_lost(s); // To come back for it would be as much in vain.
        if !lost && (known || s.may_have_run().next().is_none()) {
            // A retry comes as a new statement, with an SLO time that its client no longer has.
            out.reject(stmt, s.advised(&self.allowance));
        } else {
            out.abort(stmt);
        }
        self.note(stmt, now);
        self.forget(stmt, now, out)
    }

    pub(super) fn forget(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let Some(s) = self.statements.remove(&stmt) else {
            return false;
        };
        s.timers(stmt, self.allowance.step)
            .iter()
            .for_each(|at| _ = self.timers.remove(at));
        self.groups
            .get_mut(&s.group)
            .expect("known")
            .waiting
            .remove(&stmt);
        self.succession
            .iter_mut()
            .for_each(|succession| succession.leave(s.group, stmt));
        for (execution, e) in (0..).zip(&s.executions).filter(|e| e.1.ended.is_none()) {
            self.learn(self.late(e, now), true);
            let usual = self.asked(s.group, e.node) * self.nodes[&e.node].pace;
            let (strain, lossy) = (self.most_strain(), self.in_vain > IN_VAIN);
            let signs = Signs {
                usual,
                strain,
                length: Some(e.length),
                lossy,
            };
            let node = self.nodes.get_mut(&e.node).expect("listed");
            node.unanswered(now, (now - e.sent) / s.kind.slo, signs);
            if self.allowance.cancelling && s.due.is_finite() {
                out.cancel(stmt, execution);
            }
        }
        true
    }
}
