//! Many at once: routers that come all together, routers that are slow, hundreds of services, a machine that is late. What the
//! leader does of it in one tick is bounded, and leases go before all else.

use super::fleet::{Fleet, TICK, timing};
use crate::controller::{
    MAX_COMMANDS_PER_TICK, MAX_HEALTH_REPORT_SERVICES, MAX_SERVICES_PER_TICK,
    MAX_SESSIONS_PER_TICK, Output,
};
use crate::{
    ConfigUpdate, ConsensusMessage, Controller, FOUNDING_INCARNATION, HardState, HealthReport,
    MemberPhase, PeerMessage, Recipient, RouterMessage, State, Term, Voter,
};
use std::collections::HashSet;
use std::rc::Rc;

fn is_lease(answer: &RouterMessage) -> bool {
    matches!(answer, RouterMessage::Update { request_sent_at: Some(_), lease_duration: lease, .. } if *lease > 0.0)
}

/// An answer is as small for a router that lacks everything as for one that lacks nothing.
#[test]
fn an_answer_carries_the_lease_and_no_news() {
    let mut fleet = Fleet::new(1, 20);
    fleet.configure(1, b"x");
    fleet.run_until(5.0, "primaries", |f| f.routers_serving(20) == 1);
    for _ in 0..50 {
        fleet.tick();
    }
    let it = &fleet.routers[0];
    assert!(it.responses.len() > 2 && it.responses.iter().any(is_lease));
    for answer in &it.responses {
        let RouterMessage::Update {
            grants,
            members,
            config,
            is_snapshot: whole,
            ..
        } = answer
        else {
            panic!("{answer:?}")
        };
        assert!(grants.is_empty() && members.is_empty() && config.is_none() && !whole);
    }
}

/// Whoever was told nothing by this leader is given no lease: it would cover what another one granted.
#[test]
fn the_first_lease_comes_once_the_whole_is_known() {
    let mut fleet = Fleet::new(1, 2);
    fleet.routers[0].reads_updates_from = fleet.now + 1.0;
    for _ in 0..45 {
        fleet.tick();
    }
    assert!(
        fleet.routers[0].responses.len() > 1 && !fleet.routers[0].responses.iter().any(is_lease)
    );
    fleet.run_until(1.0, "a lease", |f| f.routers_serving(2) == 1);
}

/// A new leader's first moment: five hundred routers ask at once. Each is told once, in turn, and all share what they are told.
#[test]
fn a_crowd_is_told_in_turns_and_shares_what_it_is_told() {
    let mut fleet = Fleet::new(530, 20);
    fleet.run_until(2.0, "primaries", |f| {
        f.controller
            .primaries()
            .iter()
            .all(|primary| primary.phase == "steady")
    });
    // All connections break: every router is a new one.
    for router in 0..530 {
        fleet.controller.session_closed(router as u64 + 1);
        fleet.routers[router] = Default::default();
        fleet.request_lease(router);
    }
    let (mut told, mut shared) = (Vec::new(), HashSet::new());
    for _ in 0..530usize.div_ceil(MAX_SESSIONS_PER_TICK) {
        let said = fleet.tick();
        assert!(
            said.updates.len() <= MAX_SESSIONS_PER_TICK,
            "{} in one tick",
            said.updates.len()
        );
        told.extend(said.updates.iter().map(|(router, _)| *router));
        shared.extend(said.updates.iter().map(|(_, news)| Rc::as_ptr(news)));
    }
    told.sort_unstable();
    assert_eq!(told, (0..530).collect::<Vec<_>>(), "each is told once");
    assert!(shared.len() <= 2, "{} different wholes", shared.len());
    fleet.run_until(0.1, "leases", |f| f.routers_serving(20) == 530);
}

/// A router that takes no news for three seconds, while a hundred things change, is told at most its last news again after a
/// second and after two more. It keeps its lease, and is told the rest in one.
#[test]
fn a_slow_router_has_one_news_under_way() {
    let mut fleet = Fleet::new(2, 5);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(5) == 2);
    fleet.routers[0].reads_updates_from = fleet.now + 3.0;
    let mut told = [0, 0];
    for change in 0..150 {
        let phase = if change % 2 == 0 {
            MemberPhase::Draining
        } else {
            MemberPhase::Ready
        };
        fleet.heartbeat("server-1", phase);
        for (router, _) in fleet.tick().updates {
            told[router] += 1;
        }
        assert!(
            fleet.now < fleet.routers[0].lease_until,
            "it lost its lease"
        );
    }
    assert!(told[1] > 100, "the other was told each change: {told:?}");
    assert!((1..=3).contains(&told[0]), "{told:?}");
    let last = fleet.routers[1].watermark;
    fleet.run_until(1.0, "the rest", |f| f.routers[0].watermark >= last);
}

