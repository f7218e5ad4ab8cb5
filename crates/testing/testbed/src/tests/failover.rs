//! How a service's primary changes.

use super::ClusterHarness;
use crate::database_cluster::ConnectionOutput;

#[test]
fn a_commit_is_answered_once_a_replica_has_it() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    for replica in ["b", "c"] {
        let conn = play.open(replica);
        assert!(
            play.ask(conn, "PAUSE 2")
                .starts_with("ROW follower 1 1.0 2 ")
        );
    }
    assert_eq!(play.ask(a, "PUT x 1"), "");
    assert_eq!(play.cluster.rule_checker.acknowledged_writes, 0);
    let b = play.open("b");
    assert!(play.ask(b, "RESUME").starts_with("ROW follower 1 1."));
    play.pass(0.01);
    assert_eq!(play.cluster.rule_checker.acknowledged_writes, 1);
    assert!(play.status("c").starts_with("follower 1 1.0 2"));
}

#[test]
fn the_named_server_leads_the_next_term_and_the_old_one_follows() {
    let mut play = ClusterHarness::new(1, false);
    let (a, b) = (play.open("a"), play.open("b"));
    play.ask(a, "PUT x 1");
    assert_eq!(play.cluster.request_promotion(play.now, "db", "b", 5), 200);
    assert_eq!(play.cluster.primary("db"), Some("a"));
    play.ask(a, "BEGIN");
    play.pass(0.31);
    assert_eq!(play.cluster.primary("db"), Some("b"));
    assert_eq!(play.ask(b, "PUT x 2"), "COMPLETE +|IDLE I 2.2");
    // The old one goes on, but what it commits reaches nobody.
    assert!(play.status("a").starts_with("leader 1 "));
    assert_eq!(play.ask(a, "PUT x 9"), "COMPLETE +|IDLE T 1.1");
    assert_eq!(play.ask(a, "COMMIT"), "");
    let said = play.pass(1.0);
    assert!(
        said.contains(&ConnectionOutput::Send(
            a,
            "ERROR FAILED the lead was lost\r\nIDLE I 2.2\r\n".to_owned()
        )),
        "{said:?}"
    );
    assert_eq!(play.ask(a, "FETCH x"), "ROW 2|COMPLETE +|IDLE I 2.2");
    assert_eq!(play.cluster.rule_checker.violations(), 0);
}

#[test]
fn a_primary_that_is_told_steps_down_at_once() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    play.ask(a, "BEGIN");
    play.ask(a, "PUT x 1");
    assert_eq!(play.cluster.request_promotion(play.now, "db", "c", 5), 200);
    play.pass(0.31);
    let other = play.open("a");
    assert!(play.ask(other, "STEPDOWN 1").starts_with("ROW leader 1 "));
    assert!(play.ask(other, "STEPDOWN 2").starts_with("ROW follower 2 "));
    assert_eq!(play.ask(a, "PUT y 1"), "ERROR READONLY a|IDLE E 1.0");
    assert_eq!(play.ask(a, "ABORT"), "COMPLETE -|IDLE I 1.0");
}

#[test]
fn only_a_transaction_that_wrote_nothing_ends_well_without_the_lead() {
    let mut play = ClusterHarness::new(1, false);
    let (wrote, read) = (play.open("a"), play.open("a"));
    for conn in [wrote, read] {
        play.ask(conn, "BEGIN");
    }
    play.ask(wrote, "PUT x 1");
    play.ask(read, "FETCH x");
    play.cluster.request_promotion(play.now, "db", "b", 1);
    play.pass(0.31);
    let other = play.open("a");
    play.ask(other, "STEPDOWN 2");
    assert_eq!(play.ask(wrote, "COMMIT"), "ERROR READONLY a|IDLE I 1.0");
    assert_eq!(play.ask(read, "COMMIT"), "COMPLETE +|IDLE I 1.0");
}

