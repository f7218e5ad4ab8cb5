//! The data plane between scripted servers and plain clients on loopback, all on one thread. Nothing sleeps: every
//! wait is for something that is said.

use super::drain::DrainStage;
use super::{DataPlane, DataPlaneLimits, client};
use crate::clock;
use crate::view::{ExpiringGrant, Grant, Server, SharedView};
use async_executor::LocalExecutor;
use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, Position, Request};
use badgerstream_pooler_config::config::Config;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// What a scripted server does with a statement instead of running it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Trick {
    /// It answers this error.
    Error(&'static str),
    /// It runs it and says nothing.
    Silence,
    /// It runs it and breaks off.
    Close,
    /// It runs it, and answers when `release` notifies.
    Late,
}

/// A statement as a server got it.
#[derive(Clone, Debug, PartialEq)]
struct Got {
    conn: usize,
    id: String,
    text: String,
    values: String,
    /// What a prepared name stood for.
    shape: Option<String>,
}

#[derive(Default)]
struct Fake {
    log: Cell<u64>,
    writes: Cell<u64>,
    rolled_back: Cell<usize>,
    conns: Cell<usize>,
    open: Cell<usize>,
    got: RefCell<Vec<Got>>,
    /// The next statement whose text begins so meets a trick.
    tricks: RefCell<Vec<(&'static str, Trick)>>,
    /// All connections are closed when this notifies.
    hang_up: crate::notify::Notify,
    /// Late answers are given when this notifies.
    release: crate::notify::Notify,
    changed: crate::notify::Notify,
}

impl Fake {
    fn start(tasks: &Rc<LocalExecutor<'static>>) -> (Rc<Self>, SocketAddr) {
        let fake = Rc::new(Self::default());
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let (inner, spawn) = (fake.clone(), tasks.clone());
        tasks
            .spawn(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let fake = inner.clone();
                    spawn
                        .spawn(async move {
                            fake.open.set(fake.open.get() + 1);
                            let generation = fake.hang_up.generation();
                            let serve = async { fake.serve(stream).await };
                            let end = async {
                                fake.hang_up.notified_since(generation).await;
                                Some(())
                            };
                            futures_lite::future::or(serve, end).await;
                            fake.open.set(fake.open.get() - 1);
                            fake.changed.notify_waiters();
                        })
                        .detach();
                }
            })
            .detach();
        (fake, at)
    }

    /// Waits for this.
    async fn sees(&self, what: impl Fn(&Self) -> bool) {
        loop {
            let generation = self.changed.generation();
            if what(self) {
                return;
            }
            self.changed.notified_since(generation).await;
        }
    }

    fn texts(&self) -> Vec<String> {
        self.got.borrow().iter().map(|g| g.text.clone()).collect()
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> Option<()> {
        let conn = self.conns.get();
        self.conns.set(conn + 1);
        let mut lines = LineBuffer::default();
        let mut bytes = [0; 1024];
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut prepared: BTreeMap<String, String> = BTreeMap::new();
        let (mut state, mut puts) = ('I', 0);
        loop {
            let Some(line) = lines.next_line().unwrap().map(<[u8]>::to_vec) else {
                let n = stream.read(&mut bytes).await.unwrap_or(0);
                if n == 0 {
                    if state != 'I' {
                        self.rolled_back.set(self.rolled_back.get() + 1);
                    }
                    return None;
                }
                lines.feed(&bytes[..n]);
                continue;
            };
            let (id, text) = match Request::parse(&line).unwrap() {
                Request::Connect { .. } => {
                    stream
                        .write_all(format!("IDLE I 3.{}\r\n", self.log.get()).as_bytes())
                        .await
                        .ok()?;
                    continue;
                }
                Request::Query { id, text } => (id, text),
                Request::Bye => return None,
            };
            let words: Vec<&str> = text.splitn(3, ' ').collect();
            let shape = (words[0] == "EXECUTE").then(|| prepared[words[1]].clone());
            self.got.borrow_mut().push(Got {
                conn,
                id: id.into(),
                text: text.into(),
                values: values.iter().map(|(n, v)| format!("{n}={v};")).collect(),
                shape: shape.clone(),
            });
            self.changed.notify_waiters();
            let trick = {
                let mut tricks = self.tricks.borrow_mut();
                tricks
                    .iter()
                    .position(|(t, _)| text.contains(t))
                    .map(|at| tricks.remove(at).1)
            };
            let mut text = text;
            if let Some(Trick::Error(error)) = trick {
                stream
                    .write_all(
                        format!("ERROR {error}\r\nIDLE {state} 3.{}\r\n", self.log.get())
                            .as_bytes(),
                    )
                    .await
                    .ok()?;
                continue;
            }
            if let Some(rest) = text.strip_prefix("WAITPOS ") {
                let (position, rest) = rest.split_once(' ').unwrap();
                let position: Position = position.parse().unwrap();
                if position.number > self.log.get() {
                    stream
                        .write_all(
                            format!("ERROR LAGGING x\r\nIDLE I 3.{}\r\n", self.log.get())
                                .as_bytes(),
                        )
                        .await
                        .ok()?;
                    continue;
                }
                text = rest;
            }
            let words: Vec<&str> = text.splitn(3, ' ').collect();
            let writes = words[0] == "PUT" || shape.is_some_and(|s| s.starts_with("PUT"));
            let is_read = words[0] == "FETCH" || words[0] == "EXECUTE" && !writes;
            let mut stamp = "-".to_owned();
            let mut row = String::new();
            match words[0] {
                "RESET" => {
                    values.clear();
                    prepared.clear();
                }
                "SET" => drop(values.insert(words[1].into(), words[2].into())),
                "PREPARE" => drop(prepared.insert(words[1].into(), words[2].into())),
                "BEGIN" => state = 'T',
                "ABORT" => {
                    (state, puts) = ('I', 0);
                    self.rolled_back.set(self.rolled_back.get() + 1);
                }
                "COMMIT" => {
                    self.log.set(self.log.get() + u64::from(puts > 0));
                    self.writes.set(self.writes.get() + puts);
                    (state, puts) = ('I', 0);
                    stamp = format!("s.{id}");
                }
                _ if writes => {
                    puts += 1;
                    if state == 'I' {
                        self.log.set(self.log.get() + 1);
                        self.writes.set(self.writes.get() + 1);
                        puts = 0;
                    }
                    stamp = format!("s.{id}");
                }
                _ if is_read => {
                    stamp = format!("s.{id}");
                    row = format!("ROW r.{id}\r\n");
                }
                _ => panic!("{text}"),
            }
            self.changed.notify_waiters();
            match trick {
                Some(Trick::Silence) => continue,
                Some(Trick::Close) => return None,
                Some(Trick::Late) => self.release.notified_since(self.release.generation()).await,
                _ => {}
            }
            let answer = format!(
                "{row}COMPLETE {stamp}\r\nIDLE {state} 3.{}\r\n",
                self.log.get()
            );
            stream.write_all(answer.as_bytes()).await.ok()?;
        }
    }
}

