//! Tests of promotions, crashes and the acknowledgement of commits.

use super::ClusterHarness;
use crate::database_cluster::ConnectionOutput;

#[test]
fn commit_is_acknowledged_once_a_replica_has_received_it() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    for replica in ["b", "c"] {
        let connection = harness.connect_to(replica);
        assert!(
            harness
                .query(connection, "PAUSE 2")
                .starts_with("ROW follower 1 1.0 2 ")
        );
    }
    assert_eq!(harness.query(a, "PUT x 1"), "");
    assert_eq!(harness.cluster.rule_checker.acknowledged_writes, 0);
    let b = harness.connect_to("b");
    assert!(harness.query(b, "RESUME").starts_with("ROW follower 1 1."));
    harness.advance(0.01);
    assert_eq!(harness.cluster.rule_checker.acknowledged_writes, 1);
    assert!(harness.status("c").starts_with("follower 1 1.0 2"));
}

#[test]
fn promoted_server_leads_next_term_and_old_primary_follows() {
    let mut harness = ClusterHarness::new(1, false);
    let (a, b) = (harness.connect_to("a"), harness.connect_to("b"));
    harness.query(a, "PUT x 1");
    assert_eq!(
        harness.cluster.request_promotion(harness.now, "db", "b", 5),
        200
    );
    assert_eq!(harness.cluster.primary("db"), Some("a"));
    harness.query(a, "BEGIN");
    harness.advance(0.31);
    assert_eq!(harness.cluster.primary("db"), Some("b"));
    assert_eq!(harness.query(b, "PUT x 2"), "COMPLETE +|IDLE I 2.2");
    // The old primary continues, but no replica receives its commits.
    assert!(harness.status("a").starts_with("leader 1 "));
    assert_eq!(harness.query(a, "PUT x 9"), "COMPLETE +|IDLE T 1.1");
    assert_eq!(harness.query(a, "COMMIT"), "");
    let output = harness.advance(1.0);
    assert!(
        output.contains(&ConnectionOutput::Send(
            a,
            "ERROR FAILED the lead was lost\r\nIDLE I 2.2\r\n".to_owned()
        )),
        "{output:?}"
    );
    assert_eq!(harness.query(a, "FETCH x"), "ROW 2|COMPLETE +|IDLE I 2.2");
    assert_eq!(harness.cluster.rule_checker.violation_count(), 0);
}

#[test]
fn primary_steps_down_at_once_on_stepdown() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    harness.query(a, "BEGIN");
    harness.query(a, "PUT x 1");
    assert_eq!(
        harness.cluster.request_promotion(harness.now, "db", "c", 5),
        200
    );
    harness.advance(0.31);
    let other = harness.connect_to("a");
    assert!(
        harness
            .query(other, "STEPDOWN 1")
            .starts_with("ROW leader 1 ")
    );
    assert!(
        harness
            .query(other, "STEPDOWN 2")
            .starts_with("ROW follower 2 ")
    );
    assert_eq!(harness.query(a, "PUT y 1"), "ERROR READONLY a|IDLE E 1.0");
    assert_eq!(harness.query(a, "ABORT"), "COMPLETE -|IDLE I 1.0");
}

#[test]
fn only_transaction_without_writes_commits_at_former_primary() {
    let mut harness = ClusterHarness::new(1, false);
    let (wrote, read) = (harness.connect_to("a"), harness.connect_to("a"));
    for connection in [wrote, read] {
        harness.query(connection, "BEGIN");
    }
    harness.query(wrote, "PUT x 1");
    harness.query(read, "FETCH x");
    harness.cluster.request_promotion(harness.now, "db", "b", 1);
    harness.advance(0.31);
    let other = harness.connect_to("a");
    harness.query(other, "STEPDOWN 2");
    assert_eq!(
        harness.query(wrote, "COMMIT"),
        "ERROR READONLY a|IDLE I 1.0"
    );
    assert_eq!(harness.query(read, "COMMIT"), "COMPLETE +|IDLE I 1.0");
}

