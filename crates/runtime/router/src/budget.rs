//! The descriptors that clients and nodes share, and which connections make room where they run short.

use async_channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the process itself holds: standard streams, the listener, the poller, the signals' pipe, discovery.
const OWN: usize = 24;

pub(crate) struct Budget {
    used: Cell<usize>,
    clients: Cell<usize>,
    most: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
    numbered: Cell<u64>,
    idle: RefCell<BTreeMap<Rank, Waiting>>,
    closing: Cell<Closing>,
}

/// Who makes room first: the silent, in the order in which they came, then whoever is idle for longest.
type Rank = (bool, u64);

/// Since when it waits, and what asks it to close.
type Waiting = (Kind, Instant, Sender<()>);

/// What a connection is while it waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// A client that has asked nothing yet, or stopped within a message.
    Silent,
    Client,
    Node,
}

/// Which clients' connections are to be closed as they fall idle. The silent come last: their first statement
/// may be on its way.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    None,
    AllButSilent,
    All,
}

/// One descriptor, until it is dropped.
pub(crate) struct Lease {
    budget: Rc<Budget>,
    client: bool,
    number: u64,
}

/// A waiting connection's place; it leaves with it.
pub(crate) struct Place {
    budget: Rc<Budget>,
    rank: Rank,
    unwanted: Receiver<()>,
}

impl Budget {
    pub(crate) fn new(descriptors: usize) -> Rc<Budget> {
        let (used, clients, most, numbered) = Default::default();
        let (idle, closing) = (RefCell::default(), Cell::new(Closing::None));
        let budget = Rc::new(Budget {
            used,
            clients,
            most,
            freed: bounded(1),
            numbered,
            idle,
            closing,
        });
        budget.resize(descriptors);
        budget
    }

    /// What is in use beyond a smaller budget stays so until it ends.
    pub(crate) fn resize(&self, descriptors: usize) {
        self.most.set(descriptors.saturating_sub(OWN).max(8));
        let _ = self.freed.0.try_send(());
    }

    /// How many clients are connected.
    pub(crate) fn clients(&self) -> usize {
        self.clients.get()
    }

    /// One for a node, or none when all are in use.
    pub(crate) fn for_node(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.most.get())
    }

    /// One for a client. A quarter is left to the nodes: a statement that is taken needs a connection there.
    pub(crate) fn for_client(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.most.get() - self.most.get() / 4)
    }

    fn lease(self: &Rc<Self>, most: usize) -> Option<Lease> {
        let used = self.used.get();
        (used < most).then(|| {
            self.used.set(used + 1);
            Lease {
                budget: self.clone(),
                client: false,
                number: self.number(),
            }
        })
    }

    fn number(&self) -> u64 {
        self.numbered.set(self.numbered.get() + 1);
        self.numbered.get()
    }

    /// Until some connection has ended, or waits and could make room.
    pub(crate) async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Asks a waiting connection to close, if there is one: it does once its task has its turn, unless there
    /// is something to read on it.
    pub(crate) fn make_room(&self) -> bool {
        self.idle
            .borrow_mut()
            .pop_first()
            .is_some_and(|(_, (.., unwant))| unwant.try_send(()).is_ok())
    }

    /// From now on clients' connections close as they fall idle, but for the silent.
    pub(crate) fn close_all_but_silent(&self) {
        self.close(Closing::AllButSilent);
    }

    /// From now on every client's connection closes as it falls idle.
    pub(crate) fn close_all(&self) {
        self.close(Closing::All);
    }

    fn close(&self, closing: Closing) {
        self.closing.set(closing);
        for (.., unwant) in self
            .idle
            .borrow()
            .values()
            .filter(|idle| self.closes(idle.0))
        {
            let _ = unwant.try_send(());
        }
    }

    /// Closes clients that wait for so long, while more are connected than ask at a time: some ask once and stay
    /// for good, and their side may have no connection left to ask on either.
    pub(crate) fn thin_out(&self, waited: Duration) {
        let mut beyond = self.clients.get().saturating_sub(self.most.get() / 4);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, (kind, since, unwant)| {
            let goes = *kind == Kind::Client && since.elapsed() >= waited && beyond > 0;
            beyond -= usize::from(goes && unwant.try_send(()).is_ok());
            !goes
        });
    }

    fn closes(&self, kind: Kind) -> bool {
        match self.closing.get() {
            Closing::None => false,
            Closing::AllButSilent => kind == Kind::Client,
            Closing::All => kind != Kind::Node,
        }
    }
}

impl Lease {
    /// A client has come for it.
    pub(crate) fn connected(&mut self) {
        self.client = true;
        self.budget.clients.set(self.budget.clients.get() + 1);
    }

    /// Its connection has nothing to do until something can be read on it.
    pub(crate) fn wait(&self, kind: Kind) -> Place {
        let silent = kind == Kind::Silent;
        let rank = (
            !silent,
            if silent {
                self.number
            } else {
                self.budget.number()
            },
        );
        let (unwant, unwanted) = bounded(1);
        if self.budget.closes(kind) {
            let _ = unwant.try_send(());
        }
        self.budget
            .idle
            .borrow_mut()
            .insert(rank, (kind, Instant::now(), unwant));
        let _ = self.budget.freed.0.try_send(());
        Place {
            budget: self.budget.clone(),
            rank,
            unwanted,
        }
    }
}

impl Place {
    /// Until the connection is wanted closed.
    pub(crate) async fn unwanted(&self) {
        let _ = self.unwanted.recv().await;
    }
}

impl Drop for Place {
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
