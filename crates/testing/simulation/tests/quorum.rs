//! Links between control machines that are cut one way.

use badgerstream_control::NodeId;
use badgerstream_simulation::World;

fn led(seed: u64) -> (World, NodeId) {
    let mut world = World::new(seed);
    world.run_until(6.0, "a primary in use", |w| w.in_use().is_some());
    world.run(1.0);
    let leader = world.leader().unwrap();
    (world, leader)
}

/// Cuts the links from the leader to the others, or those from the others to it.
fn cut(world: &mut World, leader: NodeId, outgoing: bool) {
    for other in (1..=3).filter(|n| *n != leader) {
        world.links.cut.insert(if outgoing {
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
        let (mut world, old) = led(seed);
        cut(&mut world, old, false);
        world.run(0.7);
        world.run_until(4.0, "another leader", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        world.run_until(2.0, "a primary in use", |w| w.in_use().is_some());
        for _ in 0..40 {
            world.run(0.5);
            assert!(
                world.leader().is_some_and(|l| l != old),
                "seed {seed}, at {}",
                world.now
            );
        }
        world.heal_all();
        world.run(2.0);
        assert!(world.leader().is_some() && world.in_use().is_some());
    }
}

#[test]
fn a_leader_that_is_heard_by_nobody_is_replaced_for_good() {
    for seed in 0..8 {
        let (mut world, old) = led(seed);
        cut(&mut world, old, true);
        world.run(0.7);
        world.run_until(4.0, "another leader", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        for _ in 0..40 {
            world.run(0.5);
            assert!(
                world.leader().is_some_and(|l| l != old),
                "seed {seed}, at {}",
                world.now
            );
        }
    }
}

/// One that lost its quorum since all others ended stands again once they are back.
#[test]
fn a_leader_whose_others_end_leads_again_with_them() {
    for seed in 0..8 {
        let (mut world, old) = led(seed);
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != old).collect();
        others.iter().for_each(|node| world.kill(*node));
        world.run(6.0);
        assert!(world.leader().is_none());
        world.start(others[0]);
        world.run_until(3.0, "a leader", |w| w.leader().is_some());
    }
}
