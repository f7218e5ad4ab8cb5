//! The way into the decisions, for every front: facts in, final answers and orders out. It owns the clock,
//! the statements' numbers and the Instance, and knows no protocol: `S` is whatever a front executes, `A`
//! whatever an execution brings back.

use async_channel::{Receiver, Sender, bounded};
use badgerstream_routing::recovery::Recovery;
use badgerstream_routing::{ExecutionOutcome, Instance, Outbox, Role};

/// What a load report tells of its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Report {
    pub primary: Option<bool>,
    /// Minus infinity where none was told.
    pub lsn: f64,
    /// Up to where its log was taken over from the primary before it, and since when it leads.
    pub took_over: Option<(f64, f64)>,
    /// How many connections it holds, and how many were opened there in the last 100 ms.
    pub connections: Option<(f64, f64)>,
    /// How many connections it holds by the field that counts routers, and how many of them are this router's.
    pub held: Option<(f64, f64)>,
}

impl Report {
    /// What it tells beyond role and position.
    pub(crate) fn tell(&self, instance: &mut Instance, now: f64, node: u32) {
        if let Some((branch, promoted)) = self.took_over {
            instance.record_promotion(now, node, branch, promoted);
        }
        if let Some((held, opened)) = self.connections {
            instance.opens_reported(now, node, held, opened);
        }
        if let Some((held, own)) = self.held {
            instance.connections_reported(now, node, held, own);
        }
    }
}

/// The fields of a load report that tell the last two of these, where settings name them.
#[derive(Clone, Default)]
pub(crate) struct Fields {
    pub log: Option<Rc<(String, String)>>,
    pub connections: Option<Rc<(String, String)>>,
    pub held: Option<Rc<String>>,
}

use futures_lite::future;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Never goes back. It starts at Unix time, so that positions and births told by others share it.
pub(crate) struct Clock {
    anchor: f64,
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: since.as_secs_f64(),
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> f64 {
        self.anchor + self.start.elapsed().as_secs_f64()
    }
}

/// The one final answer of a statement.
#[derive(Debug, PartialEq)]
pub(crate) enum Final<A> {
    Completed(A),
    /// Trying again is harmless, after so many seconds.
    Rejected(f64),
    Aborted,
}

/// What the front has to do. An execution is no longer wanted once its channel is closed.
pub(crate) enum Order<S> {
    /// `asks`: not the statement itself is sent, but the question how an earlier execution of it ended.
    Execute {
        stmt: u32,
        execution: u8,
        node: u32,
        limit: f64,
        asks: bool,
        statement: Rc<S>,
        unwanted: Receiver<()>,
    },
    Probe {
        node: u32,
    },
}

struct Taken<S, A> {
    statement: Rc<S>,
    answer: Sender<Final<A>>,
    executions: u8,
}

struct Running {
    node: u32,
    sent: f64,
    wanted: Sender<()>,
}

struct Inner<S, A> {
    instance: Instance,
    clock: Clock,
    numbered: u32,
    /// When the instance asked to be woken, in microseconds: a later asking takes none of them back.
    wakes: BTreeSet<u64>,
    /// Lives until the final answer.
    taken: HashMap<u32, Taken<S, A>>,
    /// Lives until the execution's end, which may come after its statement's.
    running: HashMap<(u32, u8), Running>,
}

pub(crate) struct Desk<S: 'static, A: 'static> {
    inner: RefCell<Inner<S, A>>,
    told: (Sender<()>, Receiver<()>),
}

/// A statement that was taken. Dropped before its answer, its client has gone.
pub(crate) struct Ticket<S: 'static, A: 'static> {
    desk: Rc<Desk<S, A>>,
    stmt: u32,
    answer: Receiver<Final<A>>,
}

impl<S: 'static, A: 'static> Ticket<S, A> {
    pub(crate) async fn answer(&self) -> Final<A> {
        self.answer.recv().await.unwrap_or(Final::Aborted)
    }
}

