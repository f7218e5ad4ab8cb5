//! Calls of operators to the control machines, and what routers are told, in simulated time.

use arbtest::arbtest;
use badgerstream_control::ControlRequest;
use badgerstream_simulation::Simulation;

fn replace(base: u64, epoch: u64, text: &str) -> ControlRequest {
    ControlRequest::ReplaceConfig {
        base_epoch: base,
        epoch,
        body: text.as_bytes().into(),
    }
}

fn led() -> Simulation {
    let mut simulation = Simulation::new(1);
    simulation.edge.statements_enabled = false;
    simulation.run_until(1.0, "a leader", |w| w.leader().is_some());
    simulation
}

/// What a fresh call to this machine comes to; none if nothing does.
fn ask(
    simulation: &mut Simulation,
    node: u32,
    number: u64,
    call: ControlRequest,
) -> Option<(u16, Vec<u8>)> {
    simulation.submit_request(node, number, call);
    for _ in 0..600 {
        simulation.run(0.005);
        if let Some(reply) = simulation.responses.get(&number) {
            return Some(reply.clone());
        }
    }
    None
}

#[test]
fn a_configuration_is_taken_wherever_it_is_sent() {
    let mut simulation = led();
    for node in 1..=3 {
        let number = u64::from(node);
        let (base, epoch) = (number - 1, number);
        assert_eq!(
            ask(&mut simulation, node, number, replace(base, epoch, "x"))
                .unwrap()
                .0,
            200
        );
        // Just the same again, at another machine.
        assert_eq!(
            ask(
                &mut simulation,
                1 + node % 3,
                10 + number,
                replace(base, epoch, "x")
            )
            .unwrap()
            .0,
            200
        );
        // Another one on the same base.
        assert_eq!(
            ask(
                &mut simulation,
                node,
                20 + number,
                replace(base, epoch + 1, "y")
            )
            .unwrap()
            .0,
            412
        );
    }
    assert_eq!(
        ask(&mut simulation, 2, 30, replace(3, 3, "z")).unwrap().0,
        400
    );
    assert_eq!(
        ask(&mut simulation, 2, 31, ControlRequest::ReadConfig).unwrap(),
        (200, b"x".to_vec())
    );
}

#[test]
fn a_call_waits_for_a_leader_and_ends() {
    let mut simulation = Simulation::new(2);
    simulation.kill(1);
    simulation.kill(3);
    assert_eq!(
        ask(&mut simulation, 2, 1, replace(0, 1, "x")).unwrap().0,
        503
    );
    simulation.submit_request(2, 2, replace(0, 1, "x"));
    simulation.start(1);
    simulation.run(2.4);
    assert_eq!(simulation.responses[&2].0, 200);
}

/// Two operators send on one base while a machine restarts, at every moment: one of them wins, and a repeat finds out.
#[test]
fn two_on_one_base() {
    let start = led();
    for step in 0..90 {
        let mut simulation = start.clone();
        let victim = 1 + step % 3;
        simulation.submit_request(1 + step % 2, 1, replace(0, 5, "x"));
        simulation.submit_request(2 + step % 2, 2, replace(0, 6, "y"));
        simulation.run(0.0004 * f64::from(step / 3));
        simulation.kill(victim);
        simulation.run(0.3);
        simulation.start(victim);
        simulation.run(3.0);
        let mut answers = Vec::new();
        for (at, call) in [(1, replace(0, 5, "x")), (2, replace(0, 6, "y"))] {
            let first = simulation.responses.get(&at).map(|r| r.0);
            let again = ask(&mut simulation, 3, 10 + at, call).unwrap().0;
            assert!(again == 200 || again == 412, "step {step}: {again}");
            assert!(
                first.is_none_or(|f| f == 503 || f == again),
                "step {step}: {first:?}, then {again}"
            );
            answers.push(again);
        }
        answers.sort_unstable();
        assert_eq!(answers, [200, 412], "step {step}");
        let read = ask(&mut simulation, 1, 20, ControlRequest::ReadConfig).unwrap();
        let won = simulation.control.machines[&1]
            .controller
            .as_ref()
            .unwrap()
            .config()
            .1
            .to_vec();
        assert!(read == (200, b"x".to_vec()) || read == (200, b"y".to_vec()));
        assert_eq!(read.1, won);
    }
}

