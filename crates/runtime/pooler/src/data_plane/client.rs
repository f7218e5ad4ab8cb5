//! A client's session, from its first byte to its end.
//!
//! The listener starts one task per client, which runs [`serve`]:
//!
//! - [`handshake`]: reads which database the client connects to;
//! - `next_request`: waits for the next line, a disconnect, the idle timeout of a transaction, or
//!   shutdown;
//! - `dispatch`: answers each statement in the router or has it run at a server;
//! - `single_statement`, `transaction`, `commit`: run statements at a server, on a connection that
//!   `placement` obtains, with the lines that `statement` writes;
//! - `response`, `connection`: the responses to the client, and its socket.
//!
//! The task owns the session and, inside a transaction, the checked-out connection. A write that
//! may have run is never sent again.

mod commit;
mod connection;
mod dispatch;
mod handshake;
mod next_request;
mod placement;
mod response;
mod single_statement;
mod statement;
mod transaction;

use super::DataPlane;
use super::drain::SessionHandle;
use super::maintenance::max_connections;
use super::placement::RouteTerms;
use super::pool::Checkout;
use crate::clock;
use crate::net;
use async_io::Async;
use badgerstream_line_protocol::Request;
use badgerstream_pooling::session::{Session, Transaction};
use connection::ClientConnection;
use handshake::handshake;
use response::Response;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;

/// A client's connection breaks when sent bytes stay unacknowledged for this long, in milliseconds
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT_MS: u32 = 10_000;
/// Fraction of the statement's maximum duration after which a statement without a placement is
/// rejected, so that its client has time left to use another router.
const PLACEMENT_DEADLINE_FRACTION: f64 = 0.45;
/// First backoff after a primary refused a statement, in seconds; it doubles with each attempt.
const INITIAL_BACKOFF_S: f64 = 0.02;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Assumed connection limit of a server while the configuration doesn't name its service.
const DEFAULT_MAX_CONNECTIONS: usize = 16;

/// Serves a client until its session ends.
pub(super) async fn serve(
    data_plane: &Rc<DataPlane>,
    stream: Async<TcpStream>,
    handle: Rc<SessionHandle>,
) {
    if net::set_options(&stream, USER_TIMEOUT_MS).is_err() {
        return;
    }
    let client = ClientConnection {
        stream,
        lines: RefCell::default(),
    };
    let Some(database) = handshake(data_plane, &client).await else {
        return;
    };
    let mut session = ClientSession {
        data_plane: data_plane.clone(),
        database,
        client,
        session: Session::default(),
        handle,
        terms: None,
        checkout: None,
        failure_reported: true,
    };
    session.run().await;
    session.handle.in_transaction.set(false);
    if let Some(checkout) = session.checkout.take() {
        checkout.roll_back();
    }
}

/// A client's session with its connection and its open transaction.
struct ClientSession {
    data_plane: Rc<DataPlane>,
    database: Rc<str>,
    client: ClientConnection,
    session: Session,
    handle: Rc<SessionHandle>,
    /// The terms of the route when the open transaction began at a server.
    terms: Option<RouteTerms>,
    /// The connection of the open transaction, once it has begun at a server.
    checkout: Option<Checkout>,
    /// Whether the client has been told that its transaction has failed.
    failure_reported: bool,
}

impl ClientSession {
    /// Answers requests one after the other until the session ends.
    async fn run(&mut self) {
        loop {
            let Some(line) = self.next_request().await else {
                return;
            };
            let active_statement = ActiveStatement::new(&self.data_plane);
            let arrived_at = clock::now();
            let response = match Request::parse(&line) {
                Ok(Request::Query { id, text }) => {
                    // The future of a statement is on the heap, so that the future
                    // of an idle session stays small.
                    let response = Box::pin(self.query(id, text, arrived_at)).await;
                    self.data_plane.counts.record_ended(text, response.end());
                    response
                }
                Ok(Request::Bye) => return,
                Ok(Request::Connect { .. }) => self.malformed("connected already"),
                Err(error) => self.malformed(&error.to_string()),
            };
            drop(line);
            self.handle
                .in_transaction
                .set(self.session.transaction != Transaction::None);
            let sent = self.respond(response).await;
            drop(active_statement);
            if !sent {
                return;
            }
        }
    }

    /// Sends the response to a request. Returns whether the session goes on.
    async fn respond(&self, response: Response) -> bool {
        match response {
            Response::Forward(raw) => self.client.write(&raw).await,
            Response::Error { code, text, state } => {
                let blank = if text.is_empty() { "" } else { " " };
                let line = format!(
                    "ERROR {}{blank}{text}\r\nIDLE {} -\r\n",
                    code.as_str(),
                    state.as_char()
                );
                self.client.write(line.as_bytes()).await
            }
            Response::Done => {
                let state = self.session.transaction.state().as_char();
                self.client
                    .write(format!("COMPLETE -\r\nIDLE {state} -\r\n").as_bytes())
                    .await
            }
            Response::ClientDisconnected => false,
        }
    }

    /// Returns the terms of the route of the session's database, as configured now.
    fn route_terms(&self) -> Option<RouteTerms> {
        let config = self.data_plane.shared_view.view.borrow().config.clone()?;
        let route = config.route(&self.database)?;
        let max_connections =
            max_connections(&config, &route.service).unwrap_or(DEFAULT_MAX_CONNECTIONS);
        Some(RouteTerms::from_route(route, max_connections))
    }
}

/// Counts a statement as active until this value is dropped.
struct ActiveStatement(Rc<DataPlane>);

impl ActiveStatement {
    fn new(data_plane: &Rc<DataPlane>) -> Self {
        data_plane
            .active_statements
            .set(data_plane.active_statements.get() + 1);
        Self(data_plane.clone())
    }
}

impl Drop for ActiveStatement {
    fn drop(&mut self) {
        self.0
            .active_statements
            .set(self.0.active_statements.get() - 1);
    }
}
