//! The discovery watch, against a fake discovery server.

use super::{dispatcher, listed, run};
use crate::execute::StatementDispatcher;
use crate::reload::Watches;
use crate::spawn::Tasks;
use badgerstream_routing::NodeStatus;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// Starts a fake discovery server that sends each connection one of these answers, in order, and closes it; the last
/// stays open. Returns its address and the request lines it receives.
fn discovery(answers: Vec<String>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let (address, (sender, requests)) = (listener.local_addr().unwrap(), channel());
    thread::spawn(move || {
        let mut open = Vec::new();
        for answer in answers {
            open.clear();
            let (mut stream, _) = listener.accept().unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap())
                .lines()
                .map_while(Result::ok);
            let _ = sender.send(lines.next().unwrap_or_default());
            while lines.next().is_some_and(|line| !line.is_empty()) {}
            stream.write_all(answer.as_bytes()).unwrap();
            open.push(stream);
        }
        thread::park();
    });
    (address, requests)
}

fn response(lists: &[Value]) -> String {
    let lines: String = lists.iter().map(|list| format!("{list}\n")).collect();
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{lines}\r\n",
        lines.len()
    )
}

/// Watches until the second node drains, and returns the list versions that were requested.
fn watched(answers: Vec<String>) -> Vec<String> {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (tasks, (dispatcher, registry)) = (Tasks::default(), dispatcher(&dials));
    let (address, requests) = discovery(answers);
    let (first_answer, first) = async_channel::bounded(1);
    let _watches = Watches::start(
        tasks.clone(),
        dispatcher.clone(),
        registry,
        address,
        41,
        first_answer,
    );
    let dispatcher: &StatementDispatcher = &dispatcher;
    run(&tasks, async {
        first.recv().await.unwrap();
        while dispatcher.update(|instance, _| instance.nodes[&1].status == NodeStatus::Ready) {
            futures_lite::future::yield_now().await;
        }
        dispatcher.update(|instance, _| assert_eq!(instance.nodes[&0].status, NodeStatus::Ready));
    });
    requests
        .try_iter()
        .map(|line| {
            line.split(['=', ' '])
                .rev()
                .nth(1)
                .unwrap_or_default()
                .to_string()
        })
        .collect()
}

fn draining_list() -> Value {
    json!({"seq": 44, "whole": false, "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:2", "site": "a", "block": 2, "health": "terminating", "born_ms": 0}]})
}

#[test]
fn changes_are_applied() {
    assert_eq!(
        watched(vec![response(&[
            json!({"seq": 43, "whole": false, "hosts": []}),
            draining_list()
        ])]),
        ["41"]
    );
}

#[test]
fn a_watch_that_ends_resumes_at_its_version_and_keeps_the_list() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let garbage = [
        "nonsense\r\n\r\n".to_string(),
        response(&[json!({"seq": 99, "whole": true, "hosts": [7]})]),
    ];
    let answers = [
        &[response(&[listed(43, &dials)])][..],
        &garbage,
        &[response(&[draining_list()])],
    ]
    .concat();
    assert_eq!(watched(answers), ["41", "43", "43", "43"]);
}

#[test]
fn a_change_of_the_discovery_address_loses_no_change() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (tasks, (dispatcher, registry)) = (Tasks::default(), dispatcher(&dials));
    let quiet = || vec![response(&[json!({"seq": 43, "whole": false, "hosts": []})])];
    let ((before, requests_before), (after, requests)) = (
        discovery(quiet()),
        discovery(vec![response(&[draining_list()])]),
    );
    // No server listens at this address: a file may have a wrong address before it has the right one.
    let nowhere = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .unwrap()
        .local_addr()
        .unwrap();
    let (first_answer, first) = async_channel::bounded(1);
    let watches = Watches::start(
        tasks.clone(),
        dispatcher.clone(),
        registry,
        before,
        41,
        first_answer,
    );
    let draining =
        || dispatcher.update(|instance, _| instance.nodes[&1].status == NodeStatus::Draining);
    run(&tasks, async {
        first.recv().await.unwrap();
        for address in [before, nowhere, after] {
            watches.set_address(address);
        }
        while !draining() {
            futures_lite::future::yield_now().await;
        }
    });
    assert!(
        requests.recv().unwrap().contains("index=43"),
        "the new watch continues at the known version"
    );
    assert_eq!(
        requests_before.try_iter().count(),
        1,
        "the old address received no further request"
    );
}
