//! Calls that change servers, and what becomes of them when they come late, in simulated time. The table that these tests
//! hold to is in `docs/design/calls.md`.

use arbtest::arbtest;
use badgerstream_simulation::{Health, Simulation};

fn steady(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(6.0, "a primary in use at the start", |w| {
        w.primary_in_use().as_deref() == Some("a")
    });
    simulation.run(4.0);
    assert!(simulation.acknowledges_writes());
    simulation
}

fn held(simulation: &Simulation, id: &str) -> Option<u64> {
    simulation.service.servers[id].paused_at_term
}

fn set_held(simulation: &mut Simulation, id: &str, term: Option<u64>) {
    simulation
        .service
        .servers
        .get_mut(id)
        .unwrap()
        .paused_at_term = term;
}

fn set_deaf(simulation: &mut Simulation, id: &str, deaf: bool) {
    simulation
        .service
        .servers
        .get_mut(id)
        .unwrap()
        .receives_nothing = deaf;
}

// ---- repeated promotions

#[test]
fn a_repeat_of_the_same_promotion_changes_nothing() {
    for (seed, fencing) in [(1, true), (2, false), (3, true), (4, false)] {
        let mut simulation = steady(seed);
        simulation.platform.checks_fencing_tokens = fencing;
        simulation.platform.answers_lost_per_mille = 1000;
        simulation.crash("a");
        simulation.run(0.4);
        simulation.run_until(2.5, "writes at another", Simulation::acknowledges_writes);
        simulation.run(2.0);
        assert_eq!(simulation.service.promotions.len(), 1);
    }
}

/// The first call is lost in a slow platform, its server goes silent, and the call takes effect after all: no other server may
/// have been promoted before, as its commits would be lost then.
#[test]
fn a_late_promotion_takes_the_lead_from_nobody() {
    for fencing in [true, false] {
        for late in [0.6, 0.75, 0.9] {
            let mut simulation = steady(5);
            simulation.platform.promotion_duration_s = 0.3;
            simulation.add_server("d", "10.0.0.200:1", false);
            simulation.run(2.0);
            simulation.platform.checks_fencing_tokens = fencing;
            simulation.platform.scripted_statuses = vec![503].into();
            simulation.crash("a");
            simulation.run_until(3.0, "a call", |w| !w.platform.promotion_requests.is_empty());
            let first = simulation.platform.promotion_requests[0].server_id.clone();
            simulation.make_unresponsive(&first);
            simulation.run(late - 0.1);
            // It is back, without what another one may have acknowledged meanwhile.
            set_deaf(&mut simulation, &first, true);
            simulation.recover(&first);
            simulation.run(0.1);
            simulation.promote(&first);
            set_deaf(&mut simulation, &first, false);
            simulation.run_until(5.0, "a primary in use", |w| w.primary_in_use().is_some());
            simulation.run_until(2.0, "writes", Simulation::acknowledges_writes);
        }
    }
}

/// A server that goes dark is refused by the platform before its silence is seen here: it isn't named again and again.
#[test]
fn a_refusal_is_not_met_with_a_storm_of_calls() {
    let mut simulation = steady(5);
    simulation.platform.scripted_statuses = vec![409; 1000].into();
    simulation.crash("a");
    simulation.run(3.0);
    assert!(
        simulation.platform.promotion_requests.len() < 8,
        "{} calls",
        simulation.platform.promotion_requests.len()
    );
}

/// A second copy is refused while the first one may still take effect: the old primary, which is not the one of record any
/// more, goes on with the replicas paused, as what it acknowledged by them would be missing at the new one.
#[test]
fn a_refused_copy_does_not_let_the_old_primary_go_on_at_once() {
    for late in [0.15, 0.3, 0.6, 0.8] {
        let mut simulation = steady(6);
        simulation.platform.scripted_statuses = vec![503, 409].into();
        simulation.drain("a");
        simulation.run_until(3.0, "the refusal of the second call", |w| {
            w.platform.promotion_requests.len() == 2
        });
        let to = simulation.platform.promotion_requests[0].server_id.clone();
        set_deaf(&mut simulation, &to, true);
        simulation.run(late);
        simulation.promote(&to);
        set_deaf(&mut simulation, &to, false);
        simulation.run_until(4.0, "the new primary in use", |w| {
            w.primary_in_use().as_ref() == Some(&to)
        });
    }
}

