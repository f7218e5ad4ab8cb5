//! Client connections from end to end, with a fake node.

use super::Script::{Answers, Hangs};
use super::{READ, Script, answer, dispatcher, executor, kinds, messages, node, run};
use crate::budget::Budget;
use crate::client::NameIndex;
use crate::execute::StatementDispatcher;
use crate::listen::listen;
use crate::spawn::Tasks;
use async_io::Async;
use badgerstream_postgres_protocol::MemoryBudget;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use test_case::test_case;

/// Starts a router with one fake node; returns its address, dispatcher and descriptor budget.
fn router(
    tasks: &Tasks,
    script: Script,
    descriptors: usize,
) -> (SocketAddr, Rc<StatementDispatcher>, Rc<Budget>) {
    let (dispatcher, registry) = dispatcher(&[node(&[script])]);
    let budget = Budget::new(descriptors);
    let pool = super::pool(tasks, &budget);
    tasks
        .spawn(
            "routing",
            dispatcher
                .clone()
                .run(executor(tasks, &dispatcher, &pool, &registry)),
        )
        .detach();
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let names = ["any", "write"].map(str::to_string).to_vec();
    let (names, memory) = (
        Rc::new(NameIndex::new(names, kinds(), Vec::new())),
        MemoryBudget::new(1 << 18),
    );
    let accept = listen(
        listener,
        tasks.clone(),
        dispatcher.clone(),
        names,
        memory,
        budget.clone(),
    );
    tasks.spawn("listener", accept).detach();
    (address, dispatcher, budget)
}

struct Caller(Async<TcpStream>);

impl Caller {
    /// Connects and sends the startup message and a first query at once.
    async fn new(address: SocketAddr, first: &str) -> Caller {
        let mut caller = Caller(Async::<TcpStream>::connect(address).await.unwrap());
        caller.send(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0").await;
        caller.send(&query(first)).await;
        caller
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.unwrap();
    }

    /// Reads messages up to the next `ReadyForQuery`; returns their types, and the SQLSTATE of errors.
    async fn receive(&mut self) -> String {
        let mut received = String::new();
        loop {
            let mut head = [0; 5];
            if self.0.read_exact(&mut head).await.is_err() {
                return received + "end";
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            self.0.read_exact(&mut body).await.unwrap();
            received.push(head[0] as char);
            if head[0] == b'E' {
                let code = badgerstream_postgres_protocol::message::error_code(&body).unwrap();
                received += std::str::from_utf8(&code).unwrap();
            }
            if head[0] == b'Z' {
                return received;
            }
        }
    }
}

fn query(text: &str) -> Vec<u8> {
    messages(&[(b'Q', &[text.as_bytes(), &[0]].concat())])
}

#[test]
fn pipelined_statements_are_answered_in_order() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, "").await;
        caller
            .send(&[query(READ), query("BEGIN"), query(READ)].concat())
            .await;
        assert_eq!(caller.receive().await, "RSSSZ");
        for expected in ["IZ", "TDCZ", "E0A000Z", "TDCZ"] {
            assert_eq!(caller.receive().await, expected);
        }
        caller.send(&messages(&[(b'X', b"")])).await;
        assert_eq!(caller.receive().await, "end");
    });
}

#[test_case("c=any", "c=none", "E42704Z"; "an unknown workload")]
#[test_case("c=any", "c=write", "E42601Z"; "a read with a workload that writes")]
#[test_case("cluster=2", "cluster=3", "E42704Z"; "an unknown group")]
#[test_case("d=60000", "d=1", "E53300Z"; "a wait that is too short")]
#[test_case("t=acme", "t=stranger", "TDCZ"; "a customer without a quota")]
fn a_statement_is_answered_with(from: &str, to: &str, expected: &str) {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, &READ.replace(from, to)).await;
        assert_eq!(caller.receive().await, "RSSSZ");
        assert_eq!(caller.receive().await, expected);
    });
}

#[test]
fn a_disconnect_is_noticed_at_once() {
    let tasks = Tasks::default();
    let (address, dispatcher, budget) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(caller.receive().await, "RSSSZ");
        while dispatcher.update(|instance, _| instance.nodes[&0].in_flight == 0) {
            futures_lite::future::yield_now().await;
        }
        drop(caller);
        while budget.clients() > 0
            || dispatcher.update(|instance, _| instance.nodes[&0].in_flight > 0)
        {
            futures_lite::future::yield_now().await;
        }
        dispatcher.update(|instance, _| assert!(instance.statements.is_empty()));
    });
}

#[test]
fn shutdown_closes_idle_connections_and_loses_no_statement() {
    let tasks = Tasks::default();
    let (address, _, budget) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut idle = Caller::new(address, "").await;
        assert_eq!(
            (idle.receive().await, idle.receive().await),
            ("RSSSZ".to_string(), "IZ".to_string())
        );
        budget.close_idle_clients();
        assert_eq!(idle.receive().await, "end");
        // A client that still connects is answered and then closed.
        let mut late = Caller::new(address, READ).await;
        let heard = late.receive().await;
        assert!(heard == "RSSSZ", "{heard}");
        assert_eq!(late.receive().await, "TDCZ");
        assert_eq!(late.receive().await, "end");
    });
}

