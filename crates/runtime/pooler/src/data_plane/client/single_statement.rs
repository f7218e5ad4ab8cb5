//! A statement outside a transaction: sent to one server after the other until one answers.
//!
//! Reads are retried and hedged. A write is retried only after a server has said, or it is certain,
//! that it has not run; otherwise it is reported as in doubt.

use super::placement::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S, RouteTerms};
use crate::data_plane::pool::ExchangeError;
use crate::view::Server;
use badgerstream_line_protocol::{
    ErrorCode, ExecutionOutcome, ResponseReader, StatementKind, StatementResult, TransactionState,
};
use badgerstream_pooling::choice::Access;
use futures_lite::future::or;
use std::cell::Cell;
use std::future::pending;

/// How often a read is hedged: sent again while its answer is most likely lost.
const MAX_HEDGED_READS: usize = 2;
/// How many attempts at a read may fail at a server before the client is told.
const MAX_FAILED_READS: u32 = 2;
/// The shortest time that a replica has to answer a read at the first attempt, in seconds.
const MIN_FIRST_ATTEMPT_S: f64 = 0.15;
/// The shortest time to wait for a placement after the first attempt, in seconds.
const MIN_PLACEMENT_WAIT_S: f64 = 0.05;

/// A statement and its attempts.
struct Attempts<'a> {
    statement: &'a Statement<'a>,
    request: PlacementRequest<'a>,
    is_read: bool,
    /// When the client must have a response, in seconds.
    deadline: f64,
    /// Until when the first placement is waited for, in seconds.
    first_placement_until: f64,
    /// Ids of servers that were tried in vain.
    tried_servers: Vec<String>,
    hedged_reads: usize,
    /// A connection for the next attempt, which was placed while the last answer was awaited.
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
            first_placement_until: arrived_at + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION,
            tried_servers: Vec::new(),
            hedged_reads: 0,
            hedged_placement: None,
        }
    }

    /// Until when a placement is waited for, in seconds.
    fn placement_until(&self, attempt: u32) -> f64 {
        match attempt {
            0 => self.first_placement_until,
            _ => self
                .first_placement_until
                .max(clock::now() + MIN_PLACEMENT_WAIT_S)
                .min(self.deadline),
        }
    }

    /// Until when an answer is waited for, in seconds. At the first attempt a silent replica is
    /// given up early, so that there is time for a retry elsewhere.
    fn answer_until(&self, now: f64, at_primary: bool, attempt: u32) -> f64 {
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

/// What becomes of a statement after an attempt.
enum Attempt {
    /// The client is answered.
    Done(Response),
    /// Another server is tried than the one of this id.
    Retry(String),
    /// The connection doesn't know the prepared statement: there is no further attempt.
    NotPrepared,
}

/// A statement that was sent, and what came of it.
struct Exchange {
    answer: ResponseReader,
    /// A part of the answer has been forwarded to the client.
    is_partially_forwarded: bool,
    /// The primary term of the grant under which it was sent; none at a replica.
    granted_term: Option<u64>,
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
        let until = attempts.placement_until(attempt);
        self.place(&attempts.request, &attempts.tried_servers, until)
            .await
    }

    /// Sends the statement to one server, and decides by its answer.
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
        let granted_term = self
            .data_plane
            .granted_term(&placement.checkout.pool.server, now);
        let give_up_at = attempts.answer_until(now, at_primary, attempt);
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
            granted_term,
            outcome,
        }
    }

    /// Waits on for an answer that is overdue. Ends with `Overdue` if a read can be hedged: another
    /// connection was placed before the answer came.
    async fn wait_or_hedge(
        &self,
        attempts: &mut Attempts<'_>,
        placement: &mut Placement,
        answer: &mut ResponseReader,
        forward: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<StatementResult, ExchangeError> {
        // It most likely takes no slot at the server any more. Its answer is still used if it comes.
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

    /// The server has answered.
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
                if !attempts.is_read && !self.is_granted_still(&pool.server, exchange.granted_term)
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
                // Not kept during the backoff.
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

    /// There is no complete answer.
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
            // Half an answer can't be taken back: the client sees its connection close.
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

    /// Whether the grant under which a write was sent is still in force when its answer comes. Once
    /// it was given back, the next primary may have been chosen without this write, so a success
    /// that comes later must not be acknowledged to the client.
    pub(super) fn is_granted_still(&self, server: &Server, granted_term: Option<u64>) -> bool {
        granted_term.is_some() && self.data_plane.granted_term(server, clock::now()) == granted_term
    }

    /// The server's answer as the response. Should it leave the server's session in a transaction,
    /// that ends with its connection: the client is told that it is idle.
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