impl<S: 'static, A: 'static> Drop for Ticket<S, A> {
    fn drop(&mut self) {
        let stmt = self.stmt;
        let mut inner = self.desk.inner.borrow_mut();
        if inner.taken.remove(&stmt).is_some() {
            inner.instance.abandoned(stmt);
            self.desk.touch();
        }
    }
}

/// An execution that is out. Dropped without a word, its connection's end is all that is known.
pub(crate) struct Out<S: 'static, A: 'static> {
    desk: Rc<Desk<S, A>>,
    key: (u32, u8),
}

impl<S: 'static, A: 'static> Out<S, A> {
    /// It ended. `lsn` is minus infinity where none was told, a report tells role and position.
    pub(crate) fn ended(
        self,
        ending: ExecutionOutcome,
        role: Option<Role>,
        lsn: f64,
        report: Option<Report>,
        answer: Option<A>,
    ) {
        self.desk
            .executed(self.key, ending, role, lsn, report, answer);
    }
}

impl<S: 'static, A: 'static> Drop for Out<S, A> {
    fn drop(&mut self) {
        self.desk.executed(
            self.key,
            ExecutionOutcome::ConnectionLost,
            None,
            f64::NEG_INFINITY,
            None,
            None,
        );
    }
}

impl<S: 'static, A: 'static> Desk<S, A> {
    pub(crate) fn new(instance: Instance, clock: Clock) -> Rc<Desk<S, A>> {
        let (taken, running) = (HashMap::new(), HashMap::new());
        let inner = Inner {
            instance,
            clock,
            numbered: 0,
            wakes: BTreeSet::new(),
            taken,
            running,
        };
        Rc::new(Desk {
            inner: RefCell::new(inner),
            told: bounded(1),
        })
    }

    /// Tells the instance a fact; it settles once all that is ready now has been told.
    pub(crate) fn tell<T>(&self, fact: impl FnOnce(&mut Instance, f64) -> T) -> T {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let told = fact(&mut inner.instance, now);
        self.touch();
        told
    }

    fn touch(&self) {
        // A full channel says the same.
        let _ = self.told.0.try_send(());
    }

    /// Takes a statement whose last byte has just arrived. `wait` is how long its client waits, `after` the
    /// position that it must see.
    pub(crate) fn arrived(
        self: &Rc<Self>,
        statement: S,
        workload: usize,
        group: u16,
        session: u64,
        customer: usize,
        wait: f64,
        after: Option<f64>,
    ) -> Ticket<S, A> {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        inner.numbered = inner.numbered.wrapping_add(1);
        let stmt = inner.numbered;
        // 0 would mean that nothing was written; a commit that is rounded up may lie just ahead.
        let age = after.map_or(0.0, |at| (now - at).max(1e-6));
        inner.instance.arrived(
            now,
            stmt,
            workload,
            group,
            session,
            customer,
            0.0,
            now + wait,
            age,
        );
        let (sender, answer) = bounded(1);
        let taken = Taken {
            statement: Rc::new(statement),
            answer: sender,
            executions: 0,
        };
        inner.taken.insert(stmt, taken);
        self.touch();
        Ticket {
            desk: self.clone(),
            stmt,
            answer,
        }
    }

    /// What is known of a statement beside its routing, see [`Instance::carries`].
    pub(crate) fn carries(&self, ticket: &Ticket<S, A>, bytes: usize, marked: bool) {
        self.inner
            .borrow_mut()
            .instance
            .describe_statement(ticket.stmt, bytes, marked);
    }

