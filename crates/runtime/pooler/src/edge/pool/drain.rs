//! The answer of a statement that nobody waits for any more: read to its end, so that its connection is of use again.

use super::Pool;
use super::checkout::Checkout;
use crate::clock;
use crate::edge::link::Link;
use crate::edge::net::{self, Scratch};
use badgerstream_line_protocol::{Answer, Outcome, State};

/// An answer that nobody waits for any more is awaited for so long, in seconds.
const DRAIN_S: f64 = 3.0;
/// An answer that is overdue and that nobody waits for any more is awaited for so long, in seconds.
const OVERDUE_DRAIN_S: f64 = 0.5;

impl Checkout {
    /// Reads the pending answer in a task of its own. The server works on it still: its place is taken until it answers,
    /// and breaking it off would waste what it did. If the answer is overdue it has most likely been given, and the place
    /// is free.
    pub(super) fn drain(&mut self, mut link: Link) {
        let overdue = self.is_overtaken();
        let longest = if overdue { OVERDUE_DRAIN_S } else { DRAIN_S };
        let (edge, pool) = (self.edge.clone(), self.pool.clone());
        let slot = self.slot.take().filter(|_| !overdue);
        let unanswered = self.unanswered.take();
        let sent = unanswered
            .as_ref()
            .filter(|_| self.takes_slot)
            .map(|u| u.sent);
        let permits = (self.conn.take(), slot, unanswered);
        let tasks = edge.tasks.clone();
        let work = async move {
            let limit = clock::now() + longest;
            if let Some(Ok(outcome)) =
                net::until(limit, discard_answer(&mut link, &edge.scratch)).await
            {
                pool.conclude_drain(link, &outcome, sent);
            }
            drop(permits);
        };
        tasks.spawn(work).detach();
    }
}

impl Pool {
    /// An answer has come after all.
    fn conclude_drain(&self, link: Link, outcome: &Outcome, sent: Option<f64>) {
        self.mark_answered(outcome.position);
        if let Some(sent) = sent {
            // It was not lost but slow, as others are then.
            self.record_answer(sent);
        }
        if outcome.state == State::Idle && outcome.error.is_none() && link.is_clean() {
            self.put_idle(link);
        }
    }
}

async fn discard_answer(link: &mut Link, scratch: &Scratch) -> Result<Outcome, ()> {
    loop {
        let mut answer = Answer::default();
        if let Some(outcome) = link.answer(&mut answer, scratch).await? {
            return Ok(outcome);
        }
    }
}
