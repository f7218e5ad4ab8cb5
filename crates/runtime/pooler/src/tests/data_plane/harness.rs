//! Shared by the tests of the data plane: scripted servers, simple clients, and a router between
//! them.

use crate::data_plane::{DataPlane, DataPlaneLimits};
use crate::notify::Notify;
use crate::view::{Grant, Server, SharedView, View};
use async_executor::LocalExecutor;
use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, Position, Request};
use badgerstream_pooler_config::config::Config;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// A fault that a scripted server applies to a statement.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Fault {
    /// The server answers with this error without running the statement.
    Error(&'static str),
    /// The server runs the statement and doesn't answer.
    NoAnswer,
    /// The server runs the statement and closes the connection without an answer.
    CloseConnection,
    /// The server runs the statement, and answers when `release_answers` notifies.
    DelayedAnswer,
}

/// A statement as a server received it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReceivedStatement {
    /// Number of the connection, in the order in which the server accepted them.
    pub(super) connection: usize,
    pub(super) id: String,
    pub(super) text: String,
    /// The session values when it was received, each as `name=value;`.
    pub(super) values: String,
    /// The text of the prepared statement that it executes, if it is an `EXECUTE`.
    pub(super) shape: Option<String>,
}

/// A database server whose log is a counter, with faults selected by statement text.
#[derive(Default)]
pub(super) struct ScriptedServer {
    /// The number in its log position; the term is always 3.
    pub(super) log: Cell<u64>,
    /// Number of committed writes.
    pub(super) writes: Cell<u64>,
    /// Number of transactions that were rolled back.
    pub(super) rolled_back: Cell<usize>,
    /// Number of accepted connections.
    pub(super) connections: Cell<usize>,
    /// Number of open connections.
    pub(super) open_connections: Cell<usize>,
    pub(super) received: RefCell<Vec<ReceivedStatement>>,
    /// Pending faults: each applies to the next statement whose text contains its string.
    pub(super) faults: RefCell<Vec<(&'static str, Fault)>>,
    /// All connections are closed when this notifies.
    pub(super) close_all: Notify,
    /// Delayed answers are sent when this notifies.
    pub(super) release_answers: Notify,
    changed: Notify,
}

/// One connection of a scripted server.
struct ServerSession {
    connection: usize,
    stream: Async<TcpStream>,
    lines: LineBuffer,
    /// `I` outside a transaction, `T` inside.
    state: char,
    /// Number of writes in the open transaction.
    pending_writes: u64,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

/// The result of a statement that ran.
struct RunResult {
    stamp: String,
    row: String,
}

impl ScriptedServer {
    fn start(tasks: &Rc<LocalExecutor<'static>>) -> (Rc<Self>, SocketAddr) {
        let server = Rc::new(Self::default());
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let (accepting, spawner) = (server.clone(), tasks.clone());
        tasks
            .spawn(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let server = accepting.clone();
                    spawner
                        .spawn(async move { server.serve_until_closed(stream).await })
                        .detach();
                }
            })
            .detach();
        (server, address)
    }

    /// Applies a fault to the next statement whose text contains this.
    pub(super) fn inject(&self, text: &'static str, fault: Fault) {
        self.faults.borrow_mut().push((text, fault));
    }

