//! Waking whoever waits for a change; one thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Wakes all that wait.
#[derive(Default)]
pub struct Bell {
    rings: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Bell {
    /// Wakes all that wait now.
    pub fn ring(&self) {
        self.rings.set(self.rings.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().for_each(Waker::wake);
    }

    /// How often it has rung: to be read before looking at what it tells of.
    pub fn rings(&self) -> u64 {
        self.rings.get()
    }

    /// Waits until it has rung more often than this.
    pub async fn after(&self, rings: u64) {
        poll_fn(|cx| {
            if self.rings.get() > rings {
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
