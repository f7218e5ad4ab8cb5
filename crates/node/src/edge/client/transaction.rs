//! A transaction: begun at a server with its first statement, held there, and given up.

use super::Talk;
use super::reply::{Told, come_back, error};
use super::statement::Statement;
use super::{HOLD, PAUSE_S};
use crate::clock;
use crate::edge::net;
use crate::edge::place::{COME_BACK_S, Want};
use crate::edge::pool::Lost;
use badgerstream_pooling::choice::Class;
use badgerstream_pooling::session::{Shape, Transaction};
use badgerstream_wire::{Answer, Code, Kind, State};
use futures_lite::future::or;

/// Beginning a transaction may take so long at one server, in seconds.
const BEGIN_S: f64 = 0.5;

impl Talk {
    /// Begins the open transaction at a server, if it isn't; what to tell the client if that can't be.
    pub(super) async fn begin(&mut self, arrived: f64, shape: Option<&Shape>) -> Result<(), Told> {
        if self.held.is_some() {
            return Ok(());
        }
        let Transaction::Open { fetch, arrived: began, .. } = self.session.transaction else { return Ok(()) };
        let Some(terms) = self.bind() else {
            self.fail();
            return Err(error(Code::Aborted, "the database is gone", State::Failed));
        };
        let give_up = arrived + terms.deadline * HOLD;
        let class = if fetch { Class::Read } else { Class::Write };
        let want = Want { terms: &terms, class, arrived: began, waits_since: arrived, shape, works: false };
        let mut tried = Vec::new();
        let mut back = COME_BACK_S;
        for attempt in 0..terms.tries.max(2) + 2 {
            let place = async { Some(self.edge.place(&want, &self.session, &tried, give_up).await) };
            let Some(placed) = or(place, self.client.gone(&self.edge)).await else { return Err(Told::Gone) };
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
            let at = (clock::now() + BEGIN_S).min(arrived + terms.deadline);
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
                    let turn = want.turn(&pool, give_up.max(clock::now() + 0.05));
                    if !placed.out.enter_first(&turn).await {
                        back = pool.wait(&turn, clock::now());
                        placed.out.roll_back();
                        break;
                    }
                    self.held = Some(placed.out);
                    self.terms = Some(terms);
                    return Ok(());
                }
                Ok(outcome) => {
                    if let (Some(Code::Lagging), Some(proof)) = (outcome.error, placed.proof) {
                        pool.lagged(proof);
                    }
                    drop(placed);
                    if primary {
                        net::sleep_until(clock::now() + PAUSE_S * f64::from(1 << attempt.min(4))).await;
                    }
                }
                Err(_) => {}
            }
            tried.push(pool.server.id.clone());
        }
        self.fail();
        Err(come_back(back.min(terms.deadline.max(COME_BACK_S)), State::Failed))
    }

    /// A statement inside a transaction.
    pub(super) async fn inside(&mut self, statement: &Statement<'_>) -> Told {
        let shape = statement.execute.map(|(shape, _)| shape);
        if let Err(told) = self.begin(statement.arrived, shape).await {
            return told;
        }
        let (Some(held), Some(terms)) = (&mut self.held, &self.terms) else { return Told::Gone };
        let deadline = statement.arrived + terms.deadline;
        let Transaction::Open { fetch, wrote, .. } = &mut self.session.transaction else { return Told::Gone };
        // What was begun elsewhere than where the lead is now can't be kept.
        let lead = {
            let view = self.edge.shared.view.borrow();
            view.grants.get(&*terms.service).is_none_or(|g| g.id == held.pool.server.id && !g.closing)
        };
        let ready = (*fetch || lead)
            && net::until(deadline, async {
                held.hold(&self.session.values, shape).await?;
                held.enter().await;
                Ok::<(), ()>(())
            })
            .await
                == Some(Ok(()));
        let line = if ready { statement.line(held, "") } else { None };
        let Some(line) = line else {
            self.fail();
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
                        self.held = None;
                        self.over();
                    }
                }
                Told::Answer(answer.raw)
            }
            Err(Lost::Gone) => Told::Gone,
            Err(_) => {
                // Closing its connection rolls back, so that its client may begin anew at once, also where it is but
                // the answer that most likely is lost.
                self.held = None;
                self.fail();
                error(Code::Aborted, "the server was lost", State::Failed)
            }
        }
    }

    /// The open transaction fails: nothing of it is kept.
    pub(super) fn fail(&mut self) {
        if let Some(held) = self.held.take() {
            held.roll_back();
        }
        self.session.transaction = Transaction::Failed;
        self.told = true;
    }

    /// The end of a transaction that keeps nothing.
    pub(super) fn end_failed(&mut self) {
        if let Some(held) = self.held.take() {
            held.roll_back();
        }
        self.over();
    }

    /// The transaction is over.
    pub(super) fn over(&mut self) {
        self.session.transaction = Transaction::None;
        self.terms = None;
        self.told = true;
    }
}
