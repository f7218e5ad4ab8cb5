//! The leader under load: many routers that connect at once, slow routers, hundreds of services,
//! late ticks. Its work in one tick is bounded, and leases have priority over everything else.

use super::common::{founder, founding_hard_state};
use super::fleet::{Fleet, TICK_INTERVAL_S, timing};
use crate::controller::{
    ControlRequest, MAX_COMMANDS_PER_TICK, MAX_HEALTH_REPORT_SERVICES, MAX_SERVICES_PER_TICK,
    MAX_UPDATED_SESSIONS_PER_TICK, Output,
};
use crate::{
    ConfigUpdate, ConsensusMessage, Controller, HealthReport, Heartbeat, MemberPhase, PeerMessage,
    Recipient, RouterMessage, Term,
};
use std::collections::HashSet;
use std::rc::Rc;

fn gives_lease(message: &RouterMessage) -> bool {
    match message {
        RouterMessage::Update {
            request_sent_at,
            lease_duration,
            ..
        } => request_sent_at.is_some() && *lease_duration > 0.0,
        RouterMessage::NotLeader { .. } => false,
    }
}

/// The response to a lease request is small, even for a router that knows nothing yet.
#[test]
fn lease_response_carries_no_changes() {
    let mut fleet = Fleet::new(1, 20);
    fleet.configure(1, b"x");
    fleet.run_until(5.0, "primaries", |f| f.routers_serving(20) == 1);
    for _ in 0..50 {
        fleet.tick();
    }
    let router = &fleet.routers[0];
    assert!(router.responses.len() > 2 && router.responses.iter().any(gives_lease));
    for answer in &router.responses {
        let RouterMessage::Update {
            grants,
            members,
            config,
            is_snapshot,
            ..
        } = answer
        else {
            panic!("{answer:?}")
        };
        assert!(grants.is_empty() && members.is_empty() && config.is_none() && !is_snapshot);
    }
}

/// A router without a snapshot of this leader gets no lease, because the lease would cover grants
/// of a former leader.
#[test]
fn first_lease_needs_an_acknowledged_snapshot() {
    let mut fleet = Fleet::new(1, 2);
    fleet.routers[0].reads_updates_from = fleet.now + 1.0;
    for _ in 0..45 {
        fleet.tick();
    }
    assert!(
        fleet.routers[0].responses.len() > 1 && !fleet.routers[0].responses.iter().any(gives_lease)
    );
    fleet.run_until(1.0, "the router has a lease", |f| f.routers_serving(2) == 1);
}

/// More than five hundred routers connect at once. A bounded number of them get a snapshot in each
/// tick, each router gets one, and all share the same one or two.
#[test]
fn snapshots_for_many_routers_are_paced_and_shared() {
    let mut fleet = Fleet::new(530, 20);
    fleet.run_until(2.0, "primaries", |f| {
        f.controller
            .primaries()
            .iter()
            .all(|primary| primary.phase == "steady")
    });
    // All connections break, and every router starts without any state.
    for router in 0..530 {
        fleet.controller.session_closed(router as u64 + 1);
        fleet.routers[router] = Default::default();
        fleet.request_lease(router);
    }
    let (mut sent, mut shared) = (Vec::new(), HashSet::new());
    for _ in 0..530usize.div_ceil(MAX_UPDATED_SESSIONS_PER_TICK) {
        let outcome = fleet.tick();
        assert!(
            outcome.updates.len() <= MAX_UPDATED_SESSIONS_PER_TICK,
            "{} updates in one tick",
            outcome.updates.len()
        );
        sent.extend(outcome.updates.iter().map(|(router, _)| *router));
        shared.extend(outcome.updates.iter().map(|(_, update)| Rc::as_ptr(update)));
    }
    sent.sort_unstable();
    assert_eq!(
        sent,
        (0..530).collect::<Vec<_>>(),
        "not every router got exactly one snapshot"
    );
    assert!(shared.len() <= 2, "{} different snapshots", shared.len());
    fleet.run_until(0.1, "all routers have leases", |f| {
        f.routers_serving(20) == 530
    });
}

/// A router reads no updates for three seconds, while 150 changes happen. It is sent its last
/// update again only after one second and after two more. It keeps its lease, and gets the
/// remaining changes soon after it reads again.
#[test]
fn slow_router_has_one_update_in_flight() {
    let mut fleet = Fleet::new(2, 5);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(5) == 2);
    fleet.routers[0].reads_updates_from = fleet.now + 3.0;
    let mut sent = [0, 0];
    for change in 0..150 {
        let phase = if change % 2 == 0 {
            MemberPhase::Draining
        } else {
            MemberPhase::Ready
        };
        fleet.heartbeat("server-1", phase);
        for (router, _) in fleet.tick().updates {
            sent[router] += 1;
        }
        assert!(
            fleet.now < fleet.routers[0].lease_until,
            "the slow router lost its lease"
        );
    }
    assert!(
        sent[1] > 100,
        "the other router didn't get most changes: {sent:?}"
    );
    assert!((1..=3).contains(&sent[0]), "{sent:?}");
    let last = fleet.routers[1].watermark;
    fleet.run_until(1.0, "the slow router has all changes", |f| {
        f.routers[0].watermark >= last
    });
}

