//! One outcome for an order: two operators under one number, on one base, with orders sent again.

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::{Isolation, Simulation};

fn order(base: u64, epoch: u64, text: &str) -> ControlRequest {
    ControlRequest::ReplaceConfig {
        base_epoch: base,
        epoch,
        body: text.as_bytes().into(),
    }
}

fn settled(seed: u64, machines: u32, budget: usize) -> Simulation {
    let mut simulation = Simulation::control_only(seed, machines, budget);
    simulation.run(3.0);
    assert!(simulation.leader().is_some());
    simulation
}

/// The answer to a call that is made now.
fn ask(
    simulation: &mut Simulation,
    node: NodeId,
    number: u64,
    call: ControlRequest,
) -> Option<(u16, Vec<u8>)> {
    simulation.submit_request(node, number, call);
    for _ in 0..400 {
        simulation.run(0.005);
        if let Some(reply) = simulation.responses.get(&number) {
            return Some(reply.clone());
        }
    }
    None
}

/// Asks until there is a clear answer, each time another machine.
fn clear_answer(
    simulation: &mut Simulation,
    first: NodeId,
    number: &mut u64,
    call: &ControlRequest,
) -> (u16, Vec<u8>) {
    for turn in 0..12 {
        let node = 1 + (first + turn) % 3;
        *number += 1;
        if let Some(reply) =
            ask(simulation, node, *number, call.clone()).filter(|reply| reply.0 < 500)
        {
            return reply;
        }
    }
    panic!("{}: no clear answer", simulation.now())
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Freeze,
    Cut,
    CutOneWay,
    Wipe,
}

fn lose(simulation: &mut Simulation, node: NodeId, loss: Loss) {
    match loss {
        Loss::Kill => simulation.kill(node),
        Loss::Freeze => simulation.freeze(node),
        Loss::Cut => simulation.isolate(node, Isolation::BothWays),
        Loss::CutOneWay => simulation.isolate(node, Isolation::Inbound),
        Loss::Wipe => simulation.lose_disk(node),
    }
}

fn mend(simulation: &mut Simulation, node: NodeId, loss: Loss) {
    match loss {
        Loss::Kill | Loss::Wipe => simulation.start(node),
        Loss::Freeze => simulation.thaw(node),
        Loss::Cut | Loss::CutOneWay => simulation.heal(node),
    }
}

/// Two orders of one number on one base, at every pair of machines, and the leader lost in every way at every event from
/// the first order on: of the two one is taken, all clear answers to each agree, and what is read is the one that was taken.
#[test]
fn two_orders_of_one_number_and_a_change_of_leader() {
    let start = settled(1, 3, 1);
    let orders = [
        order(0, 5, "{\"epoch\":5,\"by\":\"a\"}"),
        order(0, 5, "{\"epoch\":5,\"by\":\"b\"}"),
    ];
    let leader = start.leader().unwrap();
    let mut taken = [0; 2];
    for (first, second) in (1..=3).flat_map(|a| (1..=3).map(move |b| (a, b))) {
        for loss in [
            Loss::Kill,
            Loss::Freeze,
            Loss::Cut,
            Loss::CutOneWay,
            Loss::Wipe,
        ] {
            for at in 0..34 {
                let mut simulation = start.clone();
                simulation.submit_request(first, 1, orders[0].clone());
                simulation.submit_request(second, 2, orders[1].clone());
                for _ in 0..at {
                    simulation.step();
                }
                lose(&mut simulation, leader, loss);
                simulation.run(1.4);
                // Sent again while the first copies may still be on their way.
                let mut number = 10;
                let during = [0, 1]
                    .map(|o| clear_answer(&mut simulation, leader, &mut number, &orders[o]).0);
                mend(&mut simulation, leader, loss);
                simulation.run(4.5);
                let after = [0, 1]
                    .map(|o| clear_answer(&mut simulation, o as NodeId, &mut number, &orders[o]).0);
                assert_eq!(
                    during, after,
                    "{loss:?} at {at}, sent to {first} and {second}"
                );
                for o in [0, 1] {
                    let answer = simulation
                        .responses
                        .get(&(1 + o as u64))
                        .map(|reply| reply.0);
                    assert!(
                        answer.is_none_or(|a| a == 503 || a == after[o]),
                        "{loss:?} at {at}: {answer:?}, then {}",
                        after[o]
                    );
                }
                let won = after
                    .iter()
                    .position(|status| *status == 200)
                    .expect("one is taken");
                assert_eq!(after[1 - won], 412);
                taken[won] += 1;
                for node in 1..=3 {
                    number += 1;
                    let read = ask(&mut simulation, node, number, ControlRequest::ReadConfig)
                        .expect("an answer");
                    let ControlRequest::ReplaceConfig { body, .. } = &orders[won] else {
                        panic!("an order")
                    };
                    assert_eq!(read, (200, body.to_vec()));
                }
            }
        }
    }
    assert!(taken[0] > 100 && taken[1] > 10, "{taken:?}");
}

/// Eight orders under way at once on one base, then an order sent again through hundreds of changes, changes of leader and
/// restarts: one of the eight is taken, and its repeat is confirmed by any machine.
#[test]
fn an_order_is_confirmed_again_after_hundreds_of_changes() {
    let mut simulation = settled(2, 3, 1);
    let eight: Vec<ControlRequest> = (0..8)
        .map(|n| order(0, 5 + n / 2, &format!("{{\"epoch\":{}}}//{n}", 5 + n / 2)))
        .collect();
    for (at, call) in eight.iter().enumerate() {
        simulation.submit_request(1 + at as NodeId % 3, 100 + at as u64, call.clone());
    }
    simulation.run(2.0);
    let statuses: Vec<u16> = (0..8)
        .map(|at| simulation.responses[&(100 + at)].0)
        .collect();
    assert_eq!(
        statuses.iter().filter(|status| **status == 200).count(),
        1,
        "{statuses:?}"
    );
    assert!(statuses.iter().all(|status| [200, 412].contains(status)));
    let won = statuses.iter().position(|status| *status == 200).unwrap();
    let mut base = 5 + won as u64 / 2;
    let mut number = 1000;
    for change in 0..400u64 {
        let epoch = base + 1 + change % 3;
        let call = order(base, epoch, &format!("{{\"epoch\":{epoch}}}"));
        assert_eq!(clear_answer(&mut simulation, 1, &mut number, &call).0, 200);
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
        for (at, call) in eight.iter().enumerate() {
            assert_eq!(
                clear_answer(&mut simulation, node, &mut number, call).0,
                statuses[at]
            );
        }
    }
}
