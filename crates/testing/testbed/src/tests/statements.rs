//! What one server answers.

use super::ClusterHarness;
use crate::database_cluster::ConnectionOutput;

#[test]
fn reads_writes_and_their_positions() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    assert_eq!(play.ask(a, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    assert_eq!(play.ask(a, "PUT x one two"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(a, "FETCH x"), "ROW one two|COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(a, "SET tz lima"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(
        play.ask(a, "DROP x"),
        "ERROR MALFORMED unknown statement|IDLE I 1.1"
    );
}

#[test]
fn prepared_names_last_until_released_or_reset() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    play.ask(a, "PREPARE w PUT q1");
    play.ask(a, "PREPARE r FETCH q2");
    assert_eq!(play.ask(a, "EXECUTE w x 1"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(a, "EXECUTE r x"), "ROW 1|COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(a, "RELEASE w"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(play.ask(a, "EXECUTE w x 2"), "ERROR UNKNOWN w|IDLE I 1.1");
    assert_eq!(play.ask(a, "RESET"), "COMPLETE -|IDLE I 1.1");
    assert_eq!(play.ask(a, "EXECUTE r x"), "ERROR UNKNOWN r|IDLE I 1.1");
}

#[test]
fn a_transaction_is_kept_whole_or_not_at_all() {
    let mut play = ClusterHarness::new(1, false);
    let (a, b) = (play.open("a"), play.open("a"));
    assert_eq!(play.ask(a, "BEGIN"), "COMPLETE -|IDLE T 1.0");
    assert_eq!(play.ask(a, "PUT x 1"), "COMPLETE +|IDLE T 1.0");
    assert_eq!(play.ask(a, "FETCH x"), "ROW 1|COMPLETE +|IDLE T 1.0");
    assert_eq!(play.ask(b, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    play.ask(a, "PUT y 2");
    assert_eq!(play.ask(a, "COMMIT"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(play.ask(b, "FETCH y"), "ROW 2|COMPLETE +|IDLE I 1.1");
    play.ask(a, "BEGIN");
    play.ask(a, "PUT x 9");
    assert_eq!(play.ask(a, "ABORT"), "COMPLETE -|IDLE I 1.1");
    play.ask(a, "BEGIN");
    play.ask(a, "PUT x 9");
    play.cluster.close_connection(play.now, a);
    assert_eq!(play.ask(b, "FETCH x"), "ROW 1|COMPLETE +|IDLE I 1.1");
    assert_eq!(
        play.ask(b, "COMMIT"),
        "ERROR MALFORMED no transaction|IDLE I 1.1"
    );
}

#[test]
fn a_failed_transaction_takes_only_its_end() {
    let mut play = ClusterHarness::new(1, false);
    let a = play.open("a");
    play.ask(a, "BEGIN");
    play.ask(a, "PUT x 1");
    assert_eq!(
        play.ask(a, "EXECUTE none y"),
        "ERROR UNKNOWN none|IDLE E 1.0"
    );
    assert_eq!(
        play.ask(a, "FETCH x"),
        "ERROR MALFORMED the transaction has failed|IDLE E 1.0"
    );
    assert_eq!(
        play.ask(a, "COMMIT"),
        "ERROR ABORTED the transaction had failed|IDLE I 1.0"
    );
    assert_eq!(play.ask(a, "FETCH x"), "COMPLETE +|IDLE I 1.0");
}

#[test]
fn replicas_read_what_they_have_applied() {
    let mut play = ClusterHarness::new(1, false);
    let (a, b) = (play.open("a"), play.open("b"));
    assert_eq!(play.ask(b, "PUT x 1"), "ERROR READONLY b|IDLE I 1.0");
    assert_eq!(play.ask(b, "BEGIN"), "ERROR READONLY b|IDLE I 1.0");
    play.ask(a, "PUT x 1");
    // Received at once, applied after 60 ms.
    assert!(play.status("b").starts_with("follower 1 1.1 0 "));
    assert_eq!(
        play.ask(b, "WAITPOS 1.1 FETCH x"),
        "ERROR LAGGING b|IDLE I 1.0"
    );
    assert_eq!(play.ask(b, "FETCH x"), "COMPLETE +|IDLE I 1.0");
    play.pass(0.1);
    assert_eq!(
        play.ask(b, "WAITPOS 1.1 FETCH x"),
        "ROW 1|COMPLETE +|IDLE I 1.1"
    );
    assert_eq!(
        play.ask(b, "WAITPOS 1.2 BEGIN FETCH"),
        "ERROR LAGGING b|IDLE I 1.1"
    );
    assert_eq!(
        play.ask(b, "WAITPOS 1.1 BEGIN FETCH"),
        "COMPLETE -|IDLE T 1.1"
    );
    assert_eq!(play.ask(b, "FETCH x"), "ROW 1|COMPLETE +|IDLE T 1.1");
    assert_eq!(play.ask(b, "COMMIT"), "COMPLETE +|IDLE I 1.1");
    assert_eq!(
        play.ask(b, "WAITPOS 1.1 COMMIT"),
        "ERROR MALFORMED WAITPOS goes before reads|IDLE I 1.1"
    );
}

#[test]
fn connections_are_counted_and_meant_for_one_server() {
    let mut play = ClusterHarness::new(1, false);
    assert_eq!(
        play.cluster
            .connect(0.0, "a", "other", "x")
            .unwrap_err()
            .response(),
        "ERROR WRONGNODE a\r\n"
    );
    assert_eq!(
        play.cluster
            .connect(0.0, "a", "db", "x b")
            .unwrap_err()
            .response(),
        "ERROR WRONGNODE a\r\n"
    );
    let conns: Vec<_> = (0..4).map(|_| play.open("a")).collect();
    assert_eq!(
        play.cluster
            .connect(play.now, "a", "db", "x")
            .unwrap_err()
            .response(),
        "ERROR CONNLIMIT a\r\n"
    );
    play.cluster.receive_line(play.now, conns[0], b"BYE");
    assert_eq!(play.pass(0.0), [ConnectionOutput::Close(conns[0])]);
    play.open("a");
}

#[test]
fn slots_are_shared_by_all() {
    let mut play = ClusterHarness::new(0, false);
    let conns: Vec<_> = (0..4).map(|_| play.open("a")).collect();
    for (n, conn) in conns.iter().enumerate() {
        play.say(*conn, &format!("i{n}"), "FETCH x");
    }
    // Two at a time, 4 ms each.
    assert_eq!(play.pass(0.005).len(), 2);
    assert_eq!(play.pass(0.004).len(), 2);
}
