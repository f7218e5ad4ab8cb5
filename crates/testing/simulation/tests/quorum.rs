//! Links between control machines that are cut one way.

use badgerstream_control::NodeId;
use badgerstream_simulation::Simulation;

fn led(seed: u64) -> (Simulation, NodeId) {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(6.0, "a primary in use", |w| w.primary_in_use().is_some());
    simulation.run(1.0);
    let leader = simulation.leader().unwrap();
    (simulation, leader)
}

/// Cuts the links from the leader to the others, or those from the others to it.
fn cut(simulation: &mut Simulation, leader: NodeId, outgoing: bool) {
    for other in (1..=3).filter(|n| *n != leader) {
        simulation.control.network.blocked.insert(if outgoing {
            (leader, other)
        } else {
            (other, leader)
        });
    }
}

/// A leader that goes on sending beats and hears no answer holds nobody up: another one takes over, and keeps the lead.
#[test]
fn a_leader_that_hears_nobody_makes_room() {
    for seed in 0..8 {
        let (mut simulation, old) = led(seed);
        cut(&mut simulation, old, false);
        simulation.run(0.7);
        simulation.run_until(4.0, "another leader", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        simulation.run_until(2.0, "a primary in use", |w| w.primary_in_use().is_some());
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
fn a_leader_that_is_heard_by_nobody_is_replaced_for_good() {
    for seed in 0..8 {
        let (mut simulation, old) = led(seed);
        cut(&mut simulation, old, true);
        simulation.run(0.7);
        simulation.run_until(4.0, "another leader", |w| {
            w.leader().is_some_and(|l| l != old)
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

/// One that lost its quorum since all others ended stands again once they are back.
#[test]
fn a_leader_whose_others_end_leads_again_with_them() {
    for seed in 0..8 {
        let (mut simulation, old) = led(seed);
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != old).collect();
        others.iter().for_each(|node| simulation.kill(*node));
        simulation.run(6.0);
        assert!(simulation.leader().is_none());
        simulation.start(others[0]);
        simulation.run_until(3.0, "a leader", |w| w.leader().is_some());
    }
}
