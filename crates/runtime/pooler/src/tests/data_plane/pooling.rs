//! Tests of sessions that share connections: session values, requests in fragments, databases.

use super::harness::{Client, run_test};

#[test]
fn sessions_share_a_connection_and_keep_their_own_values() {
    run_test(async |harness| {
        let (mut a, mut b) = (
            Client::open(harness.front, "lead").await,
            Client::open(harness.front, "lead").await,
        );
        assert_eq!(a.query("a1", "SET tz one two").await, "COMPLETE -|IDLE I -");
        assert_eq!(
            a.query("a2", "PREPARE s PUT q1").await,
            "COMPLETE -|IDLE I -"
        );
        assert_eq!(
            b.query("b1", "PREPARE s FETCH q2").await,
            "COMPLETE -|IDLE I -"
        );
        for i in 0..2 {
            let id = format!("a{}", i + 3);
            let wrote = format!("COMPLETE s.{id}|IDLE I 3.{}", i + 1);
            assert_eq!(a.query(&id, "EXECUTE s thing data data").await, wrote);
            let id = format!("b{}", i + 3);
            let read = format!("ROW r.{id}|COMPLETE s.{id}|IDLE I 3.{}", i + 1);
            assert_eq!(b.query(&id, "EXECUTE s thing").await, read);
        }
        let received = harness.primary.received.borrow().clone();
        assert!(received.iter().all(|g| g.connection == 0));
        for g in received.iter().filter(|g| g.id != "-") {
            let (shape, values) = if g.id.starts_with('a') {
                ("PUT q1", "tz=one two;")
            } else {
                ("FETCH q2", "")
            };
            assert_eq!(
                (g.shape.as_deref(), g.values.as_str()),
                (Some(shape), values),
                "{g:?}"
            );
        }
        assert_eq!(b.query("b9", "RELEASE s").await, "COMPLETE -|IDLE I -");
        assert_eq!(
            b.query("b10", "EXECUTE s thing").await,
            "ERROR UNKNOWN s|IDLE I -"
        );
        assert_eq!(
            b.query("b11", "WAITPOS 3.1 FETCH a").await,
            "ERROR MALFORMED unknown statement|IDLE I -"
        );
    });
}

#[test]
fn requests_are_parsed_from_any_fragments() {
    run_test(async |harness| {
        let mut a = Client::open(harness.front, "lead").await;
        for byte in "QUERY a1 PUT x y\r\nQUERY a2 FE".chars() {
            a.send(&byte.to_string()).await;
        }
        assert_eq!(a.answer().await, "COMPLETE s.a1|IDLE I 3.1");
        a.send("TCH x\r\nQUERY a3 SET n v\r\nBYE\r\n").await;
        assert_eq!(a.answer().await, "ROW r.a2|COMPLETE s.a2|IDLE I 3.1");
        assert_eq!(a.answer().await, "COMPLETE -|IDLE I -");
        assert_eq!(a.line().await, None);
    });
}

#[test]
fn databases_follow_the_configuration() {
    run_test(async |harness| {
        let mut none = Client::start(harness.front, "nobody").await;
        assert_eq!(none.line().await.as_deref(), Some("ERROR NODB nobody"));
        assert_eq!(none.line().await, None);
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "BEGIN").await;
        a.query("a2", "PUT x 1").await;
        harness.configure(|text| text.replace("\"lead\"", "\"led\""));
        // A new configuration applies to the next transaction, not to the open one.
        assert_eq!(a.query("a3", "COMMIT").await, "COMPLETE s.a3|IDLE I 3.1");
        assert_eq!(a.query("a4", "FETCH x").await, "ERROR NODB lead|IDLE I -");
        Client::open(harness.front, "led").await;
    });
}
