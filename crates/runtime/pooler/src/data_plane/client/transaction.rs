//! Transactions: each begins at a server with its first statement, and runs on the same connection
//! to its end.

use super::placement::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S};
use crate::data_plane::pool::{Checkout, ExchangeError, PrepareFailed};
use badgerstream_line_protocol::{
    ErrorCode, ResponseReader, StatementKind, StatementResult, TransactionState,
};
use badgerstream_pooling::choice::Access;
use badgerstream_pooling::session::{Shape, Transaction, Values};

/// Timeout for beginning a transaction at one server, in seconds.
const BEGIN_TIMEOUT_S: f64 = 0.5;
/// Minimum time for which a transaction that has begun waits for its first slot, in seconds.
const MIN_ADMISSION_WAIT_S: f64 = 0.05;

impl ClientSession {
    /// Begins the open transaction at a server unless that has been done. `arrived_at` is when the
    /// statement that needs the server arrived, in seconds of the monotonic clock.
    ///
    /// # Errors
    /// The response to that statement.
    pub(super) async fn begin_at_server(
        &mut self,
        arrived_at: f64,
        shape: Option<&Shape>,
    ) -> Result<(), Response> {
        if self.checkout.is_some() {
            return Ok(());
        }
        let Transaction::Open {
            read_only,
            arrived_at: begin_arrived_at,
            ..
        } = self.session.transaction
        else {
            return Ok(());
        };
        let Some(terms) = self.route_terms() else {
            self.fail_transaction();
            return Err(error(
                ErrorCode::Aborted,
                "the database is gone",
                TransactionState::Failed,
            ));
        };
        let request = PlacementRequest {
            terms: &terms,
            access: if read_only {
                Access::Read
            } else {
                Access::Write
            },
            arrived_at: begin_arrived_at,
            waiting_since: arrived_at,
            shape,
            takes_slot: false,
        };
        match self.begin_with_retries(&request).await {
            Ok(checkout) => {
                self.checkout = Some(checkout);
                self.terms = Some(terms);
                Ok(())
            }
            Err(NoPlacement::ClientDisconnected) => Err(Response::ClientDisconnected),
            Err(NoPlacement::RetryAfter(seconds)) => {
                self.fail_transaction();
                Err(retry_later(
                    terms.bound_retry_after(seconds),
                    TransactionState::Failed,
                ))
            }
        }
    }

    /// Tries one server after the other until the open transaction has begun at one of them, and
    /// waits for its first slot there.
    async fn begin_with_retries(
        &mut self,
        request: &PlacementRequest<'_>,
    ) -> Result<Checkout, NoPlacement> {
        let terms = request.terms;
        let give_up_at = request.waiting_since + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION;
        let mut tried_servers = Vec::new();
        for attempt in 0..terms.max_attempts() {
            let placement = self.place(request, &tried_servers, give_up_at).await?;
            let pool = placement.checkout.pool.clone();
            let Some(mut checkout) = self.begin_on(placement, request, attempt).await else {
                tried_servers.push(pool.server.id.clone());
                continue;
            };
            let admission_terms =
                request.admission_terms(&pool, give_up_at.max(clock::now() + MIN_ADMISSION_WAIT_S));
            let admitted = checkout.acquire_first_slot(&admission_terms);
            let admitted = self
                .handle
                .until_rejection(admission_terms.give_up_at, admitted);
            if admitted.await == Some(true) {
                return Ok(checkout);
            }
            let wait_s = pool.estimated_wait(&admission_terms, clock::now());
            checkout.roll_back();
            return Err(NoPlacement::RetryAfter(wait_s));
        }
        Err(NoPlacement::RetryAfter(RETRY_AFTER_S))
    }

    /// Begins the open transaction on this connection. Returns `None` if another server is to be
    /// tried.
    async fn begin_on(
        &mut self,
        mut placement: Placement,
        request: &PlacementRequest<'_>,
        attempt: u32,
    ) -> Option<Checkout> {
        let at_primary = placement.proof.is_none();
        let line = match (placement.proof, request.access) {
            (Some(proof), _) => format!("QUERY - WAITPOS {proof} BEGIN FETCH\r\n"),
            (None, Access::Read) => "QUERY - BEGIN FETCH\r\n".to_owned(),
            (None, Access::Write) => "QUERY - BEGIN\r\n".to_owned(),
        };
        if at_primary {
            self.session.primary_affinity.touch(clock::now());
        }
        let deadline = request.waiting_since + request.terms.deadline_s;
        let give_up_at = (clock::now() + BEGIN_TIMEOUT_S).min(deadline);
        let mut answer = ResponseReader::default();
        let discard = async |_: &[u8]| true;
        // Nothing has run in the transaction, so once the answer is overdue it may begin at another
        // server.
        let begun = placement.checkout.exchange_until_overdue(
            line.as_bytes(),
            &mut answer,
            request.terms.target_s,
            give_up_at,
            discard,
        );
        let outcome = begun.await.ok()?;
        if outcome.error.is_none() && outcome.state == TransactionState::Open {
            return Some(placement.checkout);
        }
        if let (Some(ErrorCode::Lagging), Some(proof)) = (outcome.error, placement.proof) {
            placement.checkout.pool.mark_lagging(proof);
        }
        // Releases the connection before the backoff.
        drop(placement);
        if at_primary {
            self.back_off(attempt).await;
        }
        None
    }

