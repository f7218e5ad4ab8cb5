//! The watch, against a stand-in for discovery.

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

/// Gives each connection one of these answers, in their order, and closes it; the last stays open. Tells what
/// was asked for.
fn discovery(answers: Vec<String>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let (address, (tell, asked)) = (listener.local_addr().unwrap(), channel());
    thread::spawn(move || {
        let mut open = Vec::new();
        for answer in answers {
            open.clear();
            let (mut stream, _) = listener.accept().unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap())
                .lines()
                .map_while(Result::ok);
            let _ = tell.send(lines.next().unwrap_or_default());
            while lines.next().is_some_and(|line| !line.is_empty()) {}
            stream.write_all(answer.as_bytes()).unwrap();
            open.push(stream);
        }
        thread::park();
    });
    (address, asked)
}

fn told(lists: &[Value]) -> String {
    let lines: String = lists.iter().map(|list| format!("{list}\n")).collect();
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{lines}\r\n",
        lines.len()
    )
}

/// Watches until the second node drains.
fn watched(answers: Vec<String>) -> Vec<String> {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (tasks, (dispatcher, registry)) = (Tasks::default(), dispatcher(&dials));
    let (address, asked) = discovery(answers);
    let (heard, first) = async_channel::bounded(1);
    let _watches = Watches::start(
        tasks.clone(),
        dispatcher.clone(),
        registry,
        address,
        41,
        heard,
    );
    let dispatcher: &StatementDispatcher = &dispatcher;
    run(&tasks, async {
        first.recv().await.unwrap();
        while dispatcher.update(|instance, _| instance.nodes[&1].status == NodeStatus::Ready) {
            futures_lite::future::yield_now().await;
        }
        dispatcher.update(|instance, _| assert_eq!(instance.nodes[&0].status, NodeStatus::Ready));
    });
    asked
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

fn drains() -> Value {
    json!({"seq": 44, "whole": false, "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:2", "site": "a", "block": 2, "health": "terminating", "born_ms": 0}]})
}

#[test]
fn changes_are_followed() {
    assert_eq!(
        watched(vec![told(&[
            json!({"seq": 43, "whole": false, "hosts": []}),
            drains()
        ])]),
        ["41"]
    );
}

#[test]
fn a_watch_that_ends_is_resumed_by_its_version_and_the_list_stays() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let garbage = [
        "nonsense\r\n\r\n".to_string(),
        told(&[json!({"seq": 99, "whole": true, "hosts": [7]})]),
    ];
    let answers = [
        &[told(&[listed(43, &dials)])][..],
        &garbage,
        &[told(&[drains()])],
    ]
    .concat();
    assert_eq!(watched(answers), ["41", "43", "43", "43"]);
}

#[test]
fn a_watch_that_moves_leaves_no_gap() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (tasks, (dispatcher, registry)) = (Tasks::default(), dispatcher(&dials));
    let quiet = || vec![told(&[json!({"seq": 43, "whole": false, "hosts": []})])];
    let ((before, asked_before), (after, asked)) =
        (discovery(quiet()), discovery(vec![told(&[drains()])]));
    // Nobody listens there any more: a file may name a wrong address before it names the right one.
    let nowhere = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .unwrap()
        .local_addr()
        .unwrap();
    let (heard, first) = async_channel::bounded(1);
    let watches = Watches::start(
        tasks.clone(),
        dispatcher.clone(),
        registry,
        before,
        41,
        heard,
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
        asked.recv().unwrap().contains("index=43"),
        "it goes on from the version that is known"
    );
    assert_eq!(
        asked_before.try_iter().count(),
        1,
        "the old address was not asked again"
    );
}
