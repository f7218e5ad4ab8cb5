//! The databases on sockets: the world with a clock, one task a connection.

use crate::database_cluster::{ConnectionId, ConnectionOutput, DatabaseCluster};
use crate::heartbeats;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use badgerstream_http_codec::encode_response;
use badgerstream_line_protocol::{LineBuffer, Request};
use badgerstream_pooler::clock;
use badgerstream_pooler::net::{self, with_timeout};
use badgerstream_pooler::notify::Notify;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A caller that takes nothing for so many seconds is dropped.
const DARK: f64 = 3.0;

/// The first line of a connection comes within so many seconds.
const BEGIN: f64 = 5.0;

/// The world on sockets.
pub struct ClusterHost {
    /// Its rules.
    pub cluster: RefCell<DatabaseCluster>,
    /// Rings when anything may have changed.
    pub changed: Notify,
    /// The `control` addresses, for beats.
    pub seeds: Vec<SocketAddr>,
    /// Between two beats, in seconds.
    pub heartbeat: f64,
    /// From the acknowledgement that a server drains until its end, in seconds.
    pub drain: f64,
    tasks: Rc<LocalExecutor<'static>>,
    answers: RefCell<HashMap<ConnectionId, Sender<String>>>,
    /// What runs for each server while it runs: its listener and its beats.
    servers: RefCell<HashMap<String, Vec<Task<()>>>>,
}

impl ClusterHost {
    /// Starts all servers. An error says which address can't be had.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        cluster: DatabaseCluster,
        seeds: Vec<SocketAddr>,
        heartbeat: f64,
        drain: f64,
    ) -> Result<Rc<Self>, String> {
        let ids = cluster.ids();
        let cluster_host = Rc::new(Self {
            cluster: RefCell::new(cluster),
            changed: Notify::default(),
            seeds,
            heartbeat,
            drain,
            tasks: tasks.clone(),
            answers: RefCell::default(),
            servers: RefCell::default(),
        });
        for id in ids {
            cluster_host.listen(&id)?;
        }
        tasks.spawn(cluster_host.clone().run()).detach();
        Ok(cluster_host)
    }

    /// Ends a server's process: its address refuses, its connections break.
    pub fn crash(&self, id: &str) {
        self.servers.borrow_mut().remove(id);
        self.cluster.borrow_mut().crash(clock::now(), id);
        self.changed.notify_waiters();
    }

    /// Starts a server that has ended, with what it had.
    pub fn revive(self: &Rc<Self>, id: &str) -> Result<(), String> {
        if self.servers.borrow().contains_key(id) {
            return Ok(());
        }
        self.cluster.borrow_mut().start(clock::now(), id);
        self.changed.notify_waiters();
        self.listen(id)
    }

    /// Plans the end of a server: it says that it drains, and ends when its time has come.
    pub fn retire(self: &Rc<Self>, id: &str) {
        self.cluster.borrow_mut().drain(id);
        self.changed.notify_waiters();
    }

    fn listen(self: &Rc<Self>, id: &str) -> Result<(), String> {
        let Some(at) = self.cluster.borrow().endpoint(id) else {
            return Err(format!("{id}: no such server"));
        };
        let listener = Async::<TcpListener>::bind(at).map_err(|e| format!("{at}: {e}"))?;
        let accept = self
            .tasks
            .spawn(self.clone().accept(id.to_owned(), listener));
        let beat = self
            .tasks
            .spawn(heartbeats::run(self.clone(), id.to_owned()));
        self.servers
            .borrow_mut()
            .insert(id.to_owned(), vec![accept, beat]);
        Ok(())
    }

    /// Lets time pass for the world.
    async fn run(self: Rc<Self>) {
        loop {
            let generation = self.changed.generation();
            let out = self.cluster.borrow_mut().step(clock::now());
            for one in out {
                match one {
                    ConnectionOutput::Send(conn, text) => {
                        if let Some(answer) = self.answers.borrow().get(&conn) {
                            let _ = answer.try_send(text);
                        }
                    }
                    // The connection's task ends when it has taken what was sent before.
                    ConnectionOutput::Close(conn) => drop(self.answers.borrow_mut().remove(&conn)),
                }
            }
            let next = self.cluster.borrow().next();
            let pause = next.map_or(1.0, |at| (at - clock::now()).clamp(0.0, 1.0));
            let wait = async {
                Timer::after(Duration::from_secs_f64(pause)).await;
            };
            future::or(wait, self.changed.notified_since(generation)).await;
        }
    }

    async fn accept(self: Rc<Self>, id: String, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    net::configure(&stream, DARK);
                    self.tasks
                        .spawn(self.clone().connection(id.clone(), stream))
                        .detach();
                }
                Err(_) => {
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, id: String, mut stream: Async<TcpStream>) {
        let mut lines = LineBuffer::default();
        let begun = with_timeout(BEGIN, async {
            line(&mut stream, &mut lines)
                .await
                .ok_or(ErrorKind::UnexpectedEof.into())
        });
        let Ok(first) = begun.await else { return };
        if first.starts_with(b"GET /health") {
            return self.health(&id, &mut stream).await;
        }
        let opened = match Request::parse(&first) {
            Ok(Request::Connect { database, caller }) => {
                self.cluster
                    .borrow_mut()
                    .connect(clock::now(), &id, database, caller)
            }
            _ => Err("ERROR MALFORMED CONNECT comes first\r\n".to_owned()),
        };
        let conn = match opened {
            Ok(conn) => conn,
            Err(answer) => {
                return drop(with_timeout(DARK, stream.write_all(answer.as_bytes())).await);
            }
        };
        let (sender, answers) = async_channel::bounded(4);
        self.answers.borrow_mut().insert(conn, sender);
        self.changed.notify_waiters();
        self.talk(conn, &mut stream, &mut lines, &answers).await;
        self.answers.borrow_mut().remove(&conn);
        self.cluster.borrow_mut().closed(clock::now(), conn);
        self.changed.notify_waiters();
    }

    async fn talk(
        &self,
        conn: ConnectionId,
        stream: &mut Async<TcpStream>,
        lines: &mut LineBuffer,
        answers: &Receiver<String>,
    ) {
        loop {
            let Ok(answer) = answers.recv().await else {
                return;
            };
            if with_timeout(DARK, stream.write_all(answer.as_bytes()))
                .await
                .is_err()
            {
                return;
            }
            let asked = future::or(line(stream, lines), async {
                // Nothing is answered while nothing is asked: this ends with the server's process.
                let _ = answers.recv().await;
                None
            });
            let Some(asked) = asked.await else { return };
            self.cluster.borrow_mut().ask(clock::now(), conn, &asked);
            self.changed.notify_waiters();
        }
    }

    async fn health(&self, id: &str, stream: &mut Async<TcpStream>) {
        let (_, draining) = self.cluster.borrow().tells(id);
        let answer = encode_response(
            if draining { 503 } else { 200 },
            &[("X-Instance-Id", id)],
            b"",
            false,
        );
        let _ = with_timeout(DARK, stream.write_all(&answer)).await;
    }
}

async fn line(stream: &mut Async<TcpStream>, lines: &mut LineBuffer) -> Option<Vec<u8>> {
    let mut bytes = [0; 1024];
    loop {
        if let Some(line) = lines.next_line().ok()? {
            return Some(line.to_vec());
        }
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => lines.feed(&bytes[..count]),
            _ => return None,
        }
    }
}
