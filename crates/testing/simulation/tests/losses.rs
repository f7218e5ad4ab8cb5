//! A second loss right after a repair, as soon as the budget allows it: somebody leads, agrees and has all that was
//! acknowledged.

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::oracle::CATCH_UP_S;
use badgerstream_simulation::{Isolation, Simulation};

const SITES: [(u32, usize); 4] = [(3, 1), (4, 1), (5, 2), (6, 2)];

fn settled(seed: u64, machines: u32, budget: usize) -> Simulation {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    simulation.run(4.0);
    assert!(simulation.all_machines_vote());
    simulation
}

fn replace(simulation: &mut Simulation, number: u64, base: u64, epoch: u64) {
    let leader = simulation.leader().expect("somebody leads");
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
        simulation.responses.get(&number).map(|reply| reply.0),
        Some(200),
        "{}",
        simulation.describe()
    );
}

/// Machines that aren't gone and run.
fn running(simulation: &Simulation) -> Vec<NodeId> {
    let runs = simulation
        .control
        .machines
        .iter()
        .filter(|(_, machine)| !machine.removed && machine.controller.is_some());
    runs.map(|(node, _)| *node).collect()
}

/// Every machine that runs reads the newest acknowledged configuration.
fn all_read(simulation: &mut Simulation, number: u64, epoch: u64) {
    for node in running(simulation) {
        let call = number + u64::from(node);
        simulation.submit_request(node, call, ControlRequest::ReadConfig);
        simulation.run(1.0);
        let expected = (200, format!("{{\"epoch\":{epoch}}}").into_bytes());
        assert_eq!(
            simulation.responses.get(&call),
            Some(&expected),
            "{}",
            simulation.describe()
        );
    }
}

/// As many disks as the budget allows are lost at once, right behind an acknowledgement; as soon as the machines have had
/// their time to catch up, as many others end, the leader first.
#[test]
fn a_second_loss_after_lost_disks() {
    for (machines, budget) in SITES {
        for seed in 0..6 {
            let mut simulation = settled(seed, machines, budget);
            replace(&mut simulation, 1, 0, 7);
            let leader = simulation.leader().unwrap();
            let mut wiped: Vec<NodeId> = (0..machines)
                .map(|at| 1 + (leader + at - 1) % machines)
                .collect();
            wiped.rotate_left(seed as usize % 2);
            wiped.truncate(budget);
            for node in &wiped {
                simulation.lose_disk(*node);
            }
            simulation.run(0.8);
            for node in &wiped {
                simulation.start(*node);
            }
            simulation.run(CATCH_UP_S);
            assert!(simulation.all_machines_vote(), "{}", simulation.describe());
            let leader = simulation.leader().unwrap();
            let others = (1..=machines).filter(|node| !wiped.contains(node));
            let mut ends: Vec<NodeId> = others.collect();
            ends.sort_by_key(|node| *node != leader);
            for node in ends.iter().take(budget) {
                simulation.kill(*node);
            }
            simulation.run(2.5);
            replace(&mut simulation, 2, 7, 9);
            all_read(&mut simulation, 100, 9);
        }
    }
}

/// One machine is gone for good, another loses its disk meanwhile where the budget allows that; the successor comes, and
/// as soon as it has had its time as many others end.
#[test]
fn a_second_loss_after_a_replacement() {
    for (machines, budget) in SITES {
        for seed in 0..6 {
            let mut simulation = settled(seed, machines, budget);
            replace(&mut simulation, 1, 0, 7);
            let leader = simulation.leader().unwrap();
            let gone = if seed % 2 == 0 {
                leader
            } else {
                1 + leader % machines
            };
            simulation.remove(gone);
            simulation.run(0.5);
            if budget > 1 {
                let wiped = running(&simulation)[seed as usize % 3];
                simulation.lose_disk(wiped);
                simulation.run(0.3);
                simulation.start(wiped);
            }
            simulation.run(0.5);
            simulation.add_and_start(20);
            simulation.run(CATCH_UP_S);
            for node in running(&simulation).into_iter().rev().take(budget) {
                simulation.kill(node);
            }
            simulation.run(2.5);
            replace(&mut simulation, 2, 7, 9);
            all_read(&mut simulation, 100, 9);
        }
    }
}

/// A machine that leaves has, with the leader, one of the few copies of the newest state; the leader's disk is lost right
/// after it has left.
#[test]
fn a_member_that_leaves_takes_no_copy_with_it() {
    for seed in 0..12 {
        let mut simulation = settled(seed, 4, 1);
        let leader = simulation.leader().unwrap();
        let lags = 1 + leader % 4;
        let leaves = 1 + lags % 4;
        // One of four knows nothing of the newest state when the next one asks to leave.
        simulation.isolate(lags, Isolation::BothWays);
        replace(&mut simulation, 1, 0, 7);
        simulation.heal(lags);
        simulation.request_shutdown(leaves);
        simulation.run_until(1.5, "it may end", |w| {
            w.control.machines[&leaves]
                .controller
                .as_ref()
                .is_some_and(badgerstream_control::Controller::may_shut_down)
        });
        simulation.remove(leaves);
        simulation.lose_disk(leader);
        simulation.run(0.6);
        simulation.start(leader);
        simulation.run(CATCH_UP_S);
        assert!(simulation.leader().is_some(), "{}", simulation.describe());
        all_read(&mut simulation, 100, 7);
        replace(&mut simulation, 2, 7, 9);
    }
}

/// A new machine takes the place of one that is gone; the leader is lost at every event of that, in turn by a kill, a loss of
/// power and a freeze, and is back a second later.
#[test]
fn a_replacement_whose_leader_is_lost_at_every_event() {
    let mut start = settled(5, 3, 1);
    replace(&mut start, 1, 0, 7);
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
        for lost in running(&simulation) {
            let mut simulation = simulation.clone();
            simulation.kill(lost);
            simulation.run(2.5);
            replace(&mut simulation, 2, 7, 9);
        }
    }
}

/// The closing fault: as many disks as the budget allows are lost while all other machines lose power, at every moment
/// around an acknowledgement.
#[test]
fn lost_disks_while_all_others_lose_power() {
    for (machines, budget) in SITES {
        let start = settled(3, machines, budget);
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
                .is_some_and(|reply| reply.0 == 200);
            for node in 1..=machines {
                // The leader's disk among them, as often as not.
                let wiped =
                    (0..budget as u32).any(|more| 1 + (leader + at / 2 + more) % machines == node);
                if wiped {
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
                all_read(&mut simulation, 100, 7);
            }
            assert!(simulation.leader().is_some(), "{}", simulation.describe());
        }
    }
}
