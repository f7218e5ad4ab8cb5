//! Wakes tasks that wait for a change of some state, on one thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Notifies the tasks that wait for a change. It numbers its notifications, so that a task misses
/// none between reading the state and waiting for the next change.
#[derive(Default)]
pub struct Notify {
    generation: Cell<u64>,
    waiters: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all tasks that are waiting.
    pub fn notify_waiters(&self) {
        self.generation.set(self.generation.get() + 1);
        let waiters = std::mem::take(&mut *self.waiters.borrow_mut());
        waiters.into_iter().for_each(Waker::wake);
    }

    /// Returns the number of notifications so far. Read it before reading the state.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Waits until there has been a notification after this generation.
    pub async fn notified_since(&self, generation: u64) {
        poll_fn(|cx| {
            if self.generation.get() > generation {
                return Poll::Ready(());
            }
            let mut waiters = self.waiters.borrow_mut();
            if !waiters.iter().any(|waiter| waiter.will_wake(cx.waker())) {
                waiters.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