#[test]
fn platform_rejects_old_fencing_tokens_and_stopped_servers() {
    let mut harness = ClusterHarness::new(1, true);
    assert_eq!(harness.cluster.request_promotion(0.0, "db", "a", 5), 200);
    assert_eq!(harness.cluster.request_promotion(0.0, "db", "b", 4), 409);
    assert_eq!(
        harness.cluster.request_promotion(0.0, "nobody", "b", 6),
        404
    );
    harness.cluster.crash_server(0.0, "c");
    assert_eq!(harness.cluster.request_promotion(0.0, "db", "c", 6), 409);
    harness.advance(1.0);
    assert_eq!(harness.cluster.primary("db"), Some("a"));
    let mut unfenced = ClusterHarness::new(1, false);
    unfenced.cluster.request_promotion(0.0, "db", "b", 5);
    assert_eq!(unfenced.cluster.request_promotion(0.0, "db", "c", 4), 200);
}

#[test]
fn crash_breaks_connections_and_open_transactions() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    harness.query(a, "PUT x 1");
    harness.query(a, "BEGIN");
    harness.query(a, "PUT x 2");
    harness.cluster.crash_server(harness.now, "a");
    assert_eq!(harness.advance(0.0), [ConnectionOutput::Close(a)]);
    assert_eq!(
        (
            harness.cluster.primary("db"),
            harness.cluster.listen_address("a")
        ),
        (None, None)
    );
    assert!(harness.cluster.next_heartbeat("a").is_none());
    // No other server was promoted in the meantime, so it is still the primary.
    harness.cluster.start_server(harness.now, "a");
    let a = harness.connect_to("a");
    assert_eq!(harness.query(a, "FETCH x"), "ROW 1|COMPLETE +|IDLE I 1.1");
    assert_eq!(harness.query(a, "PUT x 3"), "COMPLETE +|IDLE I 1.2");
}

#[test]
fn server_restarted_after_promotion_follows_new_primary() {
    let mut harness = ClusterHarness::new(0, false);
    let a = harness.connect_to("a");
    for replica in ["b", "c"] {
        let connection = harness.connect_to(replica);
        harness.query(connection, "PAUSE 2");
    }
    harness.query(a, "PUT x old");
    harness.cluster.crash_server(harness.now, "a");
    harness.cluster.request_promotion(harness.now, "db", "b", 1);
    harness.advance(0.31);
    let b = harness.connect_to("b");
    assert_eq!(harness.query(b, "PUT x new"), "COMPLETE +|IDLE I 2.1");
    harness.cluster.start_server(harness.now, "a");
    let a = harness.connect_to("a");
    assert_eq!(harness.query(a, "FETCH x"), "ROW new|COMPLETE +|IDLE I 2.1");
    // Without synchronous replicas, a lost commit violates no rule.
    assert_eq!(harness.cluster.rule_checker.violation_count(), 0);
}

#[test]
fn rule_checker_finds_commits_lost_by_promotion() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    let c = harness.connect_to("c");
    harness.query(c, "PAUSE 2");
    assert_eq!(harness.query(a, "PUT x 1"), "COMPLETE +|IDLE I 1.1");
    harness.cluster.crash_server(harness.now, "a");
    harness.cluster.request_promotion(harness.now, "db", "c", 1);
    harness.advance(0.31);
    assert_eq!(
        (
            harness.cluster.rule_checker.acknowledged_writes,
            harness.cluster.rule_checker.lost_commits
        ),
        (1, 1)
    );
    // A log longer than the new primary's is truncated.
    assert!(harness.status("b").starts_with("follower 2 1.0 "));
}

#[test]
fn rule_checker_finds_duplicate_write() {
    let mut harness = ClusterHarness::new(1, false);
    let a = harness.connect_to("a");
    for _ in 0..2 {
        harness.send(a, "same", "PUT x 1");
        harness.advance(0.02);
    }
    assert_eq!(
        (
            harness.cluster.rule_checker.duplicate_writes,
            harness.cluster.rule_checker.violation_count()
        ),
        (1, 1)
    );
}

#[test]
fn rule_checker_finds_commit_of_deposed_primary() {
    let mut harness = ClusterHarness::new(0, false);
    let a = harness.connect_to("a");
    harness.cluster.request_promotion(harness.now, "db", "b", 1);
    harness.advance(0.31);
    assert_eq!(harness.query(a, "PUT x 1"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(harness.cluster.rule_checker.deposed_commits, 1);
}
