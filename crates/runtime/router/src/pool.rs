//! Pool of connections to nodes. Each connection executes one statement at a time; the most recently used idle
//! connection is reused first.

use crate::budget::{Budget, Lease, WaitKind};
use crate::restart_pacing::RestartPacing;
use crate::spawn::Tasks;
use crate::wire;
use async_channel::{Sender, bounded};
use async_executor::Task;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::node::{Answer, Node, NodeEvent};
use badgerstream_postgres_protocol::{Close, MemoryBudget, RingBuffer, message};
use badgerstream_routing::recovery::{self, OpenDecision, OpenFailure};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle connections are closed after this share of the idle timeout of their node.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

pub(crate) struct Connection {
    stream: Rc<Async<TcpStream>>,
    machine: Node,
    input: RingBuffer,
    output: RingBuffer,
    address: SocketAddr,
    /// Counts the connection as busy until it is dropped or becomes idle.
    busy: Option<Busy>,
    /// The descriptor of the connection.
    lease: Lease,
}

impl Connection {
    /// Sends a query and waits for its answer. Sets `written` once the last byte is handed to the operating system;
    /// before that the node can't have begun to execute the query.
    pub(crate) async fn query(
        &mut self,
        text: &str,
        written: &Cell<bool>,
    ) -> Result<Answer, Close> {
        self.machine.execute(&mut self.output, text);
        wire::write(&self.stream, &mut self.output).await?;
        written.set(true);
        loop {
            if let Some(NodeEvent::Answer(answer)) = self.machine.next(&mut self.input)? {
                return Ok(answer);
            }
            if let Err(close) = wire::read(&self.stream, &mut self.input).await {
                return self.machine.ended().ok_or(close);
            }
        }
    }

    /// Returns whether the connection is open and has no unread bytes.
    fn is_quiet(&mut self) -> bool {
        self.input.is_empty() && wire::read_now(&self.stream, &mut self.input) == Ok(false)
    }
}

/// Counts one connection of a node as busy, that is opening or executing, until it is dropped.
struct Busy(Rc<Cell<usize>>);

impl Busy {
    fn new(count: &Rc<Cell<usize>>) -> Busy {
        count.set(count.get() + 1);
        Busy(count.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the reason for a failed connect: a reachable node may also reset a connection while it is opened.
fn connect_error(e: std::io::Error) -> Close {
    if e.kind() == ErrorKind::ConnectionReset {
        Close::IoError
    } else {
        Close::Refused
    }
}

struct Idle {
    number: u64,
    connection: Connection,
    since: Instant,
    /// Detects at once that the node closes the connection, or that the budget asks for its descriptor.
    watch: Task<()>,
}

/// An execution that waits for a connection.
type Waiter = Sender<Result<Connection, Close>>;

#[derive(Default)]
struct NodeConnections {
    idle: Vec<Idle>,
    waiting: VecDeque<Waiter>,
    /// Number of connections that are opening or executing.
    busy: Rc<Cell<usize>>,
    /// Number of connections that are opening under restart pacing; included in `busy`.
    opening: usize,
    /// Whether another attempt to open connections is scheduled.
    retry_scheduled: bool,
}

impl NodeConnections {
    fn counts(&self) -> recovery::ConnectionCounts {
        let opening = self.opening;
        recovery::ConnectionCounts {
            opening,
            busy: self.busy.get().saturating_sub(opening),
            idle: self.idle.len(),
        }
    }
}

/// Interval between checks of idle connections if restart pacing limits their number.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum delay before restart pacing is queried again for permission to open connections: its phase may have
/// changed meanwhile.
const MAX_OPEN_RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) struct Pool {
    nodes: RefCell<HashMap<u32, NodeConnections>>,
    last_number: Cell<u64>,
    tasks: Tasks,
    budget: Rc<Budget>,
    memory: Rc<MemoryBudget>,
    restart_pacing: RestartPacing,
    dial_timeout: Duration,
    idle_timeout: Duration,
}

impl Pool {
    pub(crate) fn new(
        tasks: Tasks,
        budget: Rc<Budget>,
        memory: Rc<MemoryBudget>,
        restart_pacing: RestartPacing,
        dial_timeout: f64,
        node_idle_timeout: f64,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            nodes: RefCell::default(),
            last_number: Cell::new(0),
            tasks,
            budget,
            memory,
            restart_pacing,
            dial_timeout: Duration::from_secs_f64(dial_timeout),
            idle_timeout: Duration::from_secs_f64(node_idle_timeout * IDLE_TIMEOUT_SHARE),
        })
    }

