//! Requests of operators to the control machines, and the configurations that routers receive.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use badgerstream_control::{ControlRequest, MemberPhase, NodeId};
use badgerstream_simulation::{Response, Simulation};
use common::{arbtest_budget_ms, ok, replace_config, response_within};

fn simulation_with_leader() -> Simulation {
    let mut simulation = Simulation::new(1);
    simulation.edge.statements_enabled = false;
    simulation.run_until(1.0, "a leader", |simulation| simulation.leader().is_some());
    simulation
}

/// The response to a request that is sent now; `None` if there is none within three seconds.
fn response(
    simulation: &mut Simulation,
    node: u32,
    request_id: u64,
    request: ControlRequest,
) -> Option<Response> {
    response_within(simulation, 600, node, request_id, request)
}

#[test]
fn config_change_is_accepted_at_any_machine() {
    let mut simulation = simulation_with_leader();
    for node in 1..=3 {
        let number = u64::from(node);
        let (base, epoch) = (number - 1, number);
        assert_eq!(
            response(
                &mut simulation,
                node,
                number,
                replace_config(base, epoch, "x")
            )
            .unwrap()
            .status,
            200
        );
        // A repeat at another machine.
        assert_eq!(
            response(
                &mut simulation,
                1 + node % 3,
                10 + number,
                replace_config(base, epoch, "x")
            )
            .unwrap()
            .status,
            200
        );
        // Another change on the same base.
        assert_eq!(
            response(
                &mut simulation,
                node,
                20 + number,
                replace_config(base, epoch + 1, "y")
            )
            .unwrap()
            .status,
            412
        );
    }
    assert_eq!(
        response(&mut simulation, 2, 30, replace_config(3, 3, "z"))
            .unwrap()
            .status,
        400
    );
    assert_eq!(
        response(&mut simulation, 2, 31, ControlRequest::ReadConfig).unwrap(),
        ok(b"x")
    );
}

#[test]
fn request_waits_for_a_leader_and_times_out() {
    let mut simulation = Simulation::new(2);
    simulation.kill(1);
    simulation.kill(3);
    assert_eq!(
        response(&mut simulation, 2, 1, replace_config(0, 1, "x"))
            .unwrap()
            .status,
        503
    );
    simulation.submit_request(2, 2, replace_config(0, 1, "x"));
    simulation.start(1);
    simulation.run(2.4);
    assert_eq!(simulation.responses[&2].status, 200);
}

/// Two operators send changes on one base while a machine restarts, at every moment: one of them is
/// accepted, and repeats tell which.
#[test]
fn one_of_two_changes_on_one_base_is_accepted() {
    let start = simulation_with_leader();
    for step in 0..90 {
        let mut simulation = start.clone();
        let victim = 1 + step % 3;
        simulation.submit_request(1 + step % 2, 1, replace_config(0, 5, "x"));
        simulation.submit_request(2 + step % 2, 2, replace_config(0, 6, "y"));
        simulation.run(0.0004 * f64::from(step / 3));
        simulation.kill(victim);
        simulation.run(0.3);
        simulation.start(victim);
        simulation.run(3.0);
        let mut answers = Vec::new();
        for (at, request) in [
            (1, replace_config(0, 5, "x")),
            (2, replace_config(0, 6, "y")),
        ] {
            let first = simulation
                .responses
                .get(&at)
                .map(|response| response.status);
            let again = response(&mut simulation, 3, 10 + at, request)
                .unwrap()
                .status;
            assert!(again == 200 || again == 412, "step {step}: {again}");
            assert!(
                first.is_none_or(|f| f == 503 || f == again),
                "step {step}: {first:?}, then {again}"
            );
            answers.push(again);
        }
        answers.sort_unstable();
        assert_eq!(answers, [200, 412], "step {step}");
        let read = response(&mut simulation, 1, 20, ControlRequest::ReadConfig).unwrap();
        let won = simulation.control.machines[&1]
            .controller
            .as_ref()
            .unwrap()
            .config()
            .1
            .to_vec();
        assert!(read == ok(b"x") || read == ok(b"y"));
        assert_eq!(read.body, won);
    }
}