    /// Runs a statement inside a transaction.
    pub(super) async fn run_in_transaction(&mut self, statement: &Statement<'_>) -> Response {
        let shape = statement.shape();
        if let Err(response) = self.begin_at_server(statement.arrived_at, shape).await {
            return response;
        }
        let (Some(checkout), Some(terms)) = (&mut self.checkout, &self.terms) else {
            return Response::ClientDisconnected;
        };
        let (target_s, deadline) = (terms.target_s, statement.arrived_at + terms.deadline_s);
        let Transaction::Open {
            read_only,
            has_written,
            ..
        } = &mut self.session.transaction
        else {
            return Response::ClientDisconnected;
        };
        // If the grant has changed since the transaction began, the transaction can't commit.
        let is_usable = *read_only
            || !self
                .data_plane
                .is_granted_elsewhere(&terms.service, &checkout.pool.server);
        let is_ready = is_usable && {
            let ready = prepare_and_admit(checkout, &self.session.values, shape);
            self.handle.until_rejection(deadline, ready).await == Some(Ok(()))
        };
        let line = is_ready.then(|| statement.line(checkout, "")).flatten();
        let Some(line) = line else {
            self.fail_transaction();
            return error(
                ErrorCode::Aborted,
                "the transaction was lost",
                TransactionState::Failed,
            );
        };
        if !*read_only {
            self.session.primary_affinity.touch(clock::now());
        }
        *has_written |= statement.kind == StatementKind::Put;
        let mut answer = ResponseReader::default();
        let client = &self.client;
        let forward = async |part: &[u8]| client.write(part).await;
        let exchange =
            checkout.exchange_until_overdue(&line, &mut answer, target_s, deadline, forward);
        let outcome = self.handle.until_final_answer(exchange).await;
        checkout.release_slot();
        self.conclude_in_transaction(answer.raw, outcome)
    }

    /// Updates the session after a statement inside the transaction, and returns the response.
    fn conclude_in_transaction(
        &mut self,
        raw: Vec<u8>,
        outcome: Result<StatementResult, ExchangeError>,
    ) -> Response {
        match outcome {
            Ok(outcome) => {
                match outcome.state {
                    TransactionState::Open => {}
                    TransactionState::Failed => self.session.transaction = Transaction::Failed,
                    TransactionState::Idle => {
                        self.checkout = None;
                        self.finish_transaction();
                    }
                }
                Response::Forward(raw)
            }
            Err(ExchangeError::ClientDisconnected) => Response::ClientDisconnected,
            Err(_) => {
                // Closing the connection rolls the transaction back, even if only the answer was
                // lost, so the client may begin again at once.
                self.checkout = None;
                self.fail_transaction();
                error(
                    ErrorCode::Aborted,
                    "the server was lost",
                    TransactionState::Failed,
                )
            }
        }
    }

    /// Rolls back the open transaction and marks it as failed: it then accepts only `COMMIT` and
    /// `ABORT`.
    pub(super) fn fail_transaction(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back();
        }
        self.session.transaction = Transaction::Failed;
        self.failure_reported = true;
    }

    /// Ends the transaction and rolls it back.
    pub(super) fn roll_back(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back();
        }
        self.finish_transaction();
    }

    /// Resets the session's state after the end of its transaction.
    pub(super) fn finish_transaction(&mut self) {
        self.session.transaction = Transaction::None;
        self.terms = None;
        self.failure_reported = true;
    }
}

/// Sets the session's state on the connection of a transaction, and waits for a slot.
async fn prepare_and_admit(
    checkout: &mut Checkout,
    values: &Values,
    shape: Option<&Shape>,
) -> Result<(), PrepareFailed> {
    checkout.prepare(values, shape).await?;
    checkout.acquire_slot().await;
    Ok(())
}
