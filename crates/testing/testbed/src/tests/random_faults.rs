//! Tests with random sequences of faults and writes.

use super::ClusterHarness;
use arbtest::{arbitrary, arbtest};

/// As long as each promoted server has all acknowledged commits, no commit is lost whatever the
/// faults, and all replicas are equal in the end.
#[test]
fn replicas_converge_after_random_faults() {
    arbtest(|u| {
        let mut harness = ClusterHarness::new(1, false);
        for step in 0..u.int_in_range(1..=40)? {
            let id = *u.choose(&["a", "b", "c"])?;
            match u.int_in_range(0..=7)? {
                0..=2 => write(&mut harness, step, u)?,
                3 => harness.cluster.crash_server(harness.now, id),
                4 => harness.cluster.start_server(harness.now, id),
                5 => administer(&mut harness, id, u)?,
                6 => promote(&mut harness),
                _ => drop(harness.advance(f64::from(u.int_in_range(0..=1500)?) / 1000.0)),
            }
        }
        for id in ["a", "b", "c"] {
            // A restart closes connections and ends pauses.
            harness.cluster.crash_server(harness.now, id);
        }
        for id in ["a", "b", "c"] {
            harness.cluster.start_server(harness.now, id);
        }
        harness.advance(3.0);
        assert_eq!(
            harness.cluster.rule_checker.violation_count(),
            0,
            "{:?}",
            harness.cluster.rule_checker
        );
        let primary = harness.cluster.primary("db").unwrap().to_owned();
        for id in ["a", "b", "c"] {
            for thing in ["x", "y"] {
                assert_eq!(
                    harness.cluster.read(id, thing),
                    harness.cluster.read(&primary, thing),
                    "{id} {thing}"
                );
            }
        }
        Ok(())
    });
}

fn write(
    harness: &mut ClusterHarness,
    step: i32,
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<()> {
    let Some(primary) = harness.cluster.primary("db").map(str::to_owned) else {
        return Ok(());
    };
    if let Ok(connection) = harness.cluster.connect(harness.now, &primary, "db", "w") {
        harness.advance(0.02);
        let thing = *u.choose(&["x", "y"])?;
        harness.send(
            connection,
            &format!("w{step}"),
            &format!("PUT {thing} {step}"),
        );
        harness.advance(f64::from(u.int_in_range(0..=20)?) / 1000.0);
        if u.ratio(1, 2)? {
            harness.cluster.close_connection(harness.now, connection);
        }
    }
    Ok(())
}

fn administer(
    harness: &mut ClusterHarness,
    id: &str,
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<()> {
    if let Ok(connection) = harness.cluster.connect(harness.now, id, "db", "s") {
        harness.advance(0.02);
        let text = *u.choose(&["PAUSE 90", "RESUME", "STEPDOWN 90", "STATUS"])?;
        // This test never makes a primary step down without a successor.
        let replaced = harness.cluster.primary("db") != Some(id);
        if text != "STEPDOWN 90" || replaced {
            harness.query(connection, text);
        }
        harness.cluster.close_connection(harness.now, connection);
    }
    Ok(())
}

/// Promotes a server safely: pauses all others first, and promotes the one with the longest log.
fn promote(harness: &mut ClusterHarness) {
    let ids: Vec<String> = harness.cluster.server_ids();
    let primary = harness.cluster.primary("db").map(str::to_owned);
    let mut best: Option<(badgerstream_line_protocol::Position, String)> = None;
    let mut held = 0;
    for id in ids.iter().filter(|id| Some(*id) != primary.as_ref()) {
        let Ok(connection) = harness.cluster.connect(harness.now, id, "db", "p") else {
            continue;
        };
        harness.advance(0.1);
        let row = harness.query(connection, "PAUSE 99");
        harness.cluster.close_connection(harness.now, connection);
        let words: Vec<&str> = row.split(' ').collect();
        if words.get(1) == Some(&"follower") {
            held += 1;
            best = best.max(Some((words[3].parse().unwrap(), id.clone())));
        }
    }
    // While both replicas are paused, one of them has all acknowledged commits.
    if let (2, Some((_, id))) = (held, best) {
        harness.cluster.request_promotion(harness.now, "db", &id, 1);
        harness.advance(0.4);
    }
}

/// A replica takes a snapshot if commits that it lacks are no longer retained.
#[test]
fn replica_paused_beyond_retained_commits_takes_snapshot() {
    let mut harness = ClusterHarness::new(1, false);
    let (a, c) = (harness.connect_to("a"), harness.connect_to("c"));
    harness.query(c, "PAUSE 2");
    for n in 1..=10_100 {
        harness.send(a, &format!("w{n}"), &format!("PUT x {n}"));
        harness.advance(0.01);
    }
    assert!(harness.status("c").starts_with("follower 1 1.0 2 "));
    harness.query(c, "RESUME");
    assert_eq!(
        harness.query(c, "FETCH x"),
        "ROW 10100|COMPLETE +|IDLE I 1.10100"
    );
    assert_eq!(harness.query(a, "PUT x 0"), "COMPLETE +|IDLE I 1.10101");
    harness.advance(0.1);
    assert_eq!(
        harness.query(c, "FETCH x"),
        "ROW 0|COMPLETE +|IDLE I 1.10101"
    );
}