    /// The fields of load reports in which nodes tell of their logs and of their connections, if any do.
    pub(crate) fn fields(&self) -> Fields {
        let inner = self.inner.borrow();
        let pair =
            |(a, b): (&String, &String)| (!a.is_empty()).then(|| Rc::new((a.clone(), b.clone())));
        let succession = inner.instance.succession.as_ref().map(|of| of.settings());
        let recovery = inner.instance.recovery.as_ref().map(|of| of.settings());
        let fleet = inner.instance.fleet.as_ref().map(|of| of.settings());
        Fields {
            log: succession.and_then(|of| pair((&of.branch_field, &of.promoted_field))),
            connections: recovery.and_then(|of| pair((&of.held_field, &of.opened_field))),
            held: fleet
                .filter(|of| !of.held_field.is_empty())
                .map(|of| Rc::new(of.held_field.clone())),
        }
    }

    /// Asks what coming back allows; none where nothing is held back. With `tells`, the instance looks again at
    /// what waits.
    pub(crate) fn recovery<T>(
        &self,
        tells: bool,
        ask: impl FnOnce(&mut Recovery, f64) -> T,
    ) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let told = ask(inner.instance.recovery.as_mut()?, now);
        if tells {
            self.touch();
        }
        Some(told)
    }

    /// Whether any node of such a group was ever listed.
    pub(crate) fn knows_group(&self, group: u16) -> bool {
        self.inner.borrow().instance.groups.contains_key(&group)
    }

    pub(crate) fn out(self: &Rc<Self>, stmt: u32, execution: u8) -> Out<S, A> {
        Out {
            desk: self.clone(),
            key: (stmt, execution),
        }
    }

    /// Whether what let an execution go still holds, for one that had to wait for its connection: a drain
    /// counts from the first byte, the age of data from the last.
    pub(crate) fn still_stands(&self, stmt: u32, node: u32) -> bool {
        let inner = self.inner.borrow();
        let (now, instance) = (inner.clock.now(), &inner.instance);
        let Some(known) = instance.nodes.get(&node) else {
            return false;
        };
        let current = instance
            .statements
            .get(&stmt)
            .is_some_and(|s| instance.fresh_enough(s, node, now));
        current && !known.is_closed(&instance.drain, true, now)
    }

    /// Every end of an execution comes through here, once.
    fn executed(
        &self,
        key: (u32, u8),
        ending: ExecutionOutcome,
        role: Option<Role>,
        lsn: f64,
        report: Option<Report>,
        answer: Option<A>,
    ) {
        let mut inner = self.inner.borrow_mut();
        let Some(running) = inner.running.remove(&key) else {
            return;
        };
        let (now, (stmt, execution)) = (inner.clock.now(), key);
        let vain = ending == ExecutionOutcome::Completed
            && !inner.instance.trusts_completion(stmt, running.node);
        let ending = if vain {
            ExecutionOutcome::ConnectionLost
        } else {
            ending
        };
        if let (ExecutionOutcome::Completed, Some(answer)) = (ending, answer)
            && let Some(taken) = inner.taken.remove(&stmt)
        {
            let _ = taken.answer.try_send(Final::Completed(answer));
        }
        let over = !inner.taken.contains_key(&stmt);
        let (node, took) = (running.node, now - running.sent);
        inner
            .instance
            .executed(now, stmt, execution, node, ending, took, over, role, lsn);
        if let Some(report) = report {
            inner
                .instance
                .reported(now, node, report.primary, report.lsn);
            report.tell(&mut inner.instance, now, node);
        }
        self.touch();
    }

    /// Settles whenever something was told or the instance asked to be woken.
    pub(crate) async fn run(self: Rc<Self>, carry: impl Fn(Order<S>)) {
        let mut timer = async_io::Timer::never();
        loop {
            // What else is ready at this moment is told first.
            future::yield_now().await;
            let _ = self.told.1.try_recv();
            if let Some(after) = self.settle(&carry) {
                timer.set_after(after);
            }
            let told = async {
                let _ = self.told.1.recv().await;
            };
            let woken = async {
                (&mut timer).await;
            };
            future::or(told, woken).await;
        }
    }

    /// One settling, and what it asks for; tells when the next is due, if nothing is told before.
    pub(crate) fn settle(&self, carry: &impl Fn(Order<S>)) -> Option<Duration> {
        let mut asked = Asked::default();
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        inner.instance.settle(now, &mut asked);
        let wakes = asked
            .wakes
            .iter()
            .map(|after| ((now + after.clamp(0.0, 3600.0)) * 1e6) as u64 + 1);
        inner.wakes.extend(wakes);
        let now_us = (now * 1e6) as u64;
        inner.wakes = inner.wakes.split_off(&(now_us + 1));
        let next = inner
            .wakes
            .first()
            .map(|at| Duration::from_micros(at - now_us));
        drop(inner);
        for line in asked.lines {
            tracing::info!("{line}");
        }
        for action in asked.actions {
            match action {
                Action::Execute(stmt, node, limit, asks) => {
                    self.execute(now, stmt, node, limit, asks, carry);
                }
                Action::Cancel(stmt, execution) => self.cancel(stmt, execution),
                Action::Conclude(stmt, last) => self.conclude(stmt, last),
                Action::Probe(node) => carry(Order::Probe { node }),
            }
        }
        next
    }

    fn execute(
        &self,
        now: f64,
        stmt: u32,
        node: u32,
        limit: f64,
        asks: bool,
        carry: &impl Fn(Order<S>),
    ) {
        let mut inner = self.inner.borrow_mut();
        let Some(taken) = inner.taken.get_mut(&stmt) else {
            tracing::error!("statement {stmt} is over and was to be executed");
            return;
        };
        let (execution, statement) = (taken.executions, taken.statement.clone());
        taken.executions += 1;
        let (wanted, unwanted) = bounded(1);
        inner.running.insert(
            (stmt, execution),
            Running {
                node,
                sent: now,
                wanted,
            },
        );
        drop(inner);
        carry(Order::Execute {
            stmt,
            execution,
            node,
            limit,
            asks,
            statement,
            unwanted,
        });
    }

    /// Its end is told by who executes it: an answer that is there already still counts for what it tells.
    fn cancel(&self, stmt: u32, execution: u8) {
        if let Some(running) = self.inner.borrow().running.get(&(stmt, execution)) {
            running.wanted.close();
        }
    }

    fn conclude(&self, stmt: u32, last: Final<A>) {
        if let Some(taken) = self.inner.borrow_mut().taken.remove(&stmt) {
            let _ = taken.answer.try_send(last);
        }
    }
}