    /// Timeout for opening a connection to a node, and for a probe.
    pub(crate) fn dial_timeout(&self) -> Duration {
        self.dial_timeout
    }

    /// Returns an idle connection if there is one, else the first that is opened or becomes idle, and whether it had
    /// to be waited for.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        node: u32,
        address: SocketAddr,
    ) -> Result<(Connection, bool), Close> {
        while let Some(mut idle) = self.last_idle(node) {
            drop(idle.watch);
            if idle.connection.address == address && idle.connection.is_quiet() {
                idle.connection.busy = Some(Busy::new(&self.busy(node)));
                return Ok((idle.connection, false));
            }
        }
        let (waiting, connection) = bounded(1);
        self.nodes
            .borrow_mut()
            .entry(node)
            .or_default()
            .waiting
            .push_back(waiting.clone());
        if self.restart_pacing.query(|_, _| ()).is_some() {
            self.open_more(node, address);
            return Ok((
                connection.recv().await.unwrap_or(Err(Close::Refused))?,
                true,
            ));
        }
        let (pool, own) = (self.clone(), waiting);
        let dial = async move {
            match pool
                .dial(address, Busy::new(&pool.busy(node)), pool.dial_timeout)
                .await
            {
                Ok(connection) => pool.release(node, connection),
                Err(close) => pool.dial_failed(node, &own, close),
            }
        };
        self.tasks.spawn("connection opening", dial).detach();
        let connection = connection.recv().await.unwrap_or(Err(Close::Refused))?;
        Ok((connection, true))
    }

    fn last_idle(&self, node: u32) -> Option<Idle> {
        self.nodes.borrow_mut().get_mut(&node)?.idle.pop()
    }

    fn busy(&self, node: u32) -> Rc<Cell<usize>> {
        self.nodes
            .borrow_mut()
            .entry(node)
            .or_default()
            .busy
            .clone()
    }

    /// Returns the numbers of busy and of idle connections to a node.
    pub(crate) fn connection_counts(&self, node: u32) -> (usize, usize) {
        self.nodes
            .borrow()
            .get(&node)
            .map_or((0, 0), |s| (s.busy.get(), s.idle.len()))
    }

    /// Returns the number of open connections to a node.
    pub(crate) fn open_connections(&self, node: u32) -> usize {
        let open = |s: &NodeConnections| s.busy.get().saturating_sub(s.opening) + s.idle.len();
        self.nodes.borrow().get(&node).map_or(0, open)
    }

    #[cfg(test)]
    pub(crate) fn idle(&self) -> usize {
        self.nodes.borrow().values().map(|s| s.idle.len()).sum()
    }

    /// Waits for a descriptor for a node connection, closing idle connections if necessary.
    async fn lease(&self) -> Lease {
        loop {
            if let Some(lease) = self.budget.for_node() {
                return lease;
            }
            if self.budget.close_one_idle() {
                future::yield_now().await;
            } else {
                self.budget.freed().await;
            }
        }
    }

    /// Opens as many connections as there are waiters, as far as restart pacing allows it now.
    fn open_more(self: &Rc<Self>, node: u32, address: SocketAddr) {
        loop {
            let connections = {
                let mut nodes = self.nodes.borrow_mut();
                let connections = nodes.entry(node).or_default();
                // Remove waiters that were cancelled.
                connections.waiting.retain(|waiting| !waiting.is_closed());
                if connections.opening >= connections.waiting.len() {
                    return;
                }
                connections.counts()
            };
            match self
                .restart_pacing
                .query(|recovery, now| recovery.may_open(now, node, connections))
            {
                None | Some(OpenDecision::Now) => self.open_one(node, address),
                Some(OpenDecision::After(wait)) => return self.schedule_open(node, address, wait),
            }
        }
    }

    /// Schedules another call of `open_more` after `wait` seconds, unless one is already scheduled.
    fn schedule_open(self: &Rc<Self>, node: u32, address: SocketAddr, wait: f64) {
        if std::mem::replace(
            &mut self
                .nodes
                .borrow_mut()
                .entry(node)
                .or_default()
                .retry_scheduled,
            true,
        ) {
            return;
        }
        let (pool, wait) = (
            self.clone(),
            Duration::from_secs_f64(wait).min(MAX_OPEN_RETRY_DELAY),
        );
        let retry = async move {
            Timer::after(wait).await;
            pool.nodes
                .borrow_mut()
                .entry(node)
                .or_default()
                .retry_scheduled = false;
            pool.open_more(node, address);
        };
        self.tasks
            .spawn("delayed connection opening", retry)
            .detach();
    }

    /// Opens a connection for the waiter that has waited longest, independent of who requested it, with the connect
    /// timeout from restart pacing.
    fn open_one(self: &Rc<Self>, node: u32, address: SocketAddr) {
        self.nodes.borrow_mut().entry(node).or_default().opening += 1;
        let pool = self.clone();
        let dial = async move {
            let timeout = pool
                .restart_pacing
                .query(|recovery, _| recovery.connect_timeout_s());
            let timeout = timeout.map_or(pool.dial_timeout, Duration::from_secs_f64);
            let begun = Instant::now();
            let opened = pool
                .dial(address, Busy::new(&pool.busy(node)), timeout)
                .await;
            pool.nodes.borrow_mut().entry(node).or_default().opening -= 1;
            match opened {
                Ok(connection) => {
                    let took = begun.elapsed().as_secs_f64();
                    pool.restart_pacing
                        .record(|recovery, now| recovery.connection_opened(now, node, took));
                    pool.release(node, connection);
                }
                Err(close) => {
                    let failure = if close == Close::TooManyConnections {
                        OpenFailure::NodeFull
                    } else {
                        OpenFailure::Unreachable
                    };
                    pool.restart_pacing
                        .record(|recovery, now| recovery.connection_failed(now, node, failure));
                    // No connection can be opened to this node now: fail the waiters, so that their
                    // statements can be sent to other nodes.
                    let waiting = std::mem::take(
                        &mut pool.nodes.borrow_mut().entry(node).or_default().waiting,
                    );
                    waiting
                        .iter()
                        .for_each(|waiting| drop(waiting.try_send(Err(close))));
                }
            }
            pool.open_more(node, address);
        };
        self.tasks.spawn("connection opening", dial).detach();
    }

    /// Lets an execution that is cancelled or timed out complete on its connection, for a limited time, and then keeps
    /// the connection. The node executes the statement in any case, and opening a new connection would cost it more.
    pub(crate) fn linger(
        self: &Rc<Self>,
        node: u32,
        run: impl Future<Output = Result<(Connection, Answer), Close>> + 'static,
    ) {
        let Some(linger) = self
            .restart_pacing
            .query(|recovery, _| recovery.linger_s())
            .filter(|linger| *linger > 0.0)
        else {
            return;
        };
        let pool = self.clone();
        let completion = async move {
            let ended = wire::within(Duration::from_secs_f64(linger), Close::TimedOut, run).await;
            // On an error or timeout the connection is closed, as it would have been without lingering.
            if let Ok((connection, _)) = ended {
                pool.release(node, connection);
            }
        };
        self.tasks.spawn("cancelled execution", completion).detach();
    }

    async fn dial(
        &self,
        address: SocketAddr,
        busy: Busy,
        limit: Duration,
    ) -> Result<Connection, Close> {
        let lease =
            wire::within(limit, Close::NoDescriptor, async { Ok(self.lease().await) }).await?;
        let opened = async {
            let stream = Async::<TcpStream>::connect(address)
                .await
                .map_err(connect_error)?;
            let _ = stream.get_ref().set_nodelay(true);
            let [mut input, mut output] =
                [(); 2].map(|()| RingBuffer::with_memory(message::MAX_MESSAGE_BYTES, &self.memory));
            let mut machine = Node::start(&mut output);
            wire::write(&stream, &mut output).await?;
            while machine.next(&mut input)? != Some(NodeEvent::Ready) {
                wire::read(&stream, &mut input).await?;
            }
            let stream = Rc::new(stream);
            Ok(Connection {
                stream,
                machine,
                input,
                output,
                address,
                busy: Some(busy),
                lease,
            })
        };
        wire::within(limit, Close::PeerTimeout, opened).await
    }

    /// Fails the waiter that requested the connection, unless it has already received another one.
    fn dial_failed(&self, node: u32, own: &Waiter, close: Close) {
        let mut nodes = self.nodes.borrow_mut();
        let waiting = &mut nodes.entry(node).or_default().waiting;
        if let Some(at) = waiting.iter().position(|w| w.same_channel(own)) {
            waiting.remove(at);
            let _ = own.try_send(Err(close));
        }
    }

    /// Returns a connection to the pool: passes it to the first waiter, or keeps it as idle. Drops a connection that
    /// the node has closed, even if it did so together with its answer.
    pub(crate) fn release(self: &Rc<Self>, node: u32, mut connection: Connection) {
        if !connection.is_quiet() {
            return;
        }
        let mut nodes = self.nodes.borrow_mut();
        let connections = nodes.entry(node).or_default();
        while let Some(waiting) = connections.waiting.pop_front() {
            match waiting.try_send(Ok(connection)) {
                Ok(()) => return,
                // The waiter was cancelled.
                Err(back) => match back.into_inner() {
                    Ok(back) => connection = back,
                    Err(_) => return,
                },
            }
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (pool, stream) = (Rc::downgrade(self), connection.stream.clone());
        let entry = connection.lease.register_idle(WaitKind::IdleNode);
        connection.busy = None;
        let watch = self.tasks.spawn("idle connection watch", async move {
            loop {
                let failed = async { stream.readable().await.is_err() };
                let close_requested = async {
                    entry.close_requested().await;
                    true
                };
                let keep = !future::or(failed, close_requested).await;
                // The poller may report readiness by mistake, so the check reads from the socket.
                if pool
                    .upgrade()
                    .is_none_or(|pool: Rc<Pool>| pool.remove_if_ended(node, number, keep))
                {
                    break;
                }
            }
        });
        connections.idle.push(Idle {
            number,
            connection,
            since: Instant::now(),
            watch,
        });
    }

    /// Removes an idle connection unless `keep` is set and the connection is open without unread bytes. Returns whether
    /// it is no longer in the pool.
    fn remove_if_ended(&self, node: u32, number: u64, keep: bool) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let Some(connections) = nodes.get_mut(&node) else {
            return true;
        };
        let Some(at) = connections.idle.iter().position(|i| i.number == number) else {
            return true;
        };
        if keep && connections.idle[at].connection.is_quiet() {
            return false;
        }
        connections.idle.remove(at).watch.detach();
        true
    }

    /// Periodically closes connections that have been idle for too long, while the router runs.
    pub(crate) async fn retire_idle(self: Rc<Self>) {
        loop {
            let is_paced = self.restart_pacing.query(|_, _| ()).is_some();
            Timer::after(if is_paced {
                IDLE_CHECK_INTERVAL.min(self.idle_timeout / 8)
            } else {
                self.idle_timeout / 8
            })
            .await;
            self.nodes.borrow_mut().retain(|node, connections| {
                connections
                    .idle
                    .retain(|idle| idle.since.elapsed() < self.idle_timeout);
                let counts = connections.counts();
                if let Some(keep) = self
                    .restart_pacing
                    .query(|recovery, now| recovery.idle_to_keep(now, *node, counts))
                {
                    // Keep the most recently used ones.
                    connections
                        .idle
                        .drain(..connections.idle.len().saturating_sub(keep));
                }
                let used = !connections.idle.is_empty()
                    || !connections.waiting.is_empty()
                    || connections.busy.get() > 0;
                used || connections.retry_scheduled || connections.opening > 0
            });
        }
    }
}
