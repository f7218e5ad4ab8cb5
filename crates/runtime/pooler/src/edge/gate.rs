//! Waiting for a share of a server.

use crate::clock;
use badgerstream_pooling::queue::{Place, Queue};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Lets in so many at once.
pub(super) struct Gate {
    queue: RefCell<Queue>,
    /// Those who wait; none instead of a waker once let in.
    waiting: RefCell<HashMap<Place, Option<Waker>>>,
}

impl Gate {
    /// Lets in this many at once.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            queue: RefCell::new(Queue::new(limit)),
            waiting: RefCell::default(),
        })
    }

    /// Changes how many are let in.
    pub(super) fn set_limit(&self, limit: usize) {
        self.queue.borrow_mut().set_limit(limit);
        self.admit();
    }

    /// How many are in.
    pub(super) fn busy(&self) -> usize {
        self.queue.borrow().busy()
    }

    /// How many wait.
    pub(super) fn waiting(&self) -> usize {
        self.queue.borrow().waiting()
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
    pub(super) fn ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        self.queue.borrow().ahead(rank, latest_start, now)
    }

    /// Waits to be let in, by rank (0 first) and arrival; once `latest_start` is past, after those who can still be in
    /// time.
    pub(super) async fn enter(self: &Rc<Self>, rank: u32, latest_start: f64) -> Permit {
        let Some(place) = self.queue.borrow_mut().enter(rank, latest_start) else {
            return Permit(self.clone());
        };
        let _ticket = Ticket {
            gate: self.clone(),
            place,
        };
        poll_fn(|cx| {
            let mut waiting = self.waiting.borrow_mut();
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

    fn leave(&self) {
        self.queue.borrow_mut().leave();
        self.admit();
    }

    fn admit(&self) {
        let now = clock::now();
        loop {
            let Some(place) = self.queue.borrow_mut().admit(now) else {
                return;
            };
            let waker = self.waiting.borrow_mut().insert(place, None).flatten();
            if let Some(waker) = waker {
                waker.wake();
            }
        }
    }
}

/// The right to be in, given back when dropped.
pub(super) struct Permit(Rc<Gate>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// One who waits and may give up.
struct Ticket {
    gate: Rc<Gate>,
    place: Place,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let waits = self.gate.queue.borrow_mut().cancel(self.place);
        let let_in = self
            .gate
            .waiting
            .borrow_mut()
            .remove(&self.place)
            .is_some_and(|w| w.is_none());
        if !waits && let_in {
            self.gate.leave();
        }
    }
}
