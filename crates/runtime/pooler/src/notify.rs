//! Waking the tasks that wait for a change; one thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Notifies the tasks that wait for a change. It counts its notifications, so that none is missed between a look at the
/// state and the wait for its next change.
#[derive(Default)]
pub struct Notify {
    generation: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all that wait now.
    pub fn notify_waiters(&self) {
        self.generation.set(self.generation.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().for_each(Waker::wake);
    }

    /// The number of notifications so far: to be read before looking at the state that they are about.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Waits for a notification that is later than this generation.
    pub async fn notified_since(&self, generation: u64) {
        poll_fn(|cx| {
            if self.generation.get() > generation {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|w| w.will_wake(cx.waker())) {
                waiting.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
