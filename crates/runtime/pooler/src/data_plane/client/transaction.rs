//! A transaction: begun at a server with its first statement, held there, and given up.

use super::placement::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S, RouteTerms};
use crate::data_plane::pool::{Checkout, ExchangeError};
use badgerstream_line_protocol::{Answer, Code, Kind, Outcome, State};
use badgerstream_pooling::choice::Access;
use badgerstream_pooling::session::{Shape, Transaction};

/// Beginning a transaction may take so long at one server, in seconds.
const BEGIN_TIMEOUT_S: f64 = 0.5;
/// A transaction that was begun waits at least this long for a place to work, in seconds.
const MIN_ADMISSION_WAIT_S: f64 = 0.05;

impl ClientSession {
    /// Begins the open transaction at a server, if it isn't; what to answer the client if that can't be.
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
            arrived_at: began,
            ..
        } = self.session.transaction
        else {
            return Ok(());
        };
        let Some(terms) = self.route_terms() else {
            self.fail_transaction();
            return Err(error(Code::Aborted, "the database is gone", State::Failed));
        };
        let give_up_at = arrived_at + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION;
        let request = PlacementRequest {
            terms: &terms,
            access: if read_only {
                Access::Read
            } else {
                Access::Write
            },
            arrived_at: began,
            waiting_since: arrived_at,
            shape,
            takes_slot: false,
        };
        let mut tried_servers = Vec::new();
        let mut retry_after = RETRY_AFTER_S;
        for attempt in 0..terms.max_attempts() {
            let placement = match self.place(&request, &tried_servers, give_up_at).await {
                Ok(placement) => placement,
                Err(NoPlacement::ClientDisconnected) => return Err(Response::ClientDisconnected),
                Err(NoPlacement::RetryAfter(wait)) => {
                    retry_after = wait;
                    break;
                }
            };
            let pool = placement.checkout.pool.clone();
            let Some(mut checkout) = self
                .begin_on(placement, read_only, &terms, arrived_at, attempt)
                .await
            else {
                tried_servers.push(pool.server.id.clone());
                continue;
            };
            let admission_terms =
                request.admission_terms(&pool, give_up_at.max(clock::now() + MIN_ADMISSION_WAIT_S));
            let entered = checkout.acquire_first_slot(&admission_terms);
            if self
                .handle
                .until_rejection(admission_terms.give_up_at, entered)
                .await
                != Some(true)
            {
                retry_after = pool.estimated_wait(&admission_terms, clock::now());
                checkout.roll_back();
                break;
            }
            self.checkout = Some(checkout);
            self.terms = Some(terms);
            return Ok(());
        }
        self.fail_transaction();
        Err(retry_later(
            terms.bound_retry_after(retry_after),
            State::Failed,
        ))
    }

    /// Begins the open transaction on this connection; none if another is to be tried.
    async fn begin_on(
        &mut self,
        mut placement: Placement,
        read_only: bool,
        terms: &RouteTerms,
        arrived_at: f64,
        attempt: u32,
    ) -> Option<Checkout> {
        let primary = placement.proof.is_none();
        let line = match (placement.proof, read_only) {
            (Some(proof), _) => format!("QUERY - WAITPOS {proof} BEGIN FETCH\r\n"),
            (None, true) => "QUERY - BEGIN FETCH\r\n".to_owned(),
            (None, false) => "QUERY - BEGIN\r\n".to_owned(),
        };
        if primary {
            self.session.primary_affinity.touch(clock::now());
        }
        let limit = (clock::now() + BEGIN_TIMEOUT_S).min(arrived_at + terms.deadline_s);
        let mut answer = Answer::default();
        let discard = async |_: &[u8]| true;
        // Nothing has run in it yet: it may be begun once more as soon as its answer most likely is lost.
        let begun = placement.checkout.exchange_until_overdue(
            line.as_bytes(),
            &mut answer,
            terms.target_s,
            limit,
            discard,
        );
        let outcome = begun.await.ok()?;
        if outcome.error.is_none() && outcome.state == State::Open {
            return Some(placement.checkout);
        }
        if let (Some(Code::Lagging), Some(proof)) = (outcome.error, placement.proof) {
            placement.checkout.pool.mark_lagging(proof);
        }
        drop(placement);
        if primary {
            self.back_off(attempt).await;
        }
        None
    }

    /// Runs a statement inside a transaction.
    pub(super) async fn run_in_transaction(&mut self, statement: &Statement<'_>) -> Response {
        let shape = statement.execute.map(|(shape, _)| shape);
        if let Err(response) = self.begin_at_server(statement.arrived_at, shape).await {
            return response;
        }
        let (Some(checkout), Some(terms)) = (&mut self.checkout, &self.terms) else {
            return Response::ClientDisconnected;
        };
        let (target, deadline) = (terms.target_s, statement.arrived_at + terms.deadline_s);
        let Transaction::Open {
            read_only,
            has_written,
            ..
        } = &mut self.session.transaction
        else {
            return Response::ClientDisconnected;
        };
        // What was begun elsewhere than where the grant is now can't be kept.
        let usable = *read_only
            || !self
                .data_plane
                .is_granted_elsewhere(&terms.service, &checkout.pool.server);
        let ready = usable
            && self
                .handle
                .until_rejection(deadline, async {
                    checkout.prepare(&self.session.values, shape).await?;
                    checkout.acquire_slot().await;
                    Ok::<(), ()>(())
                })
                .await
                == Some(Ok(()));
        let line = if ready {
            statement.line(checkout, "")
        } else {
            None
        };
        let Some(line) = line else {
            self.fail_transaction();
            return error(Code::Aborted, "the transaction was lost", State::Failed);
        };
        if !*read_only {
            self.session.primary_affinity.touch(clock::now());
        }
        *has_written |= statement.kind == Kind::Put;
        let mut answer = Answer::default();
        let client = &self.client;
        let pass = async |part: &[u8]| client.write(part).await;
        let asked = checkout.exchange_until_overdue(&line, &mut answer, target, deadline, pass);
        let outcome = self.handle.until_final_answer(asked).await;
        checkout.release_slot();
        self.conclude_in_transaction(answer.raw, outcome)
    }

    /// A statement inside the transaction has ended.
    fn conclude_in_transaction(
        &mut self,
        raw: Vec<u8>,
        outcome: Result<Outcome, ExchangeError>,
    ) -> Response {
        match outcome {
            Ok(outcome) => {
                match outcome.state {
                    State::Open => {}
                    State::Failed => self.session.transaction = Transaction::Failed,
                    State::Idle => {
                        self.checkout = None;
                        self.finish_transaction();
                    }
                }
                Response::Forward(raw)
            }
            Err(ExchangeError::ClientDisconnected) => Response::ClientDisconnected,
            Err(_) => {
                // Closing its connection rolls back, so that its client may begin anew at once, also where it is but
                // the answer that most likely is lost.
                self.checkout = None;
                self.fail_transaction();
                error(Code::Aborted, "the server was lost", State::Failed)
            }
        }
    }

    /// The open transaction fails: nothing of it is kept.
    pub(super) fn fail_transaction(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back();
        }
        self.session.transaction = Transaction::Failed;
        self.failure_reported = true;
    }

    /// Ends the transaction and keeps nothing of it.
    pub(super) fn roll_back(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back();
        }
        self.finish_transaction();
    }

    /// The transaction is over.
    pub(super) fn finish_transaction(&mut self) {
        self.session.transaction = Transaction::None;
        self.terms = None;
        self.failure_reported = true;
    }
}
