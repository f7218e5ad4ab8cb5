//! The descriptors that clients and nodes share.

use async_channel::{Receiver, Sender, bounded};
use std::cell::Cell;
use std::rc::Rc;

/// What the process itself holds: standard streams, the listener, the poller, the signals' pipe, discovery.
const OWN: usize = 24;

pub struct Budget {
    used: Cell<usize>,
    most: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
}

/// One descriptor, until it is dropped.
pub struct Lease(Rc<Budget>);

impl Budget {
    pub fn new(descriptors: usize) -> Rc<Budget> {
        let (used, most, freed) = (Cell::new(0), Cell::new(0), bounded(1));
        let budget = Rc::new(Budget { used, most, freed });
        budget.resize(descriptors);
        budget
    }

    /// What is in use beyond a smaller budget stays so until it ends.
    pub fn resize(&self, descriptors: usize) {
        self.most.set(descriptors.saturating_sub(OWN).max(8));
        let _ = self.freed.0.try_send(());
    }

    /// One for a node, or none when all are in use.
    pub fn for_node(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.most.get())
    }

    /// One for a client. A quarter is left to the nodes: a statement that is taken needs a connection there.
    pub fn for_client(self: &Rc<Self>) -> Option<Lease> {
        self.lease(self.most.get() - self.most.get() / 4)
    }

    fn lease(self: &Rc<Self>, most: usize) -> Option<Lease> {
        let used = self.used.get();
        (used < most).then(|| {
            self.used.set(used + 1);
            Lease(self.clone())
        })
    }

    /// Until some connection has ended.
    pub async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        let _ = self.0.freed.0.try_send(());
    }
}
