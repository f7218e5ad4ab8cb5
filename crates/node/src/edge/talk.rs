//! A client's session, from its first byte to its end.

use super::net;
use super::place::{COME_BACK_S, Terms, Want};
use super::pool::{Checkout, Lost};
use super::{Edge, Handle};
use crate::clock;
use crate::view::Server;
use async_io::Async;
use badgerstream_pooling::choice::Class;
use badgerstream_pooling::pace::MIN_BACK_S;
use badgerstream_pooling::session::{Session, Shape, Transaction};
use badgerstream_wire::{Answer, Code, Kind, LineBuffer, Outcome, Request, State, Text, Verdict};
use futures_lite::future::or;
use std::cell::RefCell;
use std::future::{pending, poll_fn};
use std::net::TcpStream;
use std::rc::Rc;
use std::task::Poll;

/// A client may take so long to say whom it wants, in seconds.
const HELLO_S: f64 = 10.0;
/// A client that takes no byte for so long is gone, in seconds.
const WRITE_S: f64 = 10.0;
/// The same, as the system is told, in milliseconds.
const USER_TIMEOUT_MS: u32 = 10_000;
/// Before the first configuration a client waits for it so long, in seconds.
const CONFIG_S: f64 = 1.5;
/// No client is told to come back later than this, in seconds.
const MAX_BACK_S: f64 = 2.0;
/// The part of its deadline after which a statement that no server was offered is given back to its client: what is
/// held longer is as good as lost there.
const HOLD: f64 = 0.45;
/// How often a read is asked again since its answer most likely is lost.
const MAX_AGAIN: usize = 2;
/// The shortest wait before a read is asked elsewhere, in seconds.
const ELSEWHERE_S: f64 = 0.15;
/// Beginning a transaction may take so long at one server, in seconds.
const BEGIN_S: f64 = 0.5;
/// The pause after a server's refusal, in seconds.
const PAUSE_S: f64 = 0.02;

/// Serves a client until it ends.
pub async fn serve(edge: &Rc<Edge>, stream: Async<TcpStream>, handle: Rc<Handle>) {
    if net::options(&stream, USER_TIMEOUT_MS).is_err() {
        return;
    }
    let client = Client { stream, lines: RefCell::default() };
    let Some(database) = hello(edge, &client).await else { return };
    let mut talk = Talk {
        edge: edge.clone(),
        database,
        client,
        session: Session::default(),
        handle,
        terms: None,
        held: None,
        told: true,
    };
    talk.run().await;
    talk.handle.inside.set(false);
    if let Some(held) = talk.held.take() {
        held.roll_back();
    }
}

/// The client's connection.
struct Client {
    stream: Async<TcpStream>,
    lines: RefCell<LineBuffer>,
}

impl Client {
    /// Whether all of it was taken.
    async fn write(&self, bytes: &[u8]) -> bool {
        let written = net::until(clock::now() + WRITE_S, net::write(&self.stream, bytes)).await;
        matches!(written, Some(Ok(())))
    }

    /// Whether something came.
    async fn read(&self, edge: &Edge) -> bool {
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            match net::read_now(&self.stream, &edge.scratch, &mut self.lines.borrow_mut()) {
                Ok(None) => {}
                Ok(Some(n)) => return n > 0,
                Err(_) => return false,
            }
        }
    }

    /// Waits until the client has gone; none then. Whoever asks on meanwhile is there.
    async fn gone<T>(&self, edge: &Edge) -> Option<T> {
        if self.lines.borrow().is_empty() && !self.read(edge).await {
            return None;
        }
        pending().await
    }

    /// The next line; none if the stream can't be read on.
    fn line(&self) -> Result<Option<Vec<u8>>, ()> {
        self.lines.borrow_mut().next().map(|l| l.map(<[u8]>::to_vec)).map_err(drop)
    }
}

