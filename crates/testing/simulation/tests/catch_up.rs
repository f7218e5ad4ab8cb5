//! Machines that miss hundreds of configuration changes catch up.

use badgerstream_control::NodeId;
use badgerstream_simulation::Simulation;
use badgerstream_simulation::oracle::CATCH_UP_S;
use badgerstream_simulation::{DiskHealth, HEALTHY_DISK};

fn busy_simulation(seed: u64, machines: u32, budget: usize) -> Simulation {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    for _ in 0..6 {
        simulation.add_operator();
    }
    simulation.run(4.0);
    simulation
}

fn newest_version(simulation: &Simulation) -> u64 {
    simulation
        .control
        .machines
        .values()
        .map(|machine| machine.disk.hard_state.state.version)
        .max()
        .unwrap_or(0)
}

/// A machine that was down for hundreds of changes has them all after the catch-up time, with a
/// slow disk too, and then leads with nothing older.
#[test]
fn machine_that_missed_hundreds_of_changes_leads_with_the_newest_state() {
    for (seed, health) in [(1, HEALTHY_DISK), (2, DiskHealth::WriteLatency(0.06))] {
        let mut simulation = busy_simulation(seed, 3, 1);
        let leader = simulation.leader().unwrap();
        let away = 1 + leader % 3;
        simulation.kill(away);
        while newest_version(&simulation) < 300 {
            simulation.run(1.0);
        }
        let missed = newest_version(&simulation);
        simulation.start(away);
        simulation.set_disk_health(away, health);
        simulation.run(CATCH_UP_S);
        simulation.set_disk_health(away, HEALTHY_DISK);
        assert!(
            simulation.control.machines[&away]
                .disk
                .hard_state
                .state
                .version
                >= missed
        );
        // Only this machine and one other are left.
        simulation.run(CATCH_UP_S);
        simulation.kill(leader);
        simulation.run(4.0);
        assert!(simulation.leader().is_some(), "{}", simulation.describe());
    }
}

/// All machines restart again and again while changes go on: nobody leads with an old state, and
/// each is up to date after the catch-up time.
#[test]
fn restarted_machines_catch_up_during_hundreds_of_changes() {
    for (seed, machines, budget) in [(3, 3, 1), (4, 5, 2), (5, 6, 2)] {
        let mut simulation = busy_simulation(seed, machines, budget);
        for round in 0..12 {
            let nodes: Vec<NodeId> = (1..=machines).collect();
            let restarted = nodes[round % nodes.len()];
            simulation.kill(restarted);
            simulation.run(0.7);
            simulation.start(restarted);
            simulation.run(CATCH_UP_S + 0.5);
            let behind = newest_version(&simulation)
                - simulation.control.machines[&restarted]
                    .disk
                    .hard_state
                    .state
                    .version;
            assert!(behind <= 3, "{behind} changes behind");
        }
        assert!(
            newest_version(&simulation) > 300,
            "{}",
            newest_version(&simulation)
        );
    }
}

/// A disk that rejects writes for a while, at the leader and then at another machine, makes neither
/// of them leave the voter set.
#[test]
fn temporarily_full_disk_does_not_remove_a_voter() {
    for seed in 0..4 {
        let mut simulation = busy_simulation(seed, 3, 1);
        for _ in 0..3 {
            let leader = simulation.leader().unwrap();
            for node in [leader, 1 + leader % 3] {
                simulation.set_disk_health(node, DiskHealth::Full);
                simulation.run(3.0);
                simulation.set_disk_health(node, HEALTHY_DISK);
                simulation.run(0.6);
                let controller = simulation.control.machines[&node]
                    .controller
                    .as_ref()
                    .unwrap();
                assert!(
                    !controller.consensus().disk_failed(),
                    "it is opened anew within half a second"
                );
                simulation.run(CATCH_UP_S + 0.5);
            }
        }
        assert!(simulation.all_machines_vote());
        let leader = simulation.leader().unwrap();
        simulation.kill(leader);
        simulation.run(4.5);
        assert!(simulation.leader().is_some());
    }
}
