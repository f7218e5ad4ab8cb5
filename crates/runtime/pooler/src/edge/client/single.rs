//! A statement outside a transaction: tried at one server after the other until one answers.

use super::ClientSession;
use super::HOLD_FRACTION;
use super::placing::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use crate::clock;
use crate::edge::place::{Placement, PlacementRequest, RETRY_AFTER_S};
use crate::edge::pool::ExchangeError;
use crate::view::Server;
use badgerstream_line_protocol::{Answer, Code, Kind, Outcome, State, Verdict};
use badgerstream_pooling::choice::Access;
use futures_lite::future::or;
use std::cell::Cell;
use std::future::pending;

/// How often a read is asked again since its answer most likely is lost.
const MAX_REISSUES: usize = 2;
/// How often a read is tried that a server fails to run.
const MAX_FAILED_READS: u32 = 2;
/// The shortest wait before a read is asked elsewhere, in seconds.
const MIN_FIRST_TRY_S: f64 = 0.15;
/// After the first try, a place is waited for at least this long, in seconds.
const MIN_PLACE_WAIT_S: f64 = 0.05;

/// A statement on its way through the servers that are tried for it.
struct Attempts<'a> {
    statement: &'a Statement<'a>,
    request: PlacementRequest<'a>,
    reads: bool,
    deadline: f64,
    /// Until when the first server is waited for.
    give_up: f64,
    /// Servers that were tried in vain.
    tried: Vec<String>,
    reissues: usize,
    /// A connection that was had while the last answer was awaited.
    next: Option<Placement>,
}

impl Attempts<'_> {
    /// Until when a place is waited for.
    fn place_limit(&self, attempt: u32) -> f64 {
        match attempt {
            0 => self.give_up,
            _ => self
                .give_up
                .max(clock::now() + MIN_PLACE_WAIT_S)
                .min(self.deadline),
        }
    }

    /// Until when an answer is waited for. A read is asked again as soon as its answer most likely is lost; elsewhere
    /// also if a replica is silent.
    fn answer_limit(&self, now: f64, primary: bool, attempt: u32) -> f64 {
        if !self.reads || primary || attempt > 0 {
            return self.deadline;
        }
        let terms = self.request.terms;
        let first_try = (terms.target / 2.0)
            .max(MIN_FIRST_TRY_S)
            .min(terms.deadline / 3.0);
        (now + first_try).min(self.deadline)
    }
}

/// What an attempt at one server came to.
enum Attempt {
    /// The client is answered.
    Done(Response),
    /// Another server is to be tried than the one of this id.
    TryNext(String),
    /// The connection doesn't know the statement: nothing more is tried.
    NotPrepared,
}

/// An exchange with a server that has come to an end.
struct Exchange {
    answer: Answer,
    /// A part of the answer has been passed on to the client.
    forwarded: bool,
    /// The term of the grant under which the statement was sent; none at a replica.
    term: Option<u64>,
}

impl ClientSession {
    /// Runs a statement outside a transaction.
    pub(super) async fn run_single(&mut self, statement: &Statement<'_>) -> Response {
        let Some(terms) = self.route_terms() else {
            return error(Code::NoDb, &*self.database, State::Idle);
        };
        let reads = statement.kind == Kind::Fetch;
        let arrived = statement.arrived;
        let request = PlacementRequest {
            terms: &terms,
            access: if reads { Access::Read } else { Access::Write },
            arrived,
            waiting_since: arrived,
            shape: statement.execute.map(|(shape, _)| shape),
            takes_slot: true,
        };
        let mut attempts = Attempts {
            statement,
            request,
            reads,
            deadline: arrived + terms.deadline,
            give_up: arrived + terms.deadline * HOLD_FRACTION,
            tried: Vec::new(),
            reissues: 0,
            next: None,
        };
        let mut retry_after = RETRY_AFTER_S;
        for attempt in 0..terms.attempts() {
            let placement = match self.next_placement(&mut attempts, attempt).await {
                Ok(placement) => placement,
                Err(NoPlacement::ClientGone) => return Response::ClientGone,
                Err(NoPlacement::RetryAfter(wait)) => {
                    retry_after = wait;
                    break;
                }
            };
            match self.attempt(&mut attempts, placement, attempt).await {
                Attempt::Done(response) => return response,
                Attempt::TryNext(server) => attempts.tried.push(server),
                Attempt::NotPrepared => break,
            }
        }
        retry_later(terms.bound_retry_after(retry_after), State::Idle)
    }

    async fn next_placement(
        &self,
        attempts: &mut Attempts<'_>,
        attempt: u32,
    ) -> Result<Placement, NoPlacement> {
        if let Some(placement) = attempts.next.take() {
            return Ok(placement);
        }
        let limit = attempts.place_limit(attempt);
        self.place(&attempts.request, &attempts.tried, limit).await
    }

