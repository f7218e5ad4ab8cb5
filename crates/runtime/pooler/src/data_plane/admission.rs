//! Waiting for a share of a server.

use crate::clock;
use badgerstream_pooling::queue::{Queue, QueueEntry};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Lets in so many at once.
pub(super) struct AdmissionQueue {
    queue: RefCell<Queue>,
    /// Those who wait; none instead of a waker once let in.
    wakers: RefCell<HashMap<QueueEntry, Option<Waker>>>,
}

impl AdmissionQueue {
    /// Lets in this many at once.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            queue: RefCell::new(Queue::new(limit)),
            wakers: RefCell::default(),
        })
    }

    /// Changes how many are let in.
    pub(super) fn set_limit(&self, limit: usize) {
        self.queue.borrow_mut().set_limit(limit);
        self.admit_waiting();
    }

    /// How many are in.
    pub(super) fn admitted(&self) -> usize {
        self.queue.borrow().admitted()
    }

    /// How many wait.
    pub(super) fn waiting_count(&self) -> usize {
        self.queue.borrow().waiting_count()
    }

    /// Whoever comes now must wait.
    pub(super) fn is_full(&self) -> bool {
        self.queue.borrow().is_full()
    }

    /// How many are let in at once.
    pub(super) fn limit(&self) -> usize {
        self.queue.borrow().limit()
    }

    /// How many would be let in before one of this rank who comes now with this latest start.
    pub(super) fn entries_ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        self.queue.borrow().entries_ahead(rank, latest_start, now)
    }

    /// Waits to be let in, by rank (0 first) and arrival; once `latest_start` is past, after those who can still be in
    /// time.
    pub(super) async fn acquire(self: &Rc<Self>, rank: u32, latest_start: f64) -> Permit {
        let Some(place) = self.queue.borrow_mut().enter(rank, latest_start) else {
            return Permit(self.clone());
        };
        let _ticket = Ticket {
            admission_queue: self.clone(),
            place,
        };
        poll_fn(|cx| {
            let mut waiting = self.wakers.borrow_mut();
            if let Some(None) = waiting.get(&place) {
                waiting.remove(&place);
                return Poll::Ready(());
            }
            waiting.insert(place, Some(cx.waker().clone()));
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
            let Some(place) = self.queue.borrow_mut().admit_next(now) else {
                return;
            };
            let waker = self.wakers.borrow_mut().insert(place, None).flatten();
            if let Some(waker) = waker {
                waker.wake();
            }
        }
    }
}

/// The right to be in, given back when dropped.
pub(super) struct Permit(Rc<AdmissionQueue>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// One who waits and may give up.
struct Ticket {
    admission_queue: Rc<AdmissionQueue>,
    place: QueueEntry,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let waits = self.admission_queue.queue.borrow_mut().cancel(self.place);
        let let_in = self
            .admission_queue
            .wakers
            .borrow_mut()
            .remove(&self.place)
            .is_some_and(|w| w.is_none());
        if !waits && let_in {
            self.admission_queue.release();
        }
    }
}
