//! The planned end: after SIGTERM all that comes is still taken, and answered.

use crate::budget::Budget;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;
use std::time::Duration;

/// New connections go on arriving for so long: until then none is closed, as its client would come back here.
const ARRIVING: Duration = Duration::from_millis(450);
/// What comes within this after the signal still has to be answered.
const OWED: Duration = Duration::from_millis(300);

/// Until the signal has come and all that was taken is answered.
pub(crate) async fn shutdown(budget: Rc<Budget>) {
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!("signals can't be heard: {e}");
            return futures_lite::future::pending().await;
        }
    };
    signals.next().await;
    tracing::info!("asked to end, {} clients are connected", budget.clients());
    Timer::after(ARRIVING).await;
    budget.close_all_but_silent();
    Timer::after(OWED).await;
    budget.close_all();
    while budget.clients() > 0 {
        Timer::after(Duration::from_millis(10)).await;
    }
    tracing::info!("ended, all that was taken is answered");
}
