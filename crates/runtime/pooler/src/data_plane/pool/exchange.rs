//! A statement and its answer on a connection in use.

use super::Pool;
use super::checkout::{Checkout, Reuse};
use super::health::Unanswered;
use crate::clock;
use crate::data_plane::net;
use badgerstream_line_protocol::{Answer, Code, Outcome, State, Verdict};

/// Between two looks at an answer that is late, in seconds.
const OVERDUE_CHECK_INTERVAL_S: f64 = 0.05;

/// Why a statement has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing of it was sent.
    Unsent,
    /// It was sent, in part at least, and the connection broke off.
    Broken,
    /// It was sent, and there is no answer yet.
    TimedOut,
    /// It was sent and the answer is overdue, while what was sent later is answered: lost, most likely.
    Overdue,
    /// A part of its answer was passed on to a client who has gone.
    ClientDisconnected,
}

impl ExchangeError {
    /// Whether the statement may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            ExchangeError::Unsent => Verdict::NotRun,
            ExchangeError::Broken
            | ExchangeError::TimedOut
            | ExchangeError::Overdue
            | ExchangeError::ClientDisconnected => Verdict::MayHaveRun,
        }
    }
}

impl Checkout {
    /// Sends a statement and waits for its outcome until this second. `answer` then holds what is to be passed on;
    /// long answers are passed on in parts by `pass`, which tells whether the client is still there.
    pub async fn exchange(
        &mut self,
        line: &[u8],
        answer: &mut Answer,
        at: f64,
        pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, ExchangeError> {
        let Some(connection) = &mut self.connection else {
            return Err(ExchangeError::Unsent);
        };
        let sent_at = clock::now();
        // Under the lease at this moment no other primary exists, so its log has all that was acknowledged.
        let leased = self.data_plane.is_leased(&self.pool.server, sent_at);
        if self.reuse == Reuse::Clean {
            self.reuse = Reuse::Pending;
        }
        match net::until(at, connection.send(line)).await {
            Some(Ok(())) => {}
            other => {
                self.connection = None;
                self.pool.mark_failing();
                return Err(if matches!(other, Some(Err(e)) if e.nothing_written) {
                    ExchangeError::Unsent
                } else {
                    ExchangeError::Broken
                });
            }
        }
        // What is our own takes no slot there: it tells nothing of the latency.
        self.takes_slot = !line.starts_with(b"QUERY - ");
        self.unanswered = Some(Unanswered::new(&self.pool, sent_at, leased));
        self.await_answer(answer, at, pass).await
    }

    /// As `ask`; `Overdue` as soon as the answer of a statement with this target (seconds) most likely is lost.
    pub async fn exchange_until_overdue(
        &mut self,
        line: &[u8],
        answer: &mut Answer,
        target: f64,
        at: f64,
        pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, ExchangeError> {
        let look = |now: f64, pool: &Pool| (now + pool.latency().overdue_after(target)).min(at);
        let first = look(clock::now(), &self.pool);
        let mut outcome = self.exchange(line, answer, first, &pass).await;
        while outcome == Err(ExchangeError::TimedOut) {
            let now = clock::now();
            if now >= at {
                break;
            }
            if self.is_overtaken() {
                return Err(ExchangeError::Overdue);
            }
            // Until others are answered nothing tells this one from them.
            let next = look(now, &self.pool).min(now + OVERDUE_CHECK_INTERVAL_S);
            outcome = self.await_answer(answer, next, &pass).await;
        }
        outcome
    }

    /// Waits on, until this second, for the outcome of what was asked and is `Silent`.
    pub async fn await_answer(
        &mut self,
        answer: &mut Answer,
        at: f64,
        pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, ExchangeError> {
        let Some(connection) = &mut self.connection else {
            return Err(ExchangeError::Broken);
        };
        loop {
            match net::until(at, connection.read_answer(answer, &self.data_plane.scratch)).await {
                None => return Err(ExchangeError::TimedOut),
                Some(Err(())) => {
                    self.connection = None;
                    self.unanswered = None;
                    self.pool.mark_failing();
                    return Err(ExchangeError::Broken);
                }
                Some(Ok(None)) => {
                    if let Some(asked) = &mut self.unanswered {
                        asked.partially_forwarded = true;
                    }
                    if !pass(&answer.raw).await {
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

    /// The answer is in: what it tells of the server, and whether the connection may be used by the next.
    fn conclude(&mut self, outcome: &Outcome) {
        self.pool.mark_answered(outcome.position);
        let idle = outcome.state == State::Idle;
        if let Some(asked) = self.unanswered.take() {
            if self.takes_slot {
                self.pool.record_answer(asked.sent_at);
            } else {
                self.pool.record_round_trip(asked.sent_at);
            }
            if asked.under_lease && idle {
                self.data_plane.record_answer_position(
                    &self.pool.server,
                    asked.sent_at,
                    outcome.position,
                );
            }
        }
        let Some(connection) = &mut self.connection else {
            return;
        };
        let clean = idle && connection.is_clean() && outcome.error != Some(Code::Unknown);
        self.reuse = if clean { Reuse::Clean } else { Reuse::Closed };
        let kept = self.commits && outcome.error.is_none();
        if idle && std::mem::take(&mut self.changed_in_transaction) && !kept {
            // Nobody has said whether an end that rolls back takes values back, too.
            connection.state.mark_uncertain();
        }
    }

    /// The server has answered what was sent after this statement, so that its answer may be lost.
    pub fn is_overtaken(&self) -> bool {
        self.unanswered.as_ref().is_some_and(|u| {
            !u.partially_forwarded && self.pool.newest_answered_sent_at.get() > u.sent_at
        })
    }
}