/// A plain client.
struct Client {
    stream: Async<TcpStream>,
    lines: LineBuffer,
}

impl Client {
    async fn open(at: SocketAddr, database: &str) -> Self {
        let mut client = Self::start(at, database).await;
        assert_eq!(client.line().await.as_deref(), Some("IDLE I -"));
        client
    }

    async fn start(at: SocketAddr, database: &str) -> Self {
        let stream = Async::<TcpStream>::connect(at).await.unwrap();
        let mut client = Self {
            stream,
            lines: LineBuffer::default(),
        };
        client.say(&format!("CONNECT {database} u1\r\n")).await;
        client
    }

    async fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// The next line, none at the end.
    async fn line(&mut self) -> Option<String> {
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

    /// The whole answer, its lines joined by `|`.
    async fn ask(&mut self, id: &str, text: &str) -> String {
        self.say(&format!("QUERY {id} {text}\r\n")).await;
        self.answer().await
    }

    async fn answer(&mut self) -> String {
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

/// Two replicas and a primary, and a router before them.
struct Rig {
    shared: SharedView,
    data_plane: Rc<DataPlane>,
    front: SocketAddr,
    primary: Rc<Fake>,
    replicas: [Rc<Fake>; 2],
}

const CONFIG: &str = r#"{"epoch":1,"routes":[
    {"name":"l","authority":"lead","path_prefix":"/","mode":"leader","deadline_ms":60000,"target_ms":20000,"rank":0,"backend":"db","tries":2},
    {"name":"b","authority":"bounded","path_prefix":"/","mode":"bounded_staleness","deadline_ms":60000,"target_ms":20000,"rank":1,"backend":"db","tries":2,"staleness_ms":60000},
    {"name":"h","authority":"house","path_prefix":"/","mode":"in_house","deadline_ms":60000,"target_ms":20000,"rank":1,"backend":"db","tries":2,"staleness_ms":60000},
    {"name":"s","authority":"short","path_prefix":"/","mode":"leader","deadline_ms":60,"target_ms":20,"rank":1,"backend":"db","tries":2}],
    "backends":[{"name":"db","probe":"/health","max_conns":1,"protocol":"h1","tls":false,"sync_replicas":1}],
    "limits":{"txn_idle_ms":60000}}"#;

impl Rig {
    fn start(tasks: &Rc<LocalExecutor<'static>>) -> Self {
        let shared = SharedView::default();
        let fakes: Vec<_> = (0..3).map(|_| Fake::start(tasks)).collect();
        {
            let mut view = shared.view.borrow_mut();
            for (i, (_, endpoint)) in fakes.iter().enumerate() {
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
            view.lease_until = 1e9;
            view.config = Some(Rc::new(Config::read(CONFIG.as_bytes()).unwrap()));
        }
        let free = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let front = free.local_addr().unwrap();
        drop(free);
        let limits = DataPlaneLimits {
            file_limit: 1000,
            name: "edge-1".into(),
            seed: 7,
            grace_s: 0.2,
        };
        let data_plane = DataPlane::start(tasks, shared.clone(), front, limits);
        let mut fakes = fakes.into_iter().map(|(fake, _)| fake);
        let primary = fakes.next().unwrap();
        let replicas = [fakes.next().unwrap(), fakes.next().unwrap()];
        Self {
            shared,
            data_plane,
            front,
            primary,
            replicas,
        }
    }

    /// Changes what the router knows.
    fn tell(&self, change: impl FnOnce(&mut crate::view::View)) {
        change(&mut self.shared.view.borrow_mut());
        self.shared.changed.notify_waiters();
    }

    fn configure(&self, change: impl FnOnce(String) -> String) {
        let config = Config::read(change(CONFIG.to_owned()).as_bytes()).unwrap();
        self.tell(|view| view.config = Some(Rc::new(config)));
    }
}

fn play(test: impl AsyncFnOnce(Rig)) {
    let tasks = Rc::new(LocalExecutor::new());
    let rig = Rig::start(&tasks);
    async_io::block_on(tasks.run(test(rig)));
}

#[test]
fn clients_share_a_connection_and_meet_their_own_values() {
    play(async |rig| {
        let (mut a, mut b) = (
            Client::open(rig.front, "lead").await,
            Client::open(rig.front, "lead").await,
        );
        assert_eq!(a.ask("a1", "SET tz one two").await, "COMPLETE -|IDLE I -");
        assert_eq!(a.ask("a2", "PREPARE s PUT q1").await, "COMPLETE -|IDLE I -");
        assert_eq!(
            b.ask("b1", "PREPARE s FETCH q2").await,
            "COMPLETE -|IDLE I -"
        );
        for round in 0..2 {
            let id = format!("a{}", round + 3);
            let wrote = format!("COMPLETE s.{id}|IDLE I 3.{}", round + 1);
            assert_eq!(a.ask(&id, "EXECUTE s thing data data").await, wrote);
            let id = format!("b{}", round + 3);
            let read = format!("ROW r.{id}|COMPLETE s.{id}|IDLE I 3.{}", round + 1);
            assert_eq!(b.ask(&id, "EXECUTE s thing").await, read);
        }
        let got = rig.primary.got.borrow().clone();
        assert!(got.iter().all(|g| g.conn == 0));
        for g in got.iter().filter(|g| g.id != "-") {
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
        assert_eq!(b.ask("b9", "RELEASE s").await, "COMPLETE -|IDLE I -");
        assert_eq!(
            b.ask("b10", "EXECUTE s thing").await,
            "ERROR UNKNOWN s|IDLE I -"
        );
        assert_eq!(
            b.ask("b11", "WAITPOS 3.1 FETCH a").await,
            "ERROR MALFORMED unknown statement|IDLE I -"
        );
    });
}

#[test]
fn bytes_cut_anywhere_and_several_at_once() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        for byte in "QUERY a1 PUT x y\r\nQUERY a2 FE".chars() {
            a.say(&byte.to_string()).await;
        }
        assert_eq!(a.answer().await, "COMPLETE s.a1|IDLE I 3.1");
        a.say("TCH x\r\nQUERY a3 SET n v\r\nBYE\r\n").await;
        assert_eq!(a.answer().await, "ROW r.a2|COMPLETE s.a2|IDLE I 3.1");
        assert_eq!(a.answer().await, "COMPLETE -|IDLE I -");
        assert_eq!(a.line().await, None);
    });
}