    /// Waits until the condition holds.
    pub(super) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let generation = self.changed.generation();
            if condition(self) {
                return;
            }
            self.changed.notified_since(generation).await;
        }
    }

    /// Returns the texts of the received statements.
    pub(super) fn texts(&self) -> Vec<String> {
        self.received
            .borrow()
            .iter()
            .map(|statement| statement.text.clone())
            .collect()
    }

    async fn serve_until_closed(&self, stream: Async<TcpStream>) {
        self.open_connections.set(self.open_connections.get() + 1);
        let generation = self.close_all.generation();
        let serve = async { self.serve(stream).await };
        let closed = async {
            self.close_all.notified_since(generation).await;
            Some(())
        };
        futures_lite::future::or(serve, closed).await;
        self.open_connections.set(self.open_connections.get() - 1);
        self.changed.notify_waiters();
    }

    async fn serve(&self, stream: Async<TcpStream>) -> Option<()> {
        let connection = self.connections.get();
        self.connections.set(connection + 1);
        let mut session = ServerSession {
            connection,
            stream,
            lines: LineBuffer::default(),
            state: 'I',
            pending_writes: 0,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        };
        loop {
            let Some(line) = session.next_line().await else {
                if session.state != 'I' {
                    self.rolled_back.set(self.rolled_back.get() + 1);
                }
                return None;
            };
            match Request::parse(&line).unwrap() {
                Request::Connect { .. } => {
                    let greeting = format!("IDLE I 3.{}\r\n", self.log.get());
                    session.send(&greeting).await?;
                }
                Request::Query { id, text } => self.answer(&mut session, id, text).await?,
                Request::Bye => return None,
            }
        }
    }

    /// Runs a statement and answers it, or applies its fault. Returns `None` if the connection is
    /// to be closed.
    async fn answer(&self, session: &mut ServerSession, id: &str, text: &str) -> Option<()> {
        let shape = session.executed_shape(text);
        self.received.borrow_mut().push(ReceivedStatement {
            connection: session.connection,
            id: id.into(),
            text: text.into(),
            values: session
                .values
                .iter()
                .map(|(name, value)| format!("{name}={value};"))
                .collect(),
            shape: shape.clone(),
        });
        self.changed.notify_waiters();
        let fault = self.take_fault(text);
        if let Some(Fault::Error(error)) = fault {
            return session
                .send_error(error, session.state, self.log.get())
                .await;
        }
        let mut text = text;
        if let Some(demand) = text.strip_prefix("WAITPOS ") {
            let (position, statement) = demand.split_once(' ').unwrap();
            let position: Position = position.parse().unwrap();
            if position.number > self.log.get() {
                return session.send_error("LAGGING x", 'I', self.log.get()).await;
            }
            text = statement;
        }
        let ran = self.run(session, id, text, shape);
        self.changed.notify_waiters();
        match fault {
            Some(Fault::NoAnswer) => return Some(()),
            Some(Fault::CloseConnection) => return None,
            Some(Fault::DelayedAnswer) => {
                let generation = self.release_answers.generation();
                self.release_answers.notified_since(generation).await;
            }
            _ => {}
        }
        let answer = format!(
            "{}COMPLETE {}\r\nIDLE {} 3.{}\r\n",
            ran.row,
            ran.stamp,
            session.state,
            self.log.get()
        );
        session.send(&answer).await
    }

    fn take_fault(&self, text: &str) -> Option<Fault> {
        let mut faults = self.faults.borrow_mut();
        faults
            .iter()
            .position(|(part, _)| text.contains(part))
            .map(|index| faults.remove(index).1)
    }

    fn run(
        &self,
        session: &mut ServerSession,
        id: &str,
        text: &str,
        shape: Option<String>,
    ) -> RunResult {
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let is_write = words[0] == "PUT" || shape.is_some_and(|shape| shape.starts_with("PUT"));
        let is_read = words[0] == "FETCH" || words[0] == "EXECUTE" && !is_write;
        let mut ran = RunResult {
            stamp: "-".to_owned(),
            row: String::new(),
        };
        match words[0] {
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
            }
            "SET" => drop(session.values.insert(words[1].into(), words[2].into())),
            "PREPARE" => drop(session.prepared.insert(words[1].into(), words[2].into())),
            "BEGIN" => session.state = 'T',
            "ABORT" => {
                session.end_transaction();
                self.rolled_back.set(self.rolled_back.get() + 1);
            }
            "COMMIT" => {
                let writes = session.end_transaction();
                self.log.set(self.log.get() + u64::from(writes > 0));
                self.writes.set(self.writes.get() + writes);
                ran.stamp = format!("s.{id}");
            }
            _ if is_write => {
                if session.state == 'I' {
                    self.log.set(self.log.get() + 1);
                    self.writes.set(self.writes.get() + 1);
                } else {
                    session.pending_writes += 1;
                }
                ran.stamp = format!("s.{id}");
            }
            _ if is_read => {
                ran.stamp = format!("s.{id}");
                ran.row = format!("ROW r.{id}\r\n");
            }
            _ => panic!("the scripted server does not know the statement {text}"),
        }
        ran
    }
}

