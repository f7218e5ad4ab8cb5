//! Accepts client connections while file descriptors are available.

use crate::budget::Budget;
use crate::client::{self, NameIndex};
use crate::execute::StatementDispatcher;
use crate::spawn::Tasks;
use crate::wire::LogThrottle;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::MemoryBudget;
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Minimum idle time before a client connection may be closed to limit their number. Clients that send another
/// statement do so sooner.
const MIN_IDLE_TIME: Duration = Duration::from_millis(250);

/// Periodically closes idle clients if too many are connected, while the router runs.
pub(crate) async fn limit_idle_clients(budget: Rc<Budget>) {
    loop {
        Timer::after(MIN_IDLE_TIME / 4).await;
        budget.close_excess_idle_clients(MIN_IDLE_TIME);
    }
}

pub(crate) async fn listen(
    listener: Async<TcpListener>,
    tasks: Tasks,
    dispatcher: Rc<StatementDispatcher>,
    names: Rc<NameIndex>,
    memory: Rc<MemoryBudget>,
    budget: Rc<Budget>,
) {
    let (malformed, accept_errors) = (Rc::new(LogThrottle::new()), LogThrottle::new());
    loop {
        // Yield so that a flood of new connections can't starve other tasks, including those that close to free a
        // descriptor.
        future::yield_now().await;
        // Free a descriptor only once a client is waiting to be accepted.
        let _ = listener.readable().await;
        let Some(mut lease) = budget.for_client() else {
            if !budget.close_one_idle() {
                budget.freed().await;
            }
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                lease.connected();
                let (dispatcher, names, memory) =
                    (dispatcher.clone(), names.clone(), memory.clone());
                let malformed = malformed.clone();
                let serve = async move {
                    client::serve(stream, dispatcher, names, memory, &lease, malformed).await;
                    // The descriptor is closed now.
                    drop(lease);
                };
                tasks.spawn("client connection", serve).detach();
            }
            Err(e) => {
                // The process has no descriptor left in spite of the budget, or the client left before it was accepted.
                if let Some(suppressed) = accept_errors.due() {
                    tracing::warn!(
                        "accepting a client connection failed: {e} ({suppressed} similar lines suppressed)"
                    );
                }
                budget.close_one_idle();
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    }
}