#[test]
fn bounded_reads_rotate_under_a_proof_and_fall_back() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "bounded").await;
        // Nothing is proven yet: the primary answers, and its answer is a proof.
        rig.primary.log.set(5);
        assert!(a.ask("a1", "FETCH x").await.ends_with("IDLE I 3.5"));
        // The session that touched the primary is marked; another isn't.
        assert!(a.ask("a2", "FETCH x").await.ends_with("IDLE I 3.5"));
        rig.replicas.iter().for_each(|r| r.log.set(6));
        let mut b = Client::open(rig.front, "bounded").await;
        for id in ["b1", "b2"] {
            assert!(b.ask(id, "FETCH x").await.ends_with("IDLE I 3.6"));
        }
        for replica in &rig.replicas {
            assert_eq!(replica.texts(), ["WAITPOS 3.5 FETCH x"]);
        }
        // One lags: the other is asked; both: the primary.
        rig.replicas[0]
            .tricks
            .borrow_mut()
            .push(("FETCH", Trick::Error("LAGGING 3.4")));
        rig.replicas[1]
            .tricks
            .borrow_mut()
            .push(("FETCH", Trick::Error("LAGGING 3.4")));
        assert!(b.ask("b3", "FETCH x").await.ends_with("IDLE I 3.5"));
        assert!(rig.replicas.iter().all(|r| r.tricks.borrow().is_empty()));
        // Broken off and failed: asked elsewhere.
        let mut c = Client::open(rig.front, "bounded").await;
        rig.replicas
            .iter()
            .for_each(|r| r.tricks.borrow_mut().push(("FETCH", Trick::Close)));
        assert!(c.ask("c1", "FETCH x").await.ends_with("IDLE I 3.5"));
    });
}

#[test]
fn a_transaction_that_reads_goes_to_a_replica_as_a_whole() {
    play(async |rig| {
        rig.data_plane.record_confirmed_position(
            "db",
            clock::now() + 1.0,
            Position { term: 3, number: 2 },
        );
        rig.replicas.iter().for_each(|r| r.log.set(2));
        let mut a = Client::open(rig.front, "house").await;
        assert_eq!(a.ask("a1", "BEGIN FETCH").await, "COMPLETE -|IDLE T -");
        for id in ["a2", "a3"] {
            assert_eq!(
                a.ask(id, "FETCH x").await,
                format!("ROW r.{id}|COMPLETE s.{id}|IDLE T 3.2")
            );
        }
        assert_eq!(a.ask("a4", "COMMIT").await, "COMPLETE s.a4|IDLE I 3.2");
        let texts: Vec<_> = rig.replicas.iter().flat_map(|r| r.texts()).collect();
        assert_eq!(
            texts,
            ["WAITPOS 3.2 BEGIN FETCH", "FETCH x", "FETCH x", "COMMIT"]
        );
        assert!(rig.primary.texts().is_empty());
    });
}

