//! Connects the routing [`Instance`] to the tasks of the router: passes events to the instance, and final answers
//! and orders back. Owns the clock and the statement numbers, and is independent of the protocol: `S` is the type of
//! a statement, `A` the type of an answer.

use async_channel::{Receiver, Sender, bounded};
use badgerstream_routing::recovery::Recovery;
use badgerstream_routing::{ExecutionOutcome, Instance, Outbox, Role};

/// Contents of a node's load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Report {
    /// Whether the node is the primary.
    pub primary: Option<bool>,
    /// Replication position, in seconds of Unix time; minus infinity if the report has none.
    pub lsn: f64,
    /// Position up to which the node's log comes from the previous primary, and the time of its promotion.
    pub promotion: Option<(f64, f64)>,
    /// Number of connections open at the node, and of those opened in the last 100 ms.
    pub connections: Option<(f64, f64)>,
    /// Number of connections open at the node according to the field used to count routers, and the number of those
    /// that belong to this router.
    pub fleet_connections: Option<(f64, f64)>,
}

impl Report {
    /// Passes the contents other than role and position to the instance.
    pub(crate) fn apply(&self, instance: &mut Instance, now: f64, node: u32) {
        if let Some((branch, promoted)) = self.promotion {
            instance.record_promotion(now, node, branch, promoted);
        }
        if let Some((held, opened)) = self.connections {
            instance.opens_reported(now, node, held, opened);
        }
        if let Some((held, own)) = self.fleet_connections {
            instance.connections_reported(now, node, held, own);
        }
    }
}

/// Names of the load report fields for the optional contents of a [`Report`], where the settings name them.
#[derive(Clone, Default)]
pub(crate) struct ReportFields {
    pub promotion: Option<Rc<(String, String)>>,
    pub connections: Option<Rc<(String, String)>>,
    pub fleet_connections: Option<Rc<String>>,
}

use futures_lite::future;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts at Unix time, so that it is comparable with positions and start times reported by
/// other processes.
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

/// Final answer to a statement; each statement gets exactly one.
#[derive(Debug, PartialEq)]
pub(crate) enum Final<A> {
    Completed(A),
    /// The statement may be retried without harm after this number of seconds.
    Rejected(f64),
    /// It is unknown whether the statement was executed.
    Aborted,
}

/// An instruction of the instance that the router has to carry out.
pub(crate) enum Order<S> {
    /// Execute a statement on a node within `limit` seconds. With `is_inquiry`, the router sends an inquiry about the
    /// outcome of an earlier execution instead of the statement. The execution is cancelled once the channel
    /// `cancelled` is closed.
    Execute {
        stmt: u32,
        execution: u8,
        node: u32,
        limit: f64,
        is_inquiry: bool,
        statement: Rc<S>,
        cancelled: Receiver<()>,
    },
    Probe {
        node: u32,
    },
}

struct OpenStatement<S, A> {
    statement: Rc<S>,
    answer: Sender<Final<A>>,
    executions: u8,
}

struct Running {
    node: u32,
    sent_at: f64,
    cancel: Sender<()>,
}

struct Inner<S, A> {
    instance: Instance,
    clock: Clock,
    last_number: u32,
    /// Times at which the instance asked to be woken, in microseconds of the clock. A later request does not replace
    /// earlier ones.
    wakes: BTreeSet<u64>,
    /// Statements without a final answer so far.
    open: HashMap<u32, OpenStatement<S, A>>,
    /// Executions that have not ended, by statement and index; one may outlast its statement.
    running: HashMap<(u32, u8), Running>,
}

/// Passes events to the routing instance and carries out its decisions; see the description of the module.
pub(crate) struct Dispatcher<S: 'static, A: 'static> {
    inner: RefCell<Inner<S, A>>,
    changed: (Sender<()>, Receiver<()>),
}

/// Handle of an accepted statement. Dropping it before the answer means that the client has disconnected.
pub(crate) struct Ticket<S: 'static, A: 'static> {
    dispatcher: Rc<Dispatcher<S, A>>,
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
        let mut inner = self.dispatcher.inner.borrow_mut();
        if inner.open.remove(&stmt).is_some() {
            inner.instance.abandoned(stmt);
            self.dispatcher.request_settle();
        }
    }
}

/// Handle of a running execution. Dropping it without calling `ended` reports that the connection was lost.
pub(crate) struct RunningExecution<S: 'static, A: 'static> {
    dispatcher: Rc<Dispatcher<S, A>>,
    key: (u32, u8),
}

