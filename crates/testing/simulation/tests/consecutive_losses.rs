//! A second loss right after a recovery, as soon as the budget allows it: there is a leader, it
//! commits changes and has everything that was acknowledged.

mod common;

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::oracle::CATCH_UP_S;
use badgerstream_simulation::{Isolation, Simulation};
use common::ok;

const SIZES: [(u32, usize); 4] = [(3, 1), (4, 1), (5, 2), (6, 2)];

fn settled_simulation(seed: u64, machines: u32, budget: usize) -> Simulation {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    simulation.run(4.0);
    assert!(simulation.all_machines_vote());
    simulation
}

fn replace_config(simulation: &mut Simulation, number: u64, base: u64, epoch: u64) {
    let leader = simulation.leader().expect("a leader");
    let body = format!("{{\"epoch\":{epoch}}}").into_bytes();
    simulation.submit_request(
        leader,
        number,
        ControlRequest::ReplaceConfig {
            base_epoch: base,
            epoch,
            body: body.into(),
        },
    );
    for _ in 0..400 {
        if simulation.responses.contains_key(&number) {
            break;
        }
        simulation.run(0.002);
    }
    assert_eq!(
        simulation
            .responses
            .get(&number)
            .map(|response| response.status),
        Some(200),
        "{}",
        simulation.describe()
    );
}

/// Machines that run and were not removed.
fn running_machines(simulation: &Simulation) -> Vec<NodeId> {
    let runs = simulation
        .control
        .machines
        .iter()
        .filter(|(_, machine)| !machine.removed && machine.controller.is_some());
    runs.map(|(node, _)| *node).collect()
}

/// Every running machine serves the newest acknowledged configuration.
fn check_all_read(simulation: &mut Simulation, number: u64, epoch: u64) {
    for node in running_machines(simulation) {
        let call = number + u64::from(node);
        simulation.submit_request(node, call, ControlRequest::ReadConfig);
        simulation.run(1.0);
        let expected = ok(format!("{{\"epoch\":{epoch}}}").as_bytes());
        assert_eq!(
            simulation.responses.get(&call),
            Some(&expected),
            "{}",
            simulation.describe()
        );
    }
}

/// As many disks as the budget allows are lost at once, right after an acknowledgement; after the
/// catch-up time as many other machines are killed, the leader first.
#[test]
fn second_loss_after_lost_disks_loses_nothing() {
    for (machines, budget) in SIZES {
        for seed in 0..6 {
            let mut simulation = settled_simulation(seed, machines, budget);
            replace_config(&mut simulation, 1, 0, 7);
            let leader = simulation.leader().unwrap();
            let mut disks_lost: Vec<NodeId> = (0..machines)
                .map(|at| 1 + (leader + at - 1) % machines)
                .collect();
            disks_lost.rotate_left(seed as usize % 2);
            disks_lost.truncate(budget);
            for node in &disks_lost {
                simulation.lose_disk(*node);
            }
            simulation.run(0.8);
            for node in &disks_lost {
                simulation.start(*node);
            }
            simulation.run(CATCH_UP_S);
            assert!(simulation.all_machines_vote(), "{}", simulation.describe());
            let leader = simulation.leader().unwrap();
            let others = (1..=machines).filter(|node| !disks_lost.contains(node));
            let mut killed: Vec<NodeId> = others.collect();
            killed.sort_by_key(|node| *node != leader);
            for node in killed.iter().take(budget) {
                simulation.kill(*node);
            }
            simulation.run(2.5);
            replace_config(&mut simulation, 2, 7, 9);
            check_all_read(&mut simulation, 100, 9);
        }
    }
}

/// One machine is removed, another loses its disk meanwhile where the budget allows that; a
/// successor joins, and after the catch-up time as many others are killed as the budget allows.
#[test]
fn second_loss_after_a_replacement_loses_nothing() {
    for (machines, budget) in SIZES {
        for seed in 0..6 {
            let mut simulation = settled_simulation(seed, machines, budget);
            replace_config(&mut simulation, 1, 0, 7);
            let leader = simulation.leader().unwrap();
            let removed_node = if seed % 2 == 0 {
                leader
            } else {
                1 + leader % machines
            };
            simulation.remove(removed_node);
            simulation.run(0.5);
            if budget > 1 {
                let disks_lost = running_machines(&simulation)[seed as usize % 3];
                simulation.lose_disk(disks_lost);
                simulation.run(0.3);
                simulation.start(disks_lost);
            }
            simulation.run(0.5);
            simulation.add_and_start(20);
            simulation.run(CATCH_UP_S);
            for node in running_machines(&simulation).into_iter().rev().take(budget) {
                simulation.kill(node);
            }
            simulation.run(2.5);
            replace_config(&mut simulation, 2, 7, 9);
            check_all_read(&mut simulation, 100, 9);
        }
    }
}

