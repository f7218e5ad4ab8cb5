//! Reads the answer to a statement that no client waits for any more to its end, so that the
//! connection can be reused.

use super::Pool;
use super::checkout::Checkout;
use crate::clock;
use crate::data_plane::server_connection::{AnswerLost, ServerConnection};
use crate::net::{self, Scratch};
use badgerstream_line_protocol::{ResponseReader, StatementResult, TransactionState};

/// How long to wait for an abandoned answer, in seconds.
const DRAIN_TIMEOUT_S: f64 = 3.0;
/// How long to wait for an abandoned answer that is already overdue, in seconds.
const OVERDUE_DRAIN_TIMEOUT_S: f64 = 0.5;

impl Checkout {
    /// Reads the pending answer in a separate task. The server still works on the statement, so the
    /// slot stays taken until the answer arrives, and closing the connection would waste that work.
    /// If the answer is overdue, the server has most likely sent it, so the slot is released at
    /// once.
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
            if let Some(Ok(outcome)) = net::with_deadline(give_up_at, discarded).await {
                pool.conclude_drain(connection, &outcome, sent_at);
            }
            drop(held_until_drained);
        };
        tasks.spawn(drain).detach();
    }
}

impl Pool {
    /// Records an abandoned answer that has arrived, and keeps the connection if it is clean.
    /// `sent_at` is when the statement was sent, if it took a slot.
    fn conclude_drain(
        &self,
        connection: ServerConnection,
        outcome: &StatementResult,
        sent_at: Option<f64>,
    ) {
        self.mark_answered(outcome.position);
        if let Some(sent_at) = sent_at {
            // The answer was slow, not lost: others may be slow too, so it counts as latency.
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