    /// Sends the statement to one server and waits for its answer.
    async fn attempt(
        &mut self,
        attempts: &mut Attempts<'_>,
        mut placement: Placement,
        attempt: u32,
    ) -> Attempt {
        let primary = placement.proof.is_none();
        let waitpos = placement
            .proof
            .map_or(String::new(), |p| format!("WAITPOS {p} "));
        let Some(line) = attempts.statement.line(&placement.checkout, &waitpos) else {
            return Attempt::NotPrepared;
        };
        let now = clock::now();
        if primary {
            self.session.mark.touch(now);
        }
        let term = self.edge.granted_term(&placement.checkout.pool.server, now);
        let limit = attempts.answer_limit(now, primary, attempt);
        let target = attempts.request.terms.target;
        let mut answer = Answer::default();
        let forwarded = Cell::new(false);
        let client = &self.client;
        let pass = async |part: &[u8]| {
            forwarded.set(true);
            client.write(part).await
        };
        let asked = placement
            .checkout
            .ask_patiently(&line, &mut answer, target, limit, &pass);
        let mut outcome = self.handle.before_cut_off(asked).await;
        if outcome == Err(ExchangeError::Overdue) {
            let waited = self.wait_or_reissue(attempts, &mut placement, &mut answer, &pass);
            outcome = self.handle.before_cut_off(waited).await;
        }
        let exchange = Exchange {
            answer,
            forwarded: forwarded.get(),
            term,
        };
        match outcome {
            Ok(outcome) => {
                self.conclude_answer(attempts, placement, attempt, exchange, &outcome)
                    .await
            }
            Err(failure) => self.conclude_failure(attempts, &placement, &exchange, failure),
        }
    }

    /// Waits on for an answer that is overdue; a read is asked again if another connection is had before.
    async fn wait_or_reissue(
        &self,
        attempts: &mut Attempts<'_>,
        placement: &mut Placement,
        answer: &mut Answer,
        pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, ExchangeError> {
        // It holds its place here no longer, since it most likely holds none there. Its answer is still welcome.
        placement.checkout.leave();
        let may_reissue = attempts.reads && attempts.reissues < MAX_REISSUES;
        let reissue = async {
            if !may_reissue {
                return pending().await;
            }
            let place = self.edge.place(
                &attempts.request,
                &self.session,
                &attempts.tried,
                attempts.deadline,
            );
            match place.await {
                Ok(other) => Err(other),
                Err(_) => pending().await,
            }
        };
        let wait = async {
            Ok(placement
                .checkout
                .wait(answer, attempts.deadline, &pass)
                .await)
        };
        let first = or(wait, reissue).await;
        match first {
            Ok(outcome) => outcome,
            Err(other) => {
                attempts.next = Some(other);
                attempts.reissues += 1;
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
        outcome: &Outcome,
    ) -> Attempt {
        let pool = placement.checkout.pool.clone();
        let server = pool.server.id.clone();
        match outcome.error {
            None => {
                if !attempts.reads && !self.is_granted_still(&pool.server, exchange.term) {
                    return Attempt::Done(error(Code::InDoubt, "the primary changes", State::Idle));
                }
                if !attempts.reads {
                    self.session.wrote(outcome.position);
                }
                Attempt::Done(self.forward(exchange.answer.raw, outcome))
            }
            Some(_) if exchange.forwarded => {
                Attempt::Done(self.forward(exchange.answer.raw, outcome))
            }
            Some(code) if code.verdict() == Verdict::NotRun => {
                if let (Code::Lagging, Some(proof)) = (code, placement.proof) {
                    pool.mark_lagging(proof);
                }
                log::debug!("event=not_run server={server} code={}", code.word());
                let primary = placement.proof.is_none();
                drop(placement);
                if primary {
                    self.back_off(attempt).await;
                }
                Attempt::TryNext(server)
            }
            Some(Code::Failed) if attempts.reads && attempt < MAX_FAILED_READS => {
                Attempt::TryNext(server)
            }
            Some(_) => Attempt::Done(self.forward(exchange.answer.raw, outcome)),
        }
    }

    /// There is no clear answer.
    fn conclude_failure(
        &self,
        attempts: &Attempts<'_>,
        placement: &Placement,
        exchange: &Exchange,
        failure: ExchangeError,
    ) -> Attempt {
        let server = placement.checkout.pool.server.id.clone();
        match failure {
            ExchangeError::ClientGone => return Attempt::Done(Response::ClientGone),
            _ if exchange.forwarded => return Attempt::Done(Response::ClientGone),
            ExchangeError::Unsent => {}
            _ if !attempts.reads && failure.verdict() == Verdict::MayHaveRun => {
                log::info!("event=in_doubt server={server} database={}", self.database);
                return Attempt::Done(error(Code::InDoubt, "no clear answer", State::Idle));
            }
            ExchangeError::Broken => {}
            ExchangeError::Overdue => {
                log::debug!(
                    "event=asked_again server={server} database={}",
                    self.database
                );
            }
            ExchangeError::Silent => {
                if clock::now() >= attempts.deadline {
                    return Attempt::Done(error(Code::Timeout, "no answer", State::Idle));
                }
            }
        }
        Attempt::TryNext(server)
    }

    /// Whether the grant under which a write was sent is in force when its answer comes. Once it was given back another server
    /// may have been chosen by what was acknowledged until then: a later success may be cut back, and is told to nobody.
    pub(super) fn is_granted_still(&self, server: &Server, term: Option<u64>) -> bool {
        term.is_some() && self.edge.granted_term(server, clock::now()) == term
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