/// The database that the client connects to, once it has its answer; none if it was refused or has gone.
async fn hello(edge: &Rc<Edge>, client: &Client) -> Option<Rc<str>> {
    let line = net::until(clock::now() + HELLO_S, async {
        loop {
            if let Some(line) = client.line().ok()? {
                return Some(line);
            }
            if !client.read(edge).await {
                return None;
            }
        }
    })
    .await??;
    let Ok(Request::Connect { database, .. }) = Request::parse(&line) else {
        client.write(b"ERROR MALFORMED CONNECT comes first\r\n").await;
        return None;
    };
    let until = clock::now() + CONFIG_S;
    loop {
        let rings = edge.shared.changed.rings();
        let config = edge.shared.view.borrow().config.clone();
        match config {
            Some(config) if config.route(database).is_some() => {
                let answered = client.write(b"IDLE I -\r\n").await;
                return answered.then(|| database.into());
            }
            Some(_) => {
                client.write(format!("ERROR NODB {database}\r\n").as_bytes()).await;
                return None;
            }
            None => {
                if net::until(until, edge.shared.changed.after(rings)).await.is_none() {
                    client.write(format!("ERROR RETRY {}\r\n", back_ms(COME_BACK_S)).as_bytes()).await;
                    return None;
                }
            }
        }
    }
}

/// A statement that runs at a server.
#[derive(Clone, Copy)]
struct Statement<'a> {
    id: &'a str,
    text: &'a str,
    /// What it does.
    kind: Kind,
    /// What follows our name for the shape, where it runs a prepared one.
    execute: Option<(&'a Shape, &'a str)>,
    arrived: f64,
}

impl Statement<'_> {
    /// Its line for this connection.
    fn line(&self, out: &Checkout, waitpos: &str) -> Option<Vec<u8>> {
        Some(
            match self.execute {
                None => format!("QUERY {} {waitpos}{}\r\n", self.id, self.text),
                Some((shape, rest)) => {
                    let number = out.number(shape)?;
                    let blank = if rest.is_empty() { "" } else { " " };
                    format!("QUERY {} {waitpos}EXECUTE p{number}{blank}{rest}\r\n", self.id)
                }
            }
            .into_bytes(),
        )
    }
}

/// What to tell the client.
enum Told {
    /// The server's answer, untouched.
    Answer(Vec<u8>),
    /// An error, and the state after it.
    Error(Code, String, State),
    /// Our own success.
    Done,
    /// It has gone.
    Gone,
}

fn error(code: Code, text: impl Into<String>, state: State) -> Told {
    Told::Error(code, text.into(), state)
}

/// Nothing has run: come back in so many seconds.
fn come_back(wait: f64, state: State) -> Told {
    error(Code::Retry, back_ms(wait).to_string(), state)
}

fn back_ms(wait: f64) -> u32 {
    (wait.clamp(MIN_BACK_S, MAX_BACK_S) * 1000.0).round() as u32
}

/// A session at work.
struct Talk {
    edge: Rc<Edge>,
    database: Rc<str>,
    client: Client,
    session: Session,
    handle: Rc<Handle>,
    /// The route's terms that bind the open transaction.
    terms: Option<Terms>,
    /// The connection of the open transaction, once it was begun at a server.
    held: Option<Checkout>,
    /// The client knows that its transaction has failed.
    told: bool,
}

impl Talk {
    async fn run(&mut self) {
        loop {
            let Some(line) = self.next().await else { return };
            let working = Working::new(&self.edge);
            let arrived = clock::now();
            let told = match Request::parse(&line) {
                Ok(Request::Query { id, text }) => {
                    // On the heap while it lasts: a resting session keeps no room for it.
                    Box::pin(self.query(id, text, arrived)).await
                }
                Ok(Request::Bye) => return,
                Ok(Request::Connect { .. }) => self.malformed("connected already"),
                Err(e) => self.malformed(&e.to_string()),
            };
            drop(line);
            self.handle.inside.set(self.session.transaction != Transaction::None);
            let sent = match told {
                Told::Answer(raw) => self.client.write(&raw).await,
                Told::Error(code, text, state) => {
                    let blank = if text.is_empty() { "" } else { " " };
                    let line = format!("ERROR {}{blank}{text}\r\nIDLE {} -\r\n", code.word(), state.letter());
                    self.client.write(line.as_bytes()).await
                }
                Told::Done => {
                    let state = self.session.transaction.state().letter();
                    self.client.write(format!("COMPLETE -\r\nIDLE {state} -\r\n").as_bytes()).await
                }
                Told::Gone => false,
            };
            drop(working);
            if !sent {
                return;
            }
        }
    }

