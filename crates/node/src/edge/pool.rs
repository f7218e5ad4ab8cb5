//! The connections to one server, and what its answers told of it.

use super::Edge;
use super::gate::{Gate, Permit};
use super::link::{Link, OpenError};
use super::net::{self, sleep_until};
use crate::clock;
use crate::view::Server;
use badgerstream_pooling::pace::Pace;
use badgerstream_pooling::session::{Shape, Values};
use badgerstream_pooling::share::{Share, in_flight};
use badgerstream_pooling::standing::Standing;
use badgerstream_wire::{Answer, Code, Outcome, Position, State, Verdict};
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A connection that rests for so long is closed, in seconds.
pub const IDLE_S: f64 = 30.0;
/// An answer that nobody waits for any more is awaited for so long, in seconds.
const DRAIN_S: f64 = 3.0;
/// How long our own statements may take, in seconds.
const OWN_S: f64 = 1.0;
/// The pause after a server's refusal of a connection, in seconds.
const FULL_PAUSE_S: f64 = 0.05;
/// Between two looks at an answer that is late, in seconds.
const LOOK_S: f64 = 0.05;
/// An answer that is overdue and that nobody waits for any more is awaited for so long, in seconds.
const OVERDUE_DRAIN_S: f64 = 0.5;
/// A statement unanswered for so long counts as a sign that the server is gone, in seconds.
const SILENCE_S: f64 = 0.3;

/// The connections to one server.
pub struct Pool {
    /// The server.
    pub server: Server,
    idle: RefCell<Vec<Link>>,
    conns: Rc<Gate>,
    slots: Rc<Gate>,
    share: Cell<Share>,
    routers: Cell<usize>,
    standing: Cell<Standing>,
    pace: Cell<Pace>,
    last_answer: Cell<f64>,
    /// When the youngest statement was sent that is answered.
    last_answered: Cell<f64>,
    failing_since: Cell<Option<f64>>,
    /// When the statements were sent that are unanswered.
    unanswered: RefCell<Vec<f64>>,
}

impl Pool {
    /// For this server, as one of so many routers.
    pub fn new(server: Server, max_conns: usize, routers: usize) -> Rc<Self> {
        let share = Share::new(max_conns, routers);
        Rc::new(Self {
            idle: RefCell::default(),
            conns: Gate::new(share.limit(clock::now())),
            slots: Gate::new(in_flight(server.slots as usize, routers, 1.0)),
            routers: Cell::new(routers),
            share: Cell::new(share),
            standing: Cell::default(),
            pace: Cell::default(),
            last_answer: Cell::new(0.0),
            last_answered: Cell::new(0.0),
            failing_since: Cell::new(None),
            unanswered: RefCell::default(),
            server,
        })
    }

    /// Another bound on connections, or another number of routers.
    pub fn set_share(&self, max_conns: usize, routers: usize) {
        let mut share = self.share.get();
        share.set(max_conns, routers);
        self.share.set(share);
        self.conns.set_limit(share.limit(clock::now()));
        self.routers.set(routers);
        self.set_in_flight();
    }

    fn set_in_flight(&self) {
        let limit = in_flight(self.server.slots as usize, self.routers.get(), self.pace.get().stretch());
        if limit != self.slots.limit() {
            self.slots.set_limit(limit);
        }
    }

    /// How fast it answers.
    pub fn pace(&self) -> Pace {
        self.pace.get()
    }

    /// In how many seconds a place to work may come free for whoever comes now; more than that, not less.
    pub fn wait(&self, turn: &Turn, now: f64) -> f64 {
        let ahead = |gate: &Gate| gate.ahead(turn.rank, turn.aim, now);
        self.pace.get().wait(ahead(&self.conns) + ahead(&self.slots), self.slots.limit())
    }

    /// Waits to be let in, unless it is plain that it can't be in time: at the beginning, or once the aim is missed.
    async fn enter(&self, gate: &Rc<Gate>, turn: &Turn) -> Result<Permit, NotHad> {
        let busy = |now: f64| {
            let wait = self.wait(turn, now);
            (now + wait > turn.give_up).then_some(NotHad::Busy(wait))
        };
        if !gate.is_full() {
            return Ok(gate.enter(turn.rank, turn.aim).await);
        }
        if let Some(busy) = busy(clock::now()) {
            return Err(busy);
        }
        or(async { Ok(gate.enter(turn.rank, turn.aim).await) }, async {
            if turn.aim > clock::now() {
                sleep_until(turn.aim).await;
                if let Some(busy) = busy(clock::now()) {
                    return Err(busy);
                }
            }
            std::future::pending().await
        })
        .await
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        self.standing.get()
    }

