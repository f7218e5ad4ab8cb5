//! Tests of the graceful shutdown of a router.

use super::harness::{Client, Fault, run_test};
use crate::clock;
use crate::data_plane::drain::DrainStage;

#[test]
fn shutdown_closes_idle_sessions_and_aborts_open_transactions() {
    run_test(async |harness| {
        let mut idle = Client::open(harness.front, "lead").await;
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        harness
            .shared_view
            .shutdown_started_at
            .set(Some(clock::now()));
        harness.shared_view.changed.notify_waiters();
        assert_eq!(idle.line().await, None);
        assert_eq!(
            a.line().await.as_deref(),
            Some("ERROR ABORTED the router ends")
        );
        assert_eq!(a.line().await, None);
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        assert_eq!(
            (harness.data_plane.open_work(), harness.primary.writes.get()),
            (0, 0)
        );
    });
}

#[test]
fn shutdown_answers_every_accepted_request() {
    run_test(async |harness| {
        harness.configure(|text| text.replace("\"max_conns\":1", "\"max_conns\":90"));
        harness.data_plane.router_count.set(1);
        let mut held = Client::open(harness.front, "lead").await;
        let mut begun = Client::open(harness.front, "lead").await;
        let mut inside = Client::open(harness.front, "lead").await;
        inside.query("i1", "BEGIN").await;
        inside.query("i2", "PUT x 1").await;
        let mut writer = Client::open(harness.front, "lead").await;
        let mut reader = Client::open(harness.front, "lead").await;
        for text in ["PUT x 2", "PUT x 3", "FETCH x"] {
            harness.primary.inject(text, Fault::NoAnswer);
        }
        // These statements are in flight at the server, which doesn't answer them.
        inside.send("QUERY i3 PUT x 2\r\n").await;
        writer.send("QUERY w1 PUT x 3\r\n").await;
        reader.send("QUERY r1 FETCH x\r\n").await;
        harness
            .primary
            .wait_until(|p| p.faults.borrow().is_empty())
            .await;
        // The following statements wait for a placement, as the lease has ended.
        harness.update_view(|view| view.lease_expires_at = 0.0);
        held.send("QUERY h1 PUT x 4\r\n").await;
        assert_eq!(begun.query("b1", "BEGIN").await, "COMPLETE -|IDLE T -");
        begun.send("QUERY b2 PUT x 5\r\n").await;
        harness
            .shared_view
            .shutdown_started_at
            .set(Some(clock::now()));
        harness.shared_view.changed.notify_waiters();
        assert_eq!(held.answer().await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(begun.answer().await, "ERROR RETRY 200|IDLE E -");
        assert_eq!(
            writer.answer().await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(reader.answer().await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(
            inside.answer().await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert_eq!(held.line().await, None);
        assert_eq!(
            harness
                .primary
                .texts()
                .iter()
                .filter(|t| t.starts_with("PUT x 3"))
                .count(),
            1
        );
    });
}

/// Checks for grace periods of 3 s and 6 s that statements in flight are waited for during the
/// first five sixths, and that their clients get a response before the process exits.
#[test]
fn drain_stages_follow_the_grace_period() {
    for grace in [3.0, 6.0] {
        assert_eq!(
            DrainStage::at(0.3 * grace, grace, true),
            DrainStage::Serving
        );
        assert_eq!(
            DrainStage::at(0.49 * grace, grace, true),
            DrainStage::Serving,
            "open transactions may go on for half of the grace period"
        );
        assert_eq!(
            DrainStage::at(0.51 * grace, grace, true),
            DrainStage::RejectUnplaced
        );
        assert_eq!(
            DrainStage::at(grace * 5.0 / 6.0, grace, true),
            DrainStage::RejectUnplaced
        );
        assert_eq!(
            DrainStage::at(0.87 * grace, grace, false),
            DrainStage::AnswerInFlight
        );
    }
    assert_eq!(
        DrainStage::at(1.9, 6.0, false),
        DrainStage::Serving,
        "the platform still sends connections"
    );
    assert_eq!(DrainStage::at(2.1, 6.0, false), DrainStage::CloseIdle);
    assert_eq!(DrainStage::at(2.1, 6.0, true), DrainStage::Serving);
}

/// A request that arrives after the router has stopped sending statements to servers is rejected.
#[test]
fn late_requests_are_rejected_while_draining() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        let mut b = Client::open(harness.front, "lead").await;
        let mut c = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        c.query("c1", "BEGIN").await;
        harness
            .data_plane
            .sessions
            .borrow()
            .values()
            .for_each(|s| s.drain_stage.set(DrainStage::RejectUnplaced));
        assert_eq!(
            a.query("a3", "COMMIT").await,
            "ERROR ABORTED the router ends|IDLE I -"
        );
        assert_eq!(a.line().await, None);
        assert_eq!(
            c.query("c2", "FETCH x").await,
            "ERROR ABORTED the router ends|IDLE E -"
        );
        assert_eq!(b.query("b1", "PUT x 2").await, "ERROR RETRY 200|IDLE I -");
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        assert_eq!(harness.primary.writes.get(), 0);
    });
}

#[test]
fn commit_waiting_for_lease_is_aborted_by_shutdown() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        harness.update_view(|view| view.lease_expires_at = 0.0);
        a.send("QUERY a3 COMMIT\r\n").await;
        harness
            .shared_view
            .shutdown_started_at
            .set(Some(clock::now()));
        harness.shared_view.changed.notify_waiters();
        assert_eq!(
            a.answer().await,
            "ERROR ABORTED the primary changes|IDLE I -"
        );
        assert_eq!(harness.primary.writes.get(), 0);
    });
}