/// The server that a former leader asked the platform for is taken again, if it is as far as any other.
#[test]
fn the_next_leader_asks_for_the_same_server() {
    let mut simulation = steady(7);
    simulation.edge.statements_enabled = false;
    simulation.run(0.2);
    simulation.crash("b");
    simulation.run(2.5);
    simulation.platform.scripted_statuses = vec![503; 1000].into();
    simulation.crash("a");
    simulation.run_until(4.0, "a call", |w| !w.platform.promotion_requests.is_empty());
    assert_eq!(simulation.platform.promotion_requests[0].server_id, "c");
    let leader = simulation.leader().unwrap();
    simulation.kill(leader);
    simulation.recover("b");
    let before = simulation.platform.promotion_requests.len();
    simulation.run_until(9.0, "a call of the next leader", |w| {
        w.platform.promotion_requests.len() > before
    });
    assert!(
        simulation.platform.promotion_requests[before].fencing_token
            > simulation.platform.promotion_requests[0].fencing_token
    );
    assert_eq!(
        simulation.platform.promotion_requests[before].server_id,
        "c"
    );
}

// ---- statements that come late

/// A `RESUME` comes late, while the old primary still acknowledges what a frozen router sent: whoever went on because of it is
/// further than the others, and takes over.
#[test]
fn a_late_resume_before_the_grant_is_given_back_loses_nothing() {
    let mut start = steady(8);
    for id in ["b", "c"] {
        set_deaf(&mut start, id, true);
    }
    start.run(0.2);
    // From here on commits wait at the primary, which answers nobody but its replicas.
    start.edge.statements_enabled = false;
    start.service.unresponsive_to_control.insert("a".to_owned());
    start.freeze_router(0);
    start.run_until(2.0, "the replicas are paused", |w| {
        held(w, "b").is_some() && held(w, "c").is_some()
    });
    for id in ["b", "c"] {
        set_deaf(&mut start, id, false);
    }
    let lease_ends = start.edge.routers[0].lease_until - 7777.0;
    for step in 1..60 {
        let mut simulation = start.clone();
        simulation.run((lease_ends - 0.005 * f64::from(step / 2) - simulation.now()).max(0.0));
        let before = simulation.service.acknowledged_commits.len();
        set_held(&mut simulation, "c", None);
        if step % 2 == 0 {
            // A late `PAUSE` follows, so that it looks as if nothing had been.
            simulation.run(0.008);
            set_held(&mut simulation, "c", Some(50));
        }
        simulation.run_until(5.0, "a promotion", |w| !w.service.promotions.is_empty());
        assert!(
            simulation.service.acknowledged_commits.len() > before,
            "step {step}: the commits that waited were acknowledged"
        );
    }
}

/// A `RESUME` of a server that was frozen runs right after the `PAUSE`: the planned change notices before it goes on.
#[test]
fn a_resume_right_after_a_pause_is_noticed() {
    let mut simulation = steady(9);
    simulation.drain("a");
    while held(&simulation, "b").or(held(&simulation, "c")).is_none() {
        simulation.run(0.0005);
        assert!(simulation.now() < 20.0);
    }
    let paused = if held(&simulation, "b").is_some() {
        "b"
    } else {
        "c"
    };
    let to = if paused == "b" { "c" } else { "b" };
    set_held(&mut simulation, paused, None);
    simulation.run_until(2.0, "a call", |w| !w.platform.promotion_requests.is_empty());
    // Nothing that only the other replica has may be acknowledged now.
    set_deaf(&mut simulation, to, true);
    simulation.run(0.8);
    assert_eq!(simulation.service.promotions[0].server_id, to);
    set_deaf(&mut simulation, to, false);
    simulation.run_until(2.0, "writes", Simulation::acknowledges_writes);
}