/// A session whose configuration is under way gets its leases meanwhile, and the configuration only once.
#[test]
fn leases_go_on_while_a_configuration_is_under_way() {
    let mut fleet = Fleet::new(1, 2);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(2) == 1);
    fleet.routers[0].reads_updates_from = fleet.now + 0.8;
    fleet.routers[0].responses.clear();
    let mut told = fleet.configure(1, &[b'x'; 9]).updates.len();
    for _ in 0..39 {
        told += fleet.tick().updates.len();
    }
    assert_eq!(told, 1);
    assert!(
        fleet.routers[0].responses.len() >= 2 && fleet.routers[0].responses.iter().all(is_lease)
    );
}

/// A text of so many bytes, whose length these tests take for its epoch.
fn text(epoch: u64) -> Vec<u8> {
    let mut text: Vec<u8> = (0..)
        .flat_map(|n: u32| format!("{n},").into_bytes())
        .take(epoch as usize - 1)
        .collect();
    text.push(b'}');
    text
}

/// Routers that go by the configuration before are told the change, all by the same news; one that goes by none, or could
/// make nothing of what it was told, is told all of it.
#[test]
fn a_changed_configuration_goes_as_its_change() {
    let mut fleet = Fleet::new(30, 2);
    let configs = |said: &[(usize, Rc<RouterMessage>)]| {
        let of = |(router, news): &(usize, Rc<RouterMessage>)| match &**news {
            RouterMessage::Update {
                config: Some(config),
                ..
            } => Some((*router, config.clone())),
            _ => None,
        };
        said.iter()
            .filter_map(of)
            .collect::<Vec<(usize, ConfigUpdate)>>()
    };
    fleet.configure(5000, &text(5000));
    let first = configs(
        &fleet
            .run_until(3.0, "the first", |f| {
                f.routers.iter().all(|r| r.config_epoch == 5000)
            })
            .updates,
    );
    assert!(
        first.len() == 30
            && first
                .iter()
                .all(|(_, config)| matches!(config, ConfigUpdate::Full(_)))
    );
    // One has lost what it had.
    fleet.routers[7].forget_config();
    fleet.run_until(0.5, "it says so", |f| f.routers[7].config_epoch == 5000);
    let mut bytes = 0;
    for epoch in 5001..5004 {
        let mut said = fleet.configure(epoch, &text(epoch)).updates;
        said.extend(
            fleet
                .run_until(3.0, "the next", |f| {
                    f.routers.iter().all(|r| r.config_epoch == epoch)
                })
                .updates,
        );
        let told = configs(&said);
        assert_eq!(told.len(), 30, "each is told once");
        assert!(
            told.iter()
                .all(|(_, config)| matches!(config, ConfigUpdate::Deltas(_)))
        );
        bytes += said
            .iter()
            .map(|(_, news)| bincode_length(news))
            .max()
            .unwrap_or(0);
    }
    assert!(bytes < 3 * 400, "{bytes} bytes for three changes of 5000");
}

fn bincode_length(news: &RouterMessage) -> usize {
    bincode::encode_to_vec(news, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

/// What is taken back counts as known only once the router has said so, though its lease is renewed meanwhile.
#[test]
fn a_lease_that_is_renewed_proves_nothing_of_news_under_way() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(1) == 1);
    fleet.routers[0].reads_updates_from = fleet.now + 2.0;
    // The primary dies: its grant is taken back, and nobody is chosen before the router knows.
    fleet.unresponsive_servers.insert("server-0".to_owned());
    let mut promotions = 0;
    while fleet.now < fleet.routers[0].reads_updates_from - TICK {
        promotions += fleet.tick().promotions;
    }
    assert!(!fleet.routers[0].unread_updates.is_empty() && promotions == 0);
    assert!(
        fleet.routers[0]
            .responses
            .iter()
            .rev()
            .take(2)
            .all(is_lease)
    );
}