/// The closing fault: all processes are killed right after the acknowledgement, one disk is gone.
#[test]
fn what_was_acknowledged_outlives_the_closing_fault() {
    let start = led();
    for step in 0..48 {
        let mut simulation = start.clone();
        let wiped = 1 + step % 4;
        simulation.submit_request(1 + step % 3, 1, replace(0, 5, "x"));
        let mut waited = 0;
        while !simulation.responses.contains_key(&1) && waited < 1000 {
            simulation.run(0.0002);
            waited += 1;
        }
        assert_eq!(simulation.responses[&1].0, 200);
        simulation.run(0.0005 * f64::from(step / 4));
        for node in 1..=3 {
            if node == wiped {
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
            let read = ask(
                &mut simulation,
                node,
                10 + u64::from(node),
                ControlRequest::ReadConfig,
            );
            assert_eq!(read, Some((200, b"x".to_vec())), "step {step}, node {node}");
        }
        assert_eq!(
            ask(&mut simulation, 1, 20, replace(0, 5, "x")).unwrap().0,
            200
        );
        assert_eq!(
            ask(&mut simulation, 1, 21, replace(0, 6, "y")).unwrap().0,
            412
        );
    }
}

/// No acknowledged configuration is lost or goes back, whatever is killed, frozen, cut off or wiped.
#[test]
fn configurations_under_any_trouble() {
    arbtest(|u| {
        let mut simulation = Simulation::new(u.int_in_range(0..=1000)?);
        simulation.edge.statements_enabled = false;
        simulation.run(1.0);
        let (mut number, mut epoch) = (0, 0);
        let mut sent = Vec::new();
        let mut acked: Vec<(u64, u64)> = Vec::new();
        for _ in 0..u.int_in_range(2..=14)? {
            let node = u.int_in_range(1..=3)?;
            let control = &simulation.control.machines[&node];
            // A second disk may be lost only once the machine that lost the first one is a voter again.
            let whole = simulation.all_machines_vote();
            match u.int_in_range(0..=9)? {
                0 => simulation.kill(node),
                1 if control.controller.is_none() => simulation.start(node),
                2 if whole => {
                    simulation.lose_disk(node);
                    simulation.start(node);
                }
                3 if control.controller.is_some() => simulation.freeze(node),
                4 if control.frozen => simulation.thaw(node),
                5 => {
                    simulation
                        .control
                        .network
                        .blocked
                        .insert((node, 1 + node % 3));
                    simulation
                        .control
                        .network
                        .blocked
                        .insert((1 + node % 3, node));
                }
                6 => simulation.heal_all(),
                _ => {
                    let base = acked.last().map_or(0, |a| a.1);
                    for to in [node, 1 + node % 3] {
                        number += 1;
                        epoch += 1;
                        sent.push((number, base, epoch));
                        if !simulation.control.machines[&to].frozen {
                            simulation.submit_request(
                                to,
                                number,
                                replace(base, epoch, &format!("c{epoch}")),
                            );
                        }
                    }
                }
            }
            let wait: u16 = u.int_in_range(0..=1200)?;
            simulation.run(f64::from(wait) / 1000.0);
            for (number, base, epoch) in &sent {
                if simulation.responses.get(number).is_some_and(|r| r.0 == 200)
                    && !acked.contains(&(*base, *epoch))
                {
                    assert!(
                        acked.iter().all(|a| a.0 != *base),
                        "two were acknowledged on {base}: {acked:?} {epoch}"
                    );
                    acked.push((*base, *epoch));
                }
            }
            acked.sort_unstable();
        }
        simulation.heal_all();
        for node in 1..=3 {
            let control = &simulation.control.machines[&node];
            if control.frozen {
                simulation.thaw(node);
            } else if control.controller.is_none() {
                simulation.start(node);
            }
        }
        simulation.run(6.0);
        for node in 1..=3 {
            let read = ask(
                &mut simulation,
                node,
                1000 + u64::from(node),
                ControlRequest::ReadConfig,
            )
            .expect("an answer");
            assert_eq!(read.0, 200);
            let newest: u64 = String::from_utf8_lossy(&read.1)
                .trim_start_matches('c')
                .parse()
                .unwrap_or(0);
            assert!(
                newest >= acked.last().map_or(0, |a| a.1),
                "{acked:?}, but {newest} is read"
            );
        }
        Ok(())
    })
    .size_min(64)
    .size_max(400)
    .budget_ms(budget());
}

/// A leader that reaches no other control machine sends routers away, so that they find the one that took over.
#[test]
fn routers_leave_a_leader_that_is_cut_off() {
    let mut simulation = Simulation::new(3);
    simulation.run_until(6.0, "a primary in use", |w| w.primary_in_use().is_some());
    simulation.run(1.0);
    let old = simulation.leader().unwrap();
    for other in (1..=3).filter(|n| *n != old) {
        simulation.control.network.blocked.insert((old, other));
        simulation.control.network.blocked.insert((other, old));
    }
    simulation.run(0.05);
    simulation.run_until(1.5, "another leader", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    simulation.run_until(2.0, "routers with a lease", |w| {
        w.primary_in_use().is_some()
    });
    simulation.run(1.0);
    assert!(simulation.primary_in_use().is_some());
}

#[test]
fn a_machine_that_hears_nobody_lead_sends_beats_on() {
    let mut simulation = led();
    // A follower is in contact once its leader has confirmed one of its answers.
    simulation.run(0.5);
    let leader = simulation.leader().expect("somebody leads");
    let beat = |seq: u64| ControlRequest::Heartbeat {
        server_id: "new".to_owned(),
        heartbeat: badgerstream_simulation::service::heartbeat("10.0.9.9:1", seq, false),
    };
    let alone = *simulation
        .control
        .machines
        .keys()
        .find(|n| **n != leader)
        .expect("three control machines");
    assert_eq!(
        ask(&mut simulation, alone, 901, beat(1)).map(|a| a.0),
        Some(200)
    );
    for other in simulation
        .control
        .machines
        .keys()
        .copied()
        .filter(|n| *n != alone)
        .collect::<Vec<_>>()
    {
        simulation.control.network.blocked.insert((alone, other));
        simulation.control.network.blocked.insert((other, alone));
    }
    simulation.run(2.0);
    // Only it would know of a copy that counts for what is acknowledged.
    assert_eq!(
        ask(&mut simulation, alone, 902, beat(2)).map(|a| a.0),
        Some(503)
    );
    assert_eq!(
        ask(&mut simulation, leader, 903, beat(3)).map(|a| a.0),
        Some(200)
    );
}

/// Milliseconds for a random test; for hunts the variable of `arbtest` may give more.
fn budget() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(1500)
}
