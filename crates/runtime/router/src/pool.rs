//! Connections to nodes: one statement at a time each, the last used first.

use crate::budget::{Budget, Kind, Lease};
use crate::gate::Gate;
use crate::spawn::Tasks;
use crate::wire;
use async_channel::{Sender, bounded};
use async_executor::Task;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::node::{Answer, Heard, Node};
use badgerstream_postgres_protocol::{Close, Memory, Ring, message};
use badgerstream_routing::recovery::{self, OpenDecision, OpenFailure};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An idle connection is retired at this share of the time after which its node closes it.
const RETIRED_AT: f64 = 0.5;

pub(crate) struct Connection {
    stream: Rc<Async<TcpStream>>,
    machine: Node,
    input: Ring,
    output: Ring,
    address: SocketAddr,
    /// Counts as busy until it is dropped or falls idle.
    busy: Option<Busy>,
    /// Given back with the connection.
    lease: Lease,
}

impl Connection {
    /// Sends a query and waits for its answer. `written` is set once its last byte is with the system: until
    /// then the node cannot have begun.
    pub(crate) async fn query(
        &mut self,
        text: &str,
        written: &Cell<bool>,
    ) -> Result<Answer, Close> {
        self.machine.execute(&mut self.output, text);
        wire::write(&self.stream, &mut self.output).await?;
        written.set(true);
        loop {
            if let Some(Heard::Answer(answer)) = self.machine.next(&mut self.input)? {
                return Ok(answer);
            }
            if let Err(close) = wire::read(&self.stream, &mut self.input).await {
                return self.machine.ended().ok_or(close);
            }
        }
    }

    /// Whether nothing has come since it fell idle, its end least of all.
    fn quiet(&mut self) -> bool {
        self.input.is_empty() && wire::read_now(&self.stream, &mut self.input) == Ok(false)
    }
}

/// One of a node's connections that are opening or at work.
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

/// A node that is there may still break a connection as it comes up.
fn refused(e: std::io::Error) -> Close {
    if e.kind() == ErrorKind::ConnectionReset {
        Close::Broken
    } else {
        Close::Refused
    }
}

struct Idle {
    number: u64,
    connection: Connection,
    since: Instant,
    /// Notices at once when the node closes it, or when it has to make room.
    watch: Task<()>,
}

type Waiting = Sender<Result<Connection, Close>>;

#[derive(Default)]
struct Stand {
    idle: Vec<Idle>,
    waiting: VecDeque<Waiting>,
    /// Those that are opening or at work, and those that are opening.
    busy: Rc<Cell<usize>>,
    opening: usize,
    /// When more may be opened is asked again later.
    asks: bool,
}

impl Stand {
    fn counts(&self) -> recovery::ConnectionCounts {
        let opening = self.opening;
        recovery::ConnectionCounts {
            opening,
            busy: self.busy.get().saturating_sub(opening),
            idle: self.idle.len(),
        }
    }
}

/// Idle connections are looked over this often where their number is decided.
const LOOK_OVER: Duration = Duration::from_millis(500);
/// When more may be opened is asked again after this at the latest: a phase may be over.
const ASK_AGAIN: Duration = Duration::from_millis(50);

pub(crate) struct Pool {
    nodes: RefCell<HashMap<u32, Stand>>,
    numbered: Cell<u64>,
    tasks: Tasks,
    budget: Rc<Budget>,
    memory: Rc<Memory>,
    gate: Gate,
    dial_limit: Duration,
    idle_limit: Duration,
}

