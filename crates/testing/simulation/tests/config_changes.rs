//! One outcome for a configuration change: two operators with one epoch and one base, and repeats.

mod common;

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::{Isolation, Response, Simulation};
use common::{ok, replace_config, response_within};

fn settled_simulation(seed: u64, machines: u32, budget: usize) -> Simulation {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    simulation.run(3.0);
    assert!(simulation.leader().is_some());
    simulation
}

/// The response to a request that is sent now; `None` if there is none within two seconds.
fn response(
    simulation: &mut Simulation,
    node: NodeId,
    request_id: u64,
    request: ControlRequest,
) -> Option<Response> {
    response_within(simulation, 400, node, request_id, request)
}

/// Repeats the request until there is a clear response, each time at another machine.
fn clear_response(
    simulation: &mut Simulation,
    first: NodeId,
    request_id: &mut u64,
    request: &ControlRequest,
) -> Response {
    for turn in 0..12 {
        let node = 1 + (first + turn) % 3;
        *request_id += 1;
        if let Some(reply) = response(simulation, node, *request_id, request.clone())
            .filter(|response| response.status < 500)
        {
            return reply;
        }
    }
    panic!("{}: no clear answer", simulation.now())
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    Isolate,
    IsolateOneWay,
    LoseDisk,
}

fn inject(simulation: &mut Simulation, node: NodeId, fault: Fault) {
    match fault {
        Fault::Kill => simulation.kill(node),
        Fault::Freeze => simulation.freeze(node),
        Fault::Isolate => simulation.isolate(node, Isolation::BothWays),
        Fault::IsolateOneWay => simulation.isolate(node, Isolation::Inbound),
        Fault::LoseDisk => simulation.lose_disk(node),
    }
}

fn recover(simulation: &mut Simulation, node: NodeId, fault: Fault) {
    match fault {
        Fault::Kill | Fault::LoseDisk => simulation.start(node),
        Fault::Freeze => simulation.thaw(node),
        Fault::Isolate | Fault::IsolateOneWay => simulation.heal(node),
    }
}

/// Two changes of one epoch on one base, at every pair of machines, and the leader lost in every
/// way at every event from the first change on: one of the two is accepted, all clear responses to
/// each agree, and the accepted one is read.
#[test]
fn two_changes_of_one_epoch_have_one_outcome_across_leaders() {
    let start = settled_simulation(1, 3, 1);
    let changes = [
        replace_config(0, 5, "{\"epoch\":5,\"by\":\"a\"}"),
        replace_config(0, 5, "{\"epoch\":5,\"by\":\"b\"}"),
    ];
    let leader = start.leader().unwrap();
    let mut accepted = [0; 2];
    for (first, second) in (1..=3).flat_map(|a| (1..=3).map(move |b| (a, b))) {
        for fault in [
            Fault::Kill,
            Fault::Freeze,
            Fault::Isolate,
            Fault::IsolateOneWay,
            Fault::LoseDisk,
        ] {
            for at in 0..34 {
                let mut simulation = start.clone();
                simulation.submit_request(first, 1, changes[0].clone());
                simulation.submit_request(second, 2, changes[1].clone());
                for _ in 0..at {
                    simulation.step();
                }
                inject(&mut simulation, leader, fault);
                simulation.run(1.4);
                // Repeated while the first requests may still be in flight.
                let mut request_id = 10;
                let during = [0, 1].map(|change| {
                    clear_response(&mut simulation, leader, &mut request_id, &changes[change])
                        .status
                });
                recover(&mut simulation, leader, fault);
                simulation.run(4.5);
                let after = [0, 1].map(|change| {
                    clear_response(
                        &mut simulation,
                        change as NodeId,
                        &mut request_id,
                        &changes[change],
                    )
                    .status
                });
                assert_eq!(
                    during, after,
                    "{fault:?} at {at}, sent to {first} and {second}"
                );
                for change in [0, 1] {
                    let answer = simulation
                        .responses
                        .get(&(1 + change as u64))
                        .map(|response| response.status);
                    assert!(
                        answer.is_none_or(|a| a == 503 || a == after[change]),
                        "{fault:?} at {at}: {answer:?}, then {}",
                        after[change]
                    );
                }
                let won = after
                    .iter()
                    .position(|status| *status == 200)
                    .expect("one is accepted");
                assert_eq!(after[1 - won], 412);
                accepted[won] += 1;
                for node in 1..=3 {
                    request_id += 1;
                    let read = response(
                        &mut simulation,
                        node,
                        request_id,
                        ControlRequest::ReadConfig,
                    )
                    .expect("an answer");
                    let ControlRequest::ReplaceConfig { body, .. } = &changes[won] else {
                        panic!("a change")
                    };
                    assert_eq!(read, ok(body));
                }
            }
        }
    }
    assert!(accepted[0] > 100 && accepted[1] > 10, "{accepted:?}");
}

/// Eight changes at once on one base, then hundreds of other changes, new leaders and restarts: one
/// of the eight is accepted, and any machine acknowledges its repeat.
#[test]
fn repeated_change_is_acknowledged_after_hundreds_of_changes() {
    let mut simulation = settled_simulation(2, 3, 1);
    let eight: Vec<ControlRequest> = (0..8)
        .map(|n| replace_config(0, 5 + n / 2, &format!("{{\"epoch\":{}}}//{n}", 5 + n / 2)))
        .collect();
    for (at, request) in eight.iter().enumerate() {
        simulation.submit_request(1 + at as NodeId % 3, 100 + at as u64, request.clone());
    }
    simulation.run(2.0);
    let statuses: Vec<u16> = (0..8)
        .map(|at| simulation.responses[&(100 + at)].status)
        .collect();
    assert_eq!(
        statuses.iter().filter(|status| **status == 200).count(),
        1,
        "{statuses:?}"
    );
    assert!(statuses.iter().all(|status| [200, 412].contains(status)));
    let won = statuses.iter().position(|status| *status == 200).unwrap();
    let mut base = 5 + won as u64 / 2;
    let mut request_id = 1000;
    for change in 0..400u64 {
        let epoch = base + 1 + change % 3;
        let request = replace_config(base, epoch, &format!("{{\"epoch\":{epoch}}}"));
        assert_eq!(
            clear_response(&mut simulation, 1, &mut request_id, &request).status,
            200
        );
        base = epoch;
        if change % 80 == 40 {
            let leader = simulation.leader().unwrap();
            simulation.kill(leader);
            simulation.run(1.5);
            simulation.start(leader);
            simulation.run(2.0);
        }
    }
    for node in 0..3 {
        for (at, request) in eight.iter().enumerate() {
            assert_eq!(
                clear_response(&mut simulation, node, &mut request_id, request).status,
                statuses[at]
            );
        }
    }
}
