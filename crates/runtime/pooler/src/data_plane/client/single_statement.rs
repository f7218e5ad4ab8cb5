//! Statements outside a transaction: each is sent to one server after the other until one answers.
//!
//! Reads are retried and hedged. A write is retried only if it certainly has not run: it was not
//! sent, or the server has said so. Otherwise it is reported as in doubt.

use super::placement::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S, RouteTerms};
use crate::data_plane::pool::ExchangeError;
use crate::data_plane::service_state::WriteGrant;
use crate::view::Server;
use badgerstream_line_protocol::{
    ErrorCode, ExecutionOutcome, Position, ResponseReader, StatementKind, StatementResult,
    TransactionState,
};
use badgerstream_pooling::choice::Access;
use futures_lite::future::or;
use std::cell::Cell;
use std::future::pending;

/// Maximum number of times that a read is hedged: sent again because its answer is most likely
/// lost.
const MAX_HEDGED_READS: usize = 2;
/// Maximum number of attempts at a read that fail with `FAILED` and are retried.
const MAX_FAILED_READS: u32 = 2;
/// Minimum time given to a replica to answer the first attempt at a read, in seconds, unless the
/// deadline requires less.
const MIN_FIRST_ATTEMPT_S: f64 = 0.15;
/// Minimum time to wait for a placement after the first attempt, in seconds.
const MIN_PLACEMENT_WAIT_S: f64 = 0.05;

/// A statement and the state of its attempts.
struct Attempts<'a> {
    statement: &'a Statement<'a>,
    request: PlacementRequest<'a>,
    is_read: bool,
    /// When the client must have a response, in seconds of the monotonic clock.
    deadline: f64,
    /// Deadline for the first placement, in seconds of the monotonic clock.
    first_placement_deadline: f64,
    /// Ids of the servers at which an attempt has failed.
    tried_servers: Vec<String>,
    hedged_reads: usize,
    /// A connection for the next attempt, obtained while the last answer was awaited.
    hedged_placement: Option<Placement>,
}

impl<'a> Attempts<'a> {
    fn new(statement: &'a Statement<'a>, terms: &'a RouteTerms) -> Self {
        let is_read = statement.kind == StatementKind::Fetch;
        let arrived_at = statement.arrived_at;
        Self {
            statement,
            request: PlacementRequest {
                terms,
                access: if is_read { Access::Read } else { Access::Write },
                arrived_at,
                waiting_since: arrived_at,
                shape: statement.shape(),
                takes_slot: true,
            },
            is_read,
            deadline: arrived_at + terms.deadline_s,
            first_placement_deadline: arrived_at + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION,
            tried_servers: Vec::new(),
            hedged_reads: 0,
            hedged_placement: None,
        }
    }

    /// Returns the deadline for a placement, in seconds of the monotonic clock.
    fn placement_deadline(&self, attempt: u32) -> f64 {
        match attempt {
            0 => self.first_placement_deadline,
            _ => self
                .first_placement_deadline
                .max(clock::now() + MIN_PLACEMENT_WAIT_S)
                .min(self.deadline),
        }
    }

    /// Returns the deadline for an answer, in seconds of the monotonic clock. At the first attempt
    /// a silent replica gets a shorter deadline, so that there is time for a retry at another
    /// server.
    fn answer_deadline(&self, now: f64, at_primary: bool, attempt: u32) -> f64 {
        if !self.is_read || at_primary || attempt > 0 {
            return self.deadline;
        }
        let terms = self.request.terms;
        let first_attempt_s = (terms.target_s / 2.0)
            .max(MIN_FIRST_ATTEMPT_S)
            .min(terms.deadline_s / 3.0);
        (now + first_attempt_s).min(self.deadline)
    }
}

/// The result of one attempt at a statement.
enum Attempt {
    /// The statement has ended with this response.
    Done(Response),
    /// The attempt at the server with this id has failed; another server is tried.
    Retry(String),
    /// The statement is not prepared on the connection; there is no further attempt.
    NotPrepared,
}

/// A statement that was sent, and its answer or failure.
struct Exchange {
    answer: ResponseReader,
    /// A part of the answer has been forwarded to the client.
    is_partially_forwarded: bool,
    /// The grant under which it was sent; `None` at a replica.
    sent_under: Option<WriteGrant>,
    outcome: Result<StatementResult, ExchangeError>,
}