#[test]
fn in_house_reads_owe_the_sessions_writes() {
    play(async |rig| {
        rig.data_plane.record_confirmed_position(
            "db",
            clock::now() + 1.0,
            Position { term: 3, number: 2 },
        );
        rig.replicas.iter().for_each(|r| r.log.set(9));
        let mut a = Client::open(rig.front, "house").await;
        rig.primary.log.set(6);
        assert_eq!(a.ask("a1", "PUT x y").await, "COMPLETE s.a1|IDLE I 3.7");
        // The marked session reads at the primary, and past its write elsewhere when that is unknown.
        assert!(a.ask("a2", "FETCH x").await.ends_with("IDLE I 3.7"));
        rig.tell(|view| view.lease_until = 0.0);
        assert!(a.ask("a3", "FETCH x").await.ends_with("IDLE I 3.9"));
        let texts: Vec<_> = rig.replicas.iter().flat_map(|r| r.texts()).collect();
        assert_eq!(texts, ["WAITPOS 3.7 FETCH x"]);
    });
}

#[test]
fn transactions_are_pinned_and_end_as_their_client_says() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        assert_eq!(a.ask("a1", "BEGIN").await, "COMPLETE -|IDLE T -");
        // Begun at the server just before its first statement; ended without one, nobody hears of it.
        assert_eq!(a.ask("a2", "ABORT").await, "COMPLETE -|IDLE I -");
        assert!(rig.primary.texts().is_empty());

        a.ask("a3", "BEGIN").await;
        assert_eq!(a.ask("a4", "PUT x 1").await, "COMPLETE s.a4|IDLE T 3.0");
        assert_eq!(a.ask("a5", "SET n v").await, "COMPLETE -|IDLE T -");
        assert_eq!(a.ask("a6", "PUT x 2").await, "COMPLETE s.a6|IDLE T 3.0");
        assert_eq!(a.ask("a7", "COMMIT").await, "COMPLETE s.a7|IDLE I 3.1");
        assert_eq!(rig.primary.writes.get(), 2);
        let got = rig.primary.got.borrow().clone();
        assert_eq!(got.iter().find(|g| g.id == "a6").unwrap().values, "n=v;");

        a.ask("a8", "BEGIN").await;
        a.ask("a9", "PUT x 3").await;
        assert_eq!(a.ask("a10", "ABORT").await, "COMPLETE -|IDLE I -");
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        assert_eq!(rig.primary.writes.get(), 2);
        assert_eq!(rig.primary.conns.get(), 1);
        assert_eq!(
            a.ask("a11", "COMMIT").await,
            "ERROR MALFORMED outside a transaction|IDLE I -"
        );
    });
}

#[test]
fn a_client_that_leaves_midway_is_rolled_back() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        assert_eq!(rig.data_plane.open_work(), 1);
        drop(a);
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        let mut b = Client::open(rig.front, "lead").await;
        assert_eq!(b.ask("b1", "PUT x 2").await, "COMPLETE s.b1|IDLE I 3.1");
        assert_eq!(
            (rig.data_plane.open_work(), rig.data_plane.client_count()),
            (0, 1)
        );
    });
}

#[test]
fn what_was_sent_and_not_answered_is_in_doubt_and_never_sent_again() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        rig.primary.tricks.borrow_mut().push(("PUT", Trick::Close));
        assert_eq!(
            a.ask("a1", "PUT x 1").await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(rig.primary.writes.get(), 1);

        a.ask("a2", "BEGIN").await;
        a.ask("a3", "PUT x 1").await;
        rig.primary
            .tricks
            .borrow_mut()
            .push(("COMMIT", Trick::Close));
        assert_eq!(
            a.ask("a4", "COMMIT").await,
            "ERROR INDOUBT no clear answer to COMMIT|IDLE I -"
        );
        assert_eq!(rig.primary.writes.get(), 2);

        // Silence until the deadline.
        let mut b = Client::open(rig.front, "short").await;
        rig.primary
            .tricks
            .borrow_mut()
            .push(("PUT", Trick::Silence));
        assert_eq!(
            b.ask("b1", "PUT x 1").await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(rig.primary.writes.get(), 3);
        assert_eq!(
            rig.primary
                .texts()
                .iter()
                .filter(|t| t.starts_with("PUT"))
                .count(),
            3
        );
    });
}

#[test]
fn a_transaction_that_loses_its_connection_is_aborted() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        rig.primary.tricks.borrow_mut().push(("PUT", Trick::Close));
        assert_eq!(
            a.ask("a2", "PUT x 1").await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert_eq!(
            a.ask("a3", "PUT x 1").await,
            "ERROR MALFORMED the transaction has failed|IDLE E -"
        );
        assert_eq!(
            a.ask("a4", "COMMIT").await,
            "ERROR ABORTED the transaction had failed|IDLE I -"
        );
        assert_eq!(rig.primary.writes.get(), 0);
    });
}

