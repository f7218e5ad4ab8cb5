//! Tests that primaries are used only with a valid lease and grant.

use super::harness::{Client, Fault, run_test};
use crate::view::{ExpiringGrant, Grant};

#[test]
fn nothing_is_sent_to_primary_without_lease() {
    run_test(async |harness| {
        harness.update_view(|view| view.lease_expires_at = 0.0);
        let mut a = Client::open(harness.front, "short").await;
        assert_eq!(a.query("a1", "FETCH x").await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(a.query("a2", "PUT x 1").await, "ERROR RETRY 200|IDLE I -");
        // The statement waits until there is a lease.
        let mut b = Client::open(harness.front, "lead").await;
        b.send("QUERY b1 PUT x 1\r\n").await;
        assert_eq!(a.query("a3", "BEGIN").await, "COMPLETE -|IDLE T -");
        assert_eq!(a.query("a4", "PUT x 1").await, "ERROR RETRY 200|IDLE E -");
        assert_eq!(a.query("a5", "ABORT").await, "COMPLETE -|IDLE I -");
        assert!(harness.primary.texts().is_empty());
        harness.update_view(|view| view.lease_expires_at = 1e9);
        assert_eq!(b.answer().await, "COMPLETE s.b1|IDLE I 3.1");
    });
}

#[test]
fn commit_is_not_sent_to_former_primary() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        for (attempt, revoking) in [(0, true), (1, false)] {
            a.query(&format!("a{attempt}1"), "BEGIN").await;
            a.query(&format!("a{attempt}2"), "PUT x 1").await;
            let id = if revoking { "i-0" } else { "i-1" };
            harness.update_view(|view| {
                view.grants.insert(
                    "db".into(),
                    Grant {
                        server_id: id.into(),
                        primary_term: 4,
                        revoking,
                    },
                );
            });
            let response = a.query(&format!("a{attempt}3"), "COMMIT").await;
            assert_eq!(response, "ERROR ABORTED the primary changes|IDLE I -");
            harness
                .primary
                .wait_until(|p| p.rolled_back.get() == attempt + 1)
                .await;
            harness.update_view(|view| {
                view.grants.insert(
                    "db".into(),
                    Grant {
                        server_id: "i-0".into(),
                        primary_term: 3,
                        revoking: false,
                    },
                );
            });
        }
        assert_eq!(harness.primary.writes.get(), 0);
        assert!(!harness.primary.texts().contains(&"COMMIT".to_owned()));
    });
}

/// A write is reported as in doubt if its answer arrives after the grant of its primary was
/// revoked, ended or changed: the next primary may not have the write.
#[test]
fn success_after_grant_ended_is_in_doubt() {
    let changes: [fn(&mut crate::view::View); 4] = [
        |view| view.grants.get_mut("db").unwrap().revoking = true,
        |view| view.lease_expires_at = 0.0,
        |view| view.grants.get_mut("db").unwrap().primary_term = 4,
        |view| view.grants.get_mut("db").unwrap().server_id = "i-1".into(),
    ];
    for change in changes {
        for commit in [false, true] {
            run_test(async |harness| {
                let mut a = Client::open(harness.front, "lead").await;
                if commit {
                    a.query("a1", "BEGIN").await;
                    a.query("a2", "PUT x 1").await;
                }
                let text = if commit { "COMMIT" } else { "PUT x 1" };
                harness.primary.inject(text, Fault::DelayedAnswer);
                a.send(&format!("QUERY a3 {text}\r\n")).await;
                harness.primary.wait_until(|f| f.writes.get() == 1).await;
                harness.update_view(change);
                harness.primary.release_answers.notify_waiters();
                assert_eq!(
                    a.answer().await,
                    "ERROR INDOUBT the primary changes|IDLE I -"
                );
            });
        }
    }
}

/// A write is acknowledged if a new leader of the control machines has repeated the same grant.
#[test]
fn success_under_same_grant_of_new_leader_is_acknowledged() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        harness.primary.inject("PUT", Fault::DelayedAnswer);
        a.send("QUERY a1 PUT x 1\r\n").await;
        harness.primary.wait_until(|f| f.writes.get() == 1).await;
        harness.update_view(|view| {
            let grant = view.grants.remove("db").unwrap();
            view.expiring_grants.insert(
                "db".into(),
                ExpiringGrant {
                    grant,
                    expires_at: 1e9,
                },
            );
            view.lease_expires_at = f64::NEG_INFINITY;
        });
        harness.primary.release_answers.notify_waiters();
        assert_eq!(a.answer().await, "COMPLETE s.a1|IDLE I 3.1");
    });
}
