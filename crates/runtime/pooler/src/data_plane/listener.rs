//! The listener on the front: accepts clients, bounded by descriptors, and starts their sessions.

use super::drain::SessionHandle;
use super::{ACCEPT_AFTER_TERM_S, DataPlane, client};
use crate::clock;
use crate::data_plane::drain::DrainStage;
use crate::net;
use async_io::Async;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Descriptors kept for files and for connections other than clients'.
const RESERVED_DESCRIPTORS: usize = 500;
/// The least number of clients at once that is allowed, however few descriptors there are.
const MIN_CLIENT_LIMIT: usize = 16;
/// Clients beyond the limit that are accepted while idle ones are being closed for them.
const MAX_EXCESS_CLIENTS: usize = 64;
/// Between two attempts to bind the front, in seconds.
const BIND_RETRY_S: f64 = 0.5;
/// After a connection could not be accepted, in seconds.
const ACCEPT_RETRY_S: f64 = 0.05;

impl DataPlane {
    /// Accepts clients until the router has drained for a while. `first_bind` is the outcome of the
    /// first attempt to bind the front.
    pub(super) async fn accept(
        self: Rc<Self>,
        front: SocketAddr,
        first_bind: io::Result<Async<TcpListener>>,
    ) {
        let listener = bind_with_retry(front, first_bind).await;
        log::info!("event=front_open front={front}");
        // The listener lives until this returns, so that connections which the platform still
        // passes on after SIGTERM are served from its backlog.
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

    /// The most clients at once.
    fn max_clients(&self) -> usize {
        self.limits
            .file_limit
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CLIENT_LIMIT)
    }

    /// Serves a client in a task of its own.
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

    /// Closes the session that has been idle for longest. To a client that has asked nothing this
    /// is no failure.
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

/// The listener, once the front can be bound.
async fn bind_with_retry(
    front: SocketAddr,
    first_bind: io::Result<Async<TcpListener>>,
) -> Async<TcpListener> {
    let mut bound = first_bind;
    loop {
        match bound {
            Ok(listener) => return listener,
            Err(error) => log::error!("event=front_bind_failed front={front} error={error}"),
        }
        net::sleep_until(clock::now() + BIND_RETRY_S).await;
        bound = bind(front);
    }
}

pub(super) fn bind(front: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(front)
}
