//! Connections of routers. What goes to one is its newest answer and one news at most: nothing queues up, however slowly it
//! reads, and what all are told is encoded once and held once.

use super::*;
use async_executor::Task;

/// A router whose connection takes nothing for so many seconds is gone.
const STALLED: f64 = 1.5;

/// The sessions of all routers.
#[derive(Default)]
pub(super) struct Sessions {
    all: RefCell<HashMap<u64, Rc<Outbox>>>,
    /// News that is told to several, as the bytes of its frame; for as long as the controller may tell it again.
    encoded: RefCell<Vec<Encoded>>,
}

/// News, and the bytes of its frame.
struct Encoded {
    news: Rc<RouterMessage>,
    bytes: Rc<[u8]>,
}

/// What waits to be written to one router.
#[derive(Default)]
struct Outbox {
    /// Only the newest counts: it answers a later call.
    answer: RefCell<Option<RouterMessage>>,
    news: RefCell<Option<Rc<[u8]>>>,
    filled: Notify,
}

/// One router's session: ends with this.
pub(super) struct OpenSession {
    pub(super) id: u64,
    control: Rc<Control>,
    _writer: Task<()>,
}

impl Sessions {
    /// An answer to this router, in place of one that still waits; a question that answers nothing takes no lease's place.
    pub(super) fn answer(&self, session: u64, answer: RouterMessage) {
        let Some(outbox) = self.all.borrow().get(&session).cloned() else {
            return;
        };
        let waiting = outbox.answer.take();
        outbox.answer.replace(Some(merged(waiting, answer)));
        outbox.filled.notify_waiters();
    }

    /// News to this router. While the last is still being written it is left out: the controller tells it again.
    pub(super) fn tell(&self, session: u64, news: Rc<RouterMessage>) {
        let outbox = self.all.borrow().get(&session).cloned();
        let Some(outbox) = outbox.filter(|o| o.news.borrow().is_none()) else {
            return;
        };
        *outbox.news.borrow_mut() = Some(self.encode(news));
        outbox.filled.notify_waiters();
    }

    fn encode(&self, news: Rc<RouterMessage>) -> Rc<[u8]> {
        let mut encoded = self.encoded.borrow_mut();
        if let Some(known) = encoded.iter().find(|known| Rc::ptr_eq(&known.news, &news)) {
            return known.bytes.clone();
        }
        // What only this list still holds is not told any more.
        encoded.retain(|known| Rc::strong_count(&known.news) > 1);
        let bytes: Rc<[u8]> = frames::encode(&Frame::RouterUpdate(news.clone())).into();
        encoded.push(Encoded {
            news,
            bytes: bytes.clone(),
        });
        bytes
    }
}

impl Control {
    /// A router has asked for the first time on this connection.
    pub(super) fn open_session(self: &Rc<Self>, stream: &Rc<Async<TcpStream>>) -> OpenSession {
        let id = self.next.get() + 1;
        self.next.set(id);
        let outbox = Rc::new(Outbox::default());
        self.sessions.all.borrow_mut().insert(id, outbox.clone());
        let writer = self.tasks.spawn(write(stream.clone(), outbox));
        OpenSession {
            id,
            control: self.clone(),
            _writer: writer,
        }
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.control.sessions.all.borrow_mut().remove(&self.id);
        self.control.controller.borrow_mut().session_closed(self.id);
    }
}

/// What goes to a router for which an answer waits when another is to be sent.
fn merged(waiting: Option<RouterMessage>, answer: RouterMessage) -> RouterMessage {
    let (
        Some(mut waiting),
        RouterMessage::Update {
            request_sent_at: None,
            health_reports_wanted: wanted,
            ..
        },
    ) = (waiting, &answer)
    else {
        return answer;
    };
    if let RouterMessage::Update {
        request_sent_at: Some(_),
        health_reports_wanted: evidence_wanted,
        ..
    } = &mut waiting
    {
        evidence_wanted.clone_from(wanted);
        return waiting;
    }
    answer
}

/// Writes what there is, answers first, until the connection ends.
async fn write(stream: Rc<Async<TcpStream>>, outbox: Rc<Outbox>) {
    while write_next(&stream, &outbox).await.is_ok() {}
    // Whoever reads from this connection ends as well.
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
}

async fn write_next(stream: &Async<TcpStream>, outbox: &Outbox) -> io::Result<()> {
    let rings = outbox.filled.generation();
    let mut writer = stream;
    if let Some(answer) = outbox.answer.take() {
        let bytes = frames::encode(&Frame::RouterUpdate(Rc::new(answer)));
        return frames::write_with_stall_timeout(&mut writer, &bytes, STALLED).await;
    }
    let news = outbox.news.borrow().clone();
    let Some(bytes) = news else {
        outbox.filled.notified_since(rings).await;
        return Ok(());
    };
    frames::write_with_stall_timeout(&mut writer, &bytes, STALLED).await?;
    outbox.news.take();
    Ok(())
}

#[cfg(test)]
#[path = "../tests/sessions.rs"]
mod tests;
