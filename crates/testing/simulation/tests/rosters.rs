//! What a new leader has to know of servers before it replaces a primary.

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::Simulation;
use badgerstream_simulation::service::heartbeat;

/// A new copy is known to the leader and to one follower only, and alone has the newest commits, when the primary and the
/// leader are lost at once. The other follower takes over: it waits until it has heard of that copy.
#[test]
fn a_new_leader_hears_of_copies_that_it_did_not_know() {
    let mut played = 0;
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |w| {
            w.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(3.0);
        let leader = simulation.leader().unwrap();
        let others: Vec<NodeId> = (1..=3).filter(|node| *node != leader).collect();
        let (takes_over, knows) = (others[0], others[1]);
        // It hears nothing of the others while they are told of the new copy.
        for other in [leader, knows] {
            simulation
                .control
                .network
                .blocked
                .insert((other, takes_over));
        }
        simulation.add_server("d", "10.0.0.200:1", false);
        simulation
            .service
            .servers
            .get_mut("d")
            .unwrap()
            .sends_heartbeats = false;
        simulation.submit_request(
            knows,
            9,
            ControlRequest::Heartbeat {
                server_id: "d".to_owned(),
                heartbeat: heartbeat("10.0.0.200:1", 1, false),
            },
        );
        simulation.run(0.1);
        assert_eq!(simulation.responses[&9].0, 200);
        for id in ["b", "c"] {
            simulation
                .service
                .servers
                .get_mut(id)
                .unwrap()
                .receives_nothing = true;
        }
        simulation.run(0.15);
        simulation.crash("a");
        simulation.kill(leader);
        // So much waited for the connections to it that some was lost, and this as well.
        simulation.control.network.overflow(leader, takes_over);
        simulation.control.network.overflow(knows, takes_over);
        simulation.heal_all();
        for id in ["b", "c"] {
            simulation
                .service
                .servers
                .get_mut(id)
                .unwrap()
                .receives_nothing = false;
        }
        simulation.run_until(4.0, "another leader", |w| w.leader().is_some());
        let length = |id: &str| simulation.service.servers[id].log.len();
        let alone = length("d") > length("b").max(length("c"));
        played += u32::from(alone && simulation.leader() == Some(takes_over));
        // A promotion without the commits that only the new copy has is an error of the world.
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

/// Once call 9 is acknowledged all control machines lose power, and the leader its disk; they are back half a second later.
fn lose_all_once_acknowledged(simulation: &mut Simulation) {
    while !simulation.responses.contains_key(&9) {
        simulation.step();
    }
    assert_eq!(simulation.responses[&9].0, 200);
    let leader = simulation.leader().expect("somebody leads");
    simulation.lose_disk(leader);
    for node in (1..=3).filter(|node| *node != leader) {
        simulation.power_off(node);
    }
    simulation.run(0.5);
    (1..=3).for_each(|node| simulation.start(node));
    simulation.run_until(4.0, "another leader", |w| w.leader().is_some());
}

/// Whether the leader knows that this server, which serves on, drains.
fn drains(simulation: &Simulation, id: &str) -> bool {
    let leader = simulation.leader().expect("somebody leads");
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

/// A server says that it drains; all machines lose power in the moment in which that was acknowledged, one of them its disk, and
/// the server's beats stay away behind a cut: it drains still, and a beat from before that comes late doesn't bring it back.
#[test]
fn an_acknowledged_drain_outlives_a_loss_of_all() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |w| {
            w.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(2.0);
        let server = simulation.service.servers.get_mut("b").expect("a replica");
        server.sends_heartbeats = false;
        let endpoint = server.endpoint.clone();
        let asked = 1 + (seed % 3) as NodeId;
        simulation.submit_request(
            asked,
            9,
            ControlRequest::Heartbeat {
                server_id: "b".to_owned(),
                heartbeat: heartbeat(&endpoint, 1000, true),
            },
        );
        lose_all_once_acknowledged(&mut simulation);
        let leader = simulation.leader().expect("somebody leads");
        simulation.submit_request(
            leader,
            10,
            ControlRequest::Heartbeat {
                server_id: "b".to_owned(),
                heartbeat: heartbeat(&endpoint, 999, false),
            },
        );
        simulation.run(1.0);
        assert!(drains(&simulation, "b"), "it is taken for one that stays");
    }
}

/// That a server leaves without having drained is said once: it is known after all machines have lost power in the moment in which
/// that was acknowledged, and one of them its disk.
#[test]
fn what_is_said_once_outlives_a_loss_of_all() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run_until(6.0, "a primary in use", |w| {
            w.primary_in_use().as_deref() == Some("a")
        });
        simulation.run(2.0);
        simulation
            .service
            .servers
            .get_mut("b")
            .expect("a replica")
            .departed = true;
        let asked = 1 + (seed % 3) as NodeId;
        simulation.submit_request(
            asked,
            9,
            ControlRequest::Depart {
                server_id: "b".to_owned(),
            },
        );
        lose_all_once_acknowledged(&mut simulation);
        simulation.run(1.0);
        assert!(drains(&simulation, "b"), "it is taken for one that stays");
    }
}
