//! A statement outside a transaction.

use super::ClientSession;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use super::{BACKOFF_S, HOLD_FRACTION};
use crate::clock;
use crate::edge::net;
use crate::edge::place::{PlacementRequest, RETRY_AFTER_S};
use crate::edge::pool::ExchangeError;
use badgerstream_pooling::choice::Access;
use badgerstream_wire::{Answer, Code, Kind, Outcome, State, Verdict};
use futures_lite::future::or;
use std::cell::RefCell;
use std::future::pending;

/// How often a read is asked again since its answer most likely is lost.
const MAX_REISSUES: usize = 2;
/// The shortest wait before a read is asked elsewhere, in seconds.
const MIN_FIRST_TRY_S: f64 = 0.15;

impl ClientSession {
    /// A statement outside a transaction.
    pub(super) async fn run_single(&mut self, statement: &Statement<'_>) -> Response {
        let Some(terms) = self.route_terms() else { return error(Code::NoDb, &*self.database, State::Idle) };
        let reads = statement.kind == Kind::Fetch;
        let deadline = statement.arrived + terms.deadline;
        let give_up = statement.arrived + terms.deadline * HOLD_FRACTION;
        let access = if reads { Access::Read } else { Access::Write };
        let shape = statement.execute.map(|(shape, _)| shape);
        let arrived = statement.arrived;
        let request = PlacementRequest {
            terms: &terms,
            access,
            arrived,
            waiting_since: arrived,
            shape,
            takes_slot: true,
        };
        let mut tried = Vec::new();
        let mut back = RETRY_AFTER_S;
        let mut again = 0;
        let mut next = None;
        for attempt in 0..terms.tries.max(2) + 2 {
            let limit = if attempt == 0 { give_up } else { give_up.max(clock::now() + 0.05).min(deadline) };
            let mut placed = if let Some(placed) = next.take() {
                placed
            } else {
                let place = async { Some(self.edge.place(&request, &self.session, &tried, limit).await) };
                let Some(placed) = or(place, self.client.until_closed(&self.edge)).await else {
                    return Response::ClientGone;
                };
                match placed {
                    Ok(placed) => placed,
                    Err(wait) => {
                        back = wait;
                        break;
                    }
                }
            };
            let primary = placed.proof.is_none();
            let waitpos = placed.proof.map_or(String::new(), |p| format!("WAITPOS {p} "));
            let Some(line) = statement.line(&placed.out, &waitpos) else { break };
            let now = clock::now();
            if primary {
                self.session.mark.touch(now);
            }
            // A read is asked again as soon as its answer most likely is lost; elsewhere also if a replica is silent.
            let elsewhere = reads && !primary && attempt == 0;
            let first = (terms.target / 2.0).max(MIN_FIRST_TRY_S).min(terms.deadline / 3.0);
            let at = if elsewhere { (now + first).min(deadline) } else { deadline };
            let pool = placed.out.pool.clone();
            let mut answer = Answer::default();
            let mut passed = false;
            let (client, flag) = (&self.client, RefCell::new(&mut passed));
            let pass = async |part: &[u8]| {
                **flag.borrow_mut() = true;
                client.write(part).await
            };
            let mut outcome = placed.out.ask_patiently(&line, &mut answer, terms.target, at, &pass).await;
            if outcome == Err(ExchangeError::Overdue) {
                // It holds its place here no longer, since it most likely holds none there. Its answer is still
                // welcome; a read is asked again if another connection is had before.
                placed.out.leave();
                let more = reads && again < MAX_REISSUES;
                let elsewhere = async {
                    if !more {
                        return pending().await;
                    }
                    match self.edge.place(&request, &self.session, &tried, deadline).await {
                        Ok(placed) => Err(placed),
                        Err(_) => pending().await,
                    }
                };
                let wait = async { Ok(placed.out.wait(&mut answer, deadline, &pass).await) };
                match or(wait, elsewhere).await {
                    Ok(waited) => outcome = waited,
                    Err(placed) => {
                        next = Some(placed);
                        again += 1;
                    }
                }
            }
            let id = pool.server.id.clone();
            match outcome {
                Ok(outcome) => match outcome.error {
                    None => {
                        if !reads {
                            self.session.wrote(outcome.position);
                        }
                        return self.forward(answer.raw, &outcome);
                    }
                    Some(_) if passed => return self.forward(answer.raw, &outcome),
                    Some(code) if code.verdict() == Verdict::NotRun => {
                        if let (Code::Lagging, Some(proof)) = (code, placed.proof) {
                            pool.mark_lagging(proof);
                        }
                        log::debug!("event=not_run server={id} code={}", code.word());
                        drop(placed);
                        if primary {
                            net::sleep_until(clock::now() + BACKOFF_S * f64::from(1 << attempt.min(4))).await;
                        }
                    }
                    Some(Code::Failed) if reads && attempt < 2 => drop(placed),
                    Some(_) => return self.forward(answer.raw, &outcome),
                },
                Err(ExchangeError::ClientGone) => return Response::ClientGone,
                Err(_) if passed => return Response::ClientGone,
                Err(ExchangeError::Unsent) => {}
                Err(ExchangeError::Broken | ExchangeError::Silent | ExchangeError::Overdue) if !reads => {
                    log::info!("event=in_doubt server={id} database={}", self.database);
                    return error(Code::InDoubt, "no clear answer", State::Idle);
                }
                Err(ExchangeError::Broken) => {}
                Err(ExchangeError::Overdue) => {
                    log::debug!("event=asked_again server={id} database={}", self.database);
                }
                Err(ExchangeError::Silent) => {
                    if clock::now() >= deadline {
                        return error(Code::Timeout, "no answer", State::Idle);
                    }
                }
            }
            tried.push(id);
        }
        retry_later(back.min(terms.deadline.max(RETRY_AFTER_S)), State::Idle)
    }

    /// A server's answer outside a transaction: should it say another state, that ends with its connection.
    pub(super) fn forward(&self, mut raw: Vec<u8>, outcome: &Outcome) -> Response {
        if outcome.state != State::Idle
            && let Some(at) = raw.windows(7).rposition(|w| w.starts_with(b"\nIDLE "))
        {
            raw.truncate(at + 1);
            raw.extend_from_slice(b"IDLE I -\r\n");
        }
        Response::Forward(raw)
    }
}
