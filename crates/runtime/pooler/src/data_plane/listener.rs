//! The client-facing listener ("front"): accepts clients up to a limit derived from the file
//! descriptors, and starts their sessions.

use super::drain::SessionHandle;
use super::{ACCEPT_AFTER_TERM_S, DataPlane, client};
use crate::clock;
use crate::data_plane::drain::DrainStage;
use crate::net;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// File descriptors reserved for files and for connections other than those of clients.
const RESERVED_DESCRIPTORS: usize = 500;
/// Lower bound of the client limit, however few file descriptors there are.
const MIN_CLIENT_LIMIT: usize = 16;
/// Maximum number of clients accepted beyond the limit while idle sessions are closed to make room.
const MAX_EXCESS_CLIENTS: usize = 64;
/// Pause between two attempts to bind the front address, in seconds.
const BIND_RETRY_S: f64 = 0.5;
/// Pause after a failed accept, in seconds.
const ACCEPT_RETRY_S: f64 = 0.05;

impl DataPlane {
    /// Accepts clients until [`ACCEPT_AFTER_TERM_S`] after SIGTERM. `first_bind` is the result of
    /// the first attempt to bind the front address.
    pub(super) async fn accept(
        self: Rc<Self>,
        front_address: SocketAddr,
        first_bind: io::Result<Async<TcpListener>>,
    ) {
        let listener = bind_with_retry(front_address, first_bind).await;
        log::info!("event=front_open front={front_address}");
        // The listener stays open until this returns, so that connections which the platform still
        // sends after SIGTERM are accepted from its backlog.
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error={error}");
                    net::sleep_until(clock::now() + ACCEPT_RETRY_S).await;
                    continue;
                }
            };
            if self.has_stopped_accepting() {
                return;
            }
            if self.client_count() >= self.max_clients() {
                self.close_longest_idle();
            }
            if self.client_count() >= self.max_clients() + MAX_EXCESS_CLIENTS {
                log::warn!("event=client_rejected clients={}", self.client_count());
                continue;
            }
            self.start_session(stream);
        }
    }

    fn has_stopped_accepting(&self) -> bool {
        self.shared_view
            .shutdown_started_at
            .get()
            .is_some_and(|started_at| clock::now() > started_at + ACCEPT_AFTER_TERM_S)
    }

    /// Maximum number of clients at the same time.
    fn max_clients(&self) -> usize {
        self.limits
            .file_limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CLIENT_LIMIT)
    }

    /// Starts a task that serves a client.
    fn start_session(self: &Rc<Self>, stream: Async<TcpStream>) {
        let id = self.next_session_id.get();
        self.next_session_id.set(id + 1);
        let handle = Rc::new(SessionHandle::default());
        self.sessions.borrow_mut().insert(id, handle.clone());
        let data_plane = self.clone();
        let session = async move {
            client::serve(&data_plane, stream, handle).await;
            data_plane.sessions.borrow_mut().remove(&id);
        };
        self.tasks.spawn(session).detach();
    }

    /// Closes the session that has been idle longest. Its client is waiting for no response, so no
    /// statement fails.
    fn close_longest_idle(&self) {
        let sessions = self.sessions.borrow();
        let idle = sessions.values().filter(|session| {
            session.drain_stage.get() == DrainStage::Serving && session.idle_since.get().is_some()
        });
        let longest_idle = idle.min_by(|a, b| {
            a.idle_since
                .get()
                .partial_cmp(&b.idle_since.get())
                .expect("times of the clock are never NaN")
        });
        if let Some(session) = longest_idle {
            session.advance_to(DrainStage::CloseIdle);
        }
    }
}

/// Returns the listener once the front address is bound, retrying until it is.
async fn bind_with_retry(
    front_address: SocketAddr,
    first_bind: io::Result<Async<TcpListener>>,
) -> Async<TcpListener> {
    let mut bound = first_bind;
    loop {
        match bound {
            Ok(listener) => return listener,
            Err(error) => {
                log::error!("event=front_bind_failed front={front_address} error={error}");
            }
        }
        net::sleep_until(clock::now() + BIND_RETRY_S).await;
        bound = bind(front_address);
    }
}

pub(super) fn bind(front_address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(front_address)
}