impl ClientSession {
    /// Runs a statement outside a transaction.
    pub(super) async fn run_single(&mut self, statement: &Statement<'_>) -> Response {
        let Some(terms) = self.route_terms() else {
            return error(ErrorCode::NoDb, &*self.database, TransactionState::Idle);
        };
        let mut attempts = Attempts::new(statement, &terms);
        let mut retry_after_s = RETRY_AFTER_S;
        for attempt in 0..terms.max_attempts() {
            let placement = match self.next_placement(&mut attempts, attempt).await {
                Ok(placement) => placement,
                Err(NoPlacement::ClientDisconnected) => return Response::ClientDisconnected,
                Err(NoPlacement::RetryAfter(seconds)) => {
                    retry_after_s = seconds;
                    break;
                }
            };
            match self.attempt(&mut attempts, placement, attempt).await {
                Attempt::Done(response) => return response,
                Attempt::Retry(server_id) => attempts.tried_servers.push(server_id),
                Attempt::NotPrepared => break,
            }
        }
        retry_later(
            terms.bound_retry_after(retry_after_s),
            TransactionState::Idle,
        )
    }

    async fn next_placement(
        &self,
        attempts: &mut Attempts<'_>,
        attempt: u32,
    ) -> Result<Placement, NoPlacement> {
        if let Some(placement) = attempts.hedged_placement.take() {
            return Ok(placement);
        }
        let give_up_at = attempts.placement_deadline(attempt);
        self.place(&attempts.request, &attempts.tried_servers, give_up_at)
            .await
    }

    /// Sends the statement to one server, and decides by its answer whether to retry.
    async fn attempt(
        &mut self,
        attempts: &mut Attempts<'_>,
        mut placement: Placement,
        attempt: u32,
    ) -> Attempt {
        let waitpos = placement
            .proof
            .map_or(String::new(), |proof| format!("WAITPOS {proof} "));
        let Some(line) = attempts.statement.line(&placement.checkout, &waitpos) else {
            return Attempt::NotPrepared;
        };
        let exchange = self
            .exchange(attempts, &mut placement, &line, attempt)
            .await;
        match exchange.outcome {
            Ok(outcome) => {
                self.conclude_answer(attempts, placement, attempt, exchange, &outcome)
                    .await
            }
            Err(failure) => self.conclude_failure(attempts, &placement, &exchange, failure),
        }
    }

    /// Sends the statement to one server and waits for its answer.
    async fn exchange(
        &mut self,
        attempts: &mut Attempts<'_>,
        placement: &mut Placement,
        line: &[u8],
        attempt: u32,
    ) -> Exchange {
        let at_primary = placement.proof.is_none();
        let now = clock::now();
        if at_primary {
            self.session.primary_affinity.touch(now);
        }
        let sent_under = self
            .data_plane
            .write_grant(&placement.checkout.pool.server, now);
        let give_up_at = attempts.answer_deadline(now, at_primary, attempt);
        let target_s = attempts.request.terms.target_s;
        let mut answer = ResponseReader::default();
        let is_partially_forwarded = Cell::new(false);
        let client = &self.client;
        let forward = async |part: &[u8]| {
            is_partially_forwarded.set(true);
            client.write(part).await
        };
        let exchange = placement.checkout.exchange_until_overdue(
            line,
            &mut answer,
            target_s,
            give_up_at,
            &forward,
        );
        let mut outcome = self.handle.until_final_answer(exchange).await;
        if outcome == Err(ExchangeError::Overdue) {
            let waited = self.wait_or_hedge(attempts, placement, &mut answer, &forward);
            outcome = self.handle.until_final_answer(waited).await;
        }
        Exchange {
            answer,
            is_partially_forwarded: is_partially_forwarded.get(),
            sent_under,
            outcome,
        }
    }