impl Pool {
    pub(crate) fn new(
        tasks: Tasks,
        budget: Rc<Budget>,
        memory: Rc<Memory>,
        gate: Gate,
        dial_limit: f64,
        node_idle_limit: f64,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            nodes: RefCell::default(),
            numbered: Cell::new(0),
            tasks,
            budget,
            memory,
            gate,
            dial_limit: Duration::from_secs_f64(dial_limit),
            idle_limit: Duration::from_secs_f64(node_idle_limit * RETIRED_AT),
        })
    }

    /// How long a node may take to let a connection in, or to answer a probe.
    pub(crate) fn dial_limit(&self) -> Duration {
        self.dial_limit
    }

    /// An idle connection, else the first that is opened or falls idle. True with it if it had to be waited
    /// for.
    pub(crate) async fn take(
        self: &Rc<Self>,
        node: u32,
        address: SocketAddr,
    ) -> Result<(Connection, bool), Close> {
        while let Some(mut idle) = self.last_idle(node) {
            drop(idle.watch);
            if idle.connection.address == address && idle.connection.quiet() {
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
        if self.gate.ask(|_, _| ()).is_some() {
            self.open_more(node, address);
            return Ok((
                connection.recv().await.unwrap_or(Err(Close::Refused))?,
                true,
            ));
        }
        let (pool, own) = (self.clone(), waiting);
        let dial = async move {
            match pool
                .dial(address, Busy::new(&pool.busy(node)), pool.dial_limit)
                .await
            {
                Ok(connection) => pool.put(node, connection),
                Err(close) => pool.dial_failed(node, &own, close),
            }
        };
        self.tasks.spawn("a connection's opening", dial).detach();
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

    /// How many of a node's connections are busy, and how many are idle.
    pub(crate) fn stand(&self, node: u32) -> (usize, usize) {
        self.nodes
            .borrow()
            .get(&node)
            .map_or((0, 0), |s| (s.busy.get(), s.idle.len()))
    }

    /// How many connections to a node are up.
    pub(crate) fn held(&self, node: u32) -> usize {
        let up = |s: &Stand| s.busy.get().saturating_sub(s.opening) + s.idle.len();
        self.nodes.borrow().get(&node).map_or(0, up)
    }

    #[cfg(test)]
    pub(crate) fn idle(&self) -> usize {
        self.nodes.borrow().values().map(|s| s.idle.len()).sum()
    }

    /// A descriptor for a connection to a node: what waits elsewhere makes room for it.
    async fn lease(&self) -> Lease {
        loop {
            if let Some(lease) = self.budget.for_node() {
                return lease;
            }
            if self.budget.make_room() {
                future::yield_now().await;
            } else {
                self.budget.freed().await;
            }
        }
    }

    /// Opens as many as those that wait need and as may be opened now.
    fn open_more(self: &Rc<Self>, node: u32, address: SocketAddr) {
        loop {
            let stand = {
                let mut nodes = self.nodes.borrow_mut();
                let stand = nodes.entry(node).or_default();
                // Who was cancelled waits no more.
                stand.waiting.retain(|waiting| !waiting.is_closed());
                if stand.opening >= stand.waiting.len() {
                    return;
                }
                stand.counts()
            };
            match self
                .gate
                .ask(|recovery, now| recovery.may_open(now, node, stand))
            {
                None | Some(OpenDecision::Now) => self.open_one(node, address),
                Some(OpenDecision::After(wait)) => return self.ask_again(node, address, wait),
            }
        }
    }

    fn ask_again(self: &Rc<Self>, node: u32, address: SocketAddr, wait: f64) {
        if std::mem::replace(
            &mut self.nodes.borrow_mut().entry(node).or_default().asks,
            true,
        ) {
            return;
        }
        let (pool, wait) = (self.clone(), Duration::from_secs_f64(wait).min(ASK_AGAIN));
        let again = async move {
            Timer::after(wait).await;
            pool.nodes.borrow_mut().entry(node).or_default().asks = false;
            pool.open_more(node, address);
        };
        self.tasks.spawn("a connection's turn", again).detach();
    }

    /// One that is not bound to who asked for it: it serves whoever waits longest, and takes the time that its
    /// node needs.
    fn open_one(self: &Rc<Self>, node: u32, address: SocketAddr) {
        self.nodes.borrow_mut().entry(node).or_default().opening += 1;
        let pool = self.clone();
        let dial = async move {
            let patience = pool.gate.ask(|recovery, _| recovery.connect_timeout_s());
            let patience = patience.map_or(pool.dial_limit, Duration::from_secs_f64);
            let begun = Instant::now();
            let opened = pool
                .dial(address, Busy::new(&pool.busy(node)), patience)
                .await;
            pool.nodes.borrow_mut().entry(node).or_default().opening -= 1;
            match opened {
                Ok(connection) => {
                    let took = begun.elapsed().as_secs_f64();
                    pool.gate
                        .tell(|recovery, now| recovery.connection_opened(now, node, took));
                    pool.put(node, connection);
                }
                Err(close) => {
                    let why = if close == Close::TurnedAway {
                        OpenFailure::NodeFull
                    } else {
                        OpenFailure::Unreachable
                    };
                    pool.gate
                        .tell(|recovery, now| recovery.connection_failed(now, node, why));
                    // Nobody gets one there now: whoever waits may go elsewhere.
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
        self.tasks.spawn("a connection's opening", dial).detach();
    }

    /// Lets an execution that nobody waits for any more end on its connection, for a while: its node has the work
    /// in any case, and a new connection would cost it more.
    pub(crate) fn linger(
        self: &Rc<Self>,
        node: u32,
        run: impl Future<Output = Result<(Connection, Answer), Close>> + 'static,
    ) {
        let Some(linger) = self
            .gate
            .ask(|recovery, _| recovery.linger_s())
            .filter(|linger| *linger > 0.0)
        else {
            return;
        };
        let pool = self.clone();
        let end = async move {
            let ended = wire::within(Duration::from_secs_f64(linger), Close::TimedOut, run).await;
            // What broke or took too long is closed, as it would have been at once.
            if let Ok((connection, _)) = ended {
                pool.put(node, connection);
            }
        };
        self.tasks
            .spawn("an execution that is not waited for", end)
            .detach();
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
                .map_err(refused)?;
            let _ = stream.get_ref().set_nodelay(true);
            let [mut input, mut output] =
                [(); 2].map(|()| Ring::within(message::LONGEST, &self.memory));
            let mut machine = Node::start(&mut output);
            wire::write(&stream, &mut output).await?;
            while machine.next(&mut input)? != Some(Heard::Ready) {
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
        wire::within(limit, Close::Silent, opened).await
    }

    /// Tells who asked for it, unless another connection has come first.
    fn dial_failed(&self, node: u32, own: &Waiting, close: Close) {
        let mut nodes = self.nodes.borrow_mut();
        let waiting = &mut nodes.entry(node).or_default().waiting;
        if let Some(at) = waiting.iter().position(|w| w.same_channel(own)) {
            waiting.remove(at);
            let _ = own.try_send(Err(close));
        }
    }

    /// A connection that is free again: to the first who waits for one, else it stands idle. One that has
    /// ended, even with its answer, serves nobody.
    pub(crate) fn put(self: &Rc<Self>, node: u32, mut connection: Connection) {
        if !connection.quiet() {
            return;
        }
        let mut nodes = self.nodes.borrow_mut();
        let stand = nodes.entry(node).or_default();
        while let Some(waiting) = stand.waiting.pop_front() {
            match waiting.try_send(Ok(connection)) {
                Ok(()) => return,
                // Who waited has been cancelled.
                Err(back) => match back.into_inner() {
                    Ok(back) => connection = back,
                    Err(_) => return,
                },
            }
        }
        let number = self.numbered.get() + 1;
        self.numbered.set(number);
        let (pool, stream) = (Rc::downgrade(self), connection.stream.clone());
        let place = connection.lease.wait(Kind::Node);
        connection.busy = None;
        let watch = self.tasks.spawn("an idle connection", async move {
            loop {
                let told = async { stream.readable().await.is_err() };
                let unwanted = async {
                    place.unwanted().await;
                    true
                };
                let wanted = !future::or(told, unwanted).await;
                // The poller may be mistaken: only what can be read is news.
                if pool
                    .upgrade()
                    .is_none_or(|pool: Rc<Pool>| pool.ended_idle(node, number, wanted))
                {
                    break;
                }
            }
        });
        stand.idle.push(Idle {
            number,
            connection,
            since: Instant::now(),
            watch,
        });
    }

    /// Takes an idle connection away if it is not wanted, has ended or spoken; false if it stays.
    fn ended_idle(&self, node: u32, number: u64, wanted: bool) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let Some(stand) = nodes.get_mut(&node) else {
            return true;
        };
        let Some(at) = stand.idle.iter().position(|i| i.number == number) else {
            return true;
        };
        if wanted && stand.idle[at].connection.quiet() {
            return false;
        }
        stand.idle.remove(at).watch.detach();
        true
    }

    /// Retires what stood idle for long, for as long as the router runs.
    pub(crate) async fn retire(self: Rc<Self>) {
        loop {
            let decided = self.gate.ask(|_, _| ()).is_some();
            Timer::after(if decided {
                LOOK_OVER.min(self.idle_limit / 8)
            } else {
                self.idle_limit / 8
            })
            .await;
            self.nodes.borrow_mut().retain(|node, stand| {
                stand
                    .idle
                    .retain(|idle| idle.since.elapsed() < self.idle_limit);
                let counts = stand.counts();
                if let Some(keep) = self
                    .gate
                    .ask(|recovery, now| recovery.idle_to_keep(now, *node, counts))
                {
                    // The last used are kept.
                    stand.idle.drain(..stand.idle.len().saturating_sub(keep));
                }
                let used =
                    !stand.idle.is_empty() || !stand.waiting.is_empty() || stand.busy.get() > 0;
                used || stand.asks || stand.opening > 0
            });
        }
    }
}