/// The fault at the end of a day: all processes are killed right after the acknowledgement, and one
/// disk is lost.
#[test]
fn acknowledged_config_survives_a_kill_of_all_and_a_lost_disk() {
    let start = simulation_with_leader();
    for step in 0..48 {
        let mut simulation = start.clone();
        let disk_lost = 1 + step % 4;
        simulation.submit_request(1 + step % 3, 1, replace_config(0, 5, "x"));
        let mut waited = 0;
        while !simulation.responses.contains_key(&1) && waited < 1000 {
            simulation.run(0.0002);
            waited += 1;
        }
        assert_eq!(simulation.responses[&1].status, 200);
        simulation.run(0.0005 * f64::from(step / 4));
        for node in 1..=3 {
            if node == disk_lost {
                simulation.lose_disk(node);
            } else {
                simulation.kill(node);
            }
        }
        simulation.run(0.5);
        for node in 1..=3 {
            simulation.start(node);
            simulation.run(0.01 * f64::from(step));
        }
        simulation.run(4.0);
        for node in 1..=3 {
            let read = response(
                &mut simulation,
                node,
                10 + u64::from(node),
                ControlRequest::ReadConfig,
            );
            assert_eq!(read, Some(ok(b"x")), "step {step}, node {node}");
        }
        assert_eq!(
            response(&mut simulation, 1, 20, replace_config(0, 5, "x"))
                .unwrap()
                .status,
            200
        );
        assert_eq!(
            response(&mut simulation, 1, 21, replace_config(0, 6, "y"))
                .unwrap()
                .status,
            412
        );
    }
}

/// A configuration change that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SentChange {
    base_epoch: u64,
    epoch: u64,
    request_id: u64,
}

/// The changes of a random run.
#[derive(Default)]
struct Changes {
    sent: Vec<SentChange>,
    acknowledged: Vec<SentChange>,
}

impl Changes {
    fn newest_acknowledged_epoch(&self) -> u64 {
        self.acknowledged.last().map_or(0, |change| change.epoch)
    }

    /// Sends a change to each of two machines, unless it is frozen.
    fn send(&mut self, simulation: &mut Simulation, node: NodeId) {
        let base_epoch = self.newest_acknowledged_epoch();
        for to in [node, 1 + node % 3] {
            let number = self.sent.len() as u64 + 1;
            let change = SentChange {
                base_epoch,
                epoch: number,
                request_id: number,
            };
            self.sent.push(change);
            if !simulation.control.machines[&to].frozen {
                let request = replace_config(base_epoch, number, &format!("c{number}"));
                simulation.submit_request(to, number, request);
            }
        }
    }

    /// Notes what was acknowledged meanwhile: one change of each base.
    fn note_acknowledgements(&mut self, simulation: &Simulation) {
        for change in &self.sent {
            let response = simulation.responses.get(&change.request_id);
            let is_acknowledged = response.is_some_and(|response| response.status == 200);
            if !is_acknowledged || self.acknowledged.contains(change) {
                continue;
            }
            assert!(
                self.acknowledged
                    .iter()
                    .all(|other| other.base_epoch != change.base_epoch),
                "two were acknowledged on {}: {:?} {}",
                change.base_epoch,
                self.acknowledged,
                change.epoch
            );
            self.acknowledged.push(*change);
        }
        self.acknowledged.sort_unstable();
    }
}

/// A random fault or the end of some, or two configuration changes.
fn act_at_random(
    u: &mut Unstructured<'_>,
    simulation: &mut Simulation,
    changes: &mut Changes,
) -> arbitrary::Result<()> {
    let node = u.int_in_range(1..=3)?;
    let machine = &simulation.control.machines[&node];
    let (runs, is_frozen) = (machine.controller.is_some(), machine.frozen);
    // A second disk may be lost only once the machine that lost the first one is a voter again.
    let all_vote = simulation.all_machines_vote();
    match u.int_in_range(0..=9)? {
        0 => simulation.kill(node),
        1 if !runs => simulation.start(node),
        2 if all_vote => {
            simulation.lose_disk(node);
            simulation.start(node);
        }
        3 if runs => simulation.freeze(node),
        4 if is_frozen => simulation.thaw(node),
        5 => {
            let network = &mut simulation.control.network;
            network.block_both_ways(node, 1 + node % 3);
        }
        6 => simulation.heal_all(),
        _ => changes.send(simulation, node),
    }
    Ok(())
}

