//! Serves the simulated database servers on sockets: a listener task and a heartbeat task for each
//! server, and a task for each connection.
//!
//! [`ClusterHost`] owns the [`DatabaseCluster`] and passes it the time and the received lines; the
//! cluster decides on the responses. All tasks run on one thread and share the cluster in a
//! `RefCell`: no borrow may be held across an `await`.

use crate::database_cluster::{ConnectionId, ConnectionOutput, DatabaseCluster};
use crate::heartbeats::{HeartbeatEnd, HeartbeatSender, HeartbeatSettings};
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
use thiserror::Error;

/// Timeout for writing to a connection; the connection is closed after it.
const WRITE_TIMEOUT_S: f64 = 3.0;

/// Deadline for the first line of a connection.
const FIRST_LINE_TIMEOUT_S: f64 = 5.0;

/// Delay between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time between two steps of the cluster.
const MAX_STEP_INTERVAL_S: f64 = 1.0;

/// The error that a listener can't be bound to an address.
#[derive(Debug, Error)]
#[error("can't listen at {address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// The reason why a database server can't be started.
#[derive(Debug, Error)]
pub enum StartServerError {
    /// No server has this id.
    #[error("{0}: no such server")]
    UnknownServer(String),
    /// The server can't listen at its address, e.g. because the address is in use.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Binds a listener to an address.
pub fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ListenError> {
    Async::<TcpListener>::bind(address).map_err(|source| ListenError { address, source })
}

/// Serves a cluster on sockets.
pub struct ClusterHost {
    /// The cluster. Code that changes it must notify [`ClusterHost::changed`].
    pub cluster: Rc<RefCell<DatabaseCluster>>,
    /// Notified whenever the cluster may have changed.
    pub changed: Rc<Notify>,
    heartbeat_settings: Rc<HeartbeatSettings>,
    executor: Rc<LocalExecutor<'static>>,
    /// For each connection, the channel that passes responses to its task. Removing an entry closes
    /// the connection.
    responses: RefCell<HashMap<ConnectionId, Sender<String>>>,
    /// For each running server, its listener task and its heartbeat task. Removing an entry cancels
    /// both.
    server_tasks: RefCell<HashMap<String, Vec<Task<()>>>>,
}

impl ClusterHost {
    /// Starts all servers of a cluster; an error contains the address that can't be bound.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        cluster: DatabaseCluster,
        heartbeat_settings: HeartbeatSettings,
    ) -> Result<Rc<Self>, StartServerError> {
        let server_ids = cluster.server_ids();
        let host = Rc::new(Self {
            cluster: Rc::new(RefCell::new(cluster)),
            changed: Rc::default(),
            heartbeat_settings: Rc::new(heartbeat_settings),
            executor: executor.clone(),
            responses: RefCell::default(),
            server_tasks: RefCell::default(),
        });
        for id in server_ids {
            host.start_server_tasks(&id)?;
        }
        executor.spawn(host.clone().run_cluster()).detach();
        Ok(host)
    }

    /// Simulates the end of a server's process: its address refuses connections, and its open
    /// connections are closed.
    pub fn crash_server(&self, id: &str) {
        self.server_tasks.borrow_mut().remove(id);
        self.cluster.borrow_mut().crash_server(clock::now(), id);
        self.changed.notify_waiters();
    }

    /// Restarts a crashed server with its former log; does nothing if the server runs.
    pub fn restart_server(self: &Rc<Self>, id: &str) -> Result<(), StartServerError> {
        if self.server_tasks.borrow().contains_key(id) {
            return Ok(());
        }
        self.cluster.borrow_mut().start_server(clock::now(), id);
        self.changed.notify_waiters();
        self.start_server_tasks(id)
    }

    /// Begins the graceful shutdown of a server: its heartbeats announce that it drains, and it
    /// ends after the drain time.
    pub fn drain_server(&self, id: &str) {
        self.cluster.borrow_mut().drain_server(id);
        self.changed.notify_waiters();
    }

    fn start_server_tasks(self: &Rc<Self>, id: &str) -> Result<(), StartServerError> {
        let address = self.cluster.borrow().listen_address(id);
        let address = address.ok_or_else(|| StartServerError::UnknownServer(id.to_owned()))?;
        let accept = self
            .clone()
            .accept_connections(id.to_owned(), listen(address)?);
        let heartbeats = self.clone().send_heartbeats(id.to_owned());
        let tasks = vec![self.executor.spawn(accept), self.executor.spawn(heartbeats)];
        self.server_tasks.borrow_mut().insert(id.to_owned(), tasks);
        Ok(())
    }

    async fn send_heartbeats(self: Rc<Self>, id: String) {
        let sender = HeartbeatSender {
            cluster: self.cluster.clone(),
            changed: self.changed.clone(),
            settings: self.heartbeat_settings.clone(),
            server_id: id.clone(),
        };
        if sender.run().await == HeartbeatEnd::Drained {
            // This cancels the current task, so no code may follow.
            self.crash_server(&id);
        }
    }

