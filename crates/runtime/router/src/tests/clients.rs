//! Clients' connections from end to end, against a stand-in for a node.

use super::Script::{Answers, Hangs};
use super::{READ, Script, answer, carried, dispatcher, kinds, messages, node, run};
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

/// A router before one stand-in: where it listens, its dispatcher and its descriptors.
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
            "the decisions",
            dispatcher
                .clone()
                .run(carried(tasks, &dispatcher, &pool, &registry)),
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
    tasks.spawn("the listener", accept).detach();
    (address, dispatcher, budget)
}

struct Caller(Async<TcpStream>);

impl Caller {
    /// Connects, with a first query straight behind the startup.
    async fn new(address: SocketAddr, first: &str) -> Caller {
        let mut caller = Caller(Async::<TcpStream>::connect(address).await.unwrap());
        caller.send(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0").await;
        caller.send(&query(first)).await;
        caller
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).await.unwrap();
    }

    /// The messages up to the next `ReadyForQuery`: their types, and the codes of errors.
    async fn heard(&mut self) -> String {
        let mut told = String::new();
        loop {
            let mut head = [0; 5];
            if self.0.read_exact(&mut head).await.is_err() {
                return told + "end";
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            self.0.read_exact(&mut body).await.unwrap();
            told.push(head[0] as char);
            if head[0] == b'E' {
                let code = badgerstream_postgres_protocol::message::error_code(&body).unwrap();
                told += std::str::from_utf8(&code).unwrap();
            }
            if head[0] == b'Z' {
                return told;
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
        assert_eq!(caller.heard().await, "RSSSZ");
        for expected in ["IZ", "TDCZ", "E0A000Z", "TDCZ"] {
            assert_eq!(caller.heard().await, expected);
        }
        caller.send(&messages(&[(b'X', b"")])).await;
        assert_eq!(caller.heard().await, "end");
    });
}

#[test_case("c=any", "c=none", "E42704Z"; "an unknown workload")]
#[test_case("c=any", "c=write", "E42601Z"; "a read as a write")]
#[test_case("cluster=2", "cluster=3", "E42704Z"; "an unknown group")]
#[test_case("d=60000", "d=1", "E53300Z"; "no time for anything")]
#[test_case("t=acme", "t=stranger", "TDCZ"; "a customer without a quota")]
fn a_statement_gets(from: &str, to: &str, expected: &str) {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, &READ.replace(from, to)).await;
        assert_eq!(caller.heard().await, "RSSSZ");
        assert_eq!(caller.heard().await, expected);
    });
}

#[test]
fn a_client_that_leaves_is_told_at_once() {
    let tasks = Tasks::default();
    let (address, dispatcher, budget) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(caller.heard().await, "RSSSZ");
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
fn at_the_end_idle_connections_close_and_no_statement_is_lost() {
    let tasks = Tasks::default();
    let (address, _, budget) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut idle = Caller::new(address, "").await;
        assert_eq!(
            (idle.heard().await, idle.heard().await),
            ("RSSSZ".to_string(), "IZ".to_string())
        );
        budget.close_idle_clients();
        assert_eq!(idle.heard().await, "end");
        // Who still comes is answered, and closed behind the answer.
        let mut late = Caller::new(address, READ).await;
        let heard = late.heard().await;
        assert!(heard == "RSSSZ", "{heard}");
        assert_eq!(late.heard().await, "TDCZ");
        assert_eq!(late.heard().await, "end");
    });
}

#[test]
fn more_clients_than_descriptors_are_all_served() {
    let tasks = Tasks::default();
    // Eight connections, two of them kept for nodes.
    let (address, ..) = router(&tasks, Answers(answer), 32);
    run(&tasks, async {
        let mut kept = Vec::new();
        for _ in 0..40 {
            let mut caller = Caller::new(address, READ).await;
            assert_eq!(caller.heard().await, "RSSSZ");
            assert_eq!(caller.heard().await, "TDCZ");
            kept.push(caller);
        }
    });
}

