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

/// To be called before the router says that it serves: who is asked to end unheard ends at once, and loses what it
/// has taken.
pub fn signals() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("SIGTERM can't be heard: {e}"))
}

/// Until the signal has come and all that was taken is answered.
pub async fn shutdown(mut signals: Signals, budget: Rc<Budget>) {
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