    /// The next line of the client; none when the session ends.
    async fn next(&mut self) -> Option<Vec<u8>> {
        if let Some(line) = self.client.line().ok()? {
            return Some(line);
        }
        self.client.lines.borrow_mut().shrink();
        loop {
            if self.session.transaction == Transaction::None {
                self.handle.idle_since.set(Some(clock::now()));
            }
            let handle = self.handle.clone();
            let read = or(async { Some(self.client.read(&self.edge).await) }, async {
                poll_fn(|cx| {
                    if handle.close.get() {
                        return Poll::Ready(());
                    }
                    *handle.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                })
                .await;
                None
            });
            let came = if self.held.is_some() {
                let idle =
                    self.edge.shared.view.borrow().config.as_ref().map_or(3000, |c| c.limits.txn_idle_ms);
                net::until(clock::now() + idle as f64 / 1000.0, read).await
            } else {
                Some(read.await)
            };
            match came {
                // A transaction that rests too long is ended; its client hears of it when it asks again.
                None => {
                    log::debug!("event=transaction_idle database={}", self.database);
                    self.fail();
                    self.told = false;
                }
                Some(Some(true)) => {
                    if let Some(line) = self.client.line().ok()? {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                }
                Some(Some(false)) => return None,
                Some(None) => {
                    // What has arrived meanwhile is still answered.
                    let come = net::read_now(
                        &self.client.stream,
                        &self.edge.scratch,
                        &mut self.client.lines.borrow_mut(),
                    );
                    if matches!(come, Ok(Some(n)) if n > 0)
                        && let Some(line) = self.client.line().ok()?
                    {
                        self.handle.idle_since.set(None);
                        return Some(line);
                    }
                    if self.session.transaction != Transaction::None {
                        self.client.write(b"ERROR ABORTED the router ends\r\n").await;
                    }
                    return None;
                }
            }
        }
    }

    fn malformed(&mut self, why: &str) -> Told {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail();
        }
        error(Code::Malformed, why, self.session.transaction.state())
    }

    /// The open transaction fails: nothing of it is kept.
    fn fail(&mut self) {
        if let Some(held) = self.held.take() {
            held.roll_back();
        }
        self.session.transaction = Transaction::Failed;
        self.told = true;
    }

    /// The transaction is over.
    fn over(&mut self) {
        self.session.transaction = Transaction::None;
        self.terms = None;
        self.told = true;
    }

    /// The terms of the session's database, as they stand now.
    fn bind(&self) -> Option<Terms> {
        let config = self.edge.shared.view.borrow().config.clone()?;
        let route = config.route(&self.database)?;
        let max_conns = config.services.iter().find(|s| s.name == route.service).map_or(16, |s| s.max_conns);
        Some(Terms::of(route, max_conns as usize))
    }

