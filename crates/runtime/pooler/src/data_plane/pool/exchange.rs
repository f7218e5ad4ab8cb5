//! Sends a statement on a checked-out connection and reads the answer.

use super::Pool;
use super::checkout::{Checkout, Reuse};
use super::health::UnansweredStatement;
use crate::clock;
use crate::net;
use badgerstream_line_protocol::{
    ErrorCode, ExecutionOutcome, ResponseReader, StatementResult, TransactionState,
};

/// Interval at which a late answer is checked for having been overtaken, in seconds.
const OVERDUE_CHECK_INTERVAL_S: f64 = 0.05;

/// Why a statement has no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::data_plane) enum ExchangeError {
    /// No byte of it was sent.
    Unsent,
    /// At least a part of it was sent, and the connection broke.
    Broken,
    /// It was sent, and no answer came in time.
    TimedOut,
    /// It was sent, and its answer is most likely lost: it is overdue, while a statement sent later
    /// has been answered.
    Overdue,
    /// A part of its answer was forwarded to a client that has disconnected.
    ClientDisconnected,
}

impl ExchangeError {
    /// Returns whether the statement may have run.
    pub(in crate::data_plane) fn execution_outcome(self) -> ExecutionOutcome {
        match self {
            Self::Unsent => ExecutionOutcome::NotRun,
            Self::Broken | Self::TimedOut | Self::Overdue | Self::ClientDisconnected => {
                ExecutionOutcome::MayHaveRun
            }
        }
    }
}

impl Checkout {
    /// Sends a statement and waits for its answer until `give_up_at` (seconds of the monotonic
    /// clock). Afterwards `answer` holds the bytes to forward. Earlier parts of a long answer are
    /// passed to `forward`, which returns whether the client is still connected.
    pub(in crate::data_plane) async fn exchange(
        &mut self,
        line: &[u8],
        answer: &mut ResponseReader,
        give_up_at: f64,
        forward: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<StatementResult, ExchangeError> {
        let Some(connection) = &mut self.connection else {
            return Err(ExchangeError::Unsent);
        };
        let sent_at = clock::now();
        // While the lease is valid no other server is primary, so this server's log holds every
        // acknowledged commit: the position in its answer is a freshness proof.
        let under_lease = self.data_plane.is_leased(&self.pool.server, sent_at);
        if self.reuse == Reuse::Clean {
            self.reuse = Reuse::Pending;
        }
        match net::with_deadline(give_up_at, connection.send(line)).await {
            Some(Ok(())) => {}
            failed => {
                self.connection = None;
                self.pool.mark_failing();
                let is_unsent = matches!(failed, Some(Err(error)) if error.nothing_written);
                return Err(if is_unsent {
                    ExchangeError::Unsent
                } else {
                    ExchangeError::Broken
                });
            }
        }
        // The router's own statements take no slot: their answers don't count as latency.
        self.takes_slot = !line.starts_with(b"QUERY - ");
        self.unanswered = Some(UnansweredStatement::new(&self.pool, sent_at, under_lease));
        self.await_answer(answer, give_up_at, forward).await
    }

    /// Like [`Checkout::exchange`], but fails with [`ExchangeError::Overdue`] as soon as the answer
    /// is most likely lost. `target_s` is the latency target of the statement, in seconds.
    pub(in crate::data_plane) async fn exchange_until_overdue(
        &mut self,
        line: &[u8],
        answer: &mut ResponseReader,
        target_s: f64,
        give_up_at: f64,
        forward: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<StatementResult, ExchangeError> {
        let overdue_at = |now: f64, pool: &Pool| {
            (now + pool.latency().overdue_after_s(target_s)).min(give_up_at)
        };
        let first_check = overdue_at(clock::now(), &self.pool);
        let mut outcome = self.exchange(line, answer, first_check, &forward).await;
        while outcome == Err(ExchangeError::TimedOut) {
            let now = clock::now();
            if now >= give_up_at {
                break;
            }
            if self.is_overtaken() {
                return Err(ExchangeError::Overdue);
            }
            // As long as no later statement has been answered, the server may just be slow.
            let next_check = overdue_at(now, &self.pool).min(now + OVERDUE_CHECK_INTERVAL_S);
            outcome = self.await_answer(answer, next_check, &forward).await;
        }
        outcome
    }

    /// Waits until `give_up_at` (seconds of the monotonic clock) for the answer to the statement
    /// that was sent; may be called again after it has timed out.
    pub(in crate::data_plane) async fn await_answer(
        &mut self,
        answer: &mut ResponseReader,
        give_up_at: f64,
        forward: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<StatementResult, ExchangeError> {
        let Some(connection) = &mut self.connection else {
            return Err(ExchangeError::Broken);
        };
        loop {
            let read = connection.read_answer(answer, &self.data_plane.scratch);
            match net::with_deadline(give_up_at, read).await {
                None => return Err(ExchangeError::TimedOut),
                Some(Err(_)) => {
                    self.connection = None;
                    self.unanswered = None;
                    self.pool.mark_failing();
                    return Err(ExchangeError::Broken);
                }
                Some(Ok(None)) => {
                    if let Some(unanswered) = &mut self.unanswered {
                        unanswered.partially_forwarded = true;
                    }
                    if !forward(&answer.raw).await {
                        return Err(ExchangeError::ClientDisconnected);
                    }
                    answer.raw.clear();
                }
                Some(Ok(Some(outcome))) => {
                    self.conclude(&outcome);
                    return Ok(outcome);
                }
            }
        }
    }

    /// Records the server's health, latency and position from a complete answer, and decides
    /// whether the connection can be reused.
    fn conclude(&mut self, outcome: &StatementResult) {
        self.pool.mark_answered(outcome.position);
        let is_idle = outcome.state == TransactionState::Idle;
        if let Some(unanswered) = self.unanswered.take() {
            if self.takes_slot {
                self.pool.record_answer(unanswered.sent_at);
            } else {
                self.pool.record_round_trip(unanswered.sent_at);
            }
            if unanswered.under_lease && is_idle {
                self.data_plane.record_answer_position(
                    &self.pool.server,
                    unanswered.sent_at,
                    outcome.position,
                );
            }
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        // `UNKNOWN` shows that the server doesn't hold the session state recorded for the
        // connection.
        let is_clean =
            is_idle && connection.is_clean() && outcome.error != Some(ErrorCode::Unknown);
        self.reuse = if is_clean {
            Reuse::Clean
        } else {
            Reuse::Closed
        };
        let is_committed = self.commits && outcome.error.is_none();
        if is_idle && std::mem::take(&mut self.changed_in_transaction) && !is_committed {
            // The protocol doesn't specify whether a rollback also undoes `SET` and `PREPARE`.
            connection.state.mark_uncertain();
        }
    }

    /// Returns whether the server has answered a statement that was sent after this one, so that
    /// the answer to this one is most likely lost.
    pub(in crate::data_plane) fn is_overtaken(&self) -> bool {
        self.unanswered.as_ref().is_some_and(|unanswered| {
            !unanswered.partially_forwarded
                && self.pool.newest_answered_sent_at.get() > unanswered.sent_at
        })
    }
}
