//! Tests of a server's responses to statements.

use super::ClusterHarness;
use crate::database_cluster::ConnectionOutput;

#[test]
fn reads_and_writes_report_positions() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    assert_eq!(harness.query(a, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    assert_eq!(harness.query(a, "PUT x one two"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(
        harness.query(a, "FETCH x"),
        "ROW one two|COMPLETE +|IDLE I 1.1"
    );
    assert_eq!(harness.query(a, "SET tz lima"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(
        harness.query(a, "DROP x"),
        "ERROR MALFORMED unknown statement|IDLE I 1.1"
    );
}

#[test]
fn prepared_statements_last_until_release_or_reset() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    harness.query(a, "PREPARE w PUT q1");
    harness.query(a, "PREPARE r FETCH q2");
    assert_eq!(harness.query(a, "EXECUTE w x 1"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(
        harness.query(a, "EXECUTE r x"),
        "ROW 1|COMPLETE +|IDLE I 1.1"
    );
    assert_eq!(harness.query(a, "RELEASE w"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(
        harness.query(a, "EXECUTE w x 2"),
        "ERROR UNKNOWN w|IDLE I 1.1"
    );
    assert_eq!(harness.query(a, "RESET"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(
        harness.query(a, "EXECUTE r x"),
        "ERROR UNKNOWN r|IDLE I 1.1"
    );
}

#[test]
fn transaction_is_atomic() {
    let mut harness = ClusterHarness::new(1, false);
    let (a, b) = (harness.connect_to("a"), harness.connect_to("a"));
    assert_eq!(harness.query(a, "BEGIN"), "COMPLETE -|IDLE T 1.0");
    assert_eq!(harness.query(a, "PUT x 1"), "COMPLETE +|IDLE T 1.0");
    assert_eq!(harness.query(a, "FETCH x"), "ROW 1|COMPLETE +|IDLE T 1.0");
    assert_eq!(harness.query(b, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    harness.query(a, "PUT y 2");
    assert_eq!(harness.query(a, "COMMIT"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(harness.query(b, "FETCH y"), "ROW 2|COMPLETE +|IDLE I 1.1");
    harness.query(a, "BEGIN");
    harness.query(a, "PUT x 9");
    assert_eq!(harness.query(a, "ABORT"), "COMPLETE -|IDLE I 1.1");
    harness.query(a, "BEGIN");
    harness.query(a, "PUT x 9");
    harness.cluster.close_connection(harness.now, a);
    assert_eq!(harness.query(b, "FETCH x"), "ROW 1|COMPLETE +|IDLE I 1.1");
    assert_eq!(
        harness.query(b, "COMMIT"),
        "ERROR MALFORMED no transaction|IDLE I 1.1"
    );
}

#[test]
fn failed_transaction_accepts_only_its_end() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    harness.query(a, "BEGIN");
    harness.query(a, "PUT x 1");
    assert_eq!(
        harness.query(a, "EXECUTE none y"),
        "ERROR UNKNOWN none|IDLE E 1.0"
    );
    assert_eq!(
        harness.query(a, "FETCH x"),
        "ERROR MALFORMED the transaction has failed|IDLE E 1.0"
    );
    assert_eq!(
        harness.query(a, "COMMIT"),
        "ERROR ABORTED the transaction had failed|IDLE I 1.0"
    );
    assert_eq!(harness.query(a, "FETCH x"), "COMPLETE +|IDLE I 1.0");
}

#[test]
fn replica_reads_see_applied_commits_only() {
    let mut harness = ClusterHarness::new(1, false);
    let (a, b) = (harness.connect_to("a"), harness.connect_to("b"));
    assert_eq!(harness.query(b, "PUT x 1"), "ERROR READONLY b|IDLE I 1.0");
    assert_eq!(harness.query(b, "BEGIN"), "ERROR READONLY b|IDLE I 1.0");
    harness.query(a, "PUT x 1");
    // The replica receives the commit almost at once, and applies it after 60 ms.
    assert!(harness.status("b").starts_with("follower 1 1.1 0 "));
    assert_eq!(
        harness.query(b, "WAITPOS 1.1 FETCH x"),
        "ERROR LAGGING b|IDLE I 1.0"
    );
    assert_eq!(harness.query(b, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    harness.advance(0.1);
    assert_eq!(
        harness.query(b, "WAITPOS 1.1 FETCH x"),
        "ROW 1|COMPLETE +|IDLE I 1.1"
    );
    assert_eq!(
        harness.query(b, "WAITPOS 1.2 BEGIN FETCH"),
        "ERROR LAGGING b|IDLE I 1.1"
    );
    assert_eq!(
        harness.query(b, "WAITPOS 1.1 BEGIN FETCH"),
        "COMPLETE -|IDLE T 1.1"
    );
    assert_eq!(harness.query(b, "FETCH x"), "ROW 1|COMPLETE +|IDLE T 1.1");
    assert_eq!(harness.query(b, "COMMIT"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(
        harness.query(b, "WAITPOS 1.1 COMMIT"),
        "ERROR MALFORMED WAITPOS goes before reads|IDLE I 1.1"
    );
}

#[test]
fn connections_are_limited_and_bound_to_their_server() {
    let mut harness = ClusterHarness::new(1, false);
    assert_eq!(
        harness
            .cluster
            .connect(0.0, "a", "other", "x")
            .unwrap_err()
            .response(),
        "ERROR WRONGNODE a\r\n"
    );
    assert_eq!(
        harness
            .cluster
            .connect(0.0, "a", "db", "x b")
            .unwrap_err()
            .response(),
        "ERROR WRONGNODE a\r\n"
    );
    let connections: Vec<_> = (0..4).map(|_| harness.connect_to("a")).collect();
    assert_eq!(
        harness
            .cluster
            .connect(harness.now, "a", "db", "x")
            .unwrap_err()
            .response(),
        "ERROR CONNLIMIT a\r\n"
    );
    harness
        .cluster
        .receive_line(harness.now, connections[0], b"BYE");
    assert_eq!(
        harness.advance(0.0),
        [ConnectionOutput::Close(connections[0])]
    );
    harness.connect_to("a");
}

#[test]
fn connections_share_the_slots_of_a_server() {
    let mut harness = ClusterHarness::new(0, false);
    let connections: Vec<_> = (0..4).map(|_| harness.connect_to("a")).collect();
    for (n, connection) in connections.iter().enumerate() {
        harness.send(*connection, &format!("i{n}"), "FETCH x");
    }
    // Two statements run concurrently, for 4 ms each.
    assert_eq!(harness.advance(0.005).len(), 2);
    assert_eq!(harness.advance(0.004).len(), 2);
}
