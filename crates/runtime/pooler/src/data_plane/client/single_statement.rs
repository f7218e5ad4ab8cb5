//! A statement outside a transaction: tried at one server after the other until one answers.

use super::ClientSession;
use super::PLACEMENT_DEADLINE_FRACTION;
use super::placement::NoPlacement;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use crate::clock;
use crate::data_plane::placement::{Placement, PlacementRequest, RETRY_AFTER_S};
use crate::data_plane::pool::ExchangeError;
use crate::view::Server;
use badgerstream_line_protocol::{Answer, Code, Kind, Outcome, State, Verdict};
use badgerstream_pooling::choice::Access;
use futures_lite::future::or;
use std::cell::Cell;
use std::future::pending;

/// How often a read is asked again since its answer most likely is lost.
const MAX_HEDGED_READS: usize = 2;
/// How often a read is tried that a server fails to run.
const MAX_FAILED_READS: u32 = 2;
/// The shortest wait before a read is asked elsewhere, in seconds.
const MIN_FIRST_ATTEMPT_S: f64 = 0.15;
/// After the first try, a place is waited for at least this long, in seconds.
const MIN_PLACEMENT_WAIT_S: f64 = 0.05;

/// A statement on its way through the servers that are tried for it.
struct Attempts<'a> {
    statement: &'a Statement<'a>,
    request: PlacementRequest<'a>,
    is_read: bool,
    deadline: f64,
    /// Until when the first server is waited for.
    give_up_at: f64,
    /// Servers that were tried in vain.
    tried_servers: Vec<String>,
    hedged_reads: usize,
    /// A connection that was had while the last answer was awaited.
    hedged_placement: Option<Placement>,
}

impl Attempts<'_> {
    /// Until when a place is waited for.
    fn place_limit(&self, attempt: u32) -> f64 {
        match attempt {
            0 => self.give_up_at,
            _ => self
                .give_up_at
                .max(clock::now() + MIN_PLACEMENT_WAIT_S)
                .min(self.deadline),
        }
    }

    /// Until when an answer is waited for. A read is asked again as soon as its answer most likely is lost; elsewhere
    /// also if a replica is silent.
    fn answer_limit(&self, now: f64, primary: bool, attempt: u32) -> f64 {
        if !self.is_read || primary || attempt > 0 {
            return self.deadline;
        }
        let terms = self.request.terms;
        let first_attempt = (terms.target_s / 2.0)
            .max(MIN_FIRST_ATTEMPT_S)
            .min(terms.deadline_s / 3.0);
        (now + first_attempt).min(self.deadline)
    }
}

/// What an attempt at one server came to.
enum Attempt {
    /// The client is answered.
    Done(Response),
    /// Another server is to be tried than the one of this id.
    Retry(String),
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
        let is_read = statement.kind == Kind::Fetch;
        let arrived_at = statement.arrived_at;
        let request = PlacementRequest {
            terms: &terms,
            access: if is_read { Access::Read } else { Access::Write },
            arrived_at,
            waiting_since: arrived_at,
            shape: statement.execute.map(|(shape, _)| shape),
            takes_slot: true,
        };
        let mut attempts = Attempts {
            statement,
            request,
            is_read,
            deadline: arrived_at + terms.deadline_s,
            give_up_at: arrived_at + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION,
            tried_servers: Vec::new(),
            hedged_reads: 0,
            hedged_placement: None,
        };
        let mut retry_after = RETRY_AFTER_S;
        for attempt in 0..terms.max_attempts() {
            let placement = match self.next_placement(&mut attempts, attempt).await {
                Ok(placement) => placement,
                Err(NoPlacement::ClientDisconnected) => return Response::ClientDisconnected,
                Err(NoPlacement::RetryAfter(wait)) => {
                    retry_after = wait;
                    break;
                }
            };
            match self.attempt(&mut attempts, placement, attempt).await {
                Attempt::Done(response) => return response,
                Attempt::Retry(server) => attempts.tried_servers.push(server),
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
        if let Some(placement) = attempts.hedged_placement.take() {
            return Ok(placement);
        }
        let limit = attempts.place_limit(attempt);
        self.place(&attempts.request, &attempts.tried_servers, limit)
            .await
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
            self.session.primary_affinity.touch(now);
        }
        let term = self
            .data_plane
            .granted_term(&placement.checkout.pool.server, now);
        let limit = attempts.answer_limit(now, primary, attempt);
        let target = attempts.request.terms.target_s;
        let mut answer = Answer::default();
        let forwarded = Cell::new(false);
        let client = &self.client;
        let pass = async |part: &[u8]| {
            forwarded.set(true);
            client.write(part).await
        };
        let asked =
            placement
                .checkout
                .exchange_until_overdue(&line, &mut answer, target, limit, &pass);
        let mut outcome = self.handle.until_final_answer(asked).await;
        if outcome == Err(ExchangeError::Overdue) {
            let waited = self.wait_or_hedge(attempts, &mut placement, &mut answer, &pass);
            outcome = self.handle.until_final_answer(waited).await;
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
    async fn wait_or_hedge(
        &self,
        attempts: &mut Attempts<'_>,
        placement: &mut Placement,
        answer: &mut Answer,
        pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, ExchangeError> {
        // It holds its place here no longer, since it most likely holds none there. Its answer is still welcome.
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
                Ok(other) => Err(other),
                Err(_) => pending().await,
            }
        };
        let wait = async {
            Ok(placement
                .checkout
                .await_answer(answer, attempts.deadline, &pass)
                .await)
        };
        let first = or(wait, hedge).await;
        match first {
            Ok(outcome) => outcome,
            Err(other) => {
                attempts.hedged_placement = Some(other);
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
        outcome: &Outcome,
    ) -> Attempt {
        let pool = placement.checkout.pool.clone();
        let server = pool.server.id.clone();
        match outcome.error {
            None => {
                if !attempts.is_read && !self.is_granted_still(&pool.server, exchange.term) {
                    return Attempt::Done(error(Code::InDoubt, "the primary changes", State::Idle));
                }
                if !attempts.is_read {
                    self.session.record_write(outcome.position);
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
                Attempt::Retry(server)
            }
            Some(Code::Failed) if attempts.is_read && attempt < MAX_FAILED_READS => {
                Attempt::Retry(server)
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
            ExchangeError::ClientDisconnected => {
                return Attempt::Done(Response::ClientDisconnected);
            }
            _ if exchange.forwarded => return Attempt::Done(Response::ClientDisconnected),
            ExchangeError::Unsent => {}
            _ if !attempts.is_read && failure.verdict() == Verdict::MayHaveRun => {
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
            ExchangeError::TimedOut => {
                if clock::now() >= attempts.deadline {
                    return Attempt::Done(error(Code::Timeout, "no answer", State::Idle));
                }
            }
        }
        Attempt::Retry(server)
    }

    /// Whether the grant under which a write was sent is in force when its answer comes. Once it was given back another server
    /// may have been chosen by what was acknowledged until then: a later success may be cut back, and is told to nobody.
    pub(super) fn is_granted_still(&self, server: &Server, term: Option<u64>) -> bool {
        term.is_some() && self.data_plane.granted_term(server, clock::now()) == term
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
