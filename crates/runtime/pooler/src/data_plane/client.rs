//! A client's session, from its first byte to its end.

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

use super::net;
use super::placement::RouteTerms;
use super::pool::Checkout;
use super::{DataPlane, SessionHandle};
use crate::clock;
use async_io::Async;
use badgerstream_line_protocol::Request;
use badgerstream_pooling::session::{Session, Transaction};
use connection::ClientConnection;
use handshake::handshake;
use response::Response;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;

/// A client that acknowledges no byte for so long is gone, in milliseconds.
const USER_TIMEOUT_MS: u32 = 10_000;
/// The part of its deadline after which a statement that no server was offered is given back to its client: what is
/// held longer is as good as lost there.
const PLACEMENT_DEADLINE_FRACTION: f64 = 0.45;
/// The first pause after a primary's refusal, in seconds; it doubles with each attempt.
const BACKOFF_S: f64 = 0.02;
/// How often the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The connections of a server while the configuration doesn't name its service.
const DEFAULT_MAX_CONNS: u32 = 16;

/// Serves a client until it ends.
pub(super) async fn serve(
    data_plane: &Rc<DataPlane>,
    stream: Async<TcpStream>,
    handle: Rc<SessionHandle>,
) {
    if net::options(&stream, USER_TIMEOUT_MS).is_err() {
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

/// A session at work.
struct ClientSession {
    data_plane: Rc<DataPlane>,
    database: Rc<str>,
    client: ClientConnection,
    session: Session,
    handle: Rc<SessionHandle>,
    /// The route's terms that bind the open transaction.
    terms: Option<RouteTerms>,
    /// The connection of the open transaction, once it was begun at a server.
    checkout: Option<Checkout>,
    /// The client knows that its transaction has failed.
    failure_reported: bool,
}

impl ClientSession {
    /// Answers one statement after the other until the session ends.
    async fn run(&mut self) {
        loop {
            let Some(line) = self.next_request().await else {
                return;
            };
            let working = ActiveStatement::new(&self.data_plane);
            let arrived_at = clock::now();
            let response = match Request::parse(&line) {
                Ok(Request::Query { id, text }) => {
                    // On the heap while it lasts: a resting session keeps no room for it.
                    let response = Box::pin(self.query(id, text, arrived_at)).await;
                    self.data_plane.counts.ended(text, response.end());
                    response
                }
                Ok(Request::Bye) => return,
                Ok(Request::Connect { .. }) => self.malformed("connected already"),
                Err(e) => self.malformed(&e.to_string()),
            };
            drop(line);
            self.handle
                .in_transaction
                .set(self.session.transaction != Transaction::None);
            let sent = self.respond(response).await;
            drop(working);
            if !sent {
                return;
            }
        }
    }

    /// Sends the answer to a statement; false if the session is over.
    async fn respond(&self, response: Response) -> bool {
        match response {
            Response::Forward(raw) => self.client.write(&raw).await,
            Response::Error(code, text, state) => {
                let blank = if text.is_empty() { "" } else { " " };
                let line = format!(
                    "ERROR {}{blank}{text}\r\nIDLE {} -\r\n",
                    code.word(),
                    state.letter()
                );
                self.client.write(line.as_bytes()).await
            }
            Response::Done => {
                let state = self.session.transaction.state().letter();
                self.client
                    .write(format!("COMPLETE -\r\nIDLE {state} -\r\n").as_bytes())
                    .await
            }
            Response::ClientDisconnected => false,
        }
    }

    /// The terms of the session's database, as they stand now.
    fn route_terms(&self) -> Option<RouteTerms> {
        let config = self.data_plane.shared_view.view.borrow().config.clone()?;
        let route = config.route(&self.database)?;
        let max_conns = config
            .services
            .iter()
            .find(|s| s.name == route.service)
            .map_or(DEFAULT_MAX_CONNS, |s| s.max_conns);
        Some(RouteTerms::from_route(route, max_conns as usize))
    }
}

/// Counts what is in work.
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
