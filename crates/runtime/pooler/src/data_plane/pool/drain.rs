//! The answer of a statement that nobody waits for any more: read to its end, so that the
//! connection can be reused.

use super::Pool;
use super::checkout::Checkout;
use crate::clock;
use crate::data_plane::server_connection::{AnswerLost, ServerConnection};
use crate::net::{self, Scratch};
use badgerstream_line_protocol::{ResponseReader, StatementResult, TransactionState};

/// For how long an abandoned answer is awaited, in seconds.
const DRAIN_TIMEOUT_S: f64 = 3.0;
/// For how long an abandoned answer is awaited that is overdue already, in seconds.
const OVERDUE_DRAIN_TIMEOUT_S: f64 = 0.5;

impl Checkout {
    /// Reads the pending answer in a task of its own. The server still works on it: its slot is
    /// taken until it answers, and closing the connection would waste that work. If the answer is
    /// overdue, the server has most likely answered, and the slot is free.
    pub(super) fn drain(&mut self, mut connection: ServerConnection) {
        let is_overdue = self.is_overtaken();
        let timeout = if is_overdue {
            OVERDUE_DRAIN_TIMEOUT_S
        } else {
            DRAIN_TIMEOUT_S
        };
        let (data_plane, pool) = (self.data_plane.clone(), self.pool.clone());
        let slot_permit = self.slot_permit.take().filter(|_| !is_overdue);
        let unanswered = self.unanswered.take();
        let sent_at = unanswered
            .as_ref()
            .filter(|_| self.takes_slot)
            .map(|unanswered| unanswered.sent_at);
        let held_until_drained = (self.connection_permit.take(), slot_permit, unanswered);
        let tasks = data_plane.tasks.clone();
        let drain = async move {
            let give_up_at = clock::now() + timeout;
            let discarded = discard_answer(&mut connection, &data_plane.scratch);
            if let Some(Ok(outcome)) = net::until(give_up_at, discarded).await {
                pool.conclude_drain(connection, &outcome, sent_at);
            }
            drop(held_until_drained);
        };
        tasks.spawn(drain).detach();
    }
}

impl Pool {
    /// The answer has come. `sent_at` is when its statement was sent, if it took a slot.
    fn conclude_drain(
        &self,
        connection: ServerConnection,
        outcome: &StatementResult,
        sent_at: Option<f64>,
    ) {
        self.mark_answered(outcome.position);
        if let Some(sent_at) = sent_at {
            // It was not lost but slow, and so may be others.
            self.record_answer(sent_at);
        }
        if outcome.state == TransactionState::Idle
            && outcome.error.is_none()
            && connection.is_clean()
        {
            self.put_idle(connection);
        }
    }
}

async fn discard_answer(
    connection: &mut ServerConnection,
    scratch: &Scratch,
) -> Result<StatementResult, AnswerLost> {
    loop {
        let mut answer = ResponseReader::default();
        if let Some(outcome) = connection.read_answer(&mut answer, scratch).await? {
            return Ok(outcome);
        }
    }
}
