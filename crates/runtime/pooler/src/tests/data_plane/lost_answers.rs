//! Tests with answers that are lost while the connection stays open.

use super::harness::{Client, Fault, run_test, short_target};
use crate::clock;

#[test]
fn read_with_lost_answer_is_hedged_once_others_are_answered() {
    run_test(async |harness| {
        harness.configure(short_target);
        let began = clock::now();
        let (mut a, mut b) = (
            Client::open(harness.front, "lead").await,
            Client::open(harness.front, "lead").await,
        );
        a.send("QUERY a1 FETCH lost\r\n").await;
        // The answer is lost twice, each time on another connection.
        harness
            .primary
            .faults
            .borrow_mut()
            .extend([("FETCH lost", Fault::NoAnswer); 2]);
        for sent in 1..3 {
            harness
                .primary
                .wait_until(|p| p.texts().iter().filter(|t| *t == "FETCH lost").count() == sent)
                .await;
            assert!(
                b.query(&format!("b{sent}"), "FETCH x")
                    .await
                    .starts_with("ROW")
            );
        }
        assert_eq!(a.answer().await, "ROW r.a1|COMPLETE s.a1|IDLE I 3.0");
        // The answer came well before the deadline of one minute.
        assert!(clock::now() - began < 30.0);
        let received = harness.primary.received.borrow();
        let connections: std::collections::BTreeSet<_> = received
            .iter()
            .filter(|g| g.id == "a1")
            .map(|g| g.connection)
            .collect();
        assert_eq!(connections.len(), 3);
    });
}

#[test]
fn write_with_lost_answer_is_sent_once_and_blocks_no_other_statement() {
    run_test(async |harness| {
        harness.configure(short_target);
        let mut b = Client::open(harness.front, "lead").await;
        let mut lost = Vec::new();
        let began = clock::now();
        // These are more statements than may be in flight at the same time.
        for i in 0..6 {
            let mut a = Client::open(harness.front, "lead").await;
            harness.primary.inject("PUT", Fault::NoAnswer);
            a.send(&format!("QUERY a{i} PUT x 1\r\n")).await;
            harness
                .primary
                .wait_until(|p| p.writes.get() == i + 1)
                .await;
            let id = format!("b{i}");
            assert!(b.query(&id, "FETCH x").await.starts_with("ROW"));
            lost.push(a);
        }
        let puts = harness
            .primary
            .texts()
            .iter()
            .filter(|t| t.starts_with("PUT"))
            .count();
        assert_eq!(
            (
                puts,
                harness.primary.writes.get(),
                harness.data_plane.open_work()
            ),
            (6, 6, 6)
        );
        assert!(clock::now() - began < 30.0);
    });
}

#[test]
fn transaction_with_lost_answer_aborts_early() {
    run_test(async |harness| {
        harness.configure(short_target);
        let (mut a, mut b) = (
            Client::open(harness.front, "lead").await,
            Client::open(harness.front, "lead").await,
        );
        let began = clock::now();
        a.query("a1", "BEGIN").await;
        harness.primary.inject("PUT", Fault::NoAnswer);
        a.send("QUERY a2 PUT x 1\r\n").await;
        harness
            .primary
            .wait_until(|p| p.received.borrow().iter().any(|g| g.id == "a2"))
            .await;
        assert!(b.query("b1", "FETCH x").await.starts_with("ROW"));
        assert_eq!(
            a.answer().await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert!(clock::now() - began < 30.0);
        assert_eq!(a.query("a3", "ABORT").await, "COMPLETE -|IDLE I -");
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        assert_eq!(harness.primary.writes.get(), 0);
    });
}

#[test]
fn lost_answer_to_internal_statement_replaces_only_its_connection() {
    run_test(async |harness| {
        harness.configure(short_target);
        let (mut a, mut b) = (
            Client::open(harness.front, "lead").await,
            Client::open(harness.front, "lead").await,
        );
        harness.primary.inject("SET tz", Fault::NoAnswer);
        a.query("a1", "SET tz here").await;
        a.send("QUERY a2 PUT x 1\r\n").await;
        harness
            .primary
            .wait_until(|p| !p.received.borrow().is_empty())
            .await;
        assert!(b.query("b1", "FETCH x").await.starts_with("ROW"));
        assert_eq!(a.answer().await, "COMPLETE s.a2|IDLE I 3.1");
        let received = harness.primary.received.borrow();
        assert!(
            received
                .iter()
                .all(|g| g.id != "a2" || g.values == "tz=here;"),
            "{received:?}"
        );
    });
}
