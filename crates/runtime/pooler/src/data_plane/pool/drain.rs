//! The answer of a statement that nobody waits for any more: read to its end, so that its connection is of use again.

use super::Pool;
use super::checkout::Checkout;
use crate::clock;
use crate::data_plane::net::{self, Scratch};
use crate::data_plane::server_connection::ServerConnection;
use badgerstream_line_protocol::{Answer, Outcome, State};

/// An answer that nobody waits for any more is awaited for so long, in seconds.
const DRAIN_TIMEOUT_S: f64 = 3.0;
/// An answer that is overdue and that nobody waits for any more is awaited for so long, in seconds.
const OVERDUE_DRAIN_TIMEOUT_S: f64 = 0.5;

impl Checkout {
    /// Reads the pending answer in a task of its own. The server works on it still: its place is taken until it answers,
    /// and breaking it off would waste what it did. If the answer is overdue it has most likely been given, and the place
    /// is free.
    pub(super) fn drain(&mut self, mut connection: ServerConnection) {
        let overdue = self.is_overtaken();
        let longest = if overdue {
            OVERDUE_DRAIN_TIMEOUT_S
        } else {
            DRAIN_TIMEOUT_S
        };
        let (data_plane, pool) = (self.data_plane.clone(), self.pool.clone());
        let slot = self.slot_permit.take().filter(|_| !overdue);
        let unanswered = self.unanswered.take();
        let sent_at = unanswered
            .as_ref()
            .filter(|_| self.takes_slot)
            .map(|u| u.sent_at);
        let permits = (self.connection_permit.take(), slot, unanswered);
        let tasks = data_plane.tasks.clone();
        let work = async move {
            let limit = clock::now() + longest;
            if let Some(Ok(outcome)) =
                net::until(limit, discard_answer(&mut connection, &data_plane.scratch)).await
            {
                pool.conclude_drain(connection, &outcome, sent_at);
            }
            drop(permits);
        };
        tasks.spawn(work).detach();
    }
}

impl Pool {
    /// An answer has come after all.
    fn conclude_drain(
        &self,
        connection: ServerConnection,
        outcome: &Outcome,
        sent_at: Option<f64>,
    ) {
        self.mark_answered(outcome.position);
        if let Some(sent_at) = sent_at {
            // It was not lost but slow, as others are then.
            self.record_answer(sent_at);
        }
        if outcome.state == State::Idle && outcome.error.is_none() && connection.is_clean() {
            self.put_idle(connection);
        }
    }
}

async fn discard_answer(
    connection: &mut ServerConnection,
    scratch: &Scratch,
) -> Result<Outcome, ()> {
    loop {
        let mut answer = Answer::default();
        if let Some(outcome) = connection.read_answer(&mut answer, scratch).await? {
            return Ok(outcome);
        }
    }
}
