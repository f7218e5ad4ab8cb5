//! Clients' connections from end to end, against a stand-in for a node.

use super::Script::{Answers, Hangs};
use super::{READ, Script, answer, carried, desk, kinds, messages, node, run};
use crate::budget::Budget;
use crate::client::Names;
use crate::execute::Router;
use crate::listen::{Clients, listen};
use crate::pool::Pool;
use crate::spawn::Tasks;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use test_case::test_case;

/// A router before one stand-in: where it listens, its desk and its clients.
fn router(tasks: &Tasks, script: Script, descriptors: usize) -> (SocketAddr, Rc<Router>, Rc<Clients>) {
    let (desk, roster) = desk(&[node(&[script])]);
    let budget = Budget::new(descriptors);
    let pool = Pool::new(tasks.clone(), budget.clone(), 60.0, 600.0);
    tasks.spawn("the decisions", desk.clone().run(carried(tasks, &desk, &pool, &roster))).detach();
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let names = ["any", "write"].map(str::to_string).to_vec();
    let (names, clients) = (Rc::new(Names::new(names, kinds(), Vec::new())), Clients::new());
    let accept = listen(listener, tasks.clone(), desk.clone(), names, clients.clone(), pool, budget);
    tasks.spawn("the listener", accept).detach();
    (address, desk, clients)
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

    /// The messages up to the next ReadyForQuery: their types, and the codes of errors.
    async fn heard(&mut self) -> String {
        let mut told = String::new();
        loop {
            let mut head = [0; 5];
            if self.0.read_exact(&mut head).await.is_err() {
                return told + "end";
            }
            let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            self.0.read_exact(&mut body).await.unwrap();
            told.push(head[0] as char);
            if head[0] == b'E' {
                let code = badgerstream_protocol::message::error_code(&body).unwrap();
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
        caller.send(&[query(READ), query("BEGIN"), query(READ)].concat()).await;
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
    let (address, desk, clients) = router(&tasks, Hangs, 1024);
    run(&tasks, async {
        let mut caller = Caller::new(address, READ).await;
        assert_eq!(caller.heard().await, "RSSSZ");
        while desk.tell(|instance, _| instance.nodes[&0].out == 0) {
            futures_lite::future::yield_now().await;
        }
        drop(caller);
        while clients.open() > 0 || desk.tell(|instance, _| instance.nodes[&0].out > 0) {
            futures_lite::future::yield_now().await;
        }
        desk.tell(|instance, _| assert!(instance.statements.is_empty()));
    });
}

#[test]
fn at_the_end_idle_connections_close_and_no_statement_is_lost() {
    let tasks = Tasks::default();
    let (address, _, clients) = router(&tasks, Answers(answer), 1024);
    run(&tasks, async {
        let mut idle = Caller::new(address, "").await;
        assert_eq!((idle.heard().await, idle.heard().await), ("RSSSZ".to_string(), "IZ".to_string()));
        clients.close_all_but_fresh();
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
