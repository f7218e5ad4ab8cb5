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

/// Repeats the request until there is a clear response, each time at another machine; the first is
/// the one after `previous`.
fn clear_response(
    simulation: &mut Simulation,
    previous: NodeId,
    request_id: &mut u64,
    request: &ControlRequest,
) -> Response {
    for turn in 0..12 {
        let node = 1 + (previous + turn) % 3;
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

impl Fault {
    const ALL: [Fault; 5] = [
        Fault::Kill,
        Fault::Freeze,
        Fault::Isolate,
        Fault::IsolateOneWay,
        Fault::LoseDisk,
    ];
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

/// Two changes of one epoch on one base, and when the leader is lost.
struct Race<'a> {
    changes: &'a [ControlRequest; 2],
    /// The machines that they are sent to.
    nodes: [NodeId; 2],
    leader: NodeId,
    fault: Fault,
    /// After so many events.
    after_events: u32,
}

impl Race<'_> {
    /// The statuses of clear responses to repeats of both changes; each is first sent to the
    /// machine after the given one.
    fn repeat(
        &self,
        simulation: &mut Simulation,
        previous_nodes: [NodeId; 2],
        request_id: &mut u64,
    ) -> [u16; 2] {
        [0, 1].map(|change| {
            let request = &self.changes[change];
            clear_response(simulation, previous_nodes[change], request_id, request).status
        })
    }

    /// Plays the race; returns the index of the accepted change.
    fn play(&self, mut simulation: Simulation) -> usize {
        let (fault, at, nodes) = (self.fault, self.after_events, self.nodes);
        simulation.submit_request(nodes[0], 1, self.changes[0].clone());
        simulation.submit_request(nodes[1], 2, self.changes[1].clone());
        for _ in 0..at {
            simulation.step();
        }
        inject(&mut simulation, self.leader, fault);
        simulation.run(1.4);
        // Repeated while the first requests may still be in flight.
        let mut request_id = 10;
        let during = self.repeat(&mut simulation, [self.leader; 2], &mut request_id);
        recover(&mut simulation, self.leader, fault);
        simulation.run(4.5);
        let after = self.repeat(&mut simulation, [0, 1], &mut request_id);
        assert_eq!(
            during, after,
            "{fault:?} at {at}, sent to {} and {}",
            nodes[0], nodes[1]
        );
        for (first_id, outcome) in [(1, after[0]), (2, after[1])] {
            let response = simulation.responses.get(&first_id);
            let status = response.map(|response| response.status);
            assert!(
                status.is_none_or(|status| status == 503 || status == outcome),
                "{fault:?} at {at}: {status:?}, then {outcome}"
            );
        }
        let accepted = after
            .iter()
            .position(|status| *status == 200)
            .expect("one is accepted");
        assert_eq!(after[1 - accepted], 412);
        self.check_reads(&mut simulation, accepted, &mut request_id);
        accepted
    }

    /// Every machine serves the accepted configuration.
    fn check_reads(&self, simulation: &mut Simulation, accepted: usize, request_id: &mut u64) {
        let ControlRequest::ReplaceConfig { body, .. } = &self.changes[accepted] else {
            panic!("a change")
        };
        for node in 1..=3 {
            *request_id += 1;
            let read = response(simulation, node, *request_id, ControlRequest::ReadConfig);
            assert_eq!(read, Some(ok(body)));
        }
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
        for fault in Fault::ALL {
            for after_events in 0..34 {
                let race = Race {
                    changes: &changes,
                    nodes: [first, second],
                    leader,
                    fault,
                    after_events,
                };
                accepted[race.play(start.clone())] += 1;
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