/// A router that could hold no lease any more when a primary was replaced gets none before it knows of that, though its session
/// goes on with older news.
#[test]
fn a_lease_that_ran_out_is_given_again_to_whom_knows_all_grants() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(1) == 2);
    // One router says nothing and takes nothing for a while; it is told of a member before the grant is taken back.
    fleet.routers[0].silent = true;
    fleet.heartbeat("server-1", MemberPhase::Draining);
    for _ in 0..20 {
        fleet.tick();
    }
    fleet.unresponsive_servers.insert("server-0".to_owned());
    fleet.run_until(5.0, "the primary is given up", |f| f.promotion_requests > 0);
    assert!(fleet.now > fleet.routers[0].lease_until);
    let before = fleet.routers[0].unread_updates.remove(0);
    let later = std::mem::take(&mut fleet.routers[0].unread_updates);
    fleet.routers[0].apply(&before);
    fleet.routers[0].silent = false;
    fleet.request_lease(0);
    let it = &fleet.routers[0];
    assert!(
        !it.grants["service-0000"].revoking,
        "it knows the grant as it was"
    );
    assert!(
        it.responses.last().is_some_and(|answer| !is_lease(answer)) && it.lease_until < fleet.now
    );
    // Told the rest, it gets one.
    fleet.routers[0].unread_updates = later;
    fleet.run_until(3.0, "a lease", |f| f.now < f.routers[0].lease_until);
    assert!(fleet.routers[0].grants["service-0000"].revoking);
}

/// Four hundred services under a leader that has just begun: their servers are asked in bounded numbers, also where each tick
/// comes late, and no service counts as without a primary before its servers were asked.
#[test]
fn many_services_are_asked_in_turns() {
    const SERVICES: usize = 400;
    for tick in [TICK, 0.2] {
        let mut fleet = Fleet::new(1, SERVICES);
        let began = fleet.now;
        while fleet.routers_serving(SERVICES) == 0 {
            let said = fleet.tick_after(tick);
            // The last service that had its turn asks all of its servers.
            assert!(
                said.commands.len() <= MAX_COMMANDS_PER_TICK + 2,
                "{} questions",
                said.commands.len()
            );
            let given_up = fleet
                .controller
                .primaries()
                .into_iter()
                .find(|primary| primary.phase == "closing");
            assert_eq!(
                given_up,
                None,
                "{:.2} s after the beginning",
                fleet.now - began
            );
            assert!(
                fleet.now - began < 12.0,
                "{} primaries",
                fleet.routers[0].grants.len()
            );
        }
    }
}

/// Four hundred services, calm: no more questions than are planned for, and no primary is missed for that.
#[test]
fn many_services_are_asked_seldom() {
    let mut fleet = Fleet::new(1, 400);
    fleet.run_until(3.0, "primaries", |f| f.routers_serving(400) == 1);
    let mut questions = 0;
    for _ in 0..(5.0 / TICK) as usize {
        questions += fleet.tick().commands.len();
        assert_eq!(fleet.routers_serving(400), 1);
    }
    // Each primary each 0.4 s at its turn, each replica each 7 s; with replicas as often as with few services it would be 7,500.
    assert!(
        (5_000..6_500).contains(&questions),
        "{questions} in five seconds"
    );
}

/// A tick of few services steps all of them: nothing waits for a turn.
#[test]
fn few_services_wait_for_no_turn() {
    let services = MAX_SERVICES_PER_TICK / 4;
    let mut fleet = Fleet::new(1, services);
    let asked: usize = (0..10).map(|_| fleet.tick().commands.len()).sum();
    assert!(asked >= 3 * services, "{asked}");
    fleet.run_until(0.5, "primaries", |f| f.routers_serving(services) == 1);
}

/// A leader that didn't run for two seconds asked nobody meanwhile: no primary is dead for that.
#[test]
fn a_late_leader_takes_nobody_for_dead() {
    let mut fleet = Fleet::new(1, 10);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(10) == 1);
    fleet.tick_after(2.0);
    for _ in 0..10 {
        fleet.tick();
    }
    let steady = fleet
        .controller
        .primaries()
        .iter()
        .filter(|primary| primary.phase == "steady")
        .count();
    assert_eq!(steady, 10);
    // A silence of their own counts as before, once the leader is punctual again.
    for _ in 0..60 {
        fleet.tick();
    }
    fleet.unresponsive_servers.insert("server-0".to_owned());
    let began = fleet.now;
    fleet.run_until(0.8, "one is given up", |f| {
        f.controller.primaries()[0].phase != "steady"
    });
    assert!(fleet.now - began > 0.4);
}

/// Routers are asked for evidence only of primaries that the leader doesn't hear, and their evidence keeps these in use.
#[test]
fn evidence_is_asked_for_where_it_is_wanted() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(3) == 1);
    let seen = |n: usize| HealthReport {
        service: format!("service-000{n}"),
        server_id: format!("server-{}", 3 * n),
        answered_seconds_ago: 0.01,
    };
    fleet.routers[0].health_reports = vec![seen(0), seen(1), seen(2)];
    for _ in 0..50 {
        fleet.tick();
        assert!(fleet.routers[0].health_reports_wanted.is_empty());
    }
    fleet.unresponsive_servers.insert("server-3".to_owned());
    fleet.run_until(0.5, "it is asked about", |f| {
        f.routers[0].health_reports_wanted == ["service-0001"]
    });
    for _ in 0..150 {
        fleet.tick();
        assert_eq!(fleet.controller.primaries()[1].phase, "steady");
    }
    fleet.routers[0].health_reports.clear();
    fleet.run_until(1.0, "it is given up", |f| {
        f.controller.primaries()[1].phase != "steady"
    });
}