/// A machine that shuts down has, with the leader, one of the few copies of the newest state; the
/// leader's disk is lost right after its removal.
#[test]
fn leaving_voter_leaves_enough_copies_behind() {
    for seed in 0..12 {
        let mut simulation = settled_simulation(seed, 4, 1);
        let leader = simulation.leader().unwrap();
        let lagging = 1 + leader % 4;
        let leaving = 1 + lagging % 4;
        // One of four doesn't have the newest state when the next one asks to leave.
        simulation.isolate(lagging, Isolation::BothWays);
        replace_config(&mut simulation, 1, 0, 7);
        simulation.heal(lagging);
        simulation.request_shutdown(leaving);
        simulation.run_until(1.5, "it may end", |simulation| {
            simulation.control.machines[&leaving]
                .controller
                .as_ref()
                .is_some_and(badgerstream_control::Controller::may_shut_down)
        });
        simulation.remove(leaving);
        simulation.lose_disk(leader);
        simulation.run(0.6);
        simulation.start(leader);
        simulation.run(CATCH_UP_S);
        assert!(simulation.leader().is_some(), "{}", simulation.describe());
        check_all_read(&mut simulation, 100, 7);
        replace_config(&mut simulation, 2, 7, 9);
    }
}

/// A new machine takes the place of a removed one; the leader is lost at every event of that, in
/// turn by a kill, a power loss and a freeze, and is back a second later.
#[test]
fn replacement_survives_the_loss_of_the_leader_at_every_event() {
    let mut start = settled_simulation(5, 3, 1);
    replace_config(&mut start, 1, 0, 7);
    let leader = start.leader().unwrap();
    start.remove(1 + leader % 3);
    start.run(1.2);
    start.add_and_start(20);
    for at in 0..120 {
        let mut simulation = start.clone();
        for _ in 0..at {
            simulation.step();
        }
        match at % 3 {
            0 => simulation.kill(leader),
            1 => simulation.power_off(leader),
            _ => simulation.freeze(leader),
        }
        simulation.run(1.0);
        if at % 3 == 2 {
            simulation.thaw(leader);
        } else {
            simulation.start(leader);
        }
        simulation.run(CATCH_UP_S);
        assert_eq!(
            simulation
                .control
                .machines
                .values()
                .filter(|machine| !machine.removed)
                .count(),
            3
        );
        for lost in running_machines(&simulation) {
            let mut simulation = simulation.clone();
            simulation.kill(lost);
            simulation.run(2.5);
            replace_config(&mut simulation, 2, 7, 9);
        }
    }
}

/// The fault at the end of a day: as many disks as the budget allows are lost while all other
/// machines lose power, at every event around an acknowledgement.
#[test]
fn lost_disks_during_a_power_loss_of_all_lose_nothing() {
    for (machines, budget) in SIZES {
        let start = settled_simulation(3, machines, budget);
        let leader = start.leader().unwrap();
        for at in 0..40 {
            let mut simulation = start.clone();
            let body = b"{\"epoch\":7}".as_slice();
            simulation.submit_request(
                leader,
                1,
                ControlRequest::ReplaceConfig {
                    base_epoch: 0,
                    epoch: 7,
                    body: body.into(),
                },
            );
            for _ in 0..at {
                simulation.step();
            }
            let acknowledged = simulation
                .responses
                .get(&1)
                .is_some_and(|response| response.status == 200);
            for node in 1..=machines {
                // Half of the time the leader's disk is among them.
                let disks_lost =
                    (0..budget as u32).any(|more| 1 + (leader + at / 2 + more) % machines == node);
                if disks_lost {
                    simulation.lose_disk(node);
                } else {
                    simulation.power_off(node);
                }
            }
            for node in 1..=machines {
                simulation.run(0.2);
                simulation.start(node);
            }
            simulation.run(CATCH_UP_S);
            if acknowledged {
                check_all_read(&mut simulation, 100, 7);
            }
            assert!(simulation.leader().is_some(), "{}", simulation.describe());
        }
    }
}
