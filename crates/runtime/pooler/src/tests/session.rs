//! A router's session beside a scripted control machine on loopback.

use crate::clock;
use crate::frames::{self, Frame};
use crate::net;
use crate::session::{Session, Spans};
use crate::view::Shared;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_control::{
    ConfigUpdate, HealthReport, LeaseRequest, MemberInfo, PrimaryGrant, RouterMessage, Term,
    TextDelta,
};
use futures_lite::{AsyncWriteExt, future};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const SPANS: Spans = Spans {
    renew: 0.3,
    suspect: 0.4,
};
const OLD: Term = Term(1 << 32);
const NEW: Term = Term(2 << 32);

/// A router's session, and the machine that it asks.
struct Rig {
    listener: Async<TcpListener>,
    shared: Shared,
}

impl Rig {
    fn play<T>(at: Ipv4Addr, test: impl AsyncFnOnce(&Rig) -> T) -> T {
        let tasks = Rc::new(LocalExecutor::new());
        let listener = Async::<TcpListener>::bind(SocketAddr::from((at, 0))).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let shared = Shared::default();
        let seen = |wanted: &[String], _: f64| {
            let seen = |service: &str| HealthReport {
                service: service.to_owned(),
                server_id: format!("{service}-primary"),
                answered_seconds_ago: 0.1,
            };
            let all = [seen("a"), seen("b")].into_iter();
            all.filter(|seen| wanted.contains(&seen.service)).collect()
        };
        let session = Session::new(
            "edge-1".to_owned(),
            7,
            address.port(),
            SPANS,
            shared.clone(),
            seen,
        );
        session.seeds(&[address]);
        tasks.spawn(session.run()).detach();
        let rig = Rig { listener, shared };
        async_io::block_on(tasks.run(test(&rig)))
    }

    async fn accept(&self) -> Async<TcpStream> {
        self.listener.accept().await.unwrap().0
    }

    /// Whether this service's primary may be used now.
    fn may_use(&self, id: &str) -> bool {
        self.shared
            .view
            .borrow()
            .primary("a", clock::now())
            .is_some_and(|grant| grant.id == id)
    }
}

async fn renewal(stream: &mut Async<TcpStream>) -> LeaseRequest {
    match frames::read(stream).await.unwrap() {
        Frame::LeaseRequest(call) => call,
        other => panic!("{other:?}"),
    }
}

async fn say(stream: &mut Async<TcpStream>, news: RouterMessage) {
    frames::write(stream, &Frame::RouterUpdate(Rc::new(news)))
        .await
        .unwrap();
}

fn news(known: (Term, u64), whole: bool) -> RouterMessage {
    RouterMessage::Update {
        update_watermark: known,
        request_sent_at: None,
        lease_duration: 0.0,
        is_snapshot: whole,
        grants: Vec::new(),
        members: Vec::new(),
        config: None,
        voters: Vec::new(),
        router_count: 1,
        health_reports_wanted: Vec::new(),
    }
}

fn granting(known: (Term, u64), id: &str, closing: bool) -> RouterMessage {
    let mut granting = news(known, true);
    if let RouterMessage::Update { grants, .. } = &mut granting {
        grants.push(PrimaryGrant {
            service: "a".to_owned(),
            server_id: id.to_owned(),
            primary_term: 1,
            revoking: closing,
        });
    }
    granting
}

fn answer(call: &LeaseRequest, known: (Term, u64), given: f64, wanted: &[&str]) -> RouterMessage {
    let mut answer = news(known, false);
    if let RouterMessage::Update {
        request_sent_at: sent,
        lease_duration: lease,
        health_reports_wanted: evidence_wanted,
        ..
    } = &mut answer
    {
        (*sent, *lease) = (Some(call.sent_at), given);
        evidence_wanted.extend(wanted.iter().map(|service| (*service).to_owned()));
    }
    answer
}

/// Whoever still receives something stays with its leader, though it has had no answer for three times as long as would make it
/// leave otherwise.
#[test]
fn a_leader_that_still_sends_is_not_left() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 51), async |rig| {
        let mut stream = rig.accept().await;
        renewal(&mut stream).await;
        let mut whole = news((OLD, 1), true);
        if let RouterMessage::Update { members, .. } = &mut whole {
            members.extend((0..200).map(|n| MemberInfo {
                id: format!("server-{n}-{:x}", fastrand::u64(..)),
                service: "a".to_owned(),
                endpoint: "10.0.0.1:5432".to_owned(),
                zone: "z".to_owned(),
                slots: 4,
                draining: false,
                departed: false,
                call_seq: n,
            }));
        }
        let bytes = frames::encode(&Frame::RouterUpdate(Rc::new(whole)));
        let trickle = async {
            for part in bytes.chunks(bytes.len().div_ceil(12)) {
                Timer::after(Duration::from_millis(100)).await;
                stream.write_all(part).await.unwrap();
            }
            while rig.shared.view.borrow().servers.is_empty() {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let left = async {
            rig.accept().await;
            panic!("it came again on another connection");
        };
        future::or(trickle, left).await;
        assert_eq!(rig.shared.view.borrow().servers.len(), 200);
    });
}