    /// Waits further for an overdue answer. For a read it obtains another connection meanwhile, and
    /// returns `Overdue` if that is ready before the answer, so that the read is hedged.
    async fn wait_or_hedge(
        &self,
        attempts: &mut Attempts<'_>,
        placement: &mut Placement,
        answer: &mut ResponseReader,
        forward: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<StatementResult, ExchangeError> {
        // The statement most likely takes no slot at the server any more. Its answer is still used
        // if it arrives.
        placement.checkout.release_slot();
        let may_hedge = attempts.is_read && attempts.hedged_reads < MAX_HEDGED_READS;
        let hedge = async {
            if !may_hedge {
                return pending().await;
            }
            let place = self.data_plane.place(
                &attempts.request,
                &self.session,
                &attempts.tried_servers,
                attempts.deadline,
            );
            match place.await {
                Ok(hedged) => Err(hedged),
                Err(_) => pending().await,
            }
        };
        let wait = async {
            Ok(placement
                .checkout
                .await_answer(answer, attempts.deadline, &forward)
                .await)
        };
        let first = or(wait, hedge).await;
        match first {
            Ok(outcome) => outcome,
            Err(hedged) => {
                attempts.hedged_placement = Some(hedged);
                attempts.hedged_reads += 1;
                Err(ExchangeError::Overdue)
            }
        }
    }

    /// Decides the result of an attempt that the server has answered.
    async fn conclude_answer(
        &mut self,
        attempts: &Attempts<'_>,
        placement: Placement,
        attempt: u32,
        exchange: Exchange,
        outcome: &StatementResult,
    ) -> Attempt {
        let pool = placement.checkout.pool.clone();
        let server_id = pool.server.id.clone();
        match outcome.error {
            None => {
                if !attempts.is_read
                    && !self.may_acknowledge(&pool.server, exchange.sent_under, outcome.position)
                {
                    return Attempt::Done(error(
                        ErrorCode::InDoubt,
                        "the primary changes",
                        TransactionState::Idle,
                    ));
                }
                if !attempts.is_read {
                    self.session.record_write(outcome.position);
                }
                Attempt::Done(self.forward(exchange.answer.raw, outcome))
            }
            Some(_) if exchange.is_partially_forwarded => {
                Attempt::Done(self.forward(exchange.answer.raw, outcome))
            }
            Some(code) if code.execution_outcome() == ExecutionOutcome::NotRun => {
                if let (ErrorCode::Lagging, Some(proof)) = (code, placement.proof) {
                    pool.mark_lagging(proof);
                }
                log::debug!(
                    "event=statement_not_run server={server_id} code={}",
                    code.as_str()
                );
                let at_primary = placement.proof.is_none();
                // Releases the connection before the backoff.
                drop(placement);
                if at_primary {
                    self.back_off(attempt).await;
                }
                Attempt::Retry(server_id)
            }
            Some(ErrorCode::Failed) if attempts.is_read && attempt < MAX_FAILED_READS => {
                Attempt::Retry(server_id)
            }
            Some(_) => Attempt::Done(self.forward(exchange.answer.raw, outcome)),
        }
    }

    /// Decides the result of an attempt without a complete answer.
    fn conclude_failure(
        &self,
        attempts: &Attempts<'_>,
        placement: &Placement,
        exchange: &Exchange,
        failure: ExchangeError,
    ) -> Attempt {
        let server_id = placement.checkout.pool.server.id.clone();
        let database = &self.database;
        match failure {
            ExchangeError::ClientDisconnected => {
                return Attempt::Done(Response::ClientDisconnected);
            }
            // A part of the answer has reached the client and can't be withdrawn: the client sees
            // its connection close.
            _ if exchange.is_partially_forwarded => {
                return Attempt::Done(Response::ClientDisconnected);
            }
            ExchangeError::Unsent => {}
            _ if !attempts.is_read
                && failure.execution_outcome() == ExecutionOutcome::MayHaveRun =>
            {
                log::info!("event=in_doubt server={server_id} database={database}");
                return Attempt::Done(error(
                    ErrorCode::InDoubt,
                    "no clear answer",
                    TransactionState::Idle,
                ));
            }
            ExchangeError::Broken => {}
            ExchangeError::Overdue => {
                log::debug!("event=answer_overdue server={server_id} database={database}");
            }
            ExchangeError::TimedOut => {
                if clock::now() >= attempts.deadline {
                    return Attempt::Done(error(
                        ErrorCode::Timeout,
                        "no answer",
                        TransactionState::Idle,
                    ));
                }
            }
        }
        Attempt::Retry(server_id)
    }

    /// Returns whether the success of a write may be passed on to the client: the grant under which
    /// it was sent is still in force. Once it was given back, the next primary may have been chosen
    /// without this write. A success that may be passed on is recorded, as the next primary must
    /// have everything up to this position.
    pub(super) fn may_acknowledge(
        &self,
        server: &Server,
        sent_under: Option<WriteGrant>,
        position: Option<Position>,
    ) -> bool {
        let present_term = self.data_plane.granted_term(server, clock::now());
        let Some(sent_under) = sent_under.filter(|grant| Some(grant.primary_term) == present_term)
        else {
            return false;
        };
        self.data_plane
            .record_acknowledged(&server.service, sent_under, position);
        true
    }

    /// Returns the server's answer as the response. If the answer leaves a transaction open at the
    /// server, closing the connection ends it, so the state reported to the client is idle.
    pub(super) fn forward(&self, mut raw: Vec<u8>, outcome: &StatementResult) -> Response {
        if outcome.state != TransactionState::Idle
            && let Some(newline) = raw.windows(7).rposition(|w| w.starts_with(b"\nIDLE "))
        {
            raw.truncate(newline + 1);
            raw.extend_from_slice(b"IDLE I -\r\n");
        }
        Response::Forward(raw)
    }
}