#[test]
fn what_has_not_run_is_sent_again() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        rig.primary
            .tricks
            .borrow_mut()
            .push(("PUT", Trick::Error("RETRY busy")));
        assert_eq!(a.ask("a1", "PUT x 1").await, "COMPLETE s.a1|IDLE I 3.1");
        a.ask("a2", "BEGIN").await;
        rig.primary
            .tricks
            .borrow_mut()
            .push(("BEGIN", Trick::Error("RETRY busy")));
        assert_eq!(a.ask("a3", "PUT x 1").await, "COMPLETE s.a3|IDLE T 3.1");
        assert_eq!(a.ask("a4", "COMMIT").await, "COMPLETE s.a4|IDLE I 3.2");
        // A failure that has run is the client's to judge.
        rig.primary
            .tricks
            .borrow_mut()
            .push(("PUT", Trick::Error("FAILED no")));
        assert_eq!(a.ask("a5", "PUT x 1").await, "ERROR FAILED no|IDLE I 3.2");
        // A connection that the server has closed at rest is not used.
        rig.primary.hang_up.notify_waiters();
        rig.primary.sees(|p| p.open.get() == 0).await;
        assert_eq!(a.ask("a6", "PUT x 1").await, "COMPLETE s.a6|IDLE I 3.3");
    });
}

#[test]
fn without_the_lease_nothing_reaches_the_primary() {
    play(async |rig| {
        rig.tell(|view| view.lease_until = 0.0);
        let mut a = Client::open(rig.front, "short").await;
        assert_eq!(a.ask("a1", "FETCH x").await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(a.ask("a2", "PUT x 1").await, "ERROR RETRY 200|IDLE I -");
        // Held until the lease is there.
        let mut b = Client::open(rig.front, "lead").await;
        b.say("QUERY b1 PUT x 1\r\n").await;
        assert_eq!(a.ask("a3", "BEGIN").await, "COMPLETE -|IDLE T -");
        assert_eq!(a.ask("a4", "PUT x 1").await, "ERROR RETRY 200|IDLE E -");
        assert_eq!(a.ask("a5", "ABORT").await, "COMPLETE -|IDLE I -");
        assert!(rig.primary.texts().is_empty());
        rig.tell(|view| view.lease_until = 1e9);
        assert_eq!(b.answer().await, "COMPLETE s.b1|IDLE I 3.1");
    });
}

#[test]
fn no_commit_is_sent_to_a_primary_that_is_none_any_more() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        for (round, closing) in [(0, true), (1, false)] {
            a.ask(&format!("a{round}1"), "BEGIN").await;
            a.ask(&format!("a{round}2"), "PUT x 1").await;
            let id = if closing { "i-0" } else { "i-1" };
            rig.tell(|view| {
                view.grants.insert(
                    "db".into(),
                    Grant {
                        server_id: id.into(),
                        primary_term: 4,
                        revoking: closing,
                    },
                );
            });
            let told = a.ask(&format!("a{round}3"), "COMMIT").await;
            assert_eq!(told, "ERROR ABORTED the primary changes|IDLE I -");
            rig.primary.sees(|p| p.rolled_back.get() == round + 1).await;
            rig.tell(|view| {
                view.grants.insert(
                    "db".into(),
                    Grant {
                        server_id: "i-0".into(),
                        primary_term: 3,
                        revoking: false,
                    },
                );
            });
        }
        assert_eq!(rig.primary.writes.get(), 0);
        assert!(!rig.primary.texts().contains(&"COMMIT".to_owned()));
    });
}

#[test]
fn databases_come_and_go_with_the_configuration() {
    play(async |rig| {
        let mut none = Client::start(rig.front, "nobody").await;
        assert_eq!(none.line().await.as_deref(), Some("ERROR NODB nobody"));
        assert_eq!(none.line().await, None);
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        rig.configure(|text| text.replace("\"lead\"", "\"led\""));
        // It binds from the next transaction on.
        assert_eq!(a.ask("a3", "COMMIT").await, "COMPLETE s.a3|IDLE I 3.1");
        assert_eq!(a.ask("a4", "FETCH x").await, "ERROR NODB lead|IDLE I -");
        Client::open(rig.front, "led").await;
    });
}

#[test]
fn a_resting_transaction_is_ended_and_its_client_told() {
    play(async |rig| {
        rig.configure(|text| text.replace("\"txn_idle_ms\":60000", "\"txn_idle_ms\":20"));
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        assert_eq!(
            a.ask("a3", "PUT x 1").await,
            "ERROR ABORTED the transaction was ended|IDLE E -"
        );
        assert_eq!(a.ask("a4", "ABORT").await, "COMPLETE -|IDLE I -");
        assert_eq!(rig.primary.writes.get(), 0);
    });
}

#[test]
fn at_the_end_what_rests_is_closed_and_what_works_is_answered() {
    play(async |rig| {
        let mut idle = Client::open(rig.front, "lead").await;
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        rig.shared.shutdown_started_at.set(Some(clock::now()));
        rig.shared.changed.notify_waiters();
        assert_eq!(idle.line().await, None);
        assert_eq!(
            a.line().await.as_deref(),
            Some("ERROR ABORTED the router ends")
        );
        assert_eq!(a.line().await, None);
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        assert_eq!(
            (rig.data_plane.open_work(), rig.primary.writes.get()),
            (0, 0)
        );
    });
}

