//! Sessions of routers. What waits for a router is its newest response and one update at most:
//! nothing queues up, however slowly it reads, and an update for several routers is encoded once
//! and held in memory once.
//!
//! The table belongs to the control driver; a writer task for each session sends what is in its
//! outbox, and a session ends with the [`RouterSession`] that the connection's task holds.

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

/// A router whose connection takes nothing for so many seconds is given up.
const WRITE_STALL_TIMEOUT_S: f64 = 1.5;

/// The sessions of all routers.
#[derive(Default)]
pub(super) struct RouterSessions {
    outboxes: RefCell<HashMap<u64, Rc<Outbox>>>,
    /// Updates for several routers in encoded form, for as long as the controller may send them
    /// again.
    encoded: RefCell<Vec<EncodedUpdate>>,
}

/// An update, and the bytes of its frame.
struct EncodedUpdate {
    update: Rc<RouterMessage>,
    bytes: Rc<[u8]>,
}

/// What waits to be written to one router.
#[derive(Default)]
struct Outbox {
    /// Only the newest counts: it responds to a later request.
    response: RefCell<Option<RouterMessage>>,
    /// The bytes of an update; until they are written the session takes no other.
    update: RefCell<Option<Rc<[u8]>>>,
    filled: Notify,
}

/// The session of one router; dropping it ends the session.
pub(super) struct RouterSession {
    pub(super) id: u64,
    node: Rc<ControlNode>,
    _writer: Task<()>,
}

impl RouterSessions {
    /// Queues a response to this router, in place of one that still waits. A query for health
    /// reports, which responds to no request, doesn't take the place of a lease.
    pub(super) fn respond(&self, session: u64, response: RouterMessage) {
        let Some(outbox) = self.outboxes.borrow().get(&session).cloned() else {
            return;
        };
        let pending = outbox.response.take();
        outbox.response.replace(Some(merge(pending, response)));
        outbox.filled.notify_waiters();
    }

    /// Queues an update to this router. While the one before is still being written it is left out:
    /// the controller sends it again.
    pub(super) fn send_update(&self, session: u64, update: Rc<RouterMessage>) {
        let outbox = self.outboxes.borrow().get(&session).cloned();
        let Some(outbox) = outbox.filter(|outbox| outbox.update.borrow().is_none()) else {
            return;
        };
        *outbox.update.borrow_mut() = Some(self.encode(update));
        outbox.filled.notify_waiters();
    }

    fn encode(&self, update: Rc<RouterMessage>) -> Rc<[u8]> {
        let mut encoded = self.encoded.borrow_mut();
        if let Some(known) = encoded
            .iter()
            .find(|known| Rc::ptr_eq(&known.update, &update))
        {
            return known.bytes.clone();
        }
        // What only this list refers to isn't sent again.
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
    /// A router has sent its first request on this connection.
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

/// What waits for a router once a further response is there: the further response, or a query for
/// health reports merged into the pending response to a lease request.
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

/// Writes what is in the outbox, responses first, until the connection ends.
async fn run_writer(stream: Rc<Async<TcpStream>>, outbox: Rc<Outbox>) {
    while write_next(&stream, &outbox).await.is_ok() {}
    // The task that reads from this connection ends as well.
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
    // Removed only now, so that no other update comes in between.
    outbox.update.take();
    Ok(())
}

#[cfg(test)]
#[path = "../tests/router_sessions.rs"]
mod tests;
