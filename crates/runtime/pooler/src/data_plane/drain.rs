//! Graceful shutdown of clients' sessions, in stages.
//!
//! After SIGTERM the maintenance task advances every [`SessionHandle`]; the session's own task
//! waits for the stages and acts on them. A session never returns to an earlier stage.

use super::ACCEPT_AFTER_TERM_S;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Fraction of the grace period after which clients of statements still in flight get a response
/// without waiting for the server. It lies shortly after the first five sixths of the grace period,
/// in which servers are waited for, and shortly before the process exits (`process::shutdown`).
const FINAL_ANSWER_GRACE_FRACTION: f64 = 0.86;
/// Fraction of the grace period within which open transactions may still end normally.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;

/// Stage of the shutdown of a session. Each stage includes the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) enum DrainStage {
    /// The session is served normally.
    #[default]
    Serving,
    /// The session is closed as soon as it is idle.
    CloseIdle,
    /// Statements that have not been sent to a server are rejected, so that their clients can use
    /// another router.
    RejectUnplaced,
    /// The clients of statements in flight at a server get a response without waiting any longer.
    AnswerInFlight,
}

impl DrainStage {
    /// Returns the stage `elapsed_s` seconds after SIGTERM for a grace period of `grace_s` seconds.
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

/// The part of a client's session that its task shares with the maintenance task and the listener.
#[derive(Default)]
pub(super) struct SessionHandle {
    /// Since when the session has been idle outside a transaction, in seconds of the monotonic
    /// clock; `None` otherwise.
    pub(super) idle_since: Cell<Option<f64>>,
    /// Whether the session is inside a transaction.
    pub(super) in_transaction: Cell<bool>,
    /// Current stage of its shutdown.
    pub(super) drain_stage: Cell<DrainStage>,
    /// Waker of the session's task while it waits for a stage.
    waker: RefCell<Option<Waker>>,
}

impl SessionHandle {
    /// Waits until the session's shutdown has reached this stage.
    pub(super) async fn wait_for_stage(&self, stage: DrainStage) {
        poll_fn(|cx| {
            if self.drain_stage.get() >= stage {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Advances the shutdown to this stage and wakes the session. Does nothing if the stage is
    /// already reached.
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