#[test]
fn at_the_end_every_request_that_was_taken_is_answered() {
    play(async |rig| {
        rig.configure(|text| text.replace("\"max_conns\":1", "\"max_conns\":90"));
        rig.data_plane.router_count.set(1);
        let mut held = Client::open(rig.front, "lead").await;
        let mut begun = Client::open(rig.front, "lead").await;
        let mut inside = Client::open(rig.front, "lead").await;
        inside.ask("i1", "BEGIN").await;
        inside.ask("i2", "PUT x 1").await;
        let mut writer = Client::open(rig.front, "lead").await;
        let mut reader = Client::open(rig.front, "lead").await;
        for text in ["PUT x 2", "PUT x 3", "FETCH x"] {
            rig.primary.tricks.borrow_mut().push((text, Trick::Silence));
        }
        // At the server, whose answers stay away.
        inside.say("QUERY i3 PUT x 2\r\n").await;
        writer.say("QUERY w1 PUT x 3\r\n").await;
        reader.say("QUERY r1 FETCH x\r\n").await;
        rig.primary.sees(|p| p.tricks.borrow().is_empty()).await;
        // No server is to be had for these.
        rig.tell(|view| view.lease_until = 0.0);
        held.say("QUERY h1 PUT x 4\r\n").await;
        assert_eq!(begun.ask("b1", "BEGIN").await, "COMPLETE -|IDLE T -");
        begun.say("QUERY b2 PUT x 5\r\n").await;
        rig.shared.shutdown_started_at.set(Some(clock::now()));
        rig.shared.changed.notify_waiters();
        assert_eq!(held.answer().await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(begun.answer().await, "ERROR RETRY 200|IDLE E -");
        assert_eq!(
            writer.answer().await,
            "ERROR INDOUBT no clear answer|IDLE I -"
        );
        assert_eq!(reader.answer().await, "ERROR RETRY 200|IDLE I -");
        assert_eq!(
            inside.answer().await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert_eq!(held.line().await, None);
        assert_eq!(
            rig.primary
                .texts()
                .iter()
                .filter(|t| t.starts_with("PUT x 3"))
                .count(),
            1
        );
    });
}

/// The stages of a session's end, for grace periods of six and of three seconds: what is at a server is waited for through the
/// first five sixths, and its last answer leaves before the process does.
#[test]
fn a_session_ends_in_stages() {
    for grace in [3.0, 6.0] {
        assert_eq!(
            DrainStage::at(0.3 * grace, grace, true),
            DrainStage::Serving
        );
        assert_eq!(
            DrainStage::at(0.49 * grace, grace, true),
            DrainStage::Serving,
            "half of it is a transaction's"
        );
        assert_eq!(
            DrainStage::at(0.51 * grace, grace, true),
            DrainStage::RejectUnplaced
        );
        assert_eq!(
            DrainStage::at(grace * 5.0 / 6.0, grace, true),
            DrainStage::RejectUnplaced
        );
        assert_eq!(
            DrainStage::at(0.87 * grace, grace, false),
            DrainStage::AnswerInFlight
        );
    }
    assert_eq!(
        DrainStage::at(1.9, 6.0, false),
        DrainStage::Serving,
        "some connections still come"
    );
    assert_eq!(DrainStage::at(2.1, 6.0, false), DrainStage::CloseIdle);
    assert_eq!(DrainStage::at(2.1, 6.0, true), DrainStage::Serving);
}

/// A statement that is read when its answer may not be waited for any more isn't run.
#[test]
fn what_arrives_at_the_end_is_refused() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        let mut b = Client::open(rig.front, "lead").await;
        let mut c = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        c.ask("c1", "BEGIN").await;
        rig.data_plane
            .sessions
            .borrow()
            .values()
            .for_each(|s| s.drain_stage.set(DrainStage::RejectUnplaced));
        assert_eq!(
            a.ask("a3", "COMMIT").await,
            "ERROR ABORTED the router ends|IDLE I -"
        );
        assert_eq!(a.line().await, None);
        assert_eq!(
            c.ask("c2", "FETCH x").await,
            "ERROR ABORTED the router ends|IDLE E -"
        );
        assert_eq!(b.ask("b1", "PUT x 2").await, "ERROR RETRY 200|IDLE I -");
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        assert_eq!(rig.primary.writes.get(), 0);
    });
}

#[test]
fn a_commit_that_waits_for_the_lease_is_ended_with_the_router() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "BEGIN").await;
        a.ask("a2", "PUT x 1").await;
        rig.tell(|view| view.lease_until = 0.0);
        a.say("QUERY a3 COMMIT\r\n").await;
        rig.shared.shutdown_started_at.set(Some(clock::now()));
        rig.shared.changed.notify_waiters();
        assert_eq!(
            a.answer().await,
            "ERROR ABORTED the primary changes|IDLE I -"
        );
        assert_eq!(rig.primary.writes.get(), 0);
    });
}