impl<S: 'static, A: 'static> RunningExecution<S, A> {
    /// Reports the end of the execution. `lsn` is minus infinity if the answer has no position; `report` is the load
    /// report that came with the answer.
    pub(crate) fn ended(
        self,
        outcome: ExecutionOutcome,
        role: Option<Role>,
        lsn: f64,
        report: Option<Report>,
        answer: Option<A>,
    ) {
        self.dispatcher
            .executed(self.key, outcome, role, lsn, report, answer);
    }
}

impl<S: 'static, A: 'static> Drop for RunningExecution<S, A> {
    fn drop(&mut self) {
        self.dispatcher.executed(
            self.key,
            ExecutionOutcome::ConnectionLost,
            None,
            f64::NEG_INFINITY,
            None,
            None,
        );
    }
}

impl<S: 'static, A: 'static> Dispatcher<S, A> {
    pub(crate) fn new(instance: Instance, clock: Clock) -> Rc<Dispatcher<S, A>> {
        let (open, running) = (HashMap::new(), HashMap::new());
        let inner = Inner {
            instance,
            clock,
            last_number: 0,
            wakes: BTreeSet::new(),
            open,
            running,
        };
        Rc::new(Dispatcher {
            inner: RefCell::new(inner),
            changed: bounded(1),
        })
    }

    /// Passes an event to the instance. The instance settles once all events that are ready now have been passed.
    pub(crate) fn update<T>(&self, event: impl FnOnce(&mut Instance, f64) -> T) -> T {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let result = event(&mut inner.instance, now);
        self.request_settle();
        result
    }

    /// Requests settling.
    fn request_settle(&self) {
        // If the channel is full, settling is already requested.
        let _ = self.changed.0.try_send(());
    }

