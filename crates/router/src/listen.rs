//! Accepting clients, and which of their connections may be closed.

use crate::budget::Budget;
use crate::client::{self, Names};
use crate::execute::Router;
use crate::pool::Pool;
use crate::spawn::Tasks;
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// The clients' connections: how many there are, and those that are idle, the longest idle first. Those that
/// have asked nothing yet are fresh and come last: their first statement may be on its way.
pub struct Clients {
    open: Cell<usize>,
    numbered: Cell<u64>,
    idle: RefCell<BTreeMap<(bool, u64), Sender<()>>>,
    closing: Cell<Closing>,
}

/// Which connections are to be closed as they fall idle.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    None,
    AllButFresh,
    All,
}

/// An idle connection's place; it leaves with it.
pub struct Place {
    clients: Rc<Clients>,
    number: (bool, u64),
    unwanted: Receiver<()>,
}

impl Place {
    /// Until the connection is wanted closed.
    pub async fn unwanted(&self) {
        let _ = self.unwanted.recv().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.clients.idle.borrow_mut().remove(&self.number);
    }
}

impl Clients {
    pub fn new() -> Rc<Clients> {
        let (open, numbered, closing) = (Cell::new(0), Cell::new(0), Cell::new(Closing::None));
        Rc::new(Clients { open, numbered, idle: RefCell::default(), closing })
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    pub fn wait_idle(self: &Rc<Self>, fresh: bool) -> Place {
        self.numbered.set(self.numbered.get() + 1);
        let number = (fresh, self.numbered.get());
        let (unwant, unwanted) = bounded(1);
        if self.closing.get() == Closing::All || self.closing.get() == Closing::AllButFresh && !fresh {
            let _ = unwant.try_send(());
        }
        self.idle.borrow_mut().insert(number, unwant);
        Place { clients: self.clone(), number, unwanted }
    }

    /// Asks the connection that has been idle for longest to close.
    pub fn close_idlest(&self) -> bool {
        self.idle.borrow_mut().pop_first().is_some_and(|(_, unwant)| unwant.try_send(()).is_ok())
    }

    /// From now on every connection closes as it falls idle, but for the fresh.
    pub fn close_all_but_fresh(&self) {
        self.closing.set(Closing::AllButFresh);
        while self.idle.borrow().keys().next().is_some_and(|(fresh, _)| !fresh) {
            self.close_idlest();
        }
    }

    /// From now on every connection closes as it falls idle.
    pub fn close_all(&self) {
        self.closing.set(Closing::All);
        while self.close_idlest() {}
    }
}

/// Accepts for as long as the router runs.
pub async fn listen(
    listener: Async<TcpListener>, tasks: Tasks, desk: Rc<Router>, names: Rc<Names>, clients: Rc<Clients>,
    pool: Rc<Pool>, budget: Rc<Budget>,
) {
    loop {
        let Some(lease) = budget.for_client() else {
            // Idle connections make room, the nodes' first: a client would have to come again.
            if !pool.close_idlest() && !clients.close_idlest() {
                budget.freed().await;
            } else {
                futures_lite::future::yield_now().await;
            }
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                clients.open.set(clients.open.get() + 1);
                let (desk, names, clients) = (desk.clone(), names.clone(), clients.clone());
                let gone = Open(clients.clone());
                let serve = async move {
                    client::serve(stream, desk, names, clients).await;
                    // Only now is its descriptor free.
                    drop((gone, lease));
                };
                tasks.spawn("a client's connection", serve).detach();
            }
            Err(e) => {
                // Out of descriptors after all, or a client that was gone before it was accepted.
                tracing::warn!("accepting: {e}");
                pool.close_idlest();
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Counts a connection until it has ended, however it does.
struct Open(Rc<Clients>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