/// It tells of the servers that were asked, replicas too: whoever answers here is there, though control may not reach it.
#[test]
fn evidence_tells_of_the_servers_of_a_service() {
    play(async |rig| {
        let services = ["db".to_owned()];
        let mut a = Client::open(rig.front, "lead").await;
        a.ask("a1", "FETCH x").await;
        let well = rig.data_plane.server_health(&services, clock::now());
        assert_eq!(
            (
                well.len(),
                well[0].server_id.as_str(),
                well[0].failing_since
            ),
            (1, "i-0", None)
        );
        assert!(well[0].last_answer_at > 0.0);
        assert!(
            rig.data_plane
                .server_health(&["other".to_owned()], clock::now())
                .is_empty()
        );
        let mut b = Client::open(rig.front, "bounded").await;
        b.ask("b1", "FETCH x").await;
        let told = rig.data_plane.server_health(&services, clock::now());
        let mut answered: Vec<&str> = told
            .iter()
            .filter(|seen| seen.last_answer_at > 0.0)
            .map(|seen| seen.server_id.as_str())
            .collect();
        answered.sort_unstable();
        assert_eq!((answered.len(), answered[0]), (2, "i-0"));
        rig.primary
            .tricks
            .borrow_mut()
            .push(("PUT", Trick::Silence));
        a.say("QUERY a2 PUT x 1\r\n").await;
        rig.primary.sees(|p| p.writes.get() == 1).await;
        let now = clock::now();
        let primary = |now: f64| {
            let seen = rig
                .data_plane
                .server_health(&services, now)
                .into_iter()
                .find(|seen| seen.server_id == "i-0");
            seen.expect("it was asked").failing_since
        };
        assert_eq!(primary(now), None);
        assert!(primary(now + 5.0).is_some_and(|since| since <= now));
    });
}

#[test]
fn a_resting_session_costs_little() {
    let tasks = Rc::new(LocalExecutor::new());
    let rig = Rig::start(&tasks);
    async_io::block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let stream = Async::<TcpStream>::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let size = std::mem::size_of_val(&client::serve(&rig.data_plane, stream, Rc::default()));
        assert!(size < 2048, "{size} bytes");
    });
}

/// Answers are overdue soon, and there are connections enough.
fn impatient(text: String) -> String {
    text.replace("\"target_ms\":20000", "\"target_ms\":40")
        .replace("\"max_conns\":1", "\"max_conns\":90")
}

#[test]
fn a_read_whose_answer_is_lost_is_asked_again_once_others_are_answered() {
    play(async |rig| {
        rig.configure(impatient);
        let began = clock::now();
        let (mut a, mut b) = (
            Client::open(rig.front, "lead").await,
            Client::open(rig.front, "lead").await,
        );
        a.say("QUERY a1 FETCH lost\r\n").await;
        // Twice, each time on another connection.
        rig.primary
            .tricks
            .borrow_mut()
            .extend([("FETCH lost", Trick::Silence); 2]);
        for round in 1..3 {
            rig.primary
                .sees(|p| p.texts().iter().filter(|t| *t == "FETCH lost").count() == round)
                .await;
            assert!(
                b.ask(&format!("b{round}"), "FETCH x")
                    .await
                    .starts_with("ROW")
            );
        }
        assert_eq!(a.answer().await, "ROW r.a1|COMPLETE s.a1|IDLE I 3.0");
        // Well before its deadline, which is a minute away.
        assert!(clock::now() - began < 30.0);
        let got = rig.primary.got.borrow();
        let conns: std::collections::BTreeSet<_> = got
            .iter()
            .filter(|g| g.id == "a1")
            .map(|g| g.conn)
            .collect();
        assert_eq!(conns.len(), 3);
    });
}

#[test]
fn a_write_whose_answer_is_lost_keeps_nobody_waiting_and_is_sent_once() {
    play(async |rig| {
        rig.configure(impatient);
        let mut b = Client::open(rig.front, "lead").await;
        let mut lost = Vec::new();
        let began = clock::now();
        // More than may be in work at once.
        for i in 0..6 {
            let mut a = Client::open(rig.front, "lead").await;
            rig.primary
                .tricks
                .borrow_mut()
                .push(("PUT", Trick::Silence));
            a.say(&format!("QUERY a{i} PUT x 1\r\n")).await;
            rig.primary.sees(|p| p.writes.get() == i + 1).await;
            let id = format!("b{i}");
            assert!(b.ask(&id, "FETCH x").await.starts_with("ROW"));
            lost.push(a);
        }
        let puts = rig
            .primary
            .texts()
            .iter()
            .filter(|t| t.starts_with("PUT"))
            .count();
        assert_eq!(
            (puts, rig.primary.writes.get(), rig.data_plane.open_work()),
            (6, 6, 6)
        );
        assert!(clock::now() - began < 30.0);
    });
}

#[test]
fn a_transaction_that_waits_for_a_lost_answer_is_aborted_early() {
    play(async |rig| {
        rig.configure(impatient);
        let (mut a, mut b) = (
            Client::open(rig.front, "lead").await,
            Client::open(rig.front, "lead").await,
        );
        let began = clock::now();
        a.ask("a1", "BEGIN").await;
        rig.primary
            .tricks
            .borrow_mut()
            .push(("PUT", Trick::Silence));
        a.say("QUERY a2 PUT x 1\r\n").await;
        rig.primary
            .sees(|p| p.got.borrow().iter().any(|g| g.id == "a2"))
            .await;
        assert!(b.ask("b1", "FETCH x").await.starts_with("ROW"));
        assert_eq!(
            a.answer().await,
            "ERROR ABORTED the server was lost|IDLE E -"
        );
        assert!(clock::now() - began < 30.0);
        assert_eq!(a.ask("a3", "ABORT").await, "COMPLETE -|IDLE I -");
        rig.primary.sees(|p| p.rolled_back.get() == 1).await;
        assert_eq!(rig.primary.writes.get(), 0);
    });
}

