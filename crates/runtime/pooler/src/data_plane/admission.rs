//! Admission at a server: tasks wait for one of a limited number of permits, by rank and arrival.
//!
//! Each pool owns two queues, one for connections and one for slots.
//! [`badgerstream_pooling::queue`] decides the order; this module suspends and wakes the tasks.

use crate::clock;
use badgerstream_pooling::queue::{Queue, QueueEntry};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The rank with which a statement waits for admission, and how long. Times are seconds of the
/// monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AdmissionTerms {
    /// Rank 0 is admitted first.
    pub(super) rank: u32,
    /// Latest admission at which the statement can still meet the latency target of its route.
    pub(super) latest_start: f64,
    /// When the statement stops waiting.
    pub(super) give_up_at: f64,
}

/// The state of a task in the queue.
enum Waiter {
    /// The task waits; this wakes it once it is admitted.
    Waiting(Waker),
    /// The task is admitted, but has not run since.
    Admitted,
}

/// A queue for a limited number of permits.
pub(super) struct AdmissionQueue {
    queue: RefCell<Queue>,
    waiters: RefCell<HashMap<QueueEntry, Waiter>>,
}

impl AdmissionQueue {
    /// Creates a queue with `limit` permits.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            queue: RefCell::new(Queue::new(limit)),
            waiters: RefCell::default(),
        })
    }

    /// Changes the number of permits, and admits the waiting tasks that the new limit allows.
    pub(super) fn set_limit(&self, limit: usize) {
        self.queue.borrow_mut().set_limit(limit);
        self.admit_waiting();
    }

    /// Returns the number of permits.
    pub(super) fn limit(&self) -> usize {
        self.queue.borrow().limit()
    }

    /// Returns the number of permits in use.
    pub(super) fn admitted(&self) -> usize {
        self.queue.borrow().admitted()
    }

    /// Returns the number of waiting tasks.
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.borrow().waiting_count()
    }

    /// Returns whether a task that arrives now must wait.
    pub(super) fn is_full(&self) -> bool {
        self.queue.borrow().is_full()
    }

    /// Returns how many waiting tasks would be admitted before one that arrives now with this rank
    /// and latest start (seconds of the monotonic clock).
    pub(super) fn entries_ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        self.queue.borrow().entries_ahead(rank, latest_start, now)
    }

    /// Waits for a permit, by rank (0 first) and arrival. After `latest_start` (seconds of the
    /// monotonic clock) the task is admitted after those that can still be in time. Dropping the
    /// future leaves the queue.
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

/// The right to use one of the connections or slots that the queue limits; released when dropped.
pub(super) struct Permit(Rc<AdmissionQueue>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Removes a waiting task from the queue when its future is dropped.
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
        // The task was admitted but dropped before it ran: its permit goes to the next one. A task
        // that did run has removed its waiter and holds the permit.
        if !was_waiting && matches!(waiter, Some(Waiter::Admitted)) {
            self.admission_queue.release();
        }
    }
}
