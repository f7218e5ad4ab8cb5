//! Any order of troubles.

use super::ClusterHarness;
use arbtest::{arbitrary, arbtest};

/// Whatever happens: if only a server that has all that was answered is promoted, nothing is lost, and in the end all
/// copies are the same.
#[test]
fn copies_agree_after_any_day() {
    arbtest(|u| {
        let mut play = ClusterHarness::new(1, false);
        for step in 0..u.int_in_range(1..=40)? {
            let id = *u.choose(&["a", "b", "c"])?;
            match u.int_in_range(0..=7)? {
                0..=2 => write(&mut play, step, u)?,
                3 => play.cluster.crash_server(play.now, id),
                4 => play.cluster.start_server(play.now, id),
                5 => administer(&mut play, id, u)?,
                6 => promote(&mut play),
                _ => drop(play.pass(f64::from(u.int_in_range(0..=1500)?) / 1000.0)),
            }
        }
        for id in ["a", "b", "c"] {
            // A restart frees connections and lets go of pauses.
            play.cluster.crash_server(play.now, id);
        }
        for id in ["a", "b", "c"] {
            play.cluster.start_server(play.now, id);
        }
        play.pass(3.0);
        assert_eq!(
            play.cluster.rule_checker.violations(),
            0,
            "{:?}",
            play.cluster.rule_checker
        );
        let primary = play.cluster.primary("db").unwrap().to_owned();
        for id in ["a", "b", "c"] {
            for thing in ["x", "y"] {
                assert_eq!(
                    play.cluster.read(id, thing),
                    play.cluster.read(&primary, thing),
                    "{id} {thing}"
                );
            }
        }
        Ok(())
    });
}

fn write(
    play: &mut ClusterHarness,
    step: i32,
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<()> {
    let Some(primary) = play.cluster.primary("db").map(str::to_owned) else {
        return Ok(());
    };
    if let Ok(conn) = play.cluster.connect(play.now, &primary, "db", "w") {
        play.pass(0.02);
        let thing = *u.choose(&["x", "y"])?;
        play.say(conn, &format!("w{step}"), &format!("PUT {thing} {step}"));
        play.pass(f64::from(u.int_in_range(0..=20)?) / 1000.0);
        if u.ratio(1, 2)? {
            play.cluster.close_connection(play.now, conn);
        }
    }
    Ok(())
}

fn administer(
    play: &mut ClusterHarness,
    id: &str,
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<()> {
    if let Ok(conn) = play.cluster.connect(play.now, id, "db", "s") {
        play.pass(0.02);
        let text = *u.choose(&["PAUSE 90", "RESUME", "STEPDOWN 90", "STATUS"])?;
        // A primary that steps down without a successor is nobody's doing here.
        let replaced = play.cluster.primary("db") != Some(id);
        if text != "STEPDOWN 90" || replaced {
            play.ask(conn, text);
        }
        play.cluster.close_connection(play.now, conn);
    }
    Ok(())
}

/// As it should be done: all others are held first, and the furthest takes over.
fn promote(play: &mut ClusterHarness) {
    let ids: Vec<String> = play.cluster.server_ids();
    let primary = play.cluster.primary("db").map(str::to_owned);
    let mut best: Option<(badgerstream_line_protocol::Position, String)> = None;
    let mut held = 0;
    for id in ids.iter().filter(|id| Some(*id) != primary.as_ref()) {
        let Ok(conn) = play.cluster.connect(play.now, id, "db", "p") else {
            continue;
        };
        play.pass(0.1);
        let row = play.ask(conn, "PAUSE 99");
        play.cluster.close_connection(play.now, conn);
        let words: Vec<&str> = row.split(' ').collect();
        if words.get(1) == Some(&"follower") {
            held += 1;
            best = best.max(Some((words[3].parse().unwrap(), id.clone())));
        }
    }
    // With both replicas held, one of them has all that was answered.
    if let (2, Some((_, id))) = (held, best) {
        play.cluster.request_promotion(play.now, "db", &id, 1);
        play.pass(0.4);
    }
}

/// Whoever is further behind than commits are kept takes a whole copy.
#[test]
fn a_replica_that_was_held_for_long_catches_up() {
    let mut play = ClusterHarness::new(1, false);
    let (a, c) = (play.open("a"), play.open("c"));
    play.ask(c, "PAUSE 2");
    for n in 1..=10_100 {
        play.say(a, &format!("w{n}"), &format!("PUT x {n}"));
        play.pass(0.01);
    }
    assert!(play.status("c").starts_with("follower 1 1.0 2 "));
    play.ask(c, "RESUME");
    assert_eq!(
        play.ask(c, "FETCH x"),
        "ROW 10100|COMPLETE +|IDLE I 1.10100"
    );
    assert_eq!(play.ask(a, "PUT x 0"), "COMPLETE +|IDLE I 1.10101");
    play.pass(0.1);
    assert_eq!(play.ask(c, "FETCH x"), "ROW 0|COMPLETE +|IDLE I 1.10101");
}
