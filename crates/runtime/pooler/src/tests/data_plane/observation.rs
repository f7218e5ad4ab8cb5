//! Tests of what can be observed of a router: server health, metrics, and the size of a session.

use super::harness::{Client, Fault, Harness, run_test};
use crate::clock;
use crate::data_plane::client;
use async_executor::LocalExecutor;
use async_io::Async;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// The health reports include replicas: a server that answers routers is up, even if control can't
/// reach it.
#[test]
fn server_health_covers_all_queried_servers_of_a_service() {
    run_test(async |harness| {
        let services = ["db".to_owned()];
        let mut a = Client::open(harness.front, "lead").await;
        a.query("a1", "FETCH x").await;
        let reported = harness.data_plane.server_health(&services, clock::now());
        assert_eq!(
            (
                reported.len(),
                reported[0].server_id.as_str(),
                reported[0].failing_since
            ),
            (1, "i-0", None)
        );
        assert!(reported[0].last_answer_at > 0.0);
        assert!(
            harness
                .data_plane
                .server_health(&["other".to_owned()], clock::now())
                .is_empty()
        );
        let mut b = Client::open(harness.front, "bounded").await;
        b.query("b1", "FETCH x").await;
        let response = harness.data_plane.server_health(&services, clock::now());
        let mut answered: Vec<&str> = response
            .iter()
            .filter(|health| health.last_answer_at > 0.0)
            .map(|health| health.server_id.as_str())
            .collect();
        answered.sort_unstable();
        assert_eq!((answered.len(), answered[0]), (2, "i-0"));
        harness.primary.inject("PUT", Fault::NoAnswer);
        a.send("QUERY a2 PUT x 1\r\n").await;
        harness.primary.wait_until(|p| p.writes.get() == 1).await;
        let now = clock::now();
        let primary = |now: f64| {
            let health = harness
                .data_plane
                .server_health(&services, now)
                .into_iter()
                .find(|health| health.server_id == "i-0");
            health
                .expect("the primary was queried, so its health is known")
                .failing_since
        };
        assert_eq!(primary(now), None);
        assert!(primary(now + 5.0).is_some_and(|since| since <= now));
    });
}

#[test]
fn idle_session_future_is_small() {
    let tasks = Rc::new(LocalExecutor::new());
    let harness = Harness::start(&tasks);
    async_io::block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let stream = Async::<TcpStream>::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let size =
            std::mem::size_of_val(&client::serve(&harness.data_plane, stream, Rc::default()));
        assert!(
            size < 2048,
            "the future of an idle session takes {size} bytes, limit 2048"
        );
    });
}

/// Monitoring relies on the metric names. A router that has served a statement exposes all its
/// metrics.
#[test]
fn router_metric_names_are_stable() {
    run_test(async |harness| {
        let mut client = Client::open(harness.front, "lead").await;
        assert_eq!(
            client.query("a1", "PUT thing").await,
            "COMPLETE s.a1|IDLE I 3.1"
        );
        let metrics = crate::metrics::MetricsServer {
            router: Some(crate::metrics::RouterSource {
                data_plane: harness.data_plane.clone(),
                shared: harness.shared_view.clone(),
            }),
            control: None,
        };
        let outline = crate::tests::metric_names::outline(&metrics.text());
        assert_eq!(outline, include_str!("../fixtures/metrics_router.txt"));
    });
}
