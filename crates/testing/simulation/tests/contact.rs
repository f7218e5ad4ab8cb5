//! An isolated control machine: it serves nothing old, acknowledges nothing and delays nobody.

use badgerstream_control::{ControlRequest, MemberPhase, NodeId};
use badgerstream_simulation::service::heartbeat;
use badgerstream_simulation::{Isolation, Simulation};
use std::rc::Rc;

const ISOLATIONS: [Isolation; 3] = [Isolation::BothWays, Isolation::Inbound, Isolation::Outbound];

/// Control machines with a leader, and operators at work.
fn at_work(seed: u64, machines: u32, budget: usize) -> (Simulation, NodeId) {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    for _ in 0..4 {
        simulation.add_operator();
    }
    simulation.run(6.0);
    let leader = simulation.leader().expect("a leader");
    (simulation, leader)
}

/// The leader or a follower is isolated for twenty seconds, both ways or one way: the others go on,
/// and the machine is a voter again afterwards.
#[test]
fn isolated_machine_does_not_delay_the_others() {
    for (machines, budget) in [(3, 1), (5, 2), (6, 2)] {
        for isolation in ISOLATIONS {
            for leads in [true, false] {
                let (mut simulation, leader) = at_work(11, machines, budget);
                let isolated = if leads { leader } else { 1 + leader % machines };
                simulation.isolate(isolated, isolation);
                let before = simulation.oracle.safety.acknowledged_changes;
                simulation.run(20.0);
                assert!(
                    simulation
                        .leader()
                        .is_some_and(|now| now != isolated || !leads)
                );
                let acknowledged = simulation.oracle.safety.acknowledged_changes - before;
                assert!(
                    acknowledged > 20,
                    "{acknowledged} changes in twenty seconds"
                );
                simulation.heal(isolated);
                simulation.run(6.0);
                assert!(simulation.all_machines_vote());
            }
        }
    }
}

/// A leader that receives nothing, though its messages arrive, resigns and says so: another one
/// leads soon.
#[test]
fn leader_that_receives_nothing_is_replaced_within_1600_ms() {
    for seed in 0..20 {
        for (machines, budget) in [(3, 1), (5, 2), (6, 2)] {
            let (mut simulation, leader) = at_work(seed, machines, budget);
            simulation.isolate(leader, Isolation::Inbound);
            let leads =
                |simulation: &Simulation| simulation.leader().is_some_and(|now| now != leader);
            simulation.run_until(1.6, "another leads", leads);
        }
    }
}