    /// Steps the cluster whenever an event is due or the cluster has changed, and passes its output
    /// to the connections' tasks.
    async fn run_cluster(self: Rc<Self>) {
        loop {
            let generation = self.changed.generation();
            let outputs = self.cluster.borrow_mut().step(clock::now());
            for output in outputs {
                match output {
                    ConnectionOutput::Send(connection, text) => {
                        if let Some(responses) = self.responses.borrow().get(&connection) {
                            let _ = responses.try_send(text);
                        }
                    }
                    // The connection's task first writes what is already in the channel.
                    ConnectionOutput::Close(connection) => {
                        self.responses.borrow_mut().remove(&connection);
                    }
                }
            }
            let due_at_s = self.cluster.borrow().next_step_at_s();
            let wait_s = due_at_s.map_or(MAX_STEP_INTERVAL_S, |due| {
                (due - clock::now()).clamp(0.0, MAX_STEP_INTERVAL_S)
            });
            let due = async {
                Timer::after(Duration::from_secs_f64(wait_s)).await;
            };
            future::or(due, self.changed.notified_since(generation)).await;
        }
    }

    async fn accept_connections(self: Rc<Self>, id: String, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    net::try_set_options(&stream, WRITE_TIMEOUT_S);
                    let connection = self.clone().serve_connection(id.clone(), stream);
                    self.executor.spawn(connection).detach();
                }
                Err(_) => {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection from its first line to its end: a health check, or a session.
    async fn serve_connection(self: Rc<Self>, id: String, mut stream: Async<TcpStream>) {
        let mut lines = LineBuffer::default();
        let first_line = with_timeout(FIRST_LINE_TIMEOUT_S, async {
            read_line(&mut stream, &mut lines)
                .await
                .ok_or(ErrorKind::UnexpectedEof.into())
        });
        let Ok(first_line) = first_line.await else {
            return;
        };
        if first_line.starts_with(b"GET /health") {
            return self.answer_health_check(&id, &mut stream).await;
        }
        let connection = match self.open_session(&id, &first_line) {
            Ok(connection) => connection,
            Err(response) => {
                let write = stream.write_all(response.as_bytes());
                let _ = with_timeout(WRITE_TIMEOUT_S, write).await;
                return;
            }
        };
        let (sender, responses) = async_channel::bounded(4);
        self.responses.borrow_mut().insert(connection, sender);
        self.changed.notify_waiters();
        self.serve_session(connection, &mut stream, &mut lines, &responses)
            .await;
        self.responses.borrow_mut().remove(&connection);
        self.cluster
            .borrow_mut()
            .close_connection(clock::now(), connection);
        self.changed.notify_waiters();
    }

    /// Returns the id of the session's connection, or the line that rejects the session.
    fn open_session(&self, id: &str, first_line: &[u8]) -> Result<ConnectionId, String> {
        match Request::parse(first_line) {
            Ok(Request::Connect { database, caller }) => self
                .cluster
                .borrow_mut()
                .connect(clock::now(), id, database, caller)
                .map_err(|rejection| rejection.response()),
            _ => Err("ERROR MALFORMED CONNECT comes first\r\n".to_owned()),
        }
    }

    /// Writes a response and reads a request in turn until either side closes the connection.
    async fn serve_session(
        &self,
        connection: ConnectionId,
        stream: &mut Async<TcpStream>,
        lines: &mut LineBuffer,
        responses: &Receiver<String>,
    ) {
        while let Ok(response) = responses.recv().await {
            let write = stream.write_all(response.as_bytes());
            if with_timeout(WRITE_TIMEOUT_S, write).await.is_err() {
                return;
            }
            let request = future::or(read_line(stream, lines), async {
                // The cluster sends nothing between requests, so this completes only when the
                // cluster closes the connection, e.g. because the server's process ends.
                let _ = responses.recv().await;
                None
            });
            let Some(request) = request.await else { return };
            self.cluster
                .borrow_mut()
                .receive_line(clock::now(), connection, &request);
            self.changed.notify_waiters();
        }
    }

    async fn answer_health_check(&self, id: &str, stream: &mut Async<TcpStream>) {
        let draining = self.cluster.borrow().announced_state(id).draining;
        let status = if draining { 503 } else { 200 };
        let response = encode_response(status, &[("X-Instance-Id", id)], b"", false);
        let _ = with_timeout(WRITE_TIMEOUT_S, stream.write_all(&response)).await;
    }
}

/// Returns the next line; `None` at the end of the stream, after an error, and for a line that is
/// too long.
async fn read_line(stream: &mut Async<TcpStream>, lines: &mut LineBuffer) -> Option<Vec<u8>> {
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
