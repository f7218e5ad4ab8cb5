//! Calls that change servers, and what becomes of them when they come late, in simulated time. The table that these tests
//! hold to is in `docs/design/calls.md`.

use arbtest::arbtest;
use badgerstream_simulation::{Health, World};

fn steady(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run_until(6.0, "a primary in use at the start", |w| {
        w.in_use().as_deref() == Some("a")
    });
    world.run(4.0);
    assert!(world.writes());
    world
}

fn held(world: &World, id: &str) -> Option<u64> {
    world.servers[id].held
}

fn set_held(world: &mut World, id: &str, term: Option<u64>) {
    world.servers.get_mut(id).unwrap().held = term;
}

fn set_deaf(world: &mut World, id: &str, deaf: bool) {
    world.servers.get_mut(id).unwrap().deaf = deaf;
}

// ---- repeated promotions

#[test]
fn a_repeat_of_the_same_promotion_changes_nothing() {
    for (seed, fencing) in [(1, true), (2, false), (3, true), (4, false)] {
        let mut world = steady(seed);
        world.fencing = fencing;
        world.lost_posts = 1000;
        world.crash("a");
        world.run(0.4);
        world.run_until(2.5, "writes at another", World::writes);
        world.run(2.0);
        assert_eq!(world.promoted.len(), 1);
    }
}

/// The first call is lost in a slow platform, its server goes silent, and the call takes effect after all: no other server may
/// have been promoted before, as its commits would be lost then.
#[test]
fn a_late_promotion_takes_the_lead_from_nobody() {
    for fencing in [true, false] {
        for late in [0.6, 0.75, 0.9] {
            let mut world = steady(5);
            world.promote_s = 0.3;
            world.add_server("d", "10.0.0.200:1", false);
            world.run(2.0);
            world.fencing = fencing;
            world.statuses = vec![503];
            world.crash("a");
            world.run_until(3.0, "a call", |w| !w.posts.is_empty());
            let first = world.posts[0].0.clone();
            world.darken(&first);
            world.run(late - 0.1);
            // It is back, without what another one may have acknowledged meanwhile.
            set_deaf(&mut world, &first, true);
            world.recover(&first);
            world.run(0.1);
            world.promote(&first);
            set_deaf(&mut world, &first, false);
            world.run_until(5.0, "a primary in use", |w| w.in_use().is_some());
            world.run_until(2.0, "writes", World::writes);
        }
    }
}

/// A server that goes dark is refused by the platform before its silence is seen here: it isn't named again and again.
#[test]
fn a_refusal_is_not_met_with_a_storm_of_calls() {
    let mut world = steady(5);
    world.statuses = vec![409; 1000];
    world.crash("a");
    world.run(3.0);
    assert!(world.posts.len() < 8, "{} calls", world.posts.len());
}

/// A second copy is refused while the first one may still take effect: the old primary, which is not the one of record any
/// more, goes on with the replicas paused, as what it acknowledged by them would be missing at the new one.
#[test]
fn a_refused_copy_does_not_let_the_old_primary_go_on_at_once() {
    for late in [0.15, 0.3, 0.6, 0.8] {
        let mut world = steady(6);
        world.statuses = vec![503, 409];
        world.drain("a");
        world.run_until(3.0, "the refusal of the second call", |w| {
            w.posts.len() == 2
        });
        let to = world.posts[0].0.clone();
        set_deaf(&mut world, &to, true);
        world.run(late);
        world.promote(&to);
        set_deaf(&mut world, &to, false);
        world.run_until(4.0, "the new primary in use", |w| {
            w.in_use().as_ref() == Some(&to)
        });
    }
}

/// The server that a former leader asked the platform for is taken again, if it is as far as any other.
#[test]
fn the_next_leader_asks_for_the_same_server() {
    let mut world = steady(7);
    world.traffic = false;
    world.run(0.2);
    world.crash("b");
    world.run(2.5);
    world.statuses = vec![503; 1000];
    world.crash("a");
    world.run_until(4.0, "a call", |w| !w.posts.is_empty());
    assert_eq!(world.posts[0].0, "c");
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.recover("b");
    let before = world.posts.len();
    world.run_until(9.0, "a call of the next leader", |w| w.posts.len() > before);
    assert!(world.posts[before].1 > world.posts[0].1);
    assert_eq!(world.posts[before].0, "c");
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
    start.traffic = false;
    start.mute.insert("a".to_owned());
    start.freeze_router(0);
    start.run_until(2.0, "the replicas are paused", |w| {
        held(w, "b").is_some() && held(w, "c").is_some()
    });
    for id in ["b", "c"] {
        set_deaf(&mut start, id, false);
    }
    let lease_ends = start.routers[0].lease_until - 7777.0;
    for step in 1..60 {
        let mut world = start.clone();
        world.run((lease_ends - 0.005 * f64::from(step / 2) - world.now).max(0.0));
        let before = world.acked.len();
        set_held(&mut world, "c", None);
        if step % 2 == 0 {
            // A late `PAUSE` follows, so that it looks as if nothing had been.
            world.run(0.008);
            set_held(&mut world, "c", Some(50));
        }
        world.run_until(5.0, "a promotion", |w| !w.promoted.is_empty());
        assert!(
            world.acked.len() > before,
            "step {step}: the commits that waited were acknowledged"
        );
    }
}

