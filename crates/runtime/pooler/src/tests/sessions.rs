//! What waits for one router, and in which order it goes.

use super::*;
use badgerstream_control::{ConfigUpdate, Term};
use futures_lite::future::poll_once;

fn answer(sent: f64) -> RouterMessage {
    RouterMessage::Update {
        update_watermark: (Term(1), 1),
        request_sent_at: Some(sent),
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

fn news(number: u64) -> Rc<RouterMessage> {
    let mut news = answer(0.0);
    if let RouterMessage::Update {
        update_watermark: known,
        request_sent_at: sent,
        config,
        ..
    } = &mut news
    {
        (*known, *sent, *config) = (
            (Term(1), number),
            None,
            Some(ConfigUpdate::Full(random_bytes(100_000).into())),
        );
    }
    Rc::new(news)
}

/// Bytes that don't compress.
fn random_bytes(count: usize) -> Vec<u8> {
    (0..count).map(|_| fastrand::u8(..)).collect()
}

fn open(sessions: &Sessions, id: u64) -> Rc<Outbox> {
    let outbox = Rc::new(Outbox::default());
    sessions.all.borrow_mut().insert(id, outbox.clone());
    outbox
}

/// However much is said to a router that reads nothing, its newest answer and one news wait for it.
#[test]
fn nothing_queues_up_for_a_router_that_does_not_read() {
    let sessions = Sessions::default();
    let outbox = open(&sessions, 1);
    let first = news(1);
    sessions.tell(1, first.clone());
    for n in 2..100 {
        sessions.answer(1, answer(n as f64));
        sessions.tell(1, news(n));
    }
    assert_eq!(*outbox.answer.borrow(), Some(answer(99.0)));
    let waits = outbox.news.borrow().clone().unwrap();
    assert_eq!(&*waits, &frames::encode(&Frame::RouterUpdate(first))[..]);
}

/// A question goes along with a lease that waits, not in its place; whoever is sent elsewhere needs neither.
#[test]
fn a_question_takes_no_leases_place() {
    let sessions = Sessions::default();
    let outbox = open(&sessions, 1);
    let mut question = answer(0.0);
    if let RouterMessage::Update {
        request_sent_at: sent,
        lease_duration: lease,
        health_reports_wanted: evidence_wanted,
        ..
    } = &mut question
    {
        (*sent, *lease, *evidence_wanted) = (None, 0.0, vec!["catalog".to_owned()]);
    }
    sessions.answer(1, answer(5.0));
    sessions.answer(1, question.clone());
    let Some(RouterMessage::Update {
        request_sent_at: sent,
        lease_duration: lease,
        health_reports_wanted: evidence_wanted,
        ..
    }) = outbox.answer.borrow().clone()
    else {
        panic!();
    };
    assert_eq!(
        (sent, lease, evidence_wanted),
        (Some(5.0), 1.0, vec!["catalog".to_owned()])
    );
    let elsewhere = RouterMessage::NotLeader {
        leader: None,
        voters: Vec::new(),
    };
    sessions.answer(1, elsewhere.clone());
    assert_eq!(*outbox.answer.borrow(), Some(elsewhere));
}

/// What several are told is encoded once and held once, and no longer than it may be told again.
#[test]
fn what_several_are_told_is_held_once() {
    let sessions = Sessions::default();
    let (a, b, c) = (open(&sessions, 1), open(&sessions, 2), open(&sessions, 3));
    let shared = news(1);
    sessions.tell(1, shared.clone());
    sessions.tell(2, shared.clone());
    let bytes = |outbox: &Outbox| outbox.news.borrow().clone().unwrap();
    assert!(Rc::ptr_eq(&bytes(&a), &bytes(&b)));
    assert_eq!(sessions.encoded.borrow().len(), 1);
    drop(shared);
    sessions.tell(3, news(2));
    assert_eq!(sessions.encoded.borrow().len(), 1);
    assert!(!Rc::ptr_eq(&bytes(&a), &bytes(&c)));
}

/// An answer goes before news that waits as well, and a router that reads slowly gets all of it.
#[test]
fn answers_go_before_news() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    async_io::block_on(async {
        let (near, far) = future::zip(Async::<TcpStream>::connect(at), listener.accept()).await;
        let (near, mut far) = (Rc::new(near.unwrap()), far.unwrap().0);
        let sessions = Sessions::default();
        let outbox = open(&sessions, 1);
        sessions.tell(1, news(7));
        sessions.answer(1, answer(3.0));
        let mut writer = Box::pin(write(near, outbox.clone()));
        let read = async {
            let first = frames::read(&mut far).await.unwrap();
            assert_eq!(first, Frame::RouterUpdate(Rc::new(answer(3.0))));
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
        assert!(outbox.news.borrow().is_none());
    });
}