#[test]
fn more_clients_than_descriptors_are_all_served() {
    let tasks = Tasks::default();
    // Eight connections, two of which are kept for nodes.
    let (address, ..) = router(&tasks, Answers(answer), 32);
    run(&tasks, async {
        let mut kept = Vec::new();
        for _ in 0..40 {
            let mut caller = Caller::new(address, READ).await;
            assert_eq!(caller.receive().await, "RSSSZ");
            assert_eq!(caller.receive().await, "TDCZ");
            kept.push(caller);
        }
    });
}

#[test]
fn an_invalid_client_ends_only_its_own_connection() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut invalid = Caller(Async::<TcpStream>::connect(address).await.unwrap());
        invalid.send(b"GET / HTTP/1.1\r\n\r\n").await;
        assert_eq!(invalid.receive().await, "E08P01end");
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(
            caller.receive().await + &caller.receive().await,
            "RSSSZTDCZ"
        );
    });
}

/// Sends these bytes and returns the messages received until the connection ends.
async fn received_until_end(address: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = Caller(Async::<TcpStream>::connect(address).await.unwrap());
    caller.send(bytes).await;
    let mut received = String::new();
    while !received.ends_with("end") {
        received += &caller.receive().await;
    }
    received
}

#[test_case(b"", "end"; "no bytes")]
#[test_case(b"\0\0\0\x12\0\x03", "end"; "half a startup")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0", "RSSSZend"; "a startup without a query")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\0\0\0\x40SELECT v", "RSSSZend"; "half a query")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\0\0\0\x05\0Q\0\0", "RSSSZIZend"; "half a second query")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\x03\x93\x87\0SEL", "RSSSZE08P01end"; "a query of 60 MB")]
fn a_client_without_a_complete_message_is_closed(bytes: &[u8], expected: &str) {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    assert_eq!(run(&tasks, received_until_end(address, bytes)), expected);
}

#[test]
fn a_client_that_sent_a_statement_may_stay() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(
            caller.receive().await + &caller.receive().await,
            "RSSSZTDCZ"
        );
        // A client that connected later and sent nothing is closed meanwhile.
        assert_eq!(received_until_end(address, b"").await, "end");
        caller.send(&query(READ)).await;
        assert_eq!(caller.receive().await, "TDCZ");
    });
}

#[test]
fn the_id_of_an_open_statement_is_rejected() {
    let tasks = Tasks::default();
    let (address, dispatcher, _) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut first = Caller::new(address, READ).await;
        assert_eq!(first.receive().await, "RSSSZ");
        let in_flight = || dispatcher.update(|instance, _| instance.nodes[&0].in_flight);
        while in_flight() == 0 {
            futures_lite::future::yield_now().await;
        }
        let mut second = Caller::new(address, READ).await;
        assert_eq!(
            second.receive().await + &second.receive().await,
            "RSSSZE42710Z"
        );
        assert_eq!(
            (
                in_flight(),
                dispatcher.update(|instance, _| instance.statements.len())
            ),
            (1, 1),
            "the first statement continues"
        );
        drop(first);
        while in_flight() > 0 {
            futures_lite::future::yield_now().await;
        }
        // The id is free once its statement is gone.
        second.send(&query(READ)).await;
        while in_flight() == 0 {
            futures_lite::future::yield_now().await;
        }
    });
}

/// A statement with a key of 64 KiB.
fn large(id: usize) -> Vec<u8> {
    query(
        &READ
            .replace("id=9b1f", &format!("id={id}"))
            .replace("k = '7f3a'", &format!("k = '{}'", "7".repeat(1 << 16))),
    )
}

#[test]
fn large_statements_share_the_memory_budget() {
    let tasks = Tasks::default();
    // The budget of 256 KiB has space for two of these statements, but not for a third.
    let (address, ..) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut callers = Vec::new();
        for id in 0..4 {
            let mut caller = Caller::new(address, "").await;
            caller.send(&large(id)).await;
            assert_eq!(caller.receive().await + &caller.receive().await, "RSSSZIZ");
            callers.push(caller);
        }
        let last = callers.pop().expect("four");
        let received = futures_lite::future::or(heard_any(&mut callers), async {
            last.0.readable().await.is_ok()
        });
        assert!(received.await);
        let mut caller = Caller::new(
            address,
            &READ.replace("9b1f", "small").replace("d=60000", "d=1"),
        )
        .await;
        assert_eq!(
            caller.receive().await + &caller.receive().await,
            "RSSSZE53300Z",
            "small statements are still accepted"
        );
    });
}

async fn heard_any(callers: &mut [Caller]) -> bool {
    let mut waits: Vec<_> = callers.iter().map(|c| Box::pin(c.0.readable())).collect();
    std::future::poll_fn(|cx| {
        let any = waits
            .iter_mut()
            .any(|w| std::future::Future::poll(w.as_mut(), cx).is_ready());
        if any {
            std::task::Poll::Ready(true)
        } else {
            std::task::Poll::Pending
        }
    })
    .await
}

/// `Flush` messages need no answer, so a connection that sends them without pause is always ready to read.
#[test]
fn a_flood_on_one_connection_does_not_starve_others() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0")
            .unwrap();
        let piece = messages(&[(b'H', b"")]).repeat(1 << 12);
        while stream.write_all(&piece).is_ok() {}
    });
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        for _ in 0..20 {
            while caller.receive().await != "TDCZ" {}
            caller.send(&query(READ)).await;
        }
    });
}
