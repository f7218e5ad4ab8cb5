//! Budget of file descriptors shared by client and node connections, and the order in which idle connections are
//! closed when it runs out.

use async_channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Descriptors reserved for the process itself: standard streams, listener, poller, signal pipe, discovery.
const RESERVED_DESCRIPTORS: usize = 24;

pub(crate) struct Budget {
    used: Cell<usize>,
    clients: Cell<usize>,
    limit: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
    last_number: Cell<u64>,
    idle: RefCell<BTreeMap<CloseRank, IdleConnection>>,
    closing: Cell<Closing>,
}

/// Order in which connections are closed to free descriptors: first clients without a complete message, in the order
/// in which they connected, then the connection that has been idle for longest.
type CloseRank = (bool, u64);

/// Kind of an idle connection, start of its wait, and the channel that requests its closing.
type IdleConnection = (WaitKind, Instant, Sender<()>);

/// Kind of a connection that waits for bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum WaitKind {
    /// A client that has sent no statement yet, or only part of a message.
    Incomplete,
    IdleClient,
    IdleNode,
}

/// Which client connections are closed once they wait for bytes. Clients without a complete message come last,
/// because their first statement may be on its way.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    None,
    IdleClients,
    AllClients,
}

/// Reserves one descriptor until it is dropped.
pub(crate) struct Lease {
    budget: Rc<Budget>,
    client: bool,
    number: u64,
}

/// Registers a connection as waiting for bytes until it is dropped.
pub(crate) struct IdleEntry {
    budget: Rc<Budget>,
    rank: CloseRank,
    close_requests: Receiver<()>,
}

impl Budget {
    pub(crate) fn new(descriptors: usize) -> Rc<Budget> {
        let (used, clients, limit, last_number) = Default::default();
        let (idle, closing) = (RefCell::default(), Cell::new(Closing::None));
        let budget = Rc::new(Budget {
            used,
            clients,
            limit,
            freed: bounded(1),
            last_number,
            idle,
            closing,
        });
        budget.resize(descriptors);
        budget
    }

    /// Changes the number of descriptors. Connections in excess of a smaller budget stay open until they end.
    pub(crate) fn resize(&self, descriptors: usize) {
        self.limit
            .set(descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(8));
        let _ = self.freed.0.try_send(());
    }

    /// Returns the number of connected clients.
    pub(crate) fn clients(&self) -> usize {
        self.clients.get()
    }

    /// Returns a descriptor for a node connection, or `None` if all are in use.
    pub(crate) fn for_node(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.limit.get())
    }

    /// Returns a descriptor for a client connection, or `None` if all of the clients' share are in use. A quarter is
    /// kept for node connections, because accepted statements need them.
    pub(crate) fn for_client(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.limit.get() - self.limit.get() / 4)
    }

    fn lease(self: &Rc<Self>, limit: usize) -> Option<Lease> {
        let used = self.used.get();
        (used < limit).then(|| {
            self.used.set(used + 1);
            Lease {
                budget: self.clone(),
                client: false,
                number: self.next_number(),
            }
        })
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Completes once a connection has ended, or has become idle and could be closed.
    pub(crate) async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Requests that the first idle connection by rank close, and returns whether there was one. It closes once its
    /// task runs, unless it has bytes to read.
    pub(crate) fn close_one_idle(&self) -> bool {
        self.idle
            .borrow_mut()
            .pop_first()
            .is_some_and(|(_, (.., close))| close.try_send(()).is_ok())
    }

    /// From now on closes each idle client, except those without a complete message.
    pub(crate) fn close_idle_clients(&self) {
        self.close(Closing::IdleClients);
    }

    /// From now on closes every client that waits for bytes, including those without a complete message.
    pub(crate) fn close_all_clients(&self) {
        self.close(Closing::AllClients);
    }

    fn close(&self, closing: Closing) {
        self.closing.set(closing);
        for (.., close) in self
            .idle
            .borrow()
            .values()
            .filter(|idle| self.closes(idle.0))
        {
            let _ = close.try_send(());
        }
    }

    /// Closes clients idle for at least `min_idle` while more than a quarter of the budget is used by clients. Some
    /// clients send one statement and never disconnect, and may run out of connections on their own side.
    pub(crate) fn close_excess_idle_clients(&self, min_idle: Duration) {
        let mut excess = self.clients.get().saturating_sub(self.limit.get() / 4);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, (kind, since, close)| {
            let closes = *kind == WaitKind::IdleClient && since.elapsed() >= min_idle && excess > 0;
            excess -= usize::from(closes && close.try_send(()).is_ok());
            !closes
        });
    }

    /// Returns whether a connection of this kind closes because of a shutdown.
    fn closes(&self, kind: WaitKind) -> bool {
        match self.closing.get() {
            Closing::None => false,
            Closing::IdleClients => kind == WaitKind::IdleClient,
            Closing::AllClients => kind != WaitKind::IdleNode,
        }
    }
}

impl Lease {
    /// Marks the descriptor as used by a client connection.
    pub(crate) fn connected(&mut self) {
        self.client = true;
        self.budget.clients.set(self.budget.clients.get() + 1);
    }

    /// Registers the connection as waiting for bytes.
    pub(crate) fn register_idle(&self, kind: WaitKind) -> IdleEntry {
        let incomplete = kind == WaitKind::Incomplete;
        let rank = (
            !incomplete,
            if incomplete {
                self.number
            } else {
                self.budget.next_number()
            },
        );
        let (close, close_requests) = bounded(1);
        if self.budget.closes(kind) {
            let _ = close.try_send(());
        }
        self.budget
            .idle
            .borrow_mut()
            .insert(rank, (kind, Instant::now(), close));
        let _ = self.budget.freed.0.try_send(());
        IdleEntry {
            budget: self.budget.clone(),
            rank,
            close_requests,
        }
    }
}

impl IdleEntry {
    /// Completes once the connection is requested to close.
    pub(crate) async fn close_requested(&self) {
        let _ = self.close_requests.recv().await;
    }
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.budget.idle.borrow_mut().remove(&self.rank);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.used.set(budget.used.get() - 1);
        budget
            .clients
            .set(budget.clients.get() - usize::from(self.client));
        let _ = budget.freed.0.try_send(());
    }
}
