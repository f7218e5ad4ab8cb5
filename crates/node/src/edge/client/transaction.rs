//! A transaction: begun at a server with its first statement, held there, and given up.

use super::ClientSession;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{BACKOFF_S, HOLD_FRACTION};
use crate::clock;
use crate::edge::net;
use crate::edge::place::{PlacementRequest, RETRY_AFTER_S};
use crate::edge::pool::ExchangeError;
use badgerstream_pooling::choice::Access;
use badgerstream_pooling::session::{Shape, Transaction};
use badgerstream_wire::{Answer, Code, Kind, State};
use futures_lite::future::or;

/// Beginning a transaction may take so long at one server, in seconds.
const BEGIN_TIMEOUT_S: f64 = 0.5;

impl ClientSession {
    /// Begins the open transaction at a server, if it isn't; what to tell the client if that can't be.
    pub(super) async fn begin_at_server(
        &mut self, arrived: f64, shape: Option<&Shape>,
    ) -> Result<(), Response> {
        if self.checkout.is_some() {
            return Ok(());
        }
        let Transaction::Open { fetch, arrived: began, .. } = self.session.transaction else { return Ok(()) };
        let Some(terms) = self.route_terms() else {
            self.fail_transaction();
            return Err(error(Code::Aborted, "the database is gone", State::Failed));
        };
        let give_up = arrived + terms.deadline * HOLD_FRACTION;
        let access = if fetch { Access::Read } else { Access::Write };
        let request = PlacementRequest {
            terms: &terms,
            access,
            arrived: began,
            waiting_since: arrived,
            shape,
            takes_slot: false,
        };
        let mut tried = Vec::new();
        let mut back = RETRY_AFTER_S;
        for attempt in 0..terms.tries.max(2) + 2 {
            let place = async { Some(self.edge.place(&request, &self.session, &tried, give_up).await) };
            let Some(placed) = or(place, self.client.until_closed(&self.edge)).await else {
                return Err(Response::ClientGone);
            };
            let mut placed = match placed {
                Ok(placed) => placed,
                Err(wait) => {
                    back = wait;
                    break;
                }
            };
            let primary = placed.proof.is_none();
            let line = match (placed.proof, fetch) {
                (Some(proof), _) => format!("QUERY - WAITPOS {proof} BEGIN FETCH\r\n"),
                (None, true) => "QUERY - BEGIN FETCH\r\n".to_owned(),
                (None, false) => "QUERY - BEGIN\r\n".to_owned(),
            };
            if primary {
                self.session.mark.touch(clock::now());
            }
            let at = (clock::now() + BEGIN_TIMEOUT_S).min(arrived + terms.deadline);
            let pool = placed.out.pool.clone();
            // Nothing has run in it yet: it may be begun once more as soon as its answer most likely is lost.
            let begun = placed
                .out
                .ask_patiently(
                    line.as_bytes(),
                    &mut Answer::default(),
                    terms.target,
                    at,
                    async |_: &[u8]| true,
                )
                .await;
            match begun {
                Ok(outcome) if outcome.error.is_none() && outcome.state == State::Open => {
                    let admission = request.admission(&pool, give_up.max(clock::now() + 0.05));
                    if !placed.out.enter_first(&admission).await {
                        back = pool.wait(&admission, clock::now());
                        placed.out.roll_back();
                        break;
                    }
                    self.checkout = Some(placed.out);
                    self.terms = Some(terms);
                    return Ok(());
                }
                Ok(outcome) => {
                    if let (Some(Code::Lagging), Some(proof)) = (outcome.error, placed.proof) {
                        pool.mark_lagging(proof);
                    }
                    drop(placed);
                    if primary {
                        net::sleep_until(clock::now() + BACKOFF_S * f64::from(1 << attempt.min(4))).await;
                    }
                }
                Err(_) => {}
            }
            tried.push(pool.server.id.clone());
        }
        self.fail_transaction();
        Err(retry_later(back.min(terms.deadline.max(RETRY_AFTER_S)), State::Failed))
    }

    /// A statement inside a transaction.
    pub(super) async fn run_in_transaction(&mut self, statement: &Statement<'_>) -> Response {
        let shape = statement.execute.map(|(shape, _)| shape);
        if let Err(response) = self.begin_at_server(statement.arrived, shape).await {
            return response;
        }
        let (Some(held), Some(terms)) = (&mut self.checkout, &self.terms) else {
            return Response::ClientGone;
        };
        let deadline = statement.arrived + terms.deadline;
        let Transaction::Open { fetch, wrote, .. } = &mut self.session.transaction else {
            return Response::ClientGone;
        };
        // What was begun elsewhere than where the lead is now can't be kept.
        let lead = {
            let view = self.edge.shared.view.borrow();
            view.grants.get(&*terms.service).is_none_or(|g| g.id == held.pool.server.id && !g.closing)
        };
        let ready = (*fetch || lead)
            && net::until(deadline, async {
                held.prepare(&self.session.values, shape).await?;
                held.enter().await;
                Ok::<(), ()>(())
            })
            .await
                == Some(Ok(()));
        let line = if ready { statement.line(held, "") } else { None };
        let Some(line) = line else {
            self.fail_transaction();
            return error(Code::Aborted, "the transaction was lost", State::Failed);
        };
        if !*fetch {
            self.session.mark.touch(clock::now());
        }
        *wrote |= statement.kind == Kind::Put;
        let mut answer = Answer::default();
        let client = &self.client;
        let outcome = held
            .ask_patiently(&line, &mut answer, terms.target, deadline, async |part: &[u8]| {
                client.write(part).await
            })
            .await;
        held.leave();
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
                Response::Forward(answer.raw)
            }
            Err(ExchangeError::ClientGone) => Response::ClientGone,
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
        if let Some(held) = self.checkout.take() {
            held.roll_back();
        }
        self.session.transaction = Transaction::Failed;
        self.failure_reported = true;
    }

    /// The end of a transaction that keeps nothing.
    pub(super) fn roll_back(&mut self) {
        if let Some(held) = self.checkout.take() {
            held.roll_back();
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