#[test]
fn the_platform_refuses_old_fences_and_servers_that_do_not_run() {
    let mut play = ClusterHarness::new(1, true);
    assert_eq!(play.cluster.request_promotion(0.0, "db", "a", 5), 200);
    assert_eq!(play.cluster.request_promotion(0.0, "db", "b", 4), 409);
    assert_eq!(play.cluster.request_promotion(0.0, "nobody", "b", 6), 404);
    play.cluster.crash_server(0.0, "c");
    assert_eq!(play.cluster.request_promotion(0.0, "db", "c", 6), 409);
    play.pass(1.0);
    assert_eq!(play.cluster.primary("db"), Some("a"));
    let mut unfenced = ClusterHarness::new(1, false);
    unfenced.cluster.request_promotion(0.0, "db", "b", 5);
    assert_eq!(unfenced.cluster.request_promotion(0.0, "db", "c", 4), 200);
}

#[test]
fn a_crash_breaks_connections_and_loses_what_was_open() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    play.ask(a, "PUT x 1");
    play.ask(a, "BEGIN");
    play.ask(a, "PUT x 2");
    play.cluster.crash_server(play.now, "a");
    assert_eq!(play.pass(0.0), [ConnectionOutput::Close(a)]);
    assert_eq!(
        (play.cluster.primary("db"), play.cluster.listen_address("a")),
        (None, None)
    );
    assert!(play.cluster.next_heartbeat("a").is_none());
    // Nobody was promoted meanwhile: it leads as before.
    play.cluster.start_server(play.now, "a");
    let a = play.open("a");
    assert_eq!(play.ask(a, "FETCH x"), "ROW 1|COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(a, "PUT x 3"), "COMPLETE +|IDLE I 1.2");
}

#[test]
fn whoever_comes_back_after_a_promote_follows() {
    let mut play = ClusterHarness::new(0, false);
    let a = play.open("a");
    for replica in ["b", "c"] {
        let conn = play.open(replica);
        play.ask(conn, "PAUSE 2");
    }
    play.ask(a, "PUT x old");
    play.cluster.crash_server(play.now, "a");
    play.cluster.request_promotion(play.now, "db", "b", 1);
    play.pass(0.31);
    let b = play.open("b");
    assert_eq!(play.ask(b, "PUT x new"), "COMPLETE +|IDLE I 2.1");
    play.cluster.start_server(play.now, "a");
    let a = play.open("a");
    assert_eq!(play.ask(a, "FETCH x"), "ROW new|COMPLETE +|IDLE I 2.1");
    // Without replicas to wait for, a lost commit breaks no rule.
    assert_eq!(play.cluster.rule_checker.violations(), 0);
}

#[test]
fn the_ledger_sees_a_promote_that_loses_commits() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    let c = play.open("c");
    play.ask(c, "PAUSE 2");
    assert_eq!(play.ask(a, "PUT x 1"), "COMPLETE +|IDLE I 1.1");
    play.cluster.crash_server(play.now, "a");
    play.cluster.request_promotion(play.now, "db", "c", 1);
    play.pass(0.31);
    assert_eq!(
        (
            play.cluster.rule_checker.acknowledged_writes,
            play.cluster.rule_checker.lost_commits
        ),
        (1, 1)
    );
    // What was ahead is cut back.
    assert!(play.status("b").starts_with("follower 2 1.0 "));
}

#[test]
fn the_ledger_sees_a_write_that_comes_twice() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    for _ in 0..2 {
        play.say(a, "same", "PUT x 1");
        play.pass(0.02);
    }
    assert_eq!(
        (
            play.cluster.rule_checker.duplicate_writes,
            play.cluster.rule_checker.violations()
        ),
        (1, 1)
    );
}

#[test]
fn the_ledger_sees_an_old_primary_that_answers() {
    let mut play = ClusterHarness::new(0, false);
    let a = play.open("a");
    play.cluster.request_promotion(play.now, "db", "b", 1);
    play.pass(0.31);
    assert_eq!(play.ask(a, "PUT x 1"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(play.cluster.rule_checker.deposed_commits, 1);
}
