//! Tests of transactions: their connection, their end, and the events that end them early.

use super::harness::{Client, Fault, run_test};

#[test]
fn transaction_keeps_its_connection_until_its_end() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        assert_eq!(a.query("a1", "BEGIN").await, "COMPLETE -|IDLE T -");
        // A transaction begins at the server with its first statement. This one has none, so the
        // server receives nothing.
        assert_eq!(a.query("a2", "ABORT").await, "COMPLETE -|IDLE I -");
        assert!(harness.primary.texts().is_empty());

        a.query("a3", "BEGIN").await;
        assert_eq!(a.query("a4", "PUT x 1").await, "COMPLETE s.a4|IDLE T 3.0");
        assert_eq!(a.query("a5", "SET n v").await, "COMPLETE -|IDLE T -");
        assert_eq!(a.query("a6", "PUT x 2").await, "COMPLETE s.a6|IDLE T 3.0");
        assert_eq!(a.query("a7", "COMMIT").await, "COMPLETE s.a7|IDLE I 3.1");
        assert_eq!(harness.primary.writes.get(), 2);
        let received = harness.primary.received.borrow().clone();
        assert_eq!(
            received.iter().find(|g| g.id == "a6").unwrap().values,
            "n=v;"
        );

        a.query("a8", "BEGIN").await;
        a.query("a9", "PUT x 3").await;
        assert_eq!(a.query("a10", "ABORT").await, "COMPLETE -|IDLE I -");
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        assert_eq!(harness.primary.writes.get(), 2);
        assert_eq!(harness.primary.connections.get(), 1);
        assert_eq!(
            a.query("a11", "COMMIT").await,
            "ERROR MALFORMED outside a transaction|IDLE I -"
        );
    });
}

#[test]
fn transaction_of_disconnected_client_is_rolled_back() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        assert_eq!(harness.data_plane.open_work(), 1);
        drop(a);
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        let mut b = Client::open(harness.front, "lead").await;
        assert_eq!(b.query("b1", "PUT x 2").await, "COMPLETE s.b1|IDLE I 3.1");
        assert_eq!(
            (
                harness.data_plane.open_work(),
                harness.data_plane.client_count()
            ),
            (0, 1)
        );
    });
}

#[test]
fn transaction_aborts_when_its_connection_breaks() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        harness.primary.inject("PUT", Fault::CloseConnection);
        assert_eq!(
            a.query("a2", "PUT x 1").await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert_eq!(
            a.query("a3", "PUT x 1").await,
            "ERROR MALFORMED the transaction has failed|IDLE E -"
        );
        assert_eq!(
            a.query("a4", "COMMIT").await,
            "ERROR ABORTED the transaction had failed|IDLE I -"
        );
        assert_eq!(harness.primary.writes.get(), 0);
    });
}

#[test]
fn idle_transaction_times_out_and_client_is_notified() {
    run_test(async |harness| {
        harness.configure(|text| text.replace("\"txn_idle_ms\":60000", "\"txn_idle_ms\":20"));
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        harness
            .primary
            .wait_until(|p| p.rolled_back.get() == 1)
            .await;
        assert_eq!(
            a.query("a3", "PUT x 1").await,
            "ERROR ABORTED the transaction was ended|IDLE E -"
        );
        assert_eq!(a.query("a4", "ABORT").await, "COMPLETE -|IDLE I -");
        assert_eq!(harness.primary.writes.get(), 0);
    });
}