enum Action<A> {
    Execute(u32, u32, f64, bool),
    Cancel(u32, u8),
    Conclude(u32, Final<A>),
    Probe(u32),
}

/// Nothing is carried out while the instance is borrowed.
struct Asked<A> {
    actions: Vec<Action<A>>,
    lines: Vec<String>,
    wakes: Vec<f64>,
}

impl<A> Default for Asked<A> {
    fn default() -> Asked<A> {
        Asked {
            actions: Vec::new(),
            lines: Vec::new(),
            wakes: Vec::new(),
        }
    }
}

impl<A> Outbox for Asked<A> {
    fn execute(&mut self, stmt: u32, node: u32, limit: f64) {
        self.actions.push(Action::Execute(stmt, node, limit, false));
    }

    fn inquire(&mut self, stmt: u32, node: u32, limit: f64) {
        self.actions.push(Action::Execute(stmt, node, limit, true));
    }

    fn cancel(&mut self, stmt: u32, execution: u8) {
        self.actions.push(Action::Cancel(stmt, execution));
    }

    fn reject(&mut self, stmt: u32, retry_after: f64) {
        self.actions
            .push(Action::Conclude(stmt, Final::Rejected(retry_after)));
    }

    fn abort(&mut self, stmt: u32) {
        self.actions.push(Action::Conclude(stmt, Final::Aborted));
    }

    fn probe(&mut self, node: u32) {
        self.actions.push(Action::Probe(node));
    }

    fn wake(&mut self, after: f64) {
        self.wakes.push(after);
    }

    fn log(&mut self, line: &str) {
        self.lines.push(line.to_string());
    }
}
