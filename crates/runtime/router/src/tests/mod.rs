//! Shared by the router's tests: a dispatcher with one group of nodes, and fake nodes that listen on free ports.

mod clients;
mod decide;
mod nodes;
mod parts;
mod returning;
mod watch;

use crate::budget::Budget;
use crate::decide::{Clock, Dispatcher, Order};
use crate::execute::StatementDispatcher;
use crate::pool::Pool;
use crate::restart_pacing::RestartPacing;
use crate::spawn::Tasks;
use crate::watch::NodeRegistry;
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_postgres_protocol::message::{self, put};
use badgerstream_postgres_protocol::{MemoryBudget, RingBuffer};
use badgerstream_routing::{
    Consistency, ExecutionOutcome, Instance, PolicyLimits, Repeat, Workload,
};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;

pub(crate) const READ: &str =
    "SELECT v FROM records WHERE k = '7f3a' /* id=9b1f,c=any,t=acme,d=60000,cluster=2 */";

/// Two workloads: reads that any node answers, and writes that only the primary executes.
pub(crate) fn kinds() -> Vec<Workload> {
    let any = Workload {
        slo: 30.0,
        timeout: 60.0,
        importance: 1.0,
        late_value: 0.5,
        repeat: Repeat::Idempotent,
        consistency: Consistency::Loose,
        ..Workload::default()
    };
    vec![
        any,
        Workload {
            consistency: Consistency::Primary,
            repeat: Repeat::NonIdempotent,
            ..any
        },
    ]
}

/// A complete list of nodes of group 2 with these addresses; the first is the primary.
pub(crate) fn listed(seq: u64, dials: &[SocketAddr]) -> Value {
    let host = |(i, dial): (usize, &SocketAddr)| {
        json!({"host": format!("s-{i}"), "dial": dial.to_string(), "site": "a", "block": 2,
               "health": "in_service", "born_ms": 0, "rank": if i == 0 { "source" } else { "copy" }})
    };
    json!({"seq": seq, "whole": true, "hosts": dials.iter().enumerate().map(host).collect::<Vec<_>>()})
}

pub(crate) fn instance() -> Instance {
    let limits = PolicyLimits {
        max_executions: 8,
        hedging: true,
        cancellation: true,
        ..PolicyLimits::default()
    };
    Instance::new(
        7,
        1,
        kinds(),
        Vec::new(),
        Default::default(),
        Default::default(),
        Default::default(),
        Default::default(),
        limits,
    )
}

pub(crate) fn dispatcher<S: 'static, A: 'static>(
    dials: &[SocketAddr],
) -> (Rc<Dispatcher<S, A>>, Rc<NodeRegistry>) {
    let (mut born, clock, registry) = (
        instance(),
        Clock::new(),
        NodeRegistry::new(vec!["a".to_string()]),
    );
    registry
        .apply_list(&mut born, clock.now(), &listed(1, dials))
        .unwrap();
    (Dispatcher::new(born, clock), registry)
}

/// A pool with timeouts so long that no result depends on the speed of the machine.
pub(crate) fn pool(tasks: &Tasks, budget: &Rc<Budget>) -> Rc<Pool> {
    Pool::new(
        tasks.clone(),
        budget.clone(),
        MemoryBudget::new(usize::MAX),
        RestartPacing::disabled(),
        60.0,
        600.0,
    )
}

/// The same with restart pacing.
pub(crate) fn paced_pool(tasks: &Tasks, restart_pacing: RestartPacing) -> Rc<Pool> {
    Pool::new(
        tasks.clone(),
        Budget::new(1024),
        MemoryBudget::new(usize::MAX),
        restart_pacing,
        60.0,
        600.0,
    )
}

/// Settles once and returns the orders.
pub(crate) fn settled<S: 'static, A: 'static>(dispatcher: &Rc<Dispatcher<S, A>>) -> Vec<Order<S>> {
    let orders = RefCell::new(Vec::new());
    dispatcher.settle(&|order| {
        orders.borrow_mut().push(order);
    });
    orders.into_inner()
}

pub(crate) fn run<T>(tasks: &Tasks, work: impl Future<Output = T>) -> T {
    async_io::block_on(tasks.run(work))
}

pub(crate) fn statement() -> Statement {
    Statement::parse(READ).unwrap()
}