fn end_all_faults(simulation: &mut Simulation) {
    simulation.heal_all();
    for node in 1..=3 {
        let machine = &simulation.control.machines[&node];
        if machine.frozen {
            simulation.thaw(node);
        } else if machine.controller.is_none() {
            simulation.start(node);
        }
    }
}

/// Every machine serves the newest acknowledged configuration, or a newer one.
fn check_reads(simulation: &mut Simulation, changes: &Changes) {
    for node in 1..=3 {
        let request_id = 1000 + u64::from(node);
        let read =
            response(simulation, node, request_id, ControlRequest::ReadConfig).expect("a response");
        assert_eq!(read.status, 200);
        let newest: u64 = String::from_utf8_lossy(&read.body)
            .trim_start_matches('c')
            .parse()
            .unwrap_or(0);
        assert!(
            newest >= changes.newest_acknowledged_epoch(),
            "{:?}, but {newest} is read",
            changes.acknowledged
        );
    }
}

/// No acknowledged configuration is lost or replaced by an older one, whatever is killed, frozen,
/// partitioned or loses its disk.
#[test]
fn acknowledged_configs_survive_random_faults() {
    arbtest(|u| {
        let mut simulation = Simulation::new(u.int_in_range(0..=1000)?);
        simulation.edge.statements_enabled = false;
        simulation.run(1.0);
        let mut changes = Changes::default();
        for _ in 0..u.int_in_range(2..=14)? {
            act_at_random(u, &mut simulation, &mut changes)?;
            let wait: u16 = u.int_in_range(0..=1200)?;
            simulation.run(f64::from(wait) / 1000.0);
            changes.note_acknowledgements(&simulation);
        }
        end_all_faults(&mut simulation);
        simulation.run(6.0);
        check_reads(&mut simulation, &changes);
        Ok(())
    })
    .size_min(64)
    .size_max(400)
    .budget_ms(arbtest_budget_ms());
}

/// A leader that reaches no other control machine tells routers that it doesn't lead, so that they
/// find the next leader.
#[test]
fn routers_leave_an_isolated_leader() {
    let mut simulation = Simulation::new(3);
    simulation.run_until(6.0, "a primary in use", |simulation| {
        simulation.primary_in_use().is_some()
    });
    simulation.run(1.0);
    let old = simulation.leader().unwrap();
    for other in (1..=3).filter(|n| *n != old) {
        simulation.control.network.block_both_ways(old, other);
    }
    simulation.run(0.05);
    simulation.run_until(1.5, "another leader", |simulation| {
        simulation.leader().is_some_and(|l| l != old)
    });
    simulation.run_until(2.0, "routers with a lease", |simulation| {
        simulation.primary_in_use().is_some()
    });
    simulation.run(1.0);
    assert!(simulation.primary_in_use().is_some());
}

#[test]
fn machine_without_a_leader_acknowledges_no_heartbeat() {
    let mut simulation = simulation_with_leader();
    // A follower is in contact once its leader has confirmed one of its responses.
    simulation.run(0.5);
    let leader = simulation.leader().expect("a leader");
    let heartbeat_request = |seq: u64| ControlRequest::Heartbeat {
        server_id: "new".to_owned(),
        heartbeat: badgerstream_simulation::service::heartbeat(
            "10.0.9.9:1",
            seq,
            MemberPhase::Ready,
        ),
    };
    let isolated = *simulation
        .control
        .machines
        .keys()
        .find(|n| **n != leader)
        .expect("three control machines");
    assert_eq!(
        response(&mut simulation, isolated, 901, heartbeat_request(1))
            .map(|response| response.status),
        Some(200)
    );
    for other in simulation
        .control
        .machines
        .keys()
        .copied()
        .filter(|n| *n != isolated)
        .collect::<Vec<_>>()
    {
        simulation.control.network.block_both_ways(isolated, other);
    }
    simulation.run(2.0);
    // Only it would know of a replica on which acknowledged commits may rest.
    assert_eq!(
        response(&mut simulation, isolated, 902, heartbeat_request(2))
            .map(|response| response.status),
        Some(503)
    );
    assert_eq!(
        response(&mut simulation, leader, 903, heartbeat_request(3))
            .map(|response| response.status),
        Some(200)
    );
}