#[test]
fn who_waits_in_vain_is_told_when_to_come_back_by_the_queue() {
    play(async |rig| {
        rig.configure(|text| text.replace("\"max_conns\":1", "\"max_conns\":90"));
        let mut lost = Vec::new();
        for i in 0..2 {
            let mut a = Client::open(rig.front, "lead").await;
            rig.primary
                .tricks
                .borrow_mut()
                .push(("PUT", Trick::Silence));
            a.say(&format!("QUERY a{i} PUT x 1\r\n")).await;
            rig.primary.sees(|p| p.writes.get() == i + 1).await;
            lost.push(a);
        }
        // Nothing is known of the server's pace, so that it holds until its bound, and says so by the shortest.
        let mut c = Client::open(rig.front, "short").await;
        assert_eq!(c.ask("c1", "PUT x 1").await, "ERROR RETRY 50|IDLE I -");
        assert_eq!(c.ask("c2", "BEGIN").await, "COMPLETE -|IDLE T -");
        // The longer this lasts, the later is it to come back.
        let told = c.ask("c3", "PUT x 1").await;
        assert!(
            told.starts_with("ERROR RETRY ") && told.ends_with("|IDLE E -"),
            "{told}"
        );
        assert_eq!(c.ask("c4", "ABORT").await, "COMPLETE -|IDLE I -");
        assert_eq!(rig.primary.writes.get(), 2);
        // With fewer routers its part is larger.
        rig.data_plane.router_count.set(1);
        rig.configure(impatient);
        let mut d = Client::open(rig.front, "lead").await;
        assert!(d.ask("d1", "FETCH x").await.starts_with("ROW"));
    });
}

#[test]
fn an_own_statement_whose_answer_is_lost_costs_its_connection_only() {
    play(async |rig| {
        rig.configure(impatient);
        let (mut a, mut b) = (
            Client::open(rig.front, "lead").await,
            Client::open(rig.front, "lead").await,
        );
        rig.primary
            .tricks
            .borrow_mut()
            .push(("SET tz", Trick::Silence));
        a.ask("a1", "SET tz here").await;
        a.say("QUERY a2 PUT x 1\r\n").await;
        rig.primary.sees(|p| !p.got.borrow().is_empty()).await;
        assert!(b.ask("b1", "FETCH x").await.starts_with("ROW"));
        assert_eq!(a.answer().await, "COMPLETE s.a2|IDLE I 3.1");
        let got = rig.primary.got.borrow();
        assert!(
            got.iter().all(|g| g.id != "a2" || g.values == "tz=here;"),
            "{got:?}"
        );
    });
}

/// A write whose answer comes once its primary's grant was given back, or has ended, or is another one, isn't acknowledged: the
/// next primary may lack it.
#[test]
fn a_success_that_comes_after_the_grant_is_acknowledged_to_nobody() {
    let changes: [fn(&mut crate::view::View); 4] = [
        |view| view.grants.get_mut("db").unwrap().revoking = true,
        |view| view.lease_until = 0.0,
        |view| view.grants.get_mut("db").unwrap().primary_term = 4,
        |view| view.grants.get_mut("db").unwrap().server_id = "i-1".into(),
    ];
    for change in changes {
        for commit in [false, true] {
            play(async |rig| {
                let mut a = Client::open(rig.front, "lead").await;
                if commit {
                    a.ask("a1", "BEGIN").await;
                    a.ask("a2", "PUT x 1").await;
                }
                let text = if commit { "COMMIT" } else { "PUT x 1" };
                rig.primary.tricks.borrow_mut().push((text, Trick::Late));
                a.say(&format!("QUERY a3 {text}\r\n")).await;
                rig.primary.sees(|f| f.writes.get() == 1).await;
                rig.tell(change);
                rig.primary.release.notify_waiters();
                assert_eq!(
                    a.answer().await,
                    "ERROR INDOUBT the primary changes|IDLE I -"
                );
            });
        }
    }
}

/// The same grant, told anew by another leader of control, is the same.
#[test]
fn a_success_under_the_same_grant_of_another_leader_is_acknowledged() {
    play(async |rig| {
        let mut a = Client::open(rig.front, "lead").await;
        rig.primary.tricks.borrow_mut().push(("PUT", Trick::Late));
        a.say("QUERY a1 PUT x 1\r\n").await;
        rig.primary.sees(|f| f.writes.get() == 1).await;
        rig.tell(|view| {
            let grant = view.grants.remove("db").unwrap();
            view.expiring_grants
                .insert("db".into(), ExpiringGrant { grant, until: 1e9 });
            view.lease_until = f64::NEG_INFINITY;
        });
        rig.primary.release.notify_waiters();
        assert_eq!(a.answer().await, "COMPLETE s.a1|IDLE I 3.1");
    });
}

/// Monitoring systems know the metrics by name: a router that has served a statement prints all of its own.
#[test]
fn a_router_keeps_the_names_of_its_metrics() {
    play(async |rig| {
        let mut client = Client::open(rig.front, "lead").await;
        assert_eq!(
            client.ask("a1", "PUT thing").await,
            "COMPLETE s.a1|IDLE I 3.1"
        );
        let metrics = crate::metrics::MetricsServer {
            router: Some(crate::metrics::RouterSource {
                data_plane: rig.data_plane.clone(),
                shared: rig.shared.clone(),
            }),
            control: None,
        };
        let outline = crate::tests::metric_names::outline(&metrics.text());
        assert_eq!(outline, include_str!("fixtures/metrics_router.txt"));
    });
}