    /// Whoever comes now must wait.
    pub fn is_full(&self) -> bool {
        self.slots.is_full() || self.conns.is_full()
    }

    /// It lacks this position.
    pub fn lagged(&self, position: Position) {
        let mut standing = self.standing.get();
        standing.lagged(clock::now(), position);
        self.standing.set(standing);
    }

    /// It could not be reached: it is left alone for a moment.
    fn unreachable(&self) {
        let mut standing = self.standing.get();
        standing.failed(clock::now());
        self.standing.set(standing);
        self.broke();
    }

    /// A connection broke off. That may be the connection's trouble alone: the next is opened at once, and tells.
    fn broke(&self) {
        let now = clock::now();
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// It answered something.
    fn answered(&self, position: Option<Position>) {
        let mut standing = self.standing.get();
        standing.answered(position);
        self.standing.set(standing);
        self.last_answer.set(clock::now());
        self.failing_since.set(None);
    }

    /// It answered a statement that was sent at this second.
    fn paced(&self, sent: f64) {
        let mut pace = self.pace.get();
        pace.answered(clock::now() - sent);
        self.pace.set(pace);
        self.set_in_flight();
        self.last_answered.set(self.last_answered.get().max(sent));
    }

    /// It answered what takes no slot and was sent at this second.
    fn travelled(&self, sent: f64) {
        let mut pace = self.pace.get();
        pace.travelled(clock::now() - sent);
        self.pace.set(pace);
    }

    /// When it last answered; 0 for never.
    pub fn last_answer(&self) -> f64 {
        self.last_answer.get()
    }

    /// Since when it fails to answer; none while it does answer, or nothing is asked.
    pub fn failing_since(&self, now: f64) -> Option<f64> {
        let last = self.last_answer.get();
        let oldest = self.unanswered.borrow().iter().copied().filter(|t| *t > last).reduce(f64::min);
        let silent = oldest.filter(|t| now - t > SILENCE_S);
        match (silent, self.failing_since.get()) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Closes connections that have rested for long.
    pub fn sweep(&self, now: f64) {
        let old: Vec<Link> = {
            let mut idle = self.idle.borrow_mut();
            let limit = self.share.get().limit(now);
            let mut over = (idle.len() + self.conns.busy()).saturating_sub(limit);
            // Those that have rested longest stand first.
            let spare = |l: &mut Link| {
                let go = over > 0 || now - l.idle_since > IDLE_S;
                over = over.saturating_sub(1);
                go
            };
            idle.extract_if(.., spare).collect()
        };
        drop(old);
        self.conns.set_limit(self.share.get().limit(now));
    }

    /// The idle connection that is nearest to these values and still stands.
    fn take_idle(&self, values: &Values, scratch: &net::Scratch) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        loop {
            // The one used last among equals: the others may then rest until they are closed.
            let (at, _) = idle.iter().enumerate().rev().min_by_key(|(_, l)| l.held.distance(values))?;
            let mut link = idle.swap_remove(at);
            if !link.is_spent(scratch) {
                return Some(link);
            }
        }
    }

    fn put_idle(&self, mut link: Link) {
        // The share may have shrunk meanwhile.
        let mut idle = self.idle.borrow_mut();
        if idle.len() + self.conns.busy() <= self.share.get().limit(clock::now()).max(1) {
            link.rest();
            idle.push(link);
        }
    }
}

/// Whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// 0 goes first.
    pub rank: u32,
    /// Whoever is let in by this second can still make its aim.
    pub aim: f64,
    /// Nobody waits longer than until this second.
    pub give_up: f64,
}

/// No connection is had, and nothing has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NotHad {
    /// The server can't be reached, or is another one.
    Unreachable,
    /// So many wait that its turn would come too late: in so many seconds.
    Busy(f64),
}

/// How the connection of a `Checkout` may be left.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Left {
    /// As it was taken: for the next.
    Clean,
    /// A statement outside a transaction is unanswered: nobody may have it until the answer is in.
    Pending,
    /// Closed: a transaction is open, or nobody knows what it holds.
    Closed,
}