/// However many primaries fall silent, an answer names a bounded number of them.
#[test]
fn an_answer_asks_about_so_many_primaries_at_most() {
    let services = 2 * MAX_HEALTH_REPORT_SERVICES;
    let mut fleet = Fleet::new(1, services);
    fleet.run_until(3.0, "primaries", |f| f.routers_serving(services) == 1);
    fleet.unresponsive_servers = (0..services).map(|n| format!("server-{}", 3 * n)).collect();
    fleet.run_until(1.0, "they are asked about", |f| {
        f.routers[0].health_reports_wanted.len() == MAX_HEALTH_REPORT_SERVICES
    });
}

/// Servers that are new are told to the other machines together, and acknowledged once these know them; beats that tell
/// nothing new go together, four times a second, and are acknowledged at once; a server that leaves is told at once.
#[test]
fn beats_are_gathered() {
    let voter = |node| Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    };
    let record = HardState {
        state: Rc::new(State::founding(vec![1, 2, 3])),
        ..HardState::default()
    };
    let mut controller = Controller::new(voter(1), record, 0.0, 7, timing());
    let members = |out: &[Output]| {
        let to = out.iter().filter_map(|o| match o {
            Output::SendToPeer(
                Recipient::Voter(to),
                PeerMessage::MembersUpdate {
                    update_id: round,
                    members: news,
                },
            ) if to.node == 2 => Some((*round, news.len())),
            _ => None,
        });
        to.collect::<Vec<(Option<u64>, usize)>>()
    };
    let replies = |out: &[Output]| {
        out.iter()
            .filter(|o| matches!(o, Output::Respond(_, a) if a.status == 200))
            .count()
    };
    let heard = |controller: &mut Controller, now: f64| {
        let heartbeat = ConsensusMessage::Heartbeat {
            term: Term(1 << 32 | 2),
            sent_at: now,
            confirmed_answer_at: Some(now),
        };
        controller.handle_peer_message(now, voter(2), PeerMessage::Consensus(heartbeat));
        controller.persisted(now);
    };
    let mut version = 0;
    let mut beat = |controller: &mut Controller, now: f64, id: usize, phase: MemberPhase| {
        version += 1;
        let beat = crate::Heartbeat {
            service: "s".to_owned(),
            endpoint: "10.0.0.9:5432".to_owned(),
            zone: "a".to_owned(),
            slots: 4,
            phase,
            call_seq: version,
        };
        controller.handle_request(
            now,
            version,
            crate::controller::ControlRequest::Heartbeat {
                server_id: format!("server-{id}"),
                heartbeat: beat,
            },
        )
    };
    heard(&mut controller, 0.0);
    for id in 0..10 {
        let out = beat(&mut controller, 0.0, id, MemberPhase::Ready);
        assert!(
            members(&out).is_empty() && replies(&out) == 0,
            "it goes with the others"
        );
    }
    let told = members(&controller.tick(0.0));
    let [(Some(round), 10)] = told[..] else {
        panic!("{told:?}")
    };
    assert_eq!(
        replies(&controller.handle_peer_message(
            0.0,
            voter(3),
            PeerMessage::MembersUpdateAck { update_id: round }
        )),
        0,
        "the leader isn't told"
    );
    assert_eq!(
        replies(&controller.handle_peer_message(
            0.0,
            voter(2),
            PeerMessage::MembersUpdateAck { update_id: round }
        )),
        10
    );
    let (mut frames, mut told) = (0, 0);
    for tick in 1..=100 {
        let now = f64::from(tick) * TICK;
        heard(&mut controller, now);
        for id in 0..10 {
            let out = beat(&mut controller, now, id, MemberPhase::Ready);
            assert!(
                members(&out).is_empty() && replies(&out) == 1,
                "nothing new"
            );
        }
        let out = members(&controller.tick(now));
        frames += out.len();
        told += out.iter().map(|(_, count)| count).sum::<usize>();
    }
    assert!(
        (7..=9).contains(&frames) && told > 800,
        "{frames} frames with {told}"
    );
    let out = beat(&mut controller, 2.0, 4, MemberPhase::Draining);
    let [Output::PersistMembers(kept)] = &out[..] else {
        panic!("nothing leaves before it is on the disk: {out:?}")
    };
    assert!(matches!(members(kept)[..], [(Some(_), 1)]) && replies(kept) == 0);
}