/// An answer that was on its way while news came tells less than is known by now: nothing of that is forgotten.
#[test]
fn an_answer_takes_nothing_back() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 52), async |rig| {
        let mut stream = rig.accept().await;
        let first = renewal(&mut stream).await;
        say(&mut stream, granting((OLD, 5), "x", false)).await;
        say(&mut stream, answer(&first, (OLD, 3), 1.0, &[])).await;
        assert_eq!(
            renewal(&mut stream).await.update_watermark,
            (OLD, 5),
            "in answer to the news"
        );
        assert_eq!(
            renewal(&mut stream).await.update_watermark,
            (OLD, 5),
            "in its time"
        );
        assert!(rig.may_use("x"));
    });
}

/// Between the whole of a new leader and its first lease a primary that both grant is used under the old lease, to its end and
/// no longer.
#[test]
fn a_primary_that_both_leaders_grant_is_used_without_a_gap() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 53), async |rig| {
        let mut stream = rig.accept().await;
        let call = renewal(&mut stream).await;
        say(&mut stream, granting((OLD, 1), "x", false)).await;
        let told = renewal(&mut stream).await;
        say(&mut stream, answer(&told, (OLD, 1), 1.2, &[])).await;
        let until = told.sent_at + 1.2;
        say(&mut stream, answer(&call, (NEW, 0), 0.0, &[])).await;
        say(&mut stream, granting((NEW, 1), "x", false)).await;
        let mut call = renewal(&mut stream).await;
        while call.update_watermark != (NEW, 1) {
            call = renewal(&mut stream).await;
        }
        assert!(
            clock::now() < until,
            "the machine is too slow for this test"
        );
        assert!(rig.may_use("x"));
        while call.sent_at < until {
            say(&mut stream, answer(&call, (NEW, 1), 0.0, &[])).await;
            call = renewal(&mut stream).await;
        }
        assert!(!rig.may_use("x"));
        say(&mut stream, answer(&call, (NEW, 1), 1.0, &[])).await;
        renewal(&mut stream).await;
        assert!(rig.may_use("x"));
    });
}

/// What the new leader takes back, or grants to another server, is not used under the old lease.
#[test]
fn what_a_new_leader_takes_back_is_not_used() {
    for (n, (id, closing)) in [("x", true), ("y", false)].into_iter().enumerate() {
        Rig::play(Ipv4Addr::new(127, 0, 0, 54 + n as u8), async |rig| {
            let mut stream = rig.accept().await;
            renewal(&mut stream).await;
            say(&mut stream, granting((OLD, 1), "x", false)).await;
            let told = renewal(&mut stream).await;
            say(&mut stream, answer(&told, (OLD, 1), 5.0, &[])).await;
            say(&mut stream, granting((NEW, 1), id, closing)).await;
            while renewal(&mut stream).await.update_watermark != (NEW, 1) {}
            assert!(!rig.may_use("x") && !rig.may_use("y"));
        });
    }
}

/// A lease of a leader that has told nothing yet covers nothing that another one granted.
#[test]
fn an_answer_of_a_new_leader_prolongs_no_old_grant() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 56), async |rig| {
        let mut stream = rig.accept().await;
        renewal(&mut stream).await;
        say(&mut stream, granting((OLD, 1), "x", false)).await;
        let told = renewal(&mut stream).await;
        say(&mut stream, answer(&told, (OLD, 1), 0.4, &[])).await;
        let mut call = renewal(&mut stream).await;
        while call.sent_at < told.sent_at + 0.5 {
            say(&mut stream, answer(&call, (NEW, 0), 0.0, &[])).await;
            call = renewal(&mut stream).await;
        }
        assert_eq!(call.update_watermark, (NEW, 0));
        assert!(!rig.may_use("x"));
    });
}

/// A renewal tells what was seen of the services that control asked about, and of no others.
#[test]
fn evidence_is_told_where_it_is_wanted() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 57), async |rig| {
        let mut stream = rig.accept().await;
        let call = renewal(&mut stream).await;
        assert!(call.health_reports.is_empty());
        say(&mut stream, answer(&call, (OLD, 0), 0.0, &["b"])).await;
        let call = renewal(&mut stream).await;
        let told: Vec<&str> = call
            .health_reports
            .iter()
            .map(|seen| seen.service.as_str())
            .collect();
        assert_eq!(told, ["b"]);
        say(&mut stream, answer(&call, (OLD, 0), 0.0, &[])).await;
        assert!(renewal(&mut stream).await.health_reports.is_empty());
    });
}

