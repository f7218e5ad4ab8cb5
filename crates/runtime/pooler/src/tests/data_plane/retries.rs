//! Tests of which statements are retried and which are reported as in doubt.

use super::harness::{Client, Fault, run_test, short_target};

#[test]
fn unanswered_write_is_in_doubt_and_never_retried() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        harness.primary.inject("PUT", Fault::CloseConnection);
        assert_eq!(
            a.query("a1", "PUT x 1").await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(harness.primary.writes.get(), 1);

        a.query("a2", "BEGIN").await;
        a.query("a3", "PUT x 1").await;
        harness.primary.inject("COMMIT", Fault::CloseConnection);
        assert_eq!(
            a.query("a4", "COMMIT").await,
            "ERROR INDOUBT no clear answer to COMMIT|IDLE I -"
        );
        assert_eq!(harness.primary.writes.get(), 2);

        // The server doesn't answer before the deadline.
        let mut b = Client::open(harness.front, "short").await;
        harness.primary.inject("PUT", Fault::NoAnswer);
        assert_eq!(
            b.query("b1", "PUT x 1").await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(harness.primary.writes.get(), 3);
        assert_eq!(
            harness
                .primary
                .texts()
                .iter()
                .filter(|t| t.starts_with("PUT"))
                .count(),
            3
        );
    });
}

#[test]
fn statement_that_has_not_run_is_retried() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        harness.primary.inject("PUT", Fault::Error("RETRY busy"));
        assert_eq!(a.query("a1", "PUT x 1").await, "COMPLETE s.a1|IDLE I 3.1");
        a.query("a2", "BEGIN").await;
        harness.primary.inject("BEGIN", Fault::Error("RETRY busy"));
        assert_eq!(a.query("a3", "PUT x 1").await, "COMPLETE s.a3|IDLE T 3.1");
        assert_eq!(a.query("a4", "COMMIT").await, "COMPLETE s.a4|IDLE I 3.2");
        // The error of a statement that ran and failed is forwarded; the statement isn't retried.
        harness.primary.inject("PUT", Fault::Error("FAILED no"));
        assert_eq!(a.query("a5", "PUT x 1").await, "ERROR FAILED no|IDLE I 3.2");
        // An idle connection that the server has closed isn't used again.
        harness.primary.close_all.notify_waiters();
        harness
            .primary
            .wait_until(|p| p.open_connections.get() == 0)
            .await;
        assert_eq!(a.query("a6", "PUT x 1").await, "COMPLETE s.a6|IDLE I 3.3");
    });
}

#[test]
fn retry_delay_follows_queue_and_refusals() {
    run_test(async |harness| {
        harness.configure(|text| text.replace("\"max_conns\":1", "\"max_conns\":90"));
        let mut lost = Vec::new();
        for i in 0..2 {
            let mut a = Client::open(harness.front, "lead").await;
            harness.primary.inject("PUT", Fault::NoAnswer);
            a.send(&format!("QUERY a{i} PUT x 1\r\n")).await;
            harness
                .primary
                .wait_until(|p| p.writes.get() == i + 1)
                .await;
            lost.push(a);
        }
        // Without a known latency the wait can't be estimated: the statement waits as long as its
        // deadline allows, and then gets the minimum retry delay.
        let mut c = Client::open(harness.front, "short").await;
        assert_eq!(c.query("c1", "PUT x 1").await, "ERROR RETRY 50|IDLE I -");
        assert_eq!(c.query("c2", "BEGIN").await, "COMPLETE -|IDLE T -");
        // The retry delay grows with the streak of refusals.
        let response = c.query("c3", "PUT x 1").await;
        assert!(
            response.starts_with("ERROR RETRY ") && response.ends_with("|IDLE E -"),
            "{response}"
        );
        assert_eq!(c.query("c4", "ABORT").await, "COMPLETE -|IDLE I -");
        assert_eq!(harness.primary.writes.get(), 2);
        // With fewer routers the quota of this router is larger.
        harness.data_plane.router_count.set(1);
        harness.configure(short_target);
        let mut d = Client::open(harness.front, "lead").await;
        assert!(d.query("d1", "FETCH x").await.starts_with("ROW"));
    });
}