/// What became of a statement that gave no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// Nothing of it was sent.
    Unsent,
    /// It was sent, in part at least, and the connection broke off.
    Broken,
    /// It was sent, and there is no answer yet.
    Silent,
    /// It was sent and the answer is overdue, while what was sent later is answered: lost, most likely.
    Overdue,
    /// A part of its answer was passed on to a client who has gone.
    Gone,
}

impl Lost {
    /// Whether the statement may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Lost::Unsent => Verdict::NotRun,
            Lost::Broken | Lost::Silent | Lost::Overdue | Lost::Gone => Verdict::MayHaveRun,
        }
    }
}

/// A connection in use by one client, with its places at the server. Dropping it leaves the connection as it may be
/// left.
pub struct Checkout {
    edge: Rc<Edge>,
    /// The server's pool.
    pub pool: Rc<Pool>,
    link: Option<Link>,
    conn: Option<Permit>,
    slot: Option<Permit>,
    left: Left,
    /// Own changes were made inside the transaction that is open.
    changed_inside: bool,
    keeps: bool,
    unanswered: Option<Unanswered>,
    /// What was asked last takes a slot of the server, so that its answer tells the pace.
    paced: bool,
}

impl Checkout {
    /// Waits for a connection, makes it hold exactly these values and know this shape, and waits for a place to work if
    /// what comes next `works`, which takes a slot of the server. Our own statements take none.
    pub async fn take(
        edge: &Rc<Edge>, pool: &Rc<Pool>, turn: &Turn, values: &Values, shape: Option<&Shape>, works: bool,
    ) -> Result<Self, NotHad> {
        let conn = pool.enter(&pool.conns, turn).await?;
        let mut pause = FULL_PAUSE_S;
        let link = loop {
            if let Some(link) = pool.take_idle(values, &edge.scratch) {
                break link;
            }
            let server = &pool.server;
            let who = &edge.limits.name;
            let opening = Unanswered::new(pool, clock::now(), false);
            let opened = Link::open(server.endpoint, &server.service, who, &server.id, &edge.scratch).await;
            drop(opening);
            match opened {
                Ok((link, position)) => {
                    pool.answered(position);
                    log::debug!("event=server_connection server={}", server.id);
                    break link;
                }
                Err(OpenError::Full) => {
                    let now = clock::now();
                    let mut share = pool.share.get();
                    share.refused(now);
                    pool.share.set(share);
                    pool.conns.set_limit(share.limit(now));
                    log::debug!("event=connection_limit server={}", server.id);
                    sleep_until(now + pause).await;
                    pause = (pause * 2.0).min(8.0 * FULL_PAUSE_S);
                }
                Err(error) => {
                    pool.unreachable();
                    log::debug!("event=no_connection server={} error={error:?}", server.id);
                    return Err(NotHad::Unreachable);
                }
            }
        };
        let mut checkout = Self {
            edge: edge.clone(),
            pool: pool.clone(),
            link: Some(link),
            conn: Some(conn),
            slot: None,
            left: Left::Clean,
            changed_inside: false,
            keeps: false,
            unanswered: None,
            paced: false,
        };
        checkout.hold(values, shape).await.map_err(|()| NotHad::Unreachable)?;
        if works {
            checkout.slot = Some(pool.enter(&pool.slots, turn).await?);
        }
        Ok(checkout)
    }

    /// Makes the connection hold exactly these values and know this shape. On failure it is closed.
    pub async fn hold(&mut self, values: &Values, shape: Option<&Shape>) -> Result<(), ()> {
        let Some(link) = &mut self.link else { return Err(()) };
        let changes = link.held.changes(values, shape);
        if changes.is_empty() {
            return Ok(());
        }
        let inside = self.left == Left::Closed;
        let state = if inside { State::Open } else { State::Idle };
        // Until all are acknowledged nobody knows what it holds.
        self.left = Left::Closed;
        let mut bytes = Vec::new();
        for change in &changes {
            bytes.extend_from_slice(format!("QUERY - {}\r\n", change.text()).as_bytes());
        }
        let edge = &self.edge;
        let (sent, pool) = (clock::now(), &self.pool);
        let made = async {
            link.send(&bytes).await.map_err(drop)?;
            for change in &changes {
                let mut answer = Answer::default();
                let outcome = link.answer(&mut answer, &edge.scratch).await?.ok_or(())?;
                if outcome.error.is_some() || outcome.state != state {
                    return Err(());
                }
                link.held.acknowledged(change);
            }
            pool.travelled(sent);
            Ok(())
        };
        // Another connection does as well: an answer that most likely is lost isn't waited for.
        let lost = async {
            loop {
                sleep_until(clock::now() + pool.pace().patience(0.0)).await;
                if pool.last_answered.get() > sent {
                    return Err(());
                }
            }
        };
        match net::until(sent + OWN_S, or(made, lost)).await {
            Some(Ok(())) => {
                self.left = if inside { Left::Closed } else { Left::Clean };
                self.changed_inside |= inside;
                Ok(())
            }
            _ => {
                self.pool.broke();
                self.link = None;
                Err(())
            }
        }
    }