/// While nobody leads, all routers ask around: each does so more and more seldom.
#[test]
fn while_nobody_leads_it_asks_more_and_more_seldom() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 58), async |rig| {
        let asked = async {
            let mut streams = Vec::new();
            while streams.len() < 25 {
                let mut stream = rig.accept().await;
                renewal(&mut stream).await;
                let voters = vec![u32::from(Ipv4Addr::new(127, 0, 0, 58))];
                say(
                    &mut stream,
                    RouterMessage::NotLeader {
                        leader: None,
                        voters,
                    },
                )
                .await;
                streams.push(stream);
            }
        };
        let began = clock::now();
        future::or(asked, async {
            Timer::after(Duration::from_secs(60)).await;
        })
        .await;
        let took = clock::now() - began;
        // At 40 ms each it would be 1 s.
        assert!((2.5..60.0).contains(&took), "25 times in {took:.2} s");
    });
}

fn config(epoch: u64, deadline_ms: u64) -> Rc<[u8]> {
    let route = |n: u64| {
        format!(
            "{{\"name\":\"r{n}\",\"authority\":\"db{n}\",\"mode\":\"leader\",\"deadline_ms\":{deadline_ms},\"backend\":\"s\"}}"
        )
    };
    let routes: Vec<String> = (0..9).map(route).collect();
    let text = format!(
        "{{\"epoch\":{epoch},\"routes\":[{}],\"backends\":[{{\"name\":\"s\",\"max_conns\":9}}],\"limits\":{{}}}}",
        routes.join(",")
    );
    text.into_bytes().into()
}

fn telling(known: (Term, u64), told: ConfigUpdate) -> RouterMessage {
    let mut telling = news(known, false);
    if let RouterMessage::Update { config, .. } = &mut telling {
        *config = Some(told);
    }
    telling
}

/// A change is put to the text that is held. One that was made for another text changes nothing, and the router asks for all
/// of it, while it goes on by what it has.
#[test]
fn a_change_of_the_configuration_fits_or_is_asked_for_whole() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 55), async |rig| {
        let mut stream = rig.accept().await;
        assert_eq!(renewal(&mut stream).await.config_epoch, 0);
        let in_force = || {
            rig.shared
                .view
                .borrow()
                .config
                .as_ref()
                .map(|config| config.epoch)
        };
        say(
            &mut stream,
            telling((OLD, 1), ConfigUpdate::Full(config(3, 500))),
        )
        .await;
        assert_eq!(
            (renewal(&mut stream).await.config_epoch, in_force()),
            (3, Some(3))
        );
        let step = |from: (u64, u64), to: (u64, u64)| {
            Rc::new(TextDelta::between(&config(from.0, from.1), &config(to.0, to.1)).unwrap())
        };
        let two = vec![step((3, 500), (5, 500)), step((5, 500), (6, 700))];
        say(&mut stream, telling((OLD, 2), ConfigUpdate::Deltas(two))).await;
        assert_eq!(
            (renewal(&mut stream).await.config_epoch, in_force()),
            (6, Some(6))
        );
        let other = ConfigUpdate::Deltas(vec![step((7, 500), (8, 500))]);
        say(&mut stream, telling((OLD, 3), other)).await;
        assert_eq!(
            (renewal(&mut stream).await.config_epoch, in_force()),
            (0, Some(6))
        );
        say(
            &mut stream,
            telling((OLD, 4), ConfigUpdate::Full(config(8, 500))),
        )
        .await;
        assert_eq!(
            (renewal(&mut stream).await.config_epoch, in_force()),
            (8, Some(8))
        );
    });
}

/// A control machine that lost its disk knows of those that were there when its settings were written, and may know of none that
/// is there now: a router that was told of these comes back to the machines that it knew.
#[test]
fn a_router_comes_back_from_machines_that_are_gone() {
    Rig::play(Ipv4Addr::new(127, 0, 0, 59), async |rig| {
        let gone = |last: u8| u32::from(Ipv4Addr::new(127, 0, 0, last));
        for _ in 0..3 {
            let accepted = net::with_timeout(3.0, async { Ok(rig.accept().await) }).await;
            let mut stream = accepted.expect("it comes back");
            renewal(&mut stream).await;
            let voters = vec![gone(60), gone(61), gone(62)];
            say(
                &mut stream,
                RouterMessage::NotLeader {
                    leader: None,
                    voters,
                },
            )
            .await;
            // It has taken that once it closes.
            let closed =
                net::with_timeout(3.0, async { Ok(frames::read(&mut stream).await.is_err()) })
                    .await;
            assert!(closed.expect("it goes on"));
        }
    });
}