impl ServerSession {
    /// Returns the next line; `None` once the connection is closed.
    async fn next_line(&mut self) -> Option<Vec<u8>> {
        let mut bytes = [0; 1024];
        loop {
            if let Some(line) = self.lines.next_line().unwrap() {
                return Some(line.to_vec());
            }
            let n = self.stream.read(&mut bytes).await.unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.lines.feed(&bytes[..n]);
        }
    }

    async fn send(&mut self, lines: &str) -> Option<()> {
        self.stream.write_all(lines.as_bytes()).await.ok()
    }

    async fn send_error(&mut self, error: &str, state: char, log: u64) -> Option<()> {
        let lines = format!("ERROR {error}\r\nIDLE {state} 3.{log}\r\n");
        self.send(&lines).await
    }

    /// Returns the text of the prepared statement that an `EXECUTE` names; `None` for other
    /// statements.
    fn executed_shape(&self, text: &str) -> Option<String> {
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        (words[0] == "EXECUTE").then(|| self.prepared[words[1]].clone())
    }

    /// Ends the transaction and returns the number of its writes.
    fn end_transaction(&mut self) -> u64 {
        self.state = 'I';
        std::mem::take(&mut self.pending_writes)
    }
}

/// A simple client.
pub(super) struct Client {
    stream: Async<TcpStream>,
    lines: LineBuffer,
}

impl Client {
    /// Connects to a database and waits until the router has accepted the connection.
    pub(super) async fn open(router: SocketAddr, database: &str) -> Self {
        let mut client = Self::start(router, database).await;
        assert_eq!(client.line().await.as_deref(), Some("IDLE I -"));
        client
    }

    /// Sends `CONNECT` with a database, without waiting for the response.
    pub(super) async fn start(router: SocketAddr, database: &str) -> Self {
        let stream = Async::<TcpStream>::connect(router).await.unwrap();
        let mut client = Self {
            stream,
            lines: LineBuffer::default(),
        };
        client.send(&format!("CONNECT {database} u1\r\n")).await;
        client
    }

    /// Sends these bytes.
    pub(super) async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Returns the next line; `None` at the end of the stream.
    pub(super) async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(line) = self.lines.next_line().unwrap() {
                return Some(String::from_utf8(line.to_vec()).unwrap());
            }
            let mut bytes = [0; 512];
            let n = self.stream.read(&mut bytes).await.unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.lines.feed(&bytes[..n]);
        }
    }

    /// Sends a statement and returns the complete response, its lines joined by `|`.
    pub(super) async fn query(&mut self, id: &str, text: &str) -> String {
        self.send(&format!("QUERY {id} {text}\r\n")).await;
        self.answer().await
    }

    /// Returns the next complete response, its lines joined by `|`.
    pub(super) async fn answer(&mut self) -> String {
        let mut all = Vec::new();
        while let Some(line) = self.line().await {
            let end = line.starts_with("IDLE");
            all.push(line);
            if end {
                break;
            }
        }
        all.join("|")
    }
}

/// A router with a primary (`i-0`) and two replicas.
pub(super) struct Harness {
    pub(super) shared_view: SharedView,
    pub(super) data_plane: Rc<DataPlane>,
    pub(super) front: SocketAddr,
    pub(super) primary: Rc<ScriptedServer>,
    pub(super) replicas: [Rc<ScriptedServer>; 2],
}