    /// Accepts a statement whose last byte has just arrived. `wait` is the time its client waits, in seconds; `after`
    /// is the position that the statement must see.
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
        inner.last_number = inner.last_number.wrapping_add(1);
        let stmt = inner.last_number;
        // An age of 0 would mean that the session has not written, but a commit position that was rounded up may lie
        // slightly in the future.
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
        let open = OpenStatement {
            statement: Rc::new(statement),
            answer: sender,
            executions: 0,
        };
        inner.open.insert(stmt, open);
        self.request_settle();
        Ticket {
            dispatcher: self.clone(),
            stmt,
            answer,
        }
    }

    /// Passes the size of a statement and whether it has a deduplication mark, see
    /// [`Instance::describe_statement`].
    pub(crate) fn describe_statement(&self, ticket: &Ticket<S, A>, bytes: usize, marked: bool) {
        self.inner
            .borrow_mut()
            .instance
            .describe_statement(ticket.stmt, bytes, marked);
    }

    /// Returns the names of the optional load report fields in the current settings.
    pub(crate) fn report_fields(&self) -> ReportFields {
        let inner = self.inner.borrow();
        let pair =
            |(a, b): (&String, &String)| (!a.is_empty()).then(|| Rc::new((a.clone(), b.clone())));
        let succession = inner.instance.succession.as_ref().map(|of| of.settings());
        let recovery = inner.instance.recovery.as_ref().map(|of| of.settings());
        let fleet = inner.instance.fleet.as_ref().map(|of| of.settings());
        ReportFields {
            promotion: succession.and_then(|of| pair((&of.branch_field, &of.promoted_field))),
            connections: recovery.and_then(|of| pair((&of.held_field, &of.opened_field))),
            fleet_connections: fleet
                .filter(|of| !of.held_field.is_empty())
                .map(|of| Rc::new(of.held_field.clone())),
        }
    }

    /// Accesses restart pacing; returns `None` if it is off. With `changes`, the instance settles afterwards, so that
    /// waiting statements may proceed.
    pub(crate) fn recovery<T>(
        &self,
        changes: bool,
        access: impl FnOnce(&mut Recovery, f64) -> T,
    ) -> Option<T> {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let result = access(inner.instance.recovery.as_mut()?, now);
        if changes {
            self.request_settle();
        }
        Some(result)
    }

    /// Returns whether a node of this group was ever listed.
    pub(crate) fn knows_group(&self, group: u16) -> bool {
        self.inner.borrow().instance.groups.contains_key(&group)
    }

    pub(crate) fn running_execution(
        self: &Rc<Self>,
        stmt: u32,
        execution: u8,
    ) -> RunningExecution<S, A> {
        RunningExecution {
            dispatcher: self.clone(),
            key: (stmt, execution),
        }
    }

    /// Returns whether an execution that had to wait for its connection may still be sent to the node: the node must
    /// accept new executions, as a drain applies until the first byte is sent, and its data must still be fresh
    /// enough, as their age counts from the last byte of the statement.
    pub(crate) fn may_still_send(&self, stmt: u32, node: u32) -> bool {
        let inner = self.inner.borrow();
        let (now, instance) = (inner.clock.now(), &inner.instance);
        let Some(known) = instance.nodes.get(&node) else {
            return false;
        };
        let fresh_enough = instance
            .statements
            .get(&stmt)
            .is_some_and(|s| instance.fresh_enough(s, node, now));
        fresh_enough && !known.is_closed(&instance.drain, true, now)
    }

    /// Records the end of an execution; called exactly once for each.
    fn executed(
        &self,
        key: (u32, u8),
        outcome: ExecutionOutcome,
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
        let untrusted = outcome == ExecutionOutcome::Completed
            && !inner.instance.trusts_completion(stmt, running.node);
        let outcome = if untrusted {
            ExecutionOutcome::ConnectionLost
        } else {
            outcome
        };
        if let (ExecutionOutcome::Completed, Some(answer)) = (outcome, answer)
            && let Some(open) = inner.open.remove(&stmt)
        {
            let _ = open.answer.try_send(Final::Completed(answer));
        }
        let answered = !inner.open.contains_key(&stmt);
        let (node, took) = (running.node, now - running.sent_at);
        inner.instance.executed(
            now, stmt, execution, node, outcome, took, answered, role, lsn,
        );
        if let Some(report) = report {
            inner
                .instance
                .reported(now, node, report.primary, report.lsn);
            report.apply(&mut inner.instance, now, node);
        }
        self.request_settle();
    }

    /// Settles after events and at the times at which the instance asked to be woken.
    pub(crate) async fn run(self: Rc<Self>, run_order: impl Fn(Order<S>)) {
        let mut timer = async_io::Timer::never();
        loop {
            // Let the tasks that are ready now pass their events first.
            future::yield_now().await;
            let _ = self.changed.1.try_recv();
            if let Some(after) = self.settle(&run_order) {
                timer.set_after(after);
            }
            let changed = async {
                let _ = self.changed.1.recv().await;
            };
            let woken = async {
                (&mut timer).await;
            };
            future::or(changed, woken).await;
        }
    }

    /// Settles once and carries out the resulting actions. Returns the time until the next settling if no event comes
    /// before, or `None` if the instance did not ask to be woken.
    pub(crate) fn settle(&self, run_order: &impl Fn(Order<S>)) -> Option<Duration> {
        let mut collected = Collected::default();
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        inner.instance.settle(now, &mut collected);
        let wakes = collected
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
        for line in collected.lines {
            tracing::info!("{line}");
        }
        for action in collected.actions {
            match action {
                Action::Execute(stmt, node, limit, is_inquiry) => {
                    self.execute(now, stmt, node, limit, is_inquiry, run_order);
                }
                Action::Cancel(stmt, execution) => self.cancel(stmt, execution),
                Action::Conclude(stmt, last) => self.conclude(stmt, last),
                Action::Probe(node) => run_order(Order::Probe { node }),
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
        is_inquiry: bool,
        run_order: &impl Fn(Order<S>),
    ) {
        let mut inner = self.inner.borrow_mut();
        let Some(open) = inner.open.get_mut(&stmt) else {
            tracing::error!(
                "not executing statement {stmt} on node {node}: it is already answered"
            );
            return;
        };
        let (execution, statement) = (open.executions, open.statement.clone());
        open.executions += 1;
        let (cancel, cancelled) = bounded(1);
        inner.running.insert(
            (stmt, execution),
            Running {
                node,
                sent_at: now,
                cancel,
            },
        );
        drop(inner);
        run_order(Order::Execute {
            stmt,
            execution,
            node,
            limit,
            is_inquiry,
            statement,
            cancelled,
        });
    }

    /// Requests cancellation. The executing task still reports the end, since an answer that has already arrived
    /// carries information about its node.
    fn cancel(&self, stmt: u32, execution: u8) {
        if let Some(running) = self.inner.borrow().running.get(&(stmt, execution)) {
            running.cancel.close();
        }
    }

    fn conclude(&self, stmt: u32, last: Final<A>) {
        if let Some(open) = self.inner.borrow_mut().open.remove(&stmt) {
            let _ = open.answer.try_send(last);
        }
    }
}

enum Action<A> {
    /// Statement, node, timeout in seconds, and whether to send an inquiry instead of the statement.
    Execute(u32, u32, f64, bool),
    /// Statement and index of the execution.
    Cancel(u32, u8),
    Conclude(u32, Final<A>),
    Probe(u32),
}

/// Collects what the instance requests while it settles; carried out once the instance is no longer borrowed.
struct Collected<A> {
    actions: Vec<Action<A>>,
    lines: Vec<String>,
    wakes: Vec<f64>,
}

impl<A> Default for Collected<A> {
    fn default() -> Collected<A> {
        Collected {
            actions: Vec::new(),
            lines: Vec::new(),
            wakes: Vec::new(),
        }
    }
}

impl<A> Outbox for Collected<A> {
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
