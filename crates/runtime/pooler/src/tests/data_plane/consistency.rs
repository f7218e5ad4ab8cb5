//! Tests of where reads are placed and which position they require there.

use super::harness::{Client, Fault, run_test};
use crate::clock;
use badgerstream_line_protocol::Position;

#[test]
fn bounded_reads_rotate_over_proven_replicas_and_fall_back_to_primary() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "bounded").await;
        // Without a freshness proof the primary is used; its answer is such a proof.
        harness.primary.log.set(5);
        assert!(a.query("a1", "FETCH x").await.ends_with("IDLE I 3.5"));
        // The session that used the primary stays there; another session doesn't.
        assert!(a.query("a2", "FETCH x").await.ends_with("IDLE I 3.5"));
        harness.replicas.iter().for_each(|r| r.log.set(6));
        let mut b = Client::open(harness.front, "bounded").await;
        for id in ["b1", "b2"] {
            assert!(b.query(id, "FETCH x").await.ends_with("IDLE I 3.6"));
        }
        for replica in &harness.replicas {
            assert_eq!(replica.texts(), ["WAITPOS 3.5 FETCH x"]);
        }
        // If one replica lags, the other is used; if both do, the primary.
        harness.replicas[0].inject("FETCH", Fault::Error("LAGGING 3.4"));
        harness.replicas[1].inject("FETCH", Fault::Error("LAGGING 3.4"));
        assert!(b.query("b3", "FETCH x").await.ends_with("IDLE I 3.5"));
        assert!(
            harness
                .replicas
                .iter()
                .all(|r| r.faults.borrow().is_empty())
        );
        // After a broken connection the read is retried at another server.
        let mut c = Client::open(harness.front, "bounded").await;
        harness
            .replicas
            .iter()
            .for_each(|r| r.inject("FETCH", Fault::CloseConnection));
        assert!(c.query("c1", "FETCH x").await.ends_with("IDLE I 3.5"));
    });
}

#[test]
fn read_only_transaction_runs_on_one_replica() {
    run_test(async |harness| {
        harness.data_plane.record_confirmed_position(
            "db",
            clock::now() + 1.0,
            Position { term: 3, number: 2 },
        );
        harness.replicas.iter().for_each(|r| r.log.set(2));
        let mut a = Client::open(harness.front, "house").await;
        assert_eq!(a.query("a1", "BEGIN FETCH").await, "COMPLETE -|IDLE T -");
        for id in ["a2", "a3"] {
            assert_eq!(
                a.query(id, "FETCH x").await,
                format!("ROW r.{id}|COMPLETE s.{id}|IDLE T 3.2")
            );
        }
        assert_eq!(a.query("a4", "COMMIT").await, "COMPLETE s.a4|IDLE I 3.2");
        let texts: Vec<_> = harness.replicas.iter().flat_map(|r| r.texts()).collect();
        assert_eq!(
            texts,
            ["WAITPOS 3.2 BEGIN FETCH", "FETCH x", "FETCH x", "COMMIT"]
        );
        assert!(harness.primary.texts().is_empty());
    });
}

#[test]
fn read_your_writes_requires_position_of_last_write() {
    run_test(async |harness| {
        harness.data_plane.record_confirmed_position(
            "db",
            clock::now() + 1.0,
            Position { term: 3, number: 2 },
        );
        harness.replicas.iter().for_each(|r| r.log.set(9));
        let mut a = Client::open(harness.front, "house").await;
        harness.primary.log.set(6);
        assert_eq!(a.query("a1", "PUT x y").await, "COMPLETE s.a1|IDLE I 3.7");
        // The session stays at the primary. Without a lease it reads from a replica that has its
        // write.
        assert!(a.query("a2", "FETCH x").await.ends_with("IDLE I 3.7"));
        harness.update_view(|view| view.lease_expires_at = 0.0);
        assert!(a.query("a3", "FETCH x").await.ends_with("IDLE I 3.9"));
        let texts: Vec<_> = harness.replicas.iter().flat_map(|r| r.texts()).collect();
        assert_eq!(texts, ["WAITPOS 3.7 FETCH x"]);
    });
}
