//! Links between control machines that are blocked one way.

use badgerstream_control::NodeId;
use badgerstream_simulation::Simulation;

fn simulation_with_leader(seed: u64) -> (Simulation, NodeId) {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(6.0, "a primary in use", |simulation| {
        simulation.primary_in_use().is_some()
    });
    simulation.run(1.0);
    let leader = simulation.leader().unwrap();
    (simulation, leader)
}

/// Which links of the leader are blocked.
#[derive(Clone, Copy)]
enum Direction {
    FromLeader,
    ToLeader,
}

fn block_one_way(simulation: &mut Simulation, leader: NodeId, direction: Direction) {
    for other in (1..=3).filter(|n| *n != leader) {
        simulation.control.network.blocked.insert(match direction {
            Direction::FromLeader => (leader, other),
            Direction::ToLeader => (other, leader),
        });
    }
}

/// A leader that goes on sending heartbeats and receives no response delays nobody: another one
/// takes over and keeps the lead.
#[test]
fn leader_that_receives_nothing_is_replaced() {
    for seed in 0..8 {
        let (mut simulation, old) = simulation_with_leader(seed);
        block_one_way(&mut simulation, old, Direction::ToLeader);
        simulation.run(0.7);
        simulation.run_until(4.0, "another leader", |simulation| {
            simulation.leader().is_some_and(|l| l != old)
        });
        simulation.run_until(2.0, "a primary in use", |simulation| {
            simulation.primary_in_use().is_some()
        });
        for _ in 0..40 {
            simulation.run(0.5);
            assert!(
                simulation.leader().is_some_and(|l| l != old),
                "seed {seed}, at {}",
                simulation.now()
            );
        }
        simulation.heal_all();
        simulation.run(2.0);
        assert!(simulation.leader().is_some() && simulation.primary_in_use().is_some());
    }
}

#[test]
fn leader_whose_messages_are_lost_is_replaced() {
    for seed in 0..8 {
        let (mut simulation, old) = simulation_with_leader(seed);
        block_one_way(&mut simulation, old, Direction::FromLeader);
        simulation.run(0.7);
        simulation.run_until(4.0, "another leader", |simulation| {
            simulation.leader().is_some_and(|l| l != old)
        });
        for _ in 0..40 {
            simulation.run(0.5);
            assert!(
                simulation.leader().is_some_and(|l| l != old),
                "seed {seed}, at {}",
                simulation.now()
            );
        }
    }
}

/// A leader that lost its quorum, as all others were killed, is a candidate again once one is back.
#[test]
fn leader_is_elected_again_once_the_others_are_back() {
    for seed in 0..8 {
        let (mut simulation, old) = simulation_with_leader(seed);
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != old).collect();
        others.iter().for_each(|node| simulation.kill(*node));
        simulation.run(6.0);
        assert!(simulation.leader().is_none());
        simulation.start(others[0]);
        simulation.run_until(3.0, "a leader", |simulation| simulation.leader().is_some());
    }
}