/// A `PAUSE` comes after the `RESUME` that was to undo it.
#[test]
fn a_late_pause_is_undone() {
    for seed in 10..14 {
        let mut simulation = steady(seed);
        simulation.make_unresponsive("a");
        simulation.run_until(2.0, "the replicas are paused", |w| {
            held(w, "b").is_some() && held(w, "c").is_some()
        });
        simulation.recover("a");
        simulation.run_until(3.0, "a primary in use", |w| w.primary_in_use().is_some());
        simulation.run(1.0);
        let replicas: Vec<String> = simulation
            .service
            .servers
            .values()
            .filter(|s| !s.is_primary)
            .map(|s| s.id.clone())
            .collect();
        assert_eq!(replicas.len(), 2);
        for id in &replicas {
            set_held(&mut simulation, id, Some(90));
        }
        simulation.run(1.6);
        assert!(simulation.acknowledges_writes(), "seed {seed}");
        assert!(
            replicas.iter().all(|id| held(&simulation, id).is_none()),
            "seed {seed}"
        );
    }
}

/// `PAUSE` and `STEPDOWN` of former leaders arrive at any moment, while leaders and servers come and go: the rules hold (they are
/// checked at every event), and once all is calm writes go on.
#[test]
fn late_pauses_and_step_downs_at_any_moment() {
    arbtest(|u| {
        let mut simulation = Simulation::new(u.int_in_range(0..=1000)?);
        simulation.platform.checks_fencing_tokens = u.arbitrary()?;
        simulation.platform.answers_lost_per_mille = u.int_in_range(0..=300)?;
        simulation.run(3.0);
        for _ in 0..u.int_in_range(2..=10)? {
            let id = *u.choose(&["a", "b", "c"])?;
            let up = simulation.service.servers[id].health == Health::Up;
            let top = simulation
                .service
                .servers
                .values()
                .map(|s| s.primary_term)
                .max()
                .unwrap_or(0);
            let late = top + u.int_in_range(0..=4)?;
            match u.int_in_range(0..=6)? {
                0 | 1
                    if up
                        && !simulation.service.servers[id].is_primary
                        && late > simulation.service.servers[id].paused_at_term.unwrap_or(top) =>
                {
                    set_held(&mut simulation, id, Some(late));
                }
                // The lowest term that turned it out, which is its own and one more.
                2 if up && simulation.service.servers[id].is_primary => {
                    simulation.service.servers.get_mut(id).unwrap().is_primary = false;
                }
                3 if up
                    && simulation
                        .service
                        .servers
                        .values()
                        .filter(|s| s.health == Health::Up)
                        .count()
                        > 2 =>
                {
                    simulation.crash(id);
                }
                4 if !up => simulation.recover(id),
                5 => simulation.drain(id),
                _ => {
                    if let Some(leader) = simulation.leader() {
                        simulation.kill(leader);
                        simulation.run(0.02);
                        simulation.start(leader);
                    }
                }
            }
            simulation.run(f64::from(u.int_in_range(0..=1200u16)?) / 1000.0);
        }
        for id in ["a", "b", "c"] {
            simulation.service.servers.get_mut(id).unwrap().draining = false;
            if simulation.service.servers[id].health != Health::Up {
                simulation.recover(id);
            }
        }
        simulation.platform.answers_lost_per_mille = 0;
        simulation.run(0.2);
        simulation.run_until(
            25.0,
            "writes once all is calm",
            Simulation::acknowledges_writes,
        );
        simulation.run_until(4.0, "no replica is held", |w| {
            w.service
                .servers
                .values()
                .all(|s| s.is_primary || s.paused_at_term.is_none())
        });
        Ok(())
    })
    .size_min(64)
    .size_max(300)
    .budget_ms(budget());
}

/// Milliseconds for a random test; for hunts the variable of `arbtest` may give more.
fn budget() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(1500)
}
