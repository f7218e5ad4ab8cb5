//! Hundreds of changes, and machines that were away meanwhile.

use badgerstream_control::NodeId;
use badgerstream_simulation::World;
use badgerstream_simulation::disk::{DiskHealth, USUAL};
use badgerstream_simulation::oracle::CATCH_UP;

fn busy(seed: u64, machines: u32, budget: usize) -> World {
    let mut world = World::control_only(seed, machines, budget);
    for _ in 0..6 {
        world.add_operator();
    }
    world.run(4.0);
    world
}

fn newest(world: &World) -> u64 {
    world
        .controls
        .values()
        .map(|machine| machine.disk.record.state.version)
        .max()
        .unwrap_or(0)
}

/// A machine that was away for hundreds of changes has them all once it has had its time, over a slow disk too, and then
/// leads with nothing older.
#[test]
fn who_was_away_for_hundreds_of_changes_leads_with_the_newest() {
    for (seed, health) in [(1, USUAL), (2, DiskHealth::Takes(0.06))] {
        let mut world = busy(seed, 3, 1);
        let leader = world.leader().unwrap();
        let away = 1 + leader % 3;
        world.kill(away);
        while newest(&world) < 300 {
            world.run(1.0);
        }
        let missed = newest(&world);
        world.start(away);
        world.set_disk(away, health);
        world.run(CATCH_UP);
        world.set_disk(away, USUAL);
        assert!(world.controls[&away].disk.record.state.version >= missed);
        // Only it and one other are left.
        world.run(CATCH_UP);
        world.kill(leader);
        world.run(4.0);
        assert!(world.leader().is_some(), "{}", world.describe());
    }
}

/// All restart again and again while changes go on: nobody leads with what is old, and each is up to date when it has had its
/// time.
#[test]
fn restarts_through_hundreds_of_changes() {
    for (seed, machines, budget) in [(3, 3, 1), (4, 5, 2), (5, 6, 2)] {
        let mut world = busy(seed, machines, budget);
        for round in 0..12 {
            let nodes: Vec<NodeId> = (1..=machines).collect();
            let restarted = nodes[round % nodes.len()];
            world.kill(restarted);
            world.run(0.7);
            world.start(restarted);
            world.run(CATCH_UP + 0.5);
            let behind = newest(&world) - world.controls[&restarted].disk.record.state.version;
            assert!(behind <= 3, "{behind} changes behind");
        }
        assert!(newest(&world) > 300, "{}", newest(&world));
    }
}

/// A disk that takes no bytes again and again, on the leader and then on another one, ends neither for the life of its
/// process.
#[test]
fn disks_that_are_full_for_a_while_end_no_voter() {
    for seed in 0..4 {
        let mut world = busy(seed, 3, 1);
        for _ in 0..3 {
            let leader = world.leader().unwrap();
            for node in [leader, 1 + leader % 3] {
                world.set_disk(node, DiskHealth::Full);
                world.run(3.0);
                world.set_disk(node, USUAL);
                world.run(0.6);
                let controller = world.controls[&node].controller.as_ref().unwrap();
                assert!(
                    !controller.consensus().disk_failed(),
                    "it is opened anew within half a second"
                );
                world.run(CATCH_UP + 0.5);
            }
        }
        assert!(world.all_decide());
        let leader = world.leader().unwrap();
        world.kill(leader);
        world.run(4.5);
        assert!(world.leader().is_some());
    }
}