fn requests() -> [(&'static str, ControlRequest); 4] {
    let body = b"{\"epoch\":999999}".as_slice();
    [
        ("read", ControlRequest::ReadConfig),
        (
            "change",
            ControlRequest::ReplaceConfig {
                base_epoch: 0,
                epoch: 999_999,
                body: body.into(),
            },
        ),
        (
            "heartbeat",
            ControlRequest::Heartbeat {
                server_id: "new".to_owned(),
                heartbeat: heartbeat("10.0.9.9:1", 1, MemberPhase::Ready),
            },
        ),
        (
            "depart",
            ControlRequest::Depart {
                server_id: "new".to_owned(),
            },
        ),
    ]
}

/// A machine without contact acknowledges, rejects and serves nothing, and responds within a
/// second.
#[test]
fn isolated_machine_answers_only_503() {
    for isolation in ISOLATIONS {
        for leads in [true, false] {
            let (mut simulation, leader) = at_work(12, 3, 1);
            let isolated = if leads { leader } else { 1 + leader % 3 };
            simulation.isolate(isolated, isolation);
            simulation.run(1.3);
            for round in 0..15 {
                for (at, (what, request)) in requests().into_iter().enumerate() {
                    let number = 1 + 10 * round + at as u64;
                    simulation.submit_request(isolated, number, request);
                    simulation.run(1.0);
                    let status = simulation
                        .responses
                        .get(&number)
                        .map(|response| response.status);
                    assert_eq!(status, Some(503), "{what}, leader {leads}, {isolation:?}");
                }
            }
        }
    }
}

/// A follower that is isolated together with its leader acknowledges nothing either.
#[test]
fn follower_of_an_isolated_leader_answers_only_503() {
    let (mut simulation, leader) = at_work(13, 5, 2);
    let follower = 1 + leader % 5;
    for other in (1..=5).filter(|node| *node != leader && *node != follower) {
        for side in [leader, follower] {
            simulation.control.network.block_both_ways(side, other);
        }
    }
    simulation.run(1.3);
    for (at, (what, request)) in requests().into_iter().enumerate() {
        for (node, number) in [(leader, 1 + at as u64), (follower, 100 + at as u64)] {
            simulation.submit_request(node, number, request.clone());
            simulation.run(1.0);
            assert_eq!(
                simulation
                    .responses
                    .get(&number)
                    .map(|response| response.status),
                Some(503),
                "{what} at {node}"
            );
        }
    }
}

/// A leader is frozen at every event around a read; when it goes on, others have changed the
/// configuration: it doesn't serve the one from before.
#[test]
fn thawed_leader_serves_no_outdated_read() {
    let mut start = Simulation::control_only(14, 3, 1);
    start.run(3.0);
    let leader = start.leader().unwrap();
    let first = b"{\"epoch\":3}".as_slice();
    start.submit_request(
        leader,
        1,
        ControlRequest::ReplaceConfig {
            base_epoch: 0,
            epoch: 3,
            body: first.into(),
        },
    );
    start.run(0.5);
    assert_eq!(start.responses[&1].status, 200);
    for at in 0..40 {
        for receiver in 1..=3 {
            let mut simulation = start.clone();
            simulation.submit_request(receiver, 2, ControlRequest::ReadConfig);
            for _ in 0..at {
                simulation.step();
            }
            simulation.freeze(leader);
            simulation.run(2.0);
            let answered = simulation.responses.contains_key(&2);
            let next = simulation.leader().expect("another one leads");
            let second = b"{\"epoch\":4}".as_slice();
            simulation.submit_request(
                next,
                3,
                ControlRequest::ReplaceConfig {
                    base_epoch: 3,
                    epoch: 4,
                    body: second.into(),
                },
            );
            simulation.run(0.5);
            assert_eq!(simulation.responses[&3].status, 200);
            simulation.thaw(leader);
            simulation.run(1.5);
            let read = simulation.responses.get(&2).expect("an answer");
            assert!(
                answered || read.status == 503 || read.body == second,
                "{receiver} at {at}: {read:?}"
            );
        }
    }
}

/// What one machine acknowledged for a server, here that it drains or departs, is known to the next
/// leader, though the machine that acknowledged it and the leader lose their disks at once.
#[test]
fn acknowledged_drain_survives_the_loss_of_two_disks() {
    for depart in [false, true] {
        for at in 0..30 {
            let mut simulation = Simulation::control_only(15, 5, 2);
            simulation.run(4.0);
            let leader = simulation.leader().unwrap();
            let receiver = 1 + leader % 5;
            simulation.submit_request(
                receiver,
                1,
                ControlRequest::Heartbeat {
                    server_id: "a".to_owned(),
                    heartbeat: heartbeat("10.0.0.1:1", 1, MemberPhase::Ready),
                },
            );
            simulation.run(0.5);
            assert_eq!(simulation.responses[&1].status, 200);
            let request = match depart {
                true => ControlRequest::Depart {
                    server_id: "a".to_owned(),
                },
                false => ControlRequest::Heartbeat {
                    server_id: "a".to_owned(),
                    heartbeat: heartbeat("10.0.0.1:1", 2, MemberPhase::Draining),
                },
            };
            simulation.submit_request(receiver, 2, request);
            for _ in 0..at {
                simulation.step();
            }
            let acknowledged = simulation
                .responses
                .get(&2)
                .is_some_and(|response| response.status == 200);
            simulation.lose_disk(receiver);
            simulation.lose_disk(leader);
            simulation.run(1.5);
            let next = simulation.leader().expect("three of five lead");
            let controller = simulation.control.machines[&next]
                .controller
                .as_ref()
                .unwrap();
            // Nobody listens at its address here, so a server that departed undrained is known to
            // have ended by now.
            let mut members = controller
                .members()
                .all()
                .filter(|m| depart || !m.info.departed);
            let known = members.any(|m| m.info.id == "a" && m.info.draining);
            assert!(known || !acknowledged, "after {at} events");
        }
    }
}

/// A heartbeat is acknowledged only once the leader and a majority know it: not by a machine whose
/// messages reach nobody, nor where they reach the leader alone, or a majority without the leader.
#[test]
fn heartbeat_known_to_too_few_is_not_acknowledged() {
    for phase in [MemberPhase::Ready, MemberPhase::Draining] {
        let (mut simulation, leader) = at_work(16, 5, 2);
        let receiver = 1 + leader % 5;
        let others: Vec<NodeId> = (1..=5).filter(|node| *node != receiver).collect();
        let only_leader: Vec<NodeId> = others
            .iter()
            .copied()
            .filter(|node| *node != leader)
            .collect();
        for (number, unreachable) in [(1, others.clone()), (2, only_leader), (3, vec![leader])] {
            let id = format!("server-{number}");
            for node in &unreachable {
                simulation.control.network.blocked.insert((receiver, *node));
            }
            let request = ControlRequest::Heartbeat {
                server_id: id.clone(),
                heartbeat: heartbeat("10.0.0.1:1", 1, phase),
            };
            simulation.submit_request(receiver, number, request);
            simulation.run(1.0);
            assert_eq!(
                simulation
                    .responses
                    .get(&number)
                    .map(|response| response.status),
                Some(503),
                "{id}"
            );
            simulation.heal_all();
            simulation.run(3.0);
        }
    }
}

/// A configuration of this epoch that is long enough for a delta to be shorter.
fn config(epoch: u64, by: &str) -> Rc<[u8]> {
    let routes: Vec<String> = (0..40)
        .map(|route| format!("{{\"name\":\"r{route}\",\"rank\":1}}"))
        .collect();
    format!(
        "{{\"epoch\":{epoch},\"by\":\"{by}\",\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
    .into()
}

/// A router that lacks an epoch requests it while the next one is being committed, at every moment
/// of that: it receives only what is committed, also if the leader is isolated and another change
/// of that epoch is committed.
#[test]
fn router_receives_only_committed_configs() {
    for moment in 0..40 {
        for isolated in [false, true] {
            let mut simulation = Simulation::control_only(21, 3, 1);
            simulation.add_router();
            simulation.run(3.0);
            let leader = simulation.leader().expect("a leader");
            let replace = |base, epoch, by| ControlRequest::ReplaceConfig {
                base_epoch: base,
                epoch,
                body: config(epoch, by),
            };
            simulation.submit_request(leader, 1, replace(0, 1, "a"));
            simulation.run(0.5);
            assert_eq!(simulation.edge.routers[0].active_config_epoch, 1);
            simulation.freeze_router(0);
            // The second epoch is in flight to the router, so that the third one has to wait.
            simulation.submit_request(leader, 2, replace(1, 2, "a"));
            simulation.run(0.1);
            simulation.submit_request(leader, 3, replace(2, 3, "a"));
            simulation.run(0.1);
            if isolated {
                simulation.isolate(leader, Isolation::BothWays);
            }
            simulation.submit_request(leader, 4, replace(3, 4, "lost"));
            simulation.run(0.002 * f64::from(moment));
            simulation.thaw_router(0);
            simulation.run(2.0);
            if isolated {
                let next = simulation
                    .leader()
                    .filter(|next| *next != leader)
                    .expect("another one leads");
                simulation.submit_request(next, 5, replace(3, 4, "won"));
                simulation.run(1.0);
            }
            assert_eq!(simulation.edge.routers[0].active_config_epoch, 4);
        }
    }
}