/// A router gets leases while a configuration is in flight to it, and is sent the configuration
/// only once.
#[test]
fn leases_are_renewed_while_a_configuration_is_in_flight() {
    let mut fleet = Fleet::new(1, 2);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(2) == 1);
    fleet.routers[0].reads_updates_from = fleet.now + 0.8;
    fleet.routers[0].responses.clear();
    let mut sent = fleet.configure(1, &[b'x'; 9]).updates.len();
    for _ in 0..39 {
        sent += fleet.tick().updates.len();
    }
    assert_eq!(sent, 1);
    assert!(
        fleet.routers[0].responses.len() >= 2 && fleet.routers[0].responses.iter().all(gives_lease)
    );
}

/// Returns a configuration text of `epoch` bytes: the simulated routers use its length as its
/// epoch.
fn text(epoch: u64) -> Vec<u8> {
    let mut text: Vec<u8> = (0..)
        .flat_map(|n: u32| format!("{n},").into_bytes())
        .take(epoch as usize - 1)
        .collect();
    text.push(b'}');
    text
}

/// Routers with the previous configuration get a delta; one without it gets the complete text.
#[test]
fn changed_configuration_is_sent_as_a_delta() {
    let mut fleet = Fleet::new(30, 2);
    let configs = |updates: &[(usize, Rc<RouterMessage>)]| {
        let config = |(router, update): &(usize, Rc<RouterMessage>)| match &**update {
            RouterMessage::Update {
                config: Some(config),
                ..
            } => Some((*router, config.clone())),
            _ => None,
        };
        updates
            .iter()
            .filter_map(config)
            .collect::<Vec<(usize, ConfigUpdate)>>()
    };
    fleet.configure(5000, &text(5000));
    let first = configs(
        &fleet
            .run_until(3.0, "all routers have the first configuration", |f| {
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
    // One router loses its configuration.
    fleet.routers[7].lose_config();
    fleet.run_until(0.5, "the router has the configuration again", |f| {
        f.routers[7].config_epoch == 5000
    });
    let mut bytes = 0;
    for epoch in 5001..5004 {
        let mut updates = fleet.configure(epoch, &text(epoch)).updates;
        updates.extend(
            fleet
                .run_until(3.0, "all routers have the next configuration", |f| {
                    f.routers.iter().all(|r| r.config_epoch == epoch)
                })
                .updates,
        );
        let sent = configs(&updates);
        assert_eq!(sent.len(), 30, "each router is sent one configuration");
        assert!(
            sent.iter()
                .all(|(_, config)| matches!(config, ConfigUpdate::Deltas(_)))
        );
        bytes += updates
            .iter()
            .map(|(_, update)| encoded_bytes(update))
            .max()
            .unwrap_or(0);
    }
    assert!(bytes < 3 * 400, "{bytes} bytes for three changes of 5000");
}

fn encoded_bytes(message: &RouterMessage) -> usize {
    bincode::encode_to_vec(message, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

/// A revocation waits for the router's acknowledgement, although the router's lease is renewed in
/// the meantime.
#[test]
fn renewed_lease_does_not_acknowledge_updates_in_flight() {
    let mut fleet = Fleet::new(1, 1);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(1) == 1);
    fleet.routers[0].reads_updates_from = fleet.now + 2.0;
    // The primary fails. Its grant is revoked, and no server is promoted before the router has
    // acknowledged that.
    fleet.unresponsive_servers.insert("server-0".to_owned());
    let mut promotions = 0;
    while fleet.now < fleet.routers[0].reads_updates_from - TICK_INTERVAL_S {
        promotions += fleet.tick().promotions;
    }
    assert!(!fleet.routers[0].unread_updates.is_empty() && promotions == 0);
    assert!(
        fleet.routers[0]
            .responses
            .iter()
            .rev()
            .take(2)
            .all(gives_lease)
    );
}

/// A router's lease expires before a primary is replaced. The router gets a new lease only after it
/// has received the revocation, although its session continues with older updates.
#[test]
fn expired_lease_is_renewed_only_with_all_grants_known() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_until(2.0, "primaries", |f| f.routers_serving(1) == 2);
    // One router neither sends nor reads for a while. It is sent an update of a member before the
    // revocation.
    fleet.routers[0].silent = true;
    fleet.heartbeat("server-1", MemberPhase::Draining);
    for _ in 0..20 {
        fleet.tick();
    }
    fleet.unresponsive_servers.insert("server-0".to_owned());
    fleet.run_until(5.0, "a promotion is requested", |f| {
        f.promotion_requests > 0
    });
    assert!(fleet.now > fleet.routers[0].lease_until);
    let before = fleet.routers[0].unread_updates.remove(0);
    let later = std::mem::take(&mut fleet.routers[0].unread_updates);
    fleet.routers[0].apply(&before);
    fleet.routers[0].silent = false;
    fleet.request_lease(0);
    let router = &fleet.routers[0];
    assert!(
        !router.grants["service-0000"].revoking,
        "the router already knows the revocation"
    );
    assert!(
        router
            .responses
            .last()
            .is_some_and(|answer| !gives_lease(answer))
            && router.lease_until < fleet.now
    );
    // After the remaining updates it gets a lease.
    fleet.routers[0].unread_updates = later;
    fleet.run_until(3.0, "the router has a lease", |f| {
        f.now < f.routers[0].lease_until
    });
    assert!(fleet.routers[0].grants["service-0000"].revoking);
}

/// Four hundred services under a new leader: the number of queries per tick is bounded, even when
/// ticks are late, and no service's primary counts as missing before its servers were queried.
#[test]
fn queries_for_many_services_are_paced() {
    const SERVICES: usize = 400;
    for tick_interval in [TICK_INTERVAL_S, 0.2] {
        let mut fleet = Fleet::new(1, SERVICES);
        let started_at = fleet.now;
        while fleet.routers_serving(SERVICES) == 0 {
            let outcome = fleet.tick_after(tick_interval);
            // The last service of a tick queries all of its servers, even beyond the limit.
            assert!(
                outcome.commands.len() <= MAX_COMMANDS_PER_TICK + 2,
                "{} commands in one tick",
                outcome.commands.len()
            );
            let given_up = fleet
                .controller
                .primaries()
                .into_iter()
                .find(|primary| primary.phase == "closing");
            assert_eq!(
                given_up,
                None,
                "{:.2} s after the start",
                fleet.now - started_at
            );
            assert!(
                fleet.now - started_at < 12.0,
                "after 12 s the router knows only {} primaries",
                fleet.routers[0].grants.len()
            );
        }
    }
}

/// Four hundred services without faults: servers are queried less often, as planned, and no primary
/// times out because of that.
#[test]
fn query_interval_grows_with_the_number_of_services() {
    let mut fleet = Fleet::new(1, 400);
    fleet.run_until(3.0, "primaries", |f| f.routers_serving(400) == 1);
    let mut commands = 0;
    for _ in 0..(5.0 / TICK_INTERVAL_S) as usize {
        commands += fleet.tick().commands.len();
        assert_eq!(fleet.routers_serving(400), 1);
    }
    // Each primary is queried every 0.4 s, and each replica every 7 s. With the intervals for few
    // services there would be 7,500 commands.
    assert!(
        (5_000..6_500).contains(&commands),
        "{commands} commands in five seconds"
    );
}

/// With few services, every tick steps all of them.
#[test]
fn few_services_are_all_handled_in_every_tick() {
    let services = MAX_SERVICES_PER_TICK / 4;
    let mut fleet = Fleet::new(1, services);
    let commands: usize = (0..10).map(|_| fleet.tick().commands.len()).sum();
    assert!(
        commands >= 3 * services,
        "{commands} commands in ten ticks for {services} services"
    );
    fleet.run_until(0.5, "primaries", |f| f.routers_serving(services) == 1);
}

/// A leader that was suspended for two seconds sent no queries during that time, so no primary
/// times out.
#[test]
fn late_tick_does_not_time_out_primaries() {
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
    // After ticks are punctual again, primaries time out as before.
    for _ in 0..60 {
        fleet.tick();
    }
    fleet.unresponsive_servers.insert("server-0".to_owned());
    let started_at = fleet.now;
    fleet.run_until(0.8, "the primary times out", |f| {
        f.controller.primaries()[0].phase != "steady"
    });
    assert!(fleet.now - started_at > 0.4);
}

/// The leader requests health reports from routers only for services whose primary doesn't answer
/// it, and such a primary stays in use while routers report answers from it.
#[test]
fn health_reports_are_requested_for_silent_primaries() {
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
    fleet.run_until(0.5, "a report is requested", |f| {
        f.routers[0].health_reports_wanted == ["service-0001"]
    });
    for _ in 0..150 {
        fleet.tick();
        assert_eq!(fleet.controller.primaries()[1].phase, "steady");
    }
    fleet.routers[0].health_reports.clear();
    fleet.run_until(1.0, "the primary times out", |f| {
        f.controller.primaries()[1].phase != "steady"
    });
}

/// However many primaries are silent, the leader requests health reports for a bounded number of
/// services.
#[test]
fn number_of_requested_health_reports_is_bounded() {
    let services = 2 * MAX_HEALTH_REPORT_SERVICES;
    let mut fleet = Fleet::new(1, services);
    fleet.run_until(3.0, "primaries", |f| f.routers_serving(services) == 1);
    fleet.unresponsive_servers = (0..services).map(|n| format!("server-{}", 3 * n)).collect();
    fleet.run_until(1.0, "reports are requested", |f| {
        f.routers[0].health_reports_wanted.len() == MAX_HEALTH_REPORT_SERVICES
    });
}

/// New servers are replicated to the other machines in one batch, and acknowledged after the leader
/// and a quorum know them. Heartbeats without changes are replicated in batches, four times a
/// second, and acknowledged at once. The report that a server drains is replicated at once.
#[test]
fn heartbeats_are_batched() {
    let disk = founding_hard_state(&[1, 2, 3]);
    let mut controller = Controller::new(founder(1), disk, 0.0, 7, timing());
    // The member updates to machine 2: the id and the number of servers of each.
    let member_updates = |outputs: &[Output]| {
        let updates = outputs.iter().filter_map(|output| match output {
            Output::SendToPeer(
                Recipient::Voter(to),
                PeerMessage::MembersUpdate { update_id, members },
            ) if to.node == 2 => Some((*update_id, members.len())),
            _ => None,
        });
        updates.collect::<Vec<(Option<u64>, usize)>>()
    };
    let acknowledged = |outputs: &[Output]| {
        outputs
            .iter()
            .filter(
                |output| matches!(output, Output::Respond(_, response) if response.status == 200),
            )
            .count()
    };
    let receive_leader_heartbeat = |controller: &mut Controller, now: f64| {
        let heartbeat = ConsensusMessage::Heartbeat {
            term: Term(1 << 32 | 2),
            sent_at: now,
            confirmed_answer_at: Some(now),
        };
        controller.handle_peer_message(now, founder(2), PeerMessage::Consensus(heartbeat));
        controller.persisted(now);
    };
    let mut call_seq = 0;
    let mut send_heartbeat =
        |controller: &mut Controller, now: f64, id: usize, phase: MemberPhase| {
            call_seq += 1;
            let heartbeat = Heartbeat {
                service: "s".to_owned(),
                endpoint: "10.0.0.9:5432".to_owned(),
                zone: "a".to_owned(),
                slots: 4,
                phase,
                call_seq,
            };
            controller.handle_request(
                now,
                call_seq,
                ControlRequest::Heartbeat {
                    server_id: format!("server-{id}"),
                    heartbeat,
                },
            )
        };
    receive_leader_heartbeat(&mut controller, 0.0);
    for id in 0..10 {
        let outputs = send_heartbeat(&mut controller, 0.0, id, MemberPhase::Ready);
        assert!(
            member_updates(&outputs).is_empty() && acknowledged(&outputs) == 0,
            "a new server was replicated or acknowledged before the batch"
        );
    }
    let updates = member_updates(&controller.tick(0.0));
    let [(Some(update_id), 10)] = updates[..] else {
        panic!("{updates:?}")
    };
    assert_eq!(
        acknowledged(&controller.handle_peer_message(
            0.0,
            founder(3),
            PeerMessage::MembersUpdateAck { update_id }
        )),
        0,
        "acknowledged to servers before the leader knows them"
    );
    assert_eq!(
        acknowledged(&controller.handle_peer_message(
            0.0,
            founder(2),
            PeerMessage::MembersUpdateAck { update_id }
        )),
        10
    );
    let (mut batches, mut servers) = (0, 0);
    for tick in 1..=100 {
        let now = f64::from(tick) * TICK_INTERVAL_S;
        receive_leader_heartbeat(&mut controller, now);
        for id in 0..10 {
            let outputs = send_heartbeat(&mut controller, now, id, MemberPhase::Ready);
            assert!(
                member_updates(&outputs).is_empty() && acknowledged(&outputs) == 1,
                "a heartbeat without changes was replicated at once, or not acknowledged"
            );
        }
        let updates = member_updates(&controller.tick(now));
        batches += updates.len();
        servers += updates.iter().map(|(_, count)| count).sum::<usize>();
    }
    assert!(
        (7..=9).contains(&batches) && servers > 800,
        "{batches} batches with {servers} servers"
    );
    let outputs = send_heartbeat(&mut controller, 2.0, 4, MemberPhase::Draining);
    let [Output::PersistMembers(after_write)] = &outputs[..] else {
        panic!("expected nothing except a write to disk: {outputs:?}")
    };
    assert!(
        matches!(member_updates(after_write)[..], [(Some(_), 1)]) && acknowledged(after_write) == 0
    );
}
