//! A client's session, from its first byte to its end.

mod commit;
mod connection;
mod dispatch;
mod handshake;
mod input;
mod reply;
mod single;
mod statement;
mod transaction;

use super::net;
use super::place::Terms;
use super::pool::Checkout;
use super::{Edge, Handle};
use crate::clock;
use async_io::Async;
use badgerstream_pooling::session::{Session, Transaction};
use badgerstream_wire::Request;
use connection::Client;
use handshake::hello;
use reply::Told;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;

/// A client that acknowledges no byte for so long is gone, in milliseconds.
const USER_TIMEOUT_MS: u32 = 10_000;
/// The part of its deadline after which a statement that no server was offered is given back to its client: what is
/// held longer is as good as lost there.
const HOLD: f64 = 0.45;
/// The pause after a server's refusal, in seconds.
const PAUSE_S: f64 = 0.02;

/// Serves a client until it ends.
pub async fn serve(edge: &Rc<Edge>, stream: Async<TcpStream>, handle: Rc<Handle>) {
    if net::options(&stream, USER_TIMEOUT_MS).is_err() {
        return;
    }
    let client = Client { stream, lines: RefCell::default() };
    let Some(database) = hello(edge, &client).await else { return };
    let mut talk = Talk {
        edge: edge.clone(),
        database,
        client,
        session: Session::default(),
        handle,
        terms: None,
        held: None,
        told: true,
    };
    talk.run().await;
    talk.handle.inside.set(false);
    if let Some(held) = talk.held.take() {
        held.roll_back();
    }
}

/// A session at work.
struct Talk {
    edge: Rc<Edge>,
    database: Rc<str>,
    client: Client,
    session: Session,
    handle: Rc<Handle>,
    /// The route's terms that bind the open transaction.
    terms: Option<Terms>,
    /// The connection of the open transaction, once it was begun at a server.
    held: Option<Checkout>,
    /// The client knows that its transaction has failed.
    told: bool,
}

impl Talk {
    async fn run(&mut self) {
        loop {
            let Some(line) = self.next().await else { return };
            let working = Working::new(&self.edge);
            let arrived = clock::now();
            let told = match Request::parse(&line) {
                Ok(Request::Query { id, text }) => {
                    // On the heap while it lasts: a resting session keeps no room for it.
                    Box::pin(self.query(id, text, arrived)).await
                }
                Ok(Request::Bye) => return,
                Ok(Request::Connect { .. }) => self.malformed("connected already"),
                Err(e) => self.malformed(&e.to_string()),
            };
            drop(line);
            self.handle.inside.set(self.session.transaction != Transaction::None);
            let sent = match told {
                Told::Answer(raw) => self.client.write(&raw).await,
                Told::Error(code, text, state) => {
                    let blank = if text.is_empty() { "" } else { " " };
                    let line = format!("ERROR {}{blank}{text}\r\nIDLE {} -\r\n", code.word(), state.letter());
                    self.client.write(line.as_bytes()).await
                }
                Told::Done => {
                    let state = self.session.transaction.state().letter();
                    self.client.write(format!("COMPLETE -\r\nIDLE {state} -\r\n").as_bytes()).await
                }
                Told::Gone => false,
            };
            drop(working);
            if !sent {
                return;
            }
        }
    }

    /// The terms of the session's database, as they stand now.
    fn bind(&self) -> Option<Terms> {
        let config = self.edge.shared.view.borrow().config.clone()?;
        let route = config.route(&self.database)?;
        let max_conns = config.services.iter().find(|s| s.name == route.service).map_or(16, |s| s.max_conns);
        Some(Terms::of(route, max_conns as usize))
    }
}

/// Counts what is in work.
struct Working(Rc<Edge>);

impl Working {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.working.set(edge.working.get() + 1);
        Self(edge.clone())
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.working.set(self.0.working.get() - 1);
    }
}