/// A `RESUME` of a server that was frozen runs right after the `PAUSE`: the planned change notices before it goes on.
#[test]
fn a_resume_right_after_a_pause_is_noticed() {
    let mut world = steady(9);
    world.drain("a");
    while held(&world, "b").or(held(&world, "c")).is_none() {
        world.run(0.0005);
        assert!(world.now < 20.0);
    }
    let paused = if held(&world, "b").is_some() {
        "b"
    } else {
        "c"
    };
    let to = if paused == "b" { "c" } else { "b" };
    set_held(&mut world, paused, None);
    world.run_until(2.0, "a call", |w| !w.posts.is_empty());
    // Nothing that only the other replica has may be acknowledged now.
    set_deaf(&mut world, to, true);
    world.run(0.8);
    assert_eq!(world.promoted[0].0, to);
    set_deaf(&mut world, to, false);
    world.run_until(2.0, "writes", World::writes);
}

/// A `PAUSE` comes after the `RESUME` that was to undo it.
#[test]
fn a_late_pause_is_undone() {
    for seed in 10..14 {
        let mut world = steady(seed);
        world.darken("a");
        world.run_until(2.0, "the replicas are paused", |w| {
            held(w, "b").is_some() && held(w, "c").is_some()
        });
        world.recover("a");
        world.run_until(3.0, "a primary in use", |w| w.in_use().is_some());
        world.run(1.0);
        let replicas: Vec<String> = world
            .servers
            .values()
            .filter(|s| !s.leader)
            .map(|s| s.id.clone())
            .collect();
        assert_eq!(replicas.len(), 2);
        for id in &replicas {
            set_held(&mut world, id, Some(90));
        }
        world.run(1.6);
        assert!(world.writes(), "seed {seed}");
        assert!(
            replicas.iter().all(|id| held(&world, id).is_none()),
            "seed {seed}"
        );
    }
}

/// `PAUSE` and `STEPDOWN` of former leaders arrive at any moment, while leaders and servers come and go: the rules hold (they are
/// checked at every event), and once all is calm writes go on.
#[test]
fn late_pauses_and_step_downs_at_any_moment() {
    arbtest(|u| {
        let mut world = World::new(u.int_in_range(0..=1000)?);
        world.fencing = u.arbitrary()?;
        world.lost_posts = u.int_in_range(0..=300)?;
        world.run(3.0);
        for _ in 0..u.int_in_range(2..=10)? {
            let id = *u.choose(&["a", "b", "c"])?;
            let up = world.servers[id].health == Health::Up;
            let top = world.servers.values().map(|s| s.term).max().unwrap_or(0);
            let late = top + u.int_in_range(0..=4)?;
            match u.int_in_range(0..=6)? {
                0 | 1
                    if up
                        && !world.servers[id].leader
                        && late > world.servers[id].held.unwrap_or(top) =>
                {
                    set_held(&mut world, id, Some(late));
                }
                // The lowest term that turned it out, which is its own and one more.
                2 if up && world.servers[id].leader => {
                    world.servers.get_mut(id).unwrap().leader = false;
                }
                3 if up
                    && world
                        .servers
                        .values()
                        .filter(|s| s.health == Health::Up)
                        .count()
                        > 2 =>
                {
                    world.crash(id);
                }
                4 if !up => world.recover(id),
                5 => world.drain(id),
                _ => {
                    if let Some(leader) = world.leader() {
                        world.kill(leader);
                        world.run(0.02);
                        world.start(leader);
                    }
                }
            }
            world.run(f64::from(u.int_in_range(0..=1200u16)?) / 1000.0);
        }
        for id in ["a", "b", "c"] {
            world.servers.get_mut(id).unwrap().draining = false;
            if world.servers[id].health != Health::Up {
                world.recover(id);
            }
        }
        world.lost_posts = 0;
        world.run(0.2);
        world.run_until(25.0, "writes once all is calm", World::writes);
        world.run_until(4.0, "no replica is held", |w| {
            w.servers.values().all(|s| s.leader || s.held.is_none())
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