/// The outcome of the first execution of a statement, as recorded by the instance.
pub(crate) fn ended<S: 'static, A: 'static>(
    dispatcher: &Dispatcher<S, A>,
) -> Option<ExecutionOutcome> {
    dispatcher.update(|instance, _| {
        instance
            .statements
            .values()
            .next()
            .and_then(|s| s.executions[0].outcome)
    })
}

/// Returns a function that executes orders against the fake nodes.
pub(crate) fn executor(
    tasks: &Tasks,
    dispatcher: &Rc<StatementDispatcher>,
    pool: &Rc<Pool>,
    registry: &Rc<NodeRegistry>,
) -> impl Fn(Order<Statement>) + use<> {
    let (tasks, dispatcher, pool, registry) = (
        tasks.clone(),
        dispatcher.clone(),
        pool.clone(),
        registry.clone(),
    );
    move |order| {
        let work =
            crate::execute::run_order(dispatcher.clone(), pool.clone(), registry.clone(), order);
        tasks.spawn("statement execution", work).detach();
    }
}

/// Starts a fake node with one script for each connection, in order; the last applies to all further ones.
pub(crate) fn node(scripts: &[Script]) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let (address, mut scripts) = (
        listener.local_addr().unwrap(),
        VecDeque::from(scripts.to_vec()),
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = if scripts.len() > 1 {
                scripts.pop_front()
            } else {
                scripts.front().copied()
            };
            thread::spawn(move || play(stream, script.unwrap()));
        }
    });
    address
}

#[derive(Clone, Copy)]
pub(crate) enum Script {
    /// Answers each query with these bytes and goes on.
    Answers(fn() -> Vec<u8>),
    /// The same, a moment later.
    AnswersLate(fn() -> Vec<u8>),
    /// Answers one query with these bytes and closes the connection.
    AnswersOnce(fn() -> Vec<u8>),
    /// Answers the startup message with these bytes and closes the connection.
    Greets(fn() -> Vec<u8>),
    /// Reads and never answers.
    Hangs,
}

fn play(mut stream: TcpStream, script: Script) {
    let mut input = RingBuffer::new(message::MAX_MESSAGE_BYTES);
    while input.len() < 8 {
        if !read_more(&mut stream, &mut input) {
            return;
        }
    }
    let head = input.take(4);
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    input.skip(length - 4);
    if let Script::Greets(greeting) = script {
        stream.write_all(&greeting()).unwrap();
        return;
    }
    let _ = stream.write_all(&messages(&[(b'R', &[0; 4]), (b'Z', b"I")]));
    loop {
        while let Ok(None) = message::next(&mut input) {
            if !read_more(&mut stream, &mut input) {
                return;
            }
        }
        match script {
            Script::Answers(answer) => stream.write_all(&answer()).unwrap_or_default(),
            Script::AnswersLate(answer) => {
                thread::sleep(std::time::Duration::from_millis(100));
                stream.write_all(&answer()).unwrap_or_default();
            }
            Script::AnswersOnce(answer) => return stream.write_all(&answer()).unwrap_or_default(),
            Script::Greets(_) | Script::Hangs => {}
        }
    }
}

fn read_more(stream: &mut TcpStream, input: &mut RingBuffer) -> bool {
    let count = stream.read(input.room()).unwrap_or(0);
    input.filled(count);
    count > 0
}

pub(crate) fn messages(parts: &[(u8, &[u8])]) -> Vec<u8> {
    let mut ring = RingBuffer::new(message::MAX_MESSAGE_BYTES);
    parts
        .iter()
        .for_each(|(kind, body)| put(&mut ring, *kind, &[body]));
    let length = ring.len();
    ring.take(length)
}

const ROW_DESCRIPTION: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

pub(crate) fn row() -> Vec<u8> {
    messages(&[
        (b'T', ROW_DESCRIPTION),
        (b'D', b"\0\x01\0\0\0\x01v"),
        (b'C', b"SELECT 1\0"),
    ])
}

pub(crate) fn answer() -> Vec<u8> {
    [row(), messages(&[(b'S', b"rank\0copy\0"), (b'Z', b"I")])].concat()
}

pub(crate) fn error(code: &str) -> Vec<u8> {
    messages(&[
        (b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
        (b'Z', b"I"),
    ])
}
