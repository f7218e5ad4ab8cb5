//! Which messages wait for a router, and in which order they are written.

use super::{Outbox, RouterSessions, run_writer};
use crate::frames::{self, Frame};
use async_io::Async;
use badgerstream_control::{ConfigUpdate, RouterMessage, Term};
use futures_lite::future::{self, poll_once};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Returns the response to a lease request that was sent at this time.
fn response(sent_at: f64) -> RouterMessage {
    RouterMessage::Update {
        update_watermark: (Term(1), 1),
        request_sent_at: Some(sent_at),
        lease_duration: 1.0,
        is_snapshot: false,
        grants: Vec::new(),
        members: Vec::new(),
        config: None,
        voters: Vec::new(),
        router_count: 1,
        health_reports_wanted: Vec::new(),
    }
}

/// Returns an update of 100 KB with this number in its watermark.
fn update(number: u64) -> Rc<RouterMessage> {
    let mut update = response(0.0);
    if let RouterMessage::Update {
        update_watermark,
        request_sent_at,
        config,
        ..
    } = &mut update
    {
        *update_watermark = (Term(1), number);
        *request_sent_at = None;
        *config = Some(ConfigUpdate::Full(random_bytes(100_000).into()));
    }
    Rc::new(update)
}

/// Returns bytes that can't be compressed.
fn random_bytes(count: usize) -> Vec<u8> {
    (0..count).map(|_| fastrand::u8(..)).collect()
}

fn open(sessions: &RouterSessions, id: u64) -> Rc<Outbox> {
    let outbox = Rc::new(Outbox::default());
    sessions.outboxes.borrow_mut().insert(id, outbox.clone());
    outbox
}

/// However many messages are sent to a router that reads nothing, only the newest response and one
/// update wait for it.
#[test]
fn nothing_queues_up_for_a_router_that_does_not_read() {
    let sessions = RouterSessions::default();
    let outbox = open(&sessions, 1);
    let first = update(1);
    sessions.send_update(1, first.clone());
    for n in 2..100 {
        sessions.respond(1, response(n as f64));
        sessions.send_update(1, update(n));
    }
    assert_eq!(*outbox.response.borrow(), Some(response(99.0)));
    let pending = outbox.update.borrow().clone().unwrap();
    assert_eq!(&*pending, &frames::encode(&Frame::RouterUpdate(first))[..]);
}

/// A query for health reports is merged into a pending lease; a redirection to another machine
/// replaces both.
#[test]
fn health_report_query_does_not_replace_a_pending_lease() {
    let sessions = RouterSessions::default();
    let outbox = open(&sessions, 1);
    let mut query = response(0.0);
    if let RouterMessage::Update {
        request_sent_at,
        lease_duration,
        health_reports_wanted,
        ..
    } = &mut query
    {
        *request_sent_at = None;
        *lease_duration = 0.0;
        *health_reports_wanted = vec!["catalog".to_owned()];
    }
    sessions.respond(1, response(5.0));
    sessions.respond(1, query.clone());
    let Some(RouterMessage::Update {
        request_sent_at,
        lease_duration,
        health_reports_wanted,
        ..
    }) = outbox.response.borrow().clone()
    else {
        panic!();
    };
    assert_eq!(
        (request_sent_at, lease_duration, health_reports_wanted),
        (Some(5.0), 1.0, vec!["catalog".to_owned()])
    );
    let not_leader = RouterMessage::NotLeader {
        leader: None,
        voters: Vec::new(),
    };
    sessions.respond(1, not_leader.clone());
    assert_eq!(*outbox.response.borrow(), Some(not_leader));
}

/// An update for several routers is encoded once and kept in memory once, and only as long as it
/// may be sent again.
#[test]
fn update_for_several_routers_is_held_once() {
    let sessions = RouterSessions::default();
    let (a, b, c) = (open(&sessions, 1), open(&sessions, 2), open(&sessions, 3));
    let shared = update(1);
    sessions.send_update(1, shared.clone());
    sessions.send_update(2, shared.clone());
    let bytes = |outbox: &Outbox| outbox.update.borrow().clone().unwrap();
    assert!(Rc::ptr_eq(&bytes(&a), &bytes(&b)));
    assert_eq!(sessions.encoded.borrow().len(), 1);
    drop(shared);
    sessions.send_update(3, update(2));
    assert_eq!(sessions.encoded.borrow().len(), 1);
    assert!(!Rc::ptr_eq(&bytes(&a), &bytes(&c)));
}

/// A response is written before a pending update, and both reach the router complete.
#[test]
fn responses_are_written_before_updates() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    async_io::block_on(async {
        let (near, far) = future::zip(Async::<TcpStream>::connect(at), listener.accept()).await;
        let (near, mut far) = (Rc::new(near.unwrap()), far.unwrap().0);
        let sessions = RouterSessions::default();
        let outbox = open(&sessions, 1);
        sessions.send_update(1, update(7));
        sessions.respond(1, response(3.0));
        let mut writer = Box::pin(run_writer(near, outbox.clone()));
        let read = async {
            let first = frames::read(&mut far).await.unwrap();
            assert_eq!(first, Frame::RouterUpdate(Rc::new(response(3.0))));
            let Frame::RouterUpdate(second) = frames::read(&mut far).await.unwrap() else {
                panic!()
            };
            assert!(matches!(
                &*second,
                RouterMessage::Update {
                    update_watermark: (Term(1), 7),
                    ..
                }
            ));
        };
        future::or(read, async {
            writer.as_mut().await;
            panic!("the writer ended");
        })
        .await;
        poll_once(writer).await;
        assert!(outbox.update.borrow().is_none());
    });
}
