//! Graceful shutdown: after SIGTERM or SIGINT, statements that still arrive are accepted and answered.

use crate::budget::Budget;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;
use std::time::Duration;

/// Time for which new connections still arrive after the signal. No connection is closed before it has passed,
/// because the client would reconnect to this router.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(450);
/// Further time for clients without a statement so far to send their first one, before they are closed too.
const FIRST_STATEMENT_PERIOD: Duration = Duration::from_millis(300);

/// Completes once the signal has arrived and every client connection has been closed.
pub(crate) async fn shutdown(budget: Rc<Budget>) {
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!(
                "can't register handlers for SIGTERM and SIGINT; no graceful shutdown: {e}"
            );
            return futures_lite::future::pending().await;
        }
    };
    signals.next().await;
    tracing::info!(
        "asked to end, {} clients are connected; closing their connections as they become idle",
        budget.clients()
    );
    Timer::after(ARRIVAL_PERIOD).await;
    budget.close_idle_clients();
    Timer::after(FIRST_STATEMENT_PERIOD).await;
    budget.close_all_clients();
    while budget.clients() > 0 {
        Timer::after(Duration::from_millis(10)).await;
    }
    tracing::info!("shutdown complete: no client connection is open");
}
