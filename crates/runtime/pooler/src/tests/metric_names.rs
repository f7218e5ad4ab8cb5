//! Fixtures pin the names, types and labels of metrics, because monitoring systems refer to them.

use crate::clock;
use crate::control::ControlNode;
use crate::metrics::MetricsServer;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_http_codec::encode_request;
use badgerstream_pooler_config::settings::Settings;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Returns one line for each metric: its name, its type, and the names of its labels.
pub(crate) fn outline(text: &str) -> String {
    let mut outline = String::new();
    for metric in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let name = metric.split(' ').next().unwrap_or_default();
        let samples = text.lines().filter_map(|line| line.strip_prefix(name));
        let labels: BTreeSet<&str> = samples
            .filter_map(|rest| rest.split_once('{'))
            .filter(|(suffix, _)| ["", "_total", "_bucket"].contains(suffix))
            .flat_map(|(_, labels)| labels.split('"').step_by(2))
            .filter_map(|part| part.trim_start_matches(',').strip_suffix('='))
            .collect();
        outline += metric;
        for label in labels {
            outline += &format!(" {label}");
        }
        outline.push('\n');
    }
    outline
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is found");
    listener.local_addr().expect("the listener has an address")
}

/// The only control machine is the leader and knows one server, and so one service.
#[test]
fn metric_names_of_a_control_machine_are_stable() {
    let directory = std::env::temp_dir().join(format!(
        "badgerstream-pooler-metrics-{}",
        std::process::id()
    ));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let (peer_address, api_address) = (free_address(), free_address());
    let settings = format!(
        "node_name=n\nrole=r\nip=127.0.0.1\nzone=z\nbootstrap=true\nstate_dir={}\n\
         port_range={},65535\nbind_addrs.control={api_address}\nseeds={api_address}\n",
        directory.display(),
        peer_address.port(),
    );
    let settings = Settings::parse(&settings).expect("valid settings");
    let tasks = Rc::new(LocalExecutor::new());
    let control = ControlNode::start(&tasks, &settings, 7).expect("the machine starts");
    let heartbeat = r#"{"backend":"db","endpoint":"127.0.0.1:1","phase":"ready","call_seq":1}"#;
    let text = async_io::block_on(tasks.run(async {
        let wait = async |what: &str, holds: &dyn Fn() -> bool| {
            let begin = clock::now();
            while !holds() {
                assert!(
                    clock::now() - begin < 10.0,
                    "waited more than 10 s until {what}"
                );
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        wait("the machine is the leader", &|| {
            control.snapshot(clock::now()).is_leader
        })
        .await;
        let mut stream = Async::<TcpStream>::connect(api_address)
            .await
            .expect("the machine accepts connections");
        let headers = [("Connection", "close")];
        let call = encode_request(
            "POST",
            "/api/Members.Heartbeat/i-1",
            "h",
            &headers,
            heartbeat.as_bytes(),
        );
        stream.write_all(&call).await.expect("the call is sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("an answer");
        wait("the machine knows a service", &|| {
            !control.snapshot(clock::now()).primaries_by_phase.is_empty()
        })
        .await;
        let metrics = MetricsServer {
            router: None,
            control: Some(control.clone()),
        };
        metrics.text()
    }));
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
    assert_eq!(outline(&text), include_str!("fixtures/metrics_control.txt"));
}
