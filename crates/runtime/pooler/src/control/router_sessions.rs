//! Sessions of routers. At most the newest response and one update wait for each router, so nothing
//! queues up however slowly the router reads. An update for several routers is encoded once and
//! kept in memory once.
//!
//! The control driver owns the table of sessions. A writer task for each session sends the contents
//! of its outbox. A session ends when the connection's task drops its [`RouterSession`].

use super::ControlNode;
use crate::frames::{self, Frame};
use crate::notify::Notify;
use async_executor::Task;
use async_io::Async;
use badgerstream_control::RouterMessage;
use futures_lite::io;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// A connection to a router that accepts no bytes for this long, in seconds, is closed.
const WRITE_STALL_TIMEOUT_S: f64 = 1.5;

/// The sessions of all routers.
#[derive(Default)]
pub(super) struct RouterSessions {
    /// The outbox of each session, by session number.
    outboxes: RefCell<HashMap<u64, Rc<Outbox>>>,
    /// Encoded updates, kept for as long as the controller may send them to further routers.
    encoded: RefCell<Vec<EncodedUpdate>>,
}

/// An update and the bytes of its frame.
struct EncodedUpdate {
    update: Rc<RouterMessage>,
    bytes: Rc<[u8]>,
}

/// The messages that wait to be written to one router.
#[derive(Default)]
struct Outbox {
    /// The newest response. It replaces an earlier one, as it answers a later request.
    response: RefCell<Option<RouterMessage>>,
    /// The frame of an update. The session accepts no other update until this one is written.
    update: RefCell<Option<Rc<[u8]>>>,
    /// Notified whenever a response or an update is added.
    filled: Notify,
}

/// The session of one router. The session ends when this value is dropped.
pub(super) struct RouterSession {
    pub(super) id: u64,
    node: Rc<ControlNode>,
    _writer: Task<()>,
}

impl RouterSessions {
    /// Queues a response to this router; it replaces a response that still waits. A query for
    /// health reports answers no request, so it is merged into a waiting lease instead of replacing
    /// it.
    pub(super) fn respond(&self, session: u64, response: RouterMessage) {
        let Some(outbox) = self.outboxes.borrow().get(&session).cloned() else {
            return;
        };
        let pending = outbox.response.take();
        outbox.response.replace(Some(merge(pending, response)));
        outbox.filled.notify_waiters();
    }

    /// Queues an update to this router. If the previous update is not written yet, the new one is
    /// dropped; the controller sends it again.
    pub(super) fn send_update(&self, session: u64, update: Rc<RouterMessage>) {
        let outbox = self.outboxes.borrow().get(&session).cloned();
        let Some(outbox) = outbox.filter(|outbox| outbox.update.borrow().is_none()) else {
            return;
        };
        *outbox.update.borrow_mut() = Some(self.encode(update));
        outbox.filled.notify_waiters();
    }

    /// Returns the frame of an update, and encodes it only the first time.
    fn encode(&self, update: Rc<RouterMessage>) -> Rc<[u8]> {
        let mut encoded = self.encoded.borrow_mut();
        if let Some(known) = encoded
            .iter()
            .find(|known| Rc::ptr_eq(&known.update, &update))
        {
            return known.bytes.clone();
        }
        // The controller has dropped the updates that only this list still refers to, so they are
        // not sent again.
        encoded.retain(|known| Rc::strong_count(&known.update) > 1);
        let bytes: Rc<[u8]> = frames::encode(&Frame::RouterUpdate(update.clone())).into();
        encoded.push(EncodedUpdate {
            update,
            bytes: bytes.clone(),
        });
        bytes
    }
}

impl ControlNode {
    /// Opens a session for a router that has sent its first request on this connection.
    pub(super) fn open_session(self: &Rc<Self>, stream: &Rc<Async<TcpStream>>) -> RouterSession {
        let id = self.next_id();
        let outbox = Rc::new(Outbox::default());
        let mut outboxes = self.router_sessions.outboxes.borrow_mut();
        outboxes.insert(id, outbox.clone());
        RouterSession {
            id,
            node: self.clone(),
            _writer: self.tasks.spawn(run_writer(stream.clone(), outbox)),
        }
    }
}

impl Drop for RouterSession {
    fn drop(&mut self) {
        let node = &self.node;
        node.router_sessions.outboxes.borrow_mut().remove(&self.id);
        node.controller.borrow_mut().session_closed(self.id);
    }
}

/// Returns the response that waits for a router after `response` was added: a query for health
/// reports is merged into a pending response to a lease request; any other response replaces the
/// pending one.
fn merge(pending: Option<RouterMessage>, response: RouterMessage) -> RouterMessage {
    let (
        Some(mut pending),
        RouterMessage::Update {
            request_sent_at: None,
            health_reports_wanted: newly_wanted,
            ..
        },
    ) = (pending, &response)
    else {
        return response;
    };
    if let RouterMessage::Update {
        request_sent_at: Some(_),
        health_reports_wanted,
        ..
    } = &mut pending
    {
        health_reports_wanted.clone_from(newly_wanted);
        return pending;
    }
    response
}

/// Writes the contents of the outbox, responses first, until the connection ends.
async fn run_writer(stream: Rc<Async<TcpStream>>, outbox: Rc<Outbox>) {
    while write_next(&stream, &outbox).await.is_ok() {}
    // This also ends the task that reads from the connection.
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

async fn write_next(stream: &Async<TcpStream>, outbox: &Outbox) -> io::Result<()> {
    let generation = outbox.filled.generation();
    let mut writer = stream;
    if let Some(response) = outbox.response.take() {
        let bytes = frames::encode(&Frame::RouterUpdate(Rc::new(response)));
        return frames::write_with_stall_timeout(&mut writer, &bytes, WRITE_STALL_TIMEOUT_S).await;
    }
    let update = outbox.update.borrow().clone();
    let Some(bytes) = update else {
        outbox.filled.notified_since(generation).await;
        return Ok(());
    };
    frames::write_with_stall_timeout(&mut writer, &bytes, WRITE_STALL_TIMEOUT_S).await?;
    // The update is removed only after it was written, so that no other update is accepted before.
    outbox.update.take();
    Ok(())
}

#[cfg(test)]
#[path = "../tests/router_sessions.rs"]
mod tests;