const CONFIG: &str = r#"{"epoch":1,"routes":[
    {"name":"l","authority":"lead","path_prefix":"/","mode":"leader","deadline_ms":60000,"target_ms":20000,"rank":0,"backend":"db","tries":2},
    {"name":"b","authority":"bounded","path_prefix":"/","mode":"bounded_staleness","deadline_ms":60000,"target_ms":20000,"rank":1,"backend":"db","tries":2,"staleness_ms":60000},
    {"name":"h","authority":"house","path_prefix":"/","mode":"in_house","deadline_ms":60000,"target_ms":20000,"rank":1,"backend":"db","tries":2,"staleness_ms":60000},
    {"name":"s","authority":"short","path_prefix":"/","mode":"leader","deadline_ms":60,"target_ms":20,"rank":1,"backend":"db","tries":2}],
    "backends":[{"name":"db","probe":"/health","max_conns":1,"protocol":"h1","tls":false,"sync_replicas":1}],
    "limits":{"txn_idle_ms":60000}}"#;

/// Changes the configuration to a short latency target, so that answers are soon overdue, and to
/// enough connections.
pub(super) fn short_target(config: String) -> String {
    config
        .replace("\"target_ms\":20000", "\"target_ms\":40")
        .replace("\"max_conns\":1", "\"max_conns\":90")
}

impl Harness {
    pub(super) fn start(tasks: &Rc<LocalExecutor<'static>>) -> Self {
        let servers: Vec<_> = (0..3).map(|_| ScriptedServer::start(tasks)).collect();
        let endpoints: Vec<SocketAddr> = servers.iter().map(|(_, endpoint)| *endpoint).collect();
        let shared_view = SharedView::default();
        fill_view(&mut shared_view.view.borrow_mut(), &endpoints);
        let free_port = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let front = free_port.local_addr().unwrap();
        drop(free_port);
        let limits = DataPlaneLimits {
            file_limit: 1000,
            name: "edge-1".into(),
            seed: 7,
            grace_s: 0.2,
        };
        let data_plane = DataPlane::start(tasks, shared_view.clone(), front, limits);
        let mut servers = servers.into_iter().map(|(server, _)| server);
        let primary = servers.next().unwrap();
        let replicas = [servers.next().unwrap(), servers.next().unwrap()];
        Self {
            shared_view,
            data_plane,
            front,
            primary,
            replicas,
        }
    }

    /// Changes the router's view.
    pub(super) fn update_view(&self, update: impl FnOnce(&mut View)) {
        update(&mut self.shared_view.view.borrow_mut());
        self.shared_view.changed.notify_waiters();
    }

    /// Applies a change to the configuration text and puts the result in force.
    pub(super) fn configure(&self, change: impl FnOnce(String) -> String) {
        let config = Config::parse(change(CONFIG.to_owned()).as_bytes()).unwrap();
        self.update_view(|view| view.config = Some(Rc::new(config)));
    }
}

/// Adds servers at these endpoints to the view; the first is primary under a lease that doesn't
/// end.
fn fill_view(view: &mut View, endpoints: &[SocketAddr]) {
    for (i, endpoint) in endpoints.iter().enumerate() {
        let id = format!("i-{i}");
        let server = Server {
            id: id.clone(),
            service: "db".into(),
            endpoint: *endpoint,
            zone: "a".into(),
            slots: 4,
            draining: false,
        };
        view.servers.insert(id, server);
    }
    view.grants.insert(
        "db".into(),
        Grant {
            server_id: "i-0".into(),
            primary_term: 3,
            revoking: false,
        },
    );
    view.lease_expires_at = 1e9;
    view.config = Some(Rc::new(Config::parse(CONFIG.as_bytes()).unwrap()));
}

/// Runs a test against a new router.
pub(super) fn run_test(test: impl AsyncFnOnce(Harness)) {
    let tasks = Rc::new(LocalExecutor::new());
    let harness = Harness::start(&tasks);
    async_io::block_on(tasks.run(test(harness)));
}
