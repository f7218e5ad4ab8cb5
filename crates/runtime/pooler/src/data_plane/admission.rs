//! Admission at a server: tasks wait for one of a bounded number of permits, by rank and arrival.
//!
//! Each pool owns two queues, one for connections and one for slots. The order is decided by
//! [`badgerstream_pooling::queue`]; this module parks and wakes the tasks.

use crate::clock;
use badgerstream_pooling::queue::{Queue, QueueEntry};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// By which rank, and until when, a statement waits to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AdmissionTerms {
    /// 0 goes first.
    pub(super) rank: u32,
    /// Admitted by this second, the statement can still meet the latency target of its route.
    pub(super) latest_start: f64,
    /// The statement waits no longer than until this second.
    pub(super) give_up_at: f64,
}

/// Where a waiting task stands.
enum Waiter {
    /// It is woken by this once admitted.
    Waiting(Waker),
    /// It is admitted, and has not run since.
    Admitted,
}

/// A queue for a bounded number of permits.
pub(super) struct AdmissionQueue {
    queue: RefCell<Queue>,
    waiters: RefCell<HashMap<QueueEntry, Waiter>>,
}

impl AdmissionQueue {
    /// A queue that admits `limit` at once.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            queue: RefCell::new(Queue::new(limit)),
            waiters: RefCell::default(),
        })
    }

    /// Changes the limit, and admits those that it now allows.
    pub(super) fn set_limit(&self, limit: usize) {
        self.queue.borrow_mut().set_limit(limit);
        self.admit_waiting();
    }

    /// How many permits there are at once.
    pub(super) fn limit(&self) -> usize {
        self.queue.borrow().limit()
    }

    /// How many permits are held.
    pub(super) fn admitted(&self) -> usize {
        self.queue.borrow().admitted()
    }

    /// How many wait.
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.borrow().waiting_count()
    }

    /// Whether whoever comes now must wait.
    pub(super) fn is_full(&self) -> bool {
        self.queue.borrow().is_full()
    }

    /// How many would be admitted before one of this rank that came now.
    pub(super) fn entries_ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        self.queue.borrow().entries_ahead(rank, latest_start, now)
    }

    /// Waits for a permit, by rank (0 first) and arrival; once `latest_start` (seconds) is past,
    /// after those that can still be in time. Dropping the future leaves the queue.
    pub(super) async fn acquire(self: &Rc<Self>, rank: u32, latest_start: f64) -> Permit {
        let Some(entry) = self.queue.borrow_mut().enter(rank, latest_start) else {
            return Permit(self.clone());
        };
        let _cancel_guard = CancelGuard {
            admission_queue: self.clone(),
            entry,
        };
        poll_fn(|cx| {
            let mut waiters = self.waiters.borrow_mut();
            if let Some(Waiter::Admitted) = waiters.get(&entry) {
                waiters.remove(&entry);
                return Poll::Ready(());
            }
            waiters.insert(entry, Waiter::Waiting(cx.waker().clone()));
            Poll::Pending
        })
        .await;
        Permit(self.clone())
    }

    fn release(&self) {
        self.queue.borrow_mut().release();
        self.admit_waiting();
    }

    fn admit_waiting(&self) {
        let now = clock::now();
        loop {
            let Some(entry) = self.queue.borrow_mut().admit_next(now) else {
                return;
            };
            let waiter = self.waiters.borrow_mut().insert(entry, Waiter::Admitted);
            if let Some(Waiter::Waiting(waker)) = waiter {
                waker.wake();
            }
        }
    }
}

/// The right to use what the queue bounds; given back when dropped.
pub(super) struct Permit(Rc<AdmissionQueue>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Takes a waiting task out of the queue when its future is dropped.
struct CancelGuard {
    admission_queue: Rc<AdmissionQueue>,
    entry: QueueEntry,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let was_waiting = self.admission_queue.queue.borrow_mut().cancel(self.entry);
        let waiter = self
            .admission_queue
            .waiters
            .borrow_mut()
            .remove(&self.entry);
        // Admitted, but dropped before it ran: the permit goes to the next. A task that has run
        // removed its waiter, and holds the permit.
        if !was_waiting && matches!(waiter, Some(Waiter::Admitted)) {
            self.admission_queue.release();
        }
    }
}
