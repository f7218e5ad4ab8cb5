//! Persists the hard state before any output relies on it, and reopens the store after a failed
//! write.

use super::ControlNode;
use crate::{clock, net};
use badgerstream_control::Output;
use std::rc::Rc;

/// Interval between two attempts to reopen a store that has failed, in seconds.
const REOPEN_INTERVAL_S: f64 = 0.25;

impl ControlNode {
    /// Writes the hard state to the disk, reports the result to the controller and returns the
    /// outputs that follow.
    pub(super) fn persist_hard_state(self: &Rc<Self>) -> Vec<Output> {
        let hard_state = self.controller.borrow().hard_state().clone();
        let started_at = clock::now();
        let saved = self.store.borrow_mut().save(&hard_state);
        self.counts
            .record_persist(clock::now() - started_at, saved.is_ok());
        match saved {
            Ok(()) => self.controller.borrow_mut().persisted(clock::now()),
            Err(e) => {
                log::error!("event=disk_failed error={e}");
                self.tasks.spawn(self.clone().reopen_store()).detach();
                self.controller.borrow_mut().persist_failed(clock::now())
            }
        }
    }

    /// Tries to reopen the store until the disk accepts writes again.
    async fn reopen_store(self: Rc<Self>) {
        loop {
            net::sleep(REOPEN_INTERVAL_S).await;
            let reopened = self.store.borrow_mut().reopen();
            match reopened {
                Ok(()) => break,
                Err(e) => log::warn!("event=disk_reopen_failed error={:?}", e.to_string()),
            }
        }
        log::info!("event=disk_reopened");
        let hard_state = self.store.borrow().hard_state().clone();
        self.controller
            .borrow_mut()
            .disk_reopened(clock::now(), hard_state);
    }
}
