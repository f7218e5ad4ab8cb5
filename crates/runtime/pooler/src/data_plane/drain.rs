//! Graceful shutdown of clients' sessions, in stages.
//!
//! The maintenance task advances every [`SessionHandle`] after SIGTERM; the session's own task
//! waits for the stages and acts on them. No stage is ever taken back.

use super::ACCEPT_AFTER_TERM_S;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// The fraction of the grace period after which what is still in flight gets its last answer.
/// Servers are waited for during the first five sixths of it, and the process exits a little later
/// than this (`process::shutdown`).
const FINAL_ANSWER_GRACE_FRACTION: f64 = 0.86;
/// The fraction of the grace period that open transactions have to end.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;

/// How far the shutdown of a session has come. Each stage includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) enum DrainStage {
    /// No shutdown.
    #[default]
    Serving,
    /// The session is closed as soon as it is idle.
    CloseIdle,
    /// What has not been sent to a server is rejected, so that its client may go elsewhere.
    RejectUnplaced,
    /// What is in flight at a server is answered by what is known of it.
    AnswerInFlight,
}

impl DrainStage {
    /// The stage `elapsed_s` seconds after SIGTERM, of a grace period of `grace_s` seconds.
    pub(super) fn at(elapsed_s: f64, grace_s: f64, in_transaction: bool) -> Self {
        if elapsed_s > grace_s * FINAL_ANSWER_GRACE_FRACTION {
            Self::AnswerInFlight
        } else if elapsed_s > grace_s * TRANSACTION_GRACE_FRACTION {
            Self::RejectUnplaced
        } else if elapsed_s > ACCEPT_AFTER_TERM_S && !in_transaction {
            Self::CloseIdle
        } else {
            Self::Serving
        }
    }
}

/// A client's session as the rest of the data plane sees it. The session's task and the maintenance
/// task share it.
#[derive(Default)]
pub(super) struct SessionHandle {
    /// Since when the session is idle outside a transaction, in seconds; none while it works.
    pub(super) idle_since: Cell<Option<f64>>,
    /// Whether the session is inside a transaction.
    pub(super) in_transaction: Cell<bool>,
    /// How far its shutdown has come.
    pub(super) drain_stage: Cell<DrainStage>,
    /// The session's task, while it waits for a stage.
    waker: RefCell<Option<Waker>>,
}

impl SessionHandle {
    /// Waits until the session's shutdown has come this far.
    pub(super) async fn reached(&self, stage: DrainStage) {
        poll_fn(|cx| {
            if self.drain_stage.get() >= stage {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Brings the shutdown to this stage, unless it is there already, and wakes the session.
    pub(super) fn advance_to(&self, stage: DrainStage) {
        if self.drain_stage.get() >= stage {
            return;
        }
        self.drain_stage.set(stage);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
