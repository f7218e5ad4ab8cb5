//! Readiness requests of the platform, which ask whether it may direct new client connections to
//! this machine.

use super::ProcessError;
use crate::clock;
use crate::http::{self, Handler};
use crate::view::SharedView;
use async_executor::LocalExecutor;
use badgerstream_http_codec::{Request, encode_response};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum size of the body of a readiness request, in bytes.
const MAX_BODY_BYTES: usize = 4096;
/// The path of readiness requests.
const PATH: &str = "/api/readiness";
/// How long a router stays ready after its lease has expired, in seconds. A new leader usually
/// grants a lease within this time.
const LEASE_GRACE_S: f64 = 1.0;

/// Answers readiness requests from the view.
struct Readiness {
    shared: SharedView,
}

impl Readiness {
    /// Returns whether this router can serve clients: it knows a configuration and servers, its
    /// lease has not expired more than [`LEASE_GRACE_S`] ago, and it isn't shutting down.
    fn is_ready(&self) -> bool {
        let view = self.shared.view.borrow();
        view.config.is_some()
            && !view.servers.is_empty()
            && clock::now() < view.last_lease_expires_at() + LEASE_GRACE_S
            && self.shared.shutdown_started_at.get().is_none()
    }
}

impl Handler for Readiness {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let path = request.path.split('?').next().unwrap_or_default();
        let status = match path {
            PATH if self.is_ready() => 200,
            PATH => 503,
            _ => 404,
        };
        encode_response(status, &[], b"", request.keep_alive)
    }
}

/// Answers readiness requests at this address for as long as the executor runs.
///
/// # Errors
///
/// [`ProcessError::BindReadiness`] if the address can't be bound.
pub(super) fn serve(
    tasks: &Rc<LocalExecutor<'static>>,
    address: SocketAddr,
    shared: &SharedView,
) -> Result<(), ProcessError> {
    let listener =
        http::listen(address).map_err(|error| ProcessError::BindReadiness { address, error })?;
    let handler = Rc::new(Readiness {
        shared: shared.clone(),
    });
    // The shutdown doesn't wait for readiness requests, so this count is never read.
    let in_flight = Rc::new(Cell::new(0));
    tasks
        .spawn(http::serve(
            tasks.clone(),
            listener,
            handler,
            MAX_BODY_BYTES,
            in_flight,
        ))
        .detach();
    Ok(())
}