    /// The number in our name for this shape, on this connection.
    pub fn number(&self, shape: &Shape) -> Option<u32> {
        self.link.as_ref().and_then(|l| l.held.number(shape))
    }

    /// Waits for a place to work with what has only just begun, by its rank and aim; false if none is had in time.
    pub async fn enter_first(&mut self, turn: &Turn) -> bool {
        let pool = self.pool.clone();
        let entered = net::until(turn.give_up, pool.enter(&pool.slots, turn)).await;
        self.slot = entered.and_then(Result::ok);
        self.slot.is_some()
    }

    /// Waits for a place to work, if it has none. Whoever has begun keeps others waiting: it goes first.
    pub async fn enter(&mut self) {
        if self.slot.is_none() {
            self.slot = Some(self.pool.slots.enter(0, f64::INFINITY).await);
        }
    }

    /// Gives the place to work back.
    pub fn leave(&mut self) {
        self.slot = None;
    }

    /// What is asked next is a `COMMIT`: own changes inside the transaction then last.
    pub fn keep_changes(&mut self) {
        self.keeps = true;
    }

    /// Sends a statement and waits for its outcome until this second. `answer` then holds what is to be passed on;
    /// long answers are passed on in parts by `pass`, which tells whether the client is still there.
    pub async fn ask(
        &mut self, line: &[u8], answer: &mut Answer, at: f64, pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, Lost> {
        let Some(link) = &mut self.link else { return Err(Lost::Unsent) };
        let sent = clock::now();
        // Under the lease at this moment no other primary exists, so its log has all that was acknowledged.
        let leased = self.edge.is_leased(&self.pool.server, sent);
        if self.left == Left::Clean {
            self.left = Left::Pending;
        }
        match net::until(at, link.send(line)).await {
            Some(Ok(())) => {}
            other => {
                self.link = None;
                self.pool.broke();
                return Err(if matches!(other, Some(Err(e)) if e.none) {
                    Lost::Unsent
                } else {
                    Lost::Broken
                });
            }
        }
        // What is our own takes no slot there: it tells nothing of the pace.
        self.paced = !line.starts_with(b"QUERY - ");
        self.unanswered = Some(Unanswered::new(&self.pool, sent, leased));
        self.wait(answer, at, pass).await
    }

    /// As `ask`; `Overdue` as soon as the answer of a statement with this aim (seconds) most likely is lost.
    pub async fn ask_patiently(
        &mut self, line: &[u8], answer: &mut Answer, target: f64, at: f64, pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, Lost> {
        let look = |now: f64, pool: &Pool| (now + pool.pace().patience(target)).min(at);
        let first = look(clock::now(), &self.pool);
        let mut outcome = self.ask(line, answer, first, &pass).await;
        while outcome == Err(Lost::Silent) {
            let now = clock::now();
            if now >= at {
                break;
            }
            if self.is_overtaken() {
                return Err(Lost::Overdue);
            }
            // Until others are answered nothing tells this one from them.
            let next = look(now, &self.pool).min(now + LOOK_S);
            outcome = self.wait(answer, next, &pass).await;
        }
        outcome
    }

    /// Waits on, until this second, for the outcome of what was asked and is `Silent`.
    pub async fn wait(
        &mut self, answer: &mut Answer, at: f64, pass: impl AsyncFn(&[u8]) -> bool,
    ) -> Result<Outcome, Lost> {
        let Some(link) = &mut self.link else { return Err(Lost::Broken) };
        loop {
            match net::until(at, link.answer(answer, &self.edge.scratch)).await {
                None => return Err(Lost::Silent),
                Some(Err(())) => {
                    self.link = None;
                    self.unanswered = None;
                    self.pool.broke();
                    return Err(Lost::Broken);
                }
                Some(Ok(None)) => {
                    if let Some(asked) = &mut self.unanswered {
                        asked.partly = true;
                    }
                    if !pass(&answer.raw).await {
                        return Err(Lost::Gone);
                    }
                    answer.raw.clear();
                }
                Some(Ok(Some(outcome))) => {
                    self.pool.answered(outcome.position);
                    let idle = outcome.state == State::Idle;
                    if let Some(asked) = self.unanswered.take() {
                        if self.paced {
                            self.pool.paced(asked.sent);
                        } else {
                            self.pool.travelled(asked.sent);
                        }
                        if asked.leased && idle {
                            self.edge.sample(&self.pool.server, asked.sent, outcome.position);
                        }
                    }
                    let clean = idle && link.is_clean() && outcome.error != Some(Code::Unknown);
                    self.left = if clean { Left::Clean } else { Left::Closed };
                    let kept = self.keeps && outcome.error.is_none();
                    if idle && std::mem::take(&mut self.changed_inside) && !kept {
                        // Nobody has said whether an end that rolls back takes values back, too.
                        link.held.doubt();
                    }
                    return Ok(outcome);
                }
            }
        }
    }

    /// The server has answered what was sent after this statement, so that its answer may be lost.
    pub fn is_overtaken(&self) -> bool {
        self.unanswered.as_ref().is_some_and(|u| !u.partly && self.pool.last_answered.get() > u.sent)
    }

    /// Rolls an open transaction back, apart, so that the connection is of use again.
    pub fn roll_back(mut self) {
        if self.unanswered.is_some() {
            // What comes next on it isn't the answer to our `ABORT`: closing it rolls back, too.
            return;
        }
        let edge = self.edge.clone();
        self.slot = None;
        let work = async move {
            let at = clock::now() + OWN_S;
            let _ = self.ask(b"QUERY - ABORT\r\n", &mut Answer::default(), at, async |_: &[u8]| true).await;
        };
        edge.tasks.spawn(work).detach();
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        match self.left {
            Left::Clean => self.pool.put_idle(link),
            Left::Closed => {}
            Left::Pending => {
                // The server works on it still: its place is taken until it answers, and breaking it off would waste
                // what it did. If the answer is overdue it has most likely been given, and the place is free.
                let overdue = self.is_overtaken();
                let drain = if overdue { OVERDUE_DRAIN_S } else { DRAIN_S };
                let (edge, pool) = (self.edge.clone(), self.pool.clone());
                let slot = self.slot.take().filter(|_| !overdue);
                let unanswered = self.unanswered.take();
                let sent = unanswered.as_ref().filter(|_| self.paced).map(|u| u.sent);
                let permits = (self.conn.take(), slot, unanswered);
                let tasks = edge.tasks.clone();
                let work = async move {
                    let now = clock::now();
                    let drained = net::until(now + drain, async {
                        loop {
                            let mut answer = Answer::default();
                            if let Some(outcome) = link.answer(&mut answer, &edge.scratch).await? {
                                return Ok::<_, ()>(outcome);
                            }
                        }
                    });
                    if let Some(Ok(outcome)) = drained.await {
                        pool.answered(outcome.position);
                        if let Some(sent) = sent {
                            // It was not lost but slow, as others are then.
                            pool.paced(sent);
                        }
                        if outcome.state == State::Idle && outcome.error.is_none() && link.is_clean() {
                            pool.put_idle(link);
                        }
                    }
                    drop(permits);
                };
                tasks.spawn(work).detach();
            }
        }
    }
}

/// A statement without answer, for as long as it is.
struct Unanswered {
    pool: Rc<Pool>,
    sent: f64,
    /// The lease was valid then.
    leased: bool,
    /// A part of its answer has been passed on.
    partly: bool,
}

impl Unanswered {
    fn new(pool: &Rc<Pool>, sent: f64, leased: bool) -> Self {
        pool.unanswered.borrow_mut().push(sent);
        Self { pool: pool.clone(), sent, leased, partly: false }
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let mut all = self.pool.unanswered.borrow_mut();
        if let Some(at) = all.iter().position(|t| *t == self.sent) {
            all.swap_remove(at);
        }
    }
}