    async fn query(&mut self, id: &str, text: &str, arrived: f64) -> Told {
        let parsed = match Text::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return self.malformed(&e.to_string()),
        };
        let transaction = self.session.transaction;
        if transaction == Transaction::Failed {
            return match parsed {
                Text::Commit => {
                    self.end_failed();
                    error(Code::Aborted, "the transaction had failed", State::Idle)
                }
                Text::Abort => {
                    self.end_failed();
                    Told::Done
                }
                _ if !self.told => {
                    self.told = true;
                    error(Code::Aborted, "the transaction was ended", State::Failed)
                }
                _ => error(Code::Malformed, "the transaction has failed", State::Failed),
            };
        }
        let (kind, execute) = match parsed {
            Text::Set { name, value } => {
                return match self.session.set(name, value) {
                    Ok(()) => Told::Done,
                    Err(e) => self.malformed(&e.to_string()),
                };
            }
            Text::Prepare { name, kind, shape } => {
                return match self.session.prepare(name, kind, shape) {
                    Ok(()) => Told::Done,
                    Err(e) => self.malformed(&e.to_string()),
                };
            }
            Text::Release { name } => {
                return match self.session.release(name) {
                    Ok(()) => Told::Done,
                    Err(_) => self.unknown(name),
                };
            }
            Text::Begin { fetch } => {
                if transaction != Transaction::None {
                    return self.malformed("inside a transaction");
                }
                self.session.transaction = Transaction::Open { fetch, arrived, wrote: false };
                return Told::Done;
            }
            Text::Abort => {
                if transaction == Transaction::None {
                    return self.malformed("outside a transaction");
                }
                self.end_failed();
                return Told::Done;
            }
            Text::Commit => {
                if transaction == Transaction::None {
                    return self.malformed("outside a transaction");
                }
                return self.commit(id, text, arrived).await;
            }
            Text::Fetch => (Kind::Fetch, None),
            Text::Put => (Kind::Put, None),
            Text::Execute { name, rest } => {
                let Some(shape) = self.session.shape(name).cloned() else { return self.unknown(name) };
                (shape.kind, Some((shape, rest)))
            }
        };
        let execute = execute.as_ref().map(|(shape, rest)| (shape, *rest));
        let statement = Statement { id, text, kind, execute, arrived };
        if transaction == Transaction::None {
            self.single(&statement).await
        } else {
            self.inside(&statement).await
        }
    }

    fn unknown(&mut self, name: &str) -> Told {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail();
        }
        error(Code::Unknown, name, self.session.transaction.state())
    }

    /// The end of a transaction that keeps nothing.
    fn end_failed(&mut self) {
        if let Some(held) = self.held.take() {
            held.roll_back();
        }
        self.over();
    }

    /// A statement outside a transaction.
    async fn single(&mut self, statement: &Statement<'_>) -> Told {
        let Some(terms) = self.bind() else { return error(Code::NoDb, &*self.database, State::Idle) };
        let reads = statement.kind == Kind::Fetch;
        let deadline = statement.arrived + terms.deadline;
        let give_up = statement.arrived + terms.deadline * HOLD;
        let class = if reads { Class::Read } else { Class::Write };
        let shape = statement.execute.map(|(shape, _)| shape);
        let arrived = statement.arrived;
        let want = Want { terms: &terms, class, arrived, waits_since: arrived, shape, works: true };
        let mut tried = Vec::new();
        let mut back = COME_BACK_S;
        let mut again = 0;
        let mut next = None;
        for attempt in 0..terms.tries.max(2) + 2 {
            let limit = if attempt == 0 { give_up } else { give_up.max(clock::now() + 0.05).min(deadline) };
            let mut placed = if let Some(placed) = next.take() {
                placed
            } else {
                let place = async { Some(self.edge.place(&want, &self.session, &tried, limit).await) };
                let Some(placed) = or(place, self.client.gone(&self.edge)).await else { return Told::Gone };
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
            let term = self.edge.granted_term(&placed.out.pool.server, now);
            // A read is asked again as soon as its answer most likely is lost; elsewhere also if a replica is silent.
            let elsewhere = reads && !primary && attempt == 0;
            let first = (terms.target / 2.0).max(ELSEWHERE_S).min(terms.deadline / 3.0);
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
            if outcome == Err(Lost::Overdue) {
                // It holds its place here no longer, since it most likely holds none there. Its answer is still
                // welcome; a read is asked again if another connection is had before.
                placed.out.leave();
                let more = reads && again < MAX_AGAIN;
                let elsewhere = async {
                    if !more {
                        return pending().await;
                    }
                    match self.edge.place(&want, &self.session, &tried, deadline).await {
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
                        if !reads && !self.is_granted_still(&pool.server, term) {
                            return error(Code::InDoubt, "the primary changes", State::Idle);
                        }
                        if !reads {
                            self.session.wrote(outcome.position);
                        }
                        return self.whole(answer.raw, &outcome);
                    }
                    Some(_) if passed => return self.whole(answer.raw, &outcome),
                    Some(code) if code.verdict() == Verdict::NotRun => {
                        if let (Code::Lagging, Some(proof)) = (code, placed.proof) {
                            pool.lagged(proof);
                        }
                        log::debug!("event=not_run server={id} code={}", code.word());
                        drop(placed);
                        if primary {
                            net::sleep_until(clock::now() + PAUSE_S * f64::from(1 << attempt.min(4))).await;
                        }
                    }
                    Some(Code::Failed) if reads && attempt < 2 => drop(placed),
                    Some(_) => return self.whole(answer.raw, &outcome),
                },
                Err(Lost::Gone) => return Told::Gone,
                Err(_) if passed => return Told::Gone,
                Err(Lost::Unsent) => {}
                Err(lost) if !reads && lost.verdict() == Verdict::MayHaveRun => {
                    log::info!("event=in_doubt server={id} database={}", self.database);
                    return error(Code::InDoubt, "no clear answer", State::Idle);
                }
                Err(Lost::Broken) => {}
                Err(Lost::Overdue) => {
                    log::debug!("event=asked_again server={id} database={}", self.database);
                }
                Err(Lost::Silent) => {
                    if clock::now() >= deadline {
                        return error(Code::Timeout, "no answer", State::Idle);
                    }
                }
            }
            tried.push(id);
        }
        come_back(back.min(terms.deadline.max(COME_BACK_S)), State::Idle)
    }

    /// Whether the grant under which a write was sent is in force when its answer comes. Once it was given back another server
    /// may have been chosen by what was acknowledged until then: a later success may be cut back, and is told to nobody.
    fn is_granted_still(&self, server: &Server, term: Option<u64>) -> bool {
        term.is_some() && self.edge.granted_term(server, clock::now()) == term
    }

    /// A server's answer outside a transaction: should it say another state, that ends with its connection.
    fn whole(&self, mut raw: Vec<u8>, outcome: &Outcome) -> Told {
        if outcome.state != State::Idle
            && let Some(at) = raw.windows(7).rposition(|w| w.starts_with(b"\nIDLE "))
        {
            raw.truncate(at + 1);
            raw.extend_from_slice(b"IDLE I -\r\n");
        }
        Told::Answer(raw)
    }

    /// Begins the open transaction at a server, if it isn't; what to tell the client if that can't be.
    async fn begin(&mut self, arrived: f64, shape: Option<&Shape>) -> Result<(), Told> {
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
    async fn inside(&mut self, statement: &Statement<'_>) -> Told {
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

    /// The end that keeps.
    async fn commit(&mut self, id: &str, text: &str, arrived: f64) -> Told {
        if let Err(told) = self.begin(arrived, None).await {
            // The client has asked for the end, and has it.
            self.over();
            return match told {
                Told::Error(code, text, _) => error(code, text, State::Idle),
                told => told,
            };
        }
        let aborted = |why: &str| error(Code::Aborted, why, State::Idle);
        let Transaction::Open { wrote, .. } = self.session.transaction else { return Told::Gone };
        let (Some(mut held), Some(terms)) = (self.held.take(), self.terms.take()) else { return Told::Gone };
        self.over();
        let deadline = arrived + terms.deadline;
        let give_up = arrived + terms.deadline * HOLD;
        let ready = net::until(give_up, async {
            // Values that were set since are its client's wherever it runs.
            if held.hold(&self.session.values, None).await.is_err() {
                return false;
            }
            held.enter().await;
            if !wrote {
                return true;
            }
            self.session.mark.touch(clock::now());
            loop {
                // A write is kept only under the lease; a lease that has run out may be renewed in time.
                let rings = self.edge.shared.changed.rings();
                if self.edge.is_leased(&held.pool.server, clock::now()) {
                    return true;
                }
                let other = {
                    let view = self.edge.shared.view.borrow();
                    view.grants.get(&*terms.service).is_some_and(|g| g.id != held.pool.server.id || g.closing)
                };
                if other {
                    return false;
                }
                self.edge.shared.changed.after(rings).await;
            }
        });
        if ready.await != Some(true) {
            held.roll_back();
            return aborted("the primary changes");
        }
        let line = format!("QUERY {id} {text}\r\n");
        let mut answer = Answer::default();
        let term = self.edge.granted_term(&held.pool.server, clock::now());
        held.keep_changes();
        let pass = async |_: &[u8]| true;
        let mut outcome =
            held.ask_patiently(line.as_bytes(), &mut answer, terms.target, deadline, pass).await;
        if outcome == Err(Lost::Overdue) && wrote {
            held.leave();
            outcome = held.wait(&mut answer, deadline, pass).await;
        }
        match outcome {
            Ok(outcome) => {
                if outcome.error.is_none() && wrote {
                    if !self.is_granted_still(&held.pool.server, term) {
                        return error(Code::InDoubt, "the primary changes", State::Idle);
                    }
                    self.session.wrote(outcome.position);
                }
                self.whole(answer.raw, &outcome)
            }
            Err(Lost::Unsent) => aborted("the server was lost"),
            // Nothing was written, so nothing is kept.
            Err(_) if !wrote => aborted("the server was lost"),
            Err(_) => {
                log::info!("event=in_doubt server={} database={}", held.pool.server.id, self.database);
                error(Code::InDoubt, "no clear answer to COMMIT", State::Idle)
            }
        }
    }
}

/// Counts what is in work.
struct Working(Rc<Edge>);

impl Working {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.working.set(edge.working.get() + 1);
        Self(edge.clone())
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.working.set(self.0.working.get() - 1);
    }
}
