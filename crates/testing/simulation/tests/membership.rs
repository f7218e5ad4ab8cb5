//! What a new leader has to know of the members before it replaces a primary.

use badgerstream_control::{ControlRequest, MemberPhase, NodeId};
use badgerstream_simulation::service::heartbeat;
use badgerstream_simulation::{ServerRole, Simulation};

/// A new replica is known to the leader and to one follower only, and alone has the newest commits,
/// when the primary and the leader are lost at once. The other follower takes over: it waits until
/// it informed of that replica.
#[test]
fn new_leader_learns_of_unknown_replicas_before_a_promotion() {
    let mut played = 0;
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |simulation| {
            simulation.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(3.0);
        let leader = simulation.leader().unwrap();
        let others: Vec<NodeId> = (1..=3).filter(|node| *node != leader).collect();
        let (next_leader, informed) = (others[0], others[1]);
        // It receives nothing of the others while they learn of the new replica.
        for other in [leader, informed] {
            simulation
                .control
                .network
                .blocked
                .insert((other, next_leader));
        }
        simulation.add_server("d", "10.0.0.200:1", ServerRole::Replica);
        simulation.server_mut("d").sends_heartbeats = false;
        simulation.submit_request(
            informed,
            9,
            ControlRequest::Heartbeat {
                server_id: "d".to_owned(),
                heartbeat: heartbeat("10.0.0.200:1", 1, MemberPhase::Ready),
            },
        );
        simulation.run(0.1);
        assert_eq!(simulation.responses[&9].status, 200);
        for id in ["b", "c"] {
            simulation.server_mut(id).receives_nothing = true;
        }
        simulation.run(0.15);
        simulation.crash("a");
        simulation.kill(leader);
        // The queues of the connections to it overflowed, and the messages in them were lost.
        simulation
            .control
            .network
            .drop_held_back(leader, next_leader);
        simulation
            .control
            .network
            .drop_held_back(informed, next_leader);
        simulation.heal_all();
        for id in ["b", "c"] {
            simulation.server_mut(id).receives_nothing = false;
        }
        simulation.run_until(4.0, "another leader", |simulation| {
            simulation.leader().is_some()
        });
        let length = |id: &str| simulation.server(id).log.len();
        let alone = length("d") > length("b").max(length("c"));
        played += u32::from(alone && simulation.leader() == Some(next_leader));
        // The simulation fails on a promotion without the commits that only the new replica has.
        simulation.run(8.0);
        assert!(
            !alone
                || simulation
                    .service
                    .promotions
                    .iter()
                    .all(|p| p.server_id == "d"),
            "{:?}",
            simulation.service.promotions
        );
    }
    assert!(played > 3, "{played}");
}

/// Once request 9 is acknowledged all control machines lose power, and the leader its disk; they
/// are back half a second later.
fn lose_all_after_acknowledgement(simulation: &mut Simulation) {
    while !simulation.responses.contains_key(&9) {
        simulation.step();
    }
    assert_eq!(simulation.responses[&9].status, 200);
    let leader = simulation.leader().expect("a leader");
    simulation.lose_disk(leader);
    for node in (1..=3).filter(|node| *node != leader) {
        simulation.power_off(node);
    }
    simulation.run(0.5);
    (1..=3).for_each(|node| simulation.start(node));
    simulation.run_until(4.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
}

/// Whether the leader informed that this server, which serves on, drains.
fn is_draining(simulation: &Simulation, id: &str) -> bool {
    let leader = simulation.leader().expect("a leader");
    let controller = simulation.control.machines[&leader]
        .controller
        .as_ref()
        .expect("it runs");
    controller
        .members()
        .get(id)
        .expect("it serves on")
        .info
        .draining
}

/// A server reports that it drains; all machines lose power in the moment in which that was
/// acknowledged, one of them its disk, and no further heartbeat arrives: the server still counts as
/// draining, and a late heartbeat from before doesn't change that.
#[test]
fn acknowledged_drain_survives_a_power_loss_of_all() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |simulation| {
            simulation.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(2.0);
        let server = simulation.server_mut("b");
        server.sends_heartbeats = false;
        let endpoint = server.endpoint.clone();
        let receiver = 1 + (seed % 3) as NodeId;
        simulation.submit_request(
            receiver,
            9,
            ControlRequest::Heartbeat {
                server_id: "b".to_owned(),
                heartbeat: heartbeat(&endpoint, 1000, MemberPhase::Draining),
            },
        );
        lose_all_after_acknowledgement(&mut simulation);
        let leader = simulation.leader().expect("a leader");
        simulation.submit_request(
            leader,
            10,
            ControlRequest::Heartbeat {
                server_id: "b".to_owned(),
                heartbeat: heartbeat(&endpoint, 999, MemberPhase::Ready),
            },
        );
        simulation.run(1.0);
        assert!(
            is_draining(&simulation, "b"),
            "it does not count as draining"
        );
    }
}

/// An undrained departure is reported once: it is known after all machines lost power in the moment
/// in which it was acknowledged, and one of them its disk.
#[test]
fn acknowledged_departure_survives_a_power_loss_of_all() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |simulation| {
            simulation.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(2.0);
        simulation.server_mut("b").departed = true;
        let receiver = 1 + (seed % 3) as NodeId;
        simulation.submit_request(
            receiver,
            9,
            ControlRequest::Depart {
                server_id: "b".to_owned(),
            },
        );
        lose_all_after_acknowledgement(&mut simulation);
        simulation.run(1.0);
        assert!(
            is_draining(&simulation, "b"),
            "it does not count as draining"
        );
    }
}
