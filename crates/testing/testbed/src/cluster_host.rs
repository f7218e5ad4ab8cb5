//! The database servers on sockets: one listener and one task of heartbeats a server, one task a
//! connection.
//!
//! [`ClusterHost`] owns the [`DatabaseCluster`], which decides what is answered, and gives it the
//! time and the lines received; it decides nothing itself. All tasks run on one thread, so that a
//! borrow of the cluster is never held across an `await`.

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

/// A caller that takes no bytes for so long is dropped.
const WRITE_TIMEOUT_S: f64 = 3.0;

/// The first line of a connection must be there after so long.
const FIRST_LINE_TIMEOUT_S: f64 = 5.0;

/// From a failed accept to the next.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The cluster is stepped at least so often.
const MAX_STEP_INTERVAL_S: f64 = 1.0;

/// An address can't be listened at.
#[derive(Debug, Error)]
#[error("{address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    pub source: std::io::Error,
}

/// Why a server can't be started.
#[derive(Debug, Error)]
pub enum StartServerError {
    /// No server has this id.
    #[error("{0}: no such server")]
    UnknownServer(String),
    /// Its address is taken, say.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ListenError> {
    Async::<TcpListener>::bind(address).map_err(|source| ListenError { address, source })
}

/// A cluster on sockets.
pub struct ClusterHost {
    /// What the servers do. Whoever changes it notifies [`ClusterHost::changed`].
    pub cluster: Rc<RefCell<DatabaseCluster>>,
    /// Notified whenever the cluster may have changed.
    pub changed: Rc<Notify>,
    heartbeat_settings: Rc<HeartbeatSettings>,
    executor: Rc<LocalExecutor<'static>>,
    /// By connection, where its task gets what is to be written; removed to close it.
    responses: RefCell<HashMap<ConnectionId, Sender<String>>>,
    /// By server, what runs while its process does: its listener and its heartbeats. Removing an
    /// entry cancels them.
    server_tasks: RefCell<HashMap<String, Vec<Task<()>>>>,
}

impl ClusterHost {
    /// Starts all servers of a cluster; an error names the address that can't be had.
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

    /// Ends a server's process: its address refuses connections, those it has break.
    pub fn crash_server(&self, id: &str) {
        self.server_tasks.borrow_mut().remove(id);
        self.cluster.borrow_mut().crash_server(clock::now(), id);
        self.changed.notify_waiters();
    }

    /// Starts a server that has ended, with the log it had; without effect on one that runs.
    pub fn restart_server(self: &Rc<Self>, id: &str) -> Result<(), StartServerError> {
        if self.server_tasks.borrow().contains_key(id) {
            return Ok(());
        }
        self.cluster.borrow_mut().start_server(clock::now(), id);
        self.changed.notify_waiters();
        self.start_server_tasks(id)
    }

    /// Begins a server's graceful shutdown: its heartbeats say that it drains, and it ends once the
    /// drain time is over.
    pub fn drain_server(&self, id: &str) {
        self.cluster.borrow_mut().drain_server(id);
        self.changed.notify_waiters();
    }

    fn start_server_tasks(self: &Rc<Self>, id: &str) -> Result<(), StartServerError> {
        let address = self.cluster.borrow().listen_address(id);
        let address = address.ok_or_else(|| StartServerError::UnknownServer(id.to_owned()))?;
        let accept = self.clone().accept(id.to_owned(), listen(address)?);
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
            // This cancels the very task that runs here: nothing may follow.
            self.crash_server(&id);
        }
    }

    /// Steps the cluster whenever something is due or has changed, and distributes its output.
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
                    // The connection's task ends once it has written what was sent before.
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

    async fn accept(self: Rc<Self>, id: String, listener: Async<TcpListener>) {
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

    /// A connection from its first line to its end: a health check, or a session.
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

    /// The session's connection, or the line that rejects it.
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

    /// Writes responses and reads requests in turn until either end closes.
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
                // Without a request there is no response: this completes only when the cluster
                // closes the connection, as at the end of the server's process.
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

/// The next line; `None` at the end of the stream, after an error, and for a line that is too long.
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