#[test]
fn a_stranger_ends_only_its_own_connection() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut stranger = Caller(Async::<TcpStream>::connect(address).await.unwrap());
        stranger.send(b"GET / HTTP/1.1\r\n\r\n").await;
        assert_eq!(stranger.heard().await, "E08P01end");
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(caller.heard().await + &caller.heard().await, "RSSSZTDCZ");
    });
}

/// What a caller that sent this hears until its connection ends.
async fn heard_to_the_end(address: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = Caller(Async::<TcpStream>::connect(address).await.unwrap());
    caller.send(bytes).await;
    let mut told = String::new();
    while !told.ends_with("end") {
        told += &caller.heard().await;
    }
    told
}

#[test_case(b"", "end"; "nothing at all")]
#[test_case(b"\0\0\0\x12\0\x03", "end"; "half a startup")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0", "RSSSZend"; "a startup and nothing behind it")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\0\0\0\x40SELECT v", "RSSSZend"; "half a query")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\0\0\0\x05\0Q\0\0", "RSSSZIZend"; "half a second query")]
#[test_case(b"\0\0\0\x12\0\x03\0\0user\0svc\0\0Q\x03\x93\x87\0SEL", "RSSSZE08P01end"; "a query of 60 MB")]
fn who_does_not_ask_is_closed(bytes: &[u8], expected: &str) {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    assert_eq!(run(&tasks, heard_to_the_end(address, bytes)), expected);
}

#[test]
fn who_has_asked_may_stay() {
    let tasks = Tasks::default();
    let (address, ..) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(caller.heard().await + &caller.heard().await, "RSSSZTDCZ");
        // Whoever came at the same time and asked nothing is closed meanwhile.
        assert_eq!(heard_to_the_end(address, b"").await, "end");
        caller.send(&query(READ)).await;
        assert_eq!(caller.heard().await, "TDCZ");
    });
}

#[test]
fn an_id_that_is_open_is_not_taken_again() {
    let tasks = Tasks::default();
    let (address, dispatcher, _) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut first = Caller::new(address, READ).await;
        assert_eq!(first.heard().await, "RSSSZ");
        let out = || dispatcher.update(|instance, _| instance.nodes[&0].in_flight);
        while out() == 0 {
            futures_lite::future::yield_now().await;
        }
        let mut second = Caller::new(address, READ).await;
        assert_eq!(second.heard().await + &second.heard().await, "RSSSZE42710Z");
        assert_eq!(
            (
                out(),
                dispatcher.update(|instance, _| instance.statements.len())
            ),
            (1, 1),
            "the first goes on"
        );
        drop(first);
        while out() > 0 {
            futures_lite::future::yield_now().await;
        }
        // With its statement gone, the id is free.
        second.send(&query(READ)).await;
        while out() == 0 {
            futures_lite::future::yield_now().await;
        }
    });
}

/// A statement of the longest kind that is served.
fn large(id: usize) -> Vec<u8> {
    query(
        &READ
            .replace("id=9b1f", &format!("id={id}"))
            .replace("k = '7f3a'", &format!("k = '{}'", "7".repeat(1 << 16))),
    )
}

#[test]
fn many_large_statements_share_what_memory_there_is() {
    let tasks = Tasks::default();
    // 256 KiB for all that peers send: two of these stand, a third has no place.
    let (address, ..) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut callers = Vec::new();
        for id in 0..4 {
            let mut caller = Caller::new(address, "").await;
            caller.send(&large(id)).await;
            assert_eq!(caller.heard().await + &caller.heard().await, "RSSSZIZ");
            callers.push(caller);
        }
        let last = callers.pop().expect("four");
        let told = futures_lite::future::or(heard_any(&mut callers), async {
            last.0.readable().await.is_ok()
        });
        assert!(told.await);
        let mut caller = Caller::new(
            address,
            &READ.replace("9b1f", "small").replace("d=60000", "d=1"),
        )
        .await;
        assert_eq!(
            caller.heard().await + &caller.heard().await,
            "RSSSZE53300Z",
            "small ones are still taken"
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

/// Flushes ask for nothing and get nothing: a connection that sends them without end is always ready.
#[test]
fn a_flood_on_one_connection_leaves_the_others_their_turns() {
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
            while caller.heard().await != "TDCZ" {}
            caller.send(&query(READ)).await;
        }
    });
}
