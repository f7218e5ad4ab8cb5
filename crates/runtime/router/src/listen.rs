//! Accepting clients for as long as descriptors last, and for as long as the router runs.

use crate::budget::Budget;
use crate::client::{self, Names};
use crate::execute::Router;
use crate::spawn::Tasks;
use crate::wire::Seldom;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::Memory;
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// So long a connection without an open statement may wait in any case: who asks again does so sooner.
const WAITS: Duration = Duration::from_millis(250);

/// Closes clients that stay without asking, for as long as the router runs.
pub(crate) async fn thin_out(budget: Rc<Budget>) {
    loop {
        Timer::after(WAITS / 4).await;
        budget.thin_out(WAITS);
    }
}

pub(crate) async fn listen(
    listener: Async<TcpListener>,
    tasks: Tasks,
    desk: Rc<Router>,
    names: Rc<Names>,
    memory: Rc<Memory>,
    budget: Rc<Budget>,
) {
    let (malformed, refused) = (Rc::new(Seldom::new()), Seldom::new());
    loop {
        // A flood of connections must leave the others their turns, and who makes room needs one to do so.
        future::yield_now().await;
        // Nobody makes room for a client that has not come.
        let _ = listener.readable().await;
        let Some(mut lease) = budget.for_client() else {
            if !budget.make_room() {
                budget.freed().await;
            }
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                lease.connected();
                let (desk, names, memory) = (desk.clone(), names.clone(), memory.clone());
                let malformed = malformed.clone();
                let serve = async move {
                    client::serve(stream, desk, names, memory, &lease, malformed).await;
                    // Only now is its descriptor free.
                    drop(lease);
                };
                tasks.spawn("a client's connection", serve).detach();
            }
            Err(e) => {
                // Out of descriptors after all, or a client that was gone before it was accepted.
                if let Some(passed) = refused.due() {
                    tracing::warn!("accepting: {e} ({passed} more such lines were left out)");
                }
                budget.make_room();
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    }
}
