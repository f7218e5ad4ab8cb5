//! Connections to servers: opening, closing, responses, and the queue of statements for execution
//! slots.

use super::model::{
    ConnectionId, ConnectionOutput, DatabaseCluster, Job, Rejection, RunningJob, Session, Work,
};
use badgerstream_line_protocol::{ErrorCode, Request, TransactionState};
use std::collections::BTreeMap;

/// Maximum number of statements that wait for a slot of one server; further ones are answered
/// `RETRY`.
const MAX_QUEUED_STATEMENTS: usize = 200;

/// The delay in a `RETRY` response, in milliseconds: the client should retry after it.
const RETRY_AFTER_MS: &str = "20";

/// Time for which a `STATUS` occupies a slot.
const STATUS_DURATION_S: f64 = 0.0005;

/// The statement id of jobs that aren't client statements.
pub(super) const NO_STATEMENT_ID: &str = "-";

impl DatabaseCluster {
    /// Handles `CONNECT`, the first line of a connection, to `service` at server `server_id`. After
    /// a rejection the host must close the connection; otherwise the response follows as
    /// [`ConnectionOutput::Send`]. If `caller` contains a space, the text after it is the id of the
    /// server that the caller expects.
    pub fn connect(
        &mut self,
        now: f64,
        server_id: &str,
        service: &str,
        caller: &str,
    ) -> Result<ConnectionId, Rejection> {
        self.advance(now);
        let Some(server) = self.servers.get_mut(server_id).filter(|s| s.running) else {
            return Err(Rejection::new(ErrorCode::WrongNode, "-"));
        };
        let meant = caller.split_once(' ').map(|(_, id)| id);
        if server.service != service || meant.is_some_and(|id| id != server_id) {
            return Err(Rejection::new(ErrorCode::WrongNode, server_id));
        }
        let spec = self.services.get(service).map(|service| &service.spec);
        if spec.is_some_and(|spec| server.connection_count >= spec.max_connections) {
            return Err(Rejection::new(ErrorCode::ConnLimit, server_id));
        }
        server.connection_count += 1;
        self.last_connection += 1;
        let connection = self.last_connection;
        let session = Session {
            server_id: server_id.to_owned(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            statement_count: 0,
        };
        self.sessions.insert(connection, session);
        self.enqueue(connection, NO_STATEMENT_ID, Work::Connect);
        Ok(connection)
    }

    /// Handles a line of a session; the response follows as [`ConnectionOutput::Send`]. The next
    /// line of the same connection may only be passed after this response.
    pub fn receive_line(&mut self, now: f64, connection: ConnectionId, line: &[u8]) {
        self.advance(now);
        match Request::parse(line) {
            Ok(Request::Query { id, text }) => self.query(connection, id, text),
            Ok(Request::Bye) => {
                self.close_connection(now, connection);
                self.outputs.push(ConnectionOutput::Close(connection));
            }
            _ => self.reject(
                connection,
                &Rejection::new(ErrorCode::Malformed, "not a request"),
            ),
        }
    }

    /// Handles the end of a connection: an open transaction is rolled back and queued statements
    /// are dropped. Running statements end without a response.
    pub fn close_connection(&mut self, now: f64, connection: ConnectionId) {
        self.advance(now);
        let Some(session) = self.sessions.remove(&connection) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&session.server_id) else {
            return;
        };
        server.connection_count -= 1;
        server.queue.retain(|job| job.connection != connection);
        server
            .unacknowledged
            .retain(|commit| commit.connection != connection);
    }

    /// Returns the `IDLE` line that ends each response: the state of the transaction, and the
    /// position up to which reads see the log.
    fn idle_line(&self, session: &Session) -> String {
        let state = match &session.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        };
        format!(
            "IDLE {} {}\r\n",
            state.as_char(),
            self.servers[&session.server_id].replica.applied()
        )
    }

    /// Sends the first line to a new connection.
    pub(super) fn send_greeting(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get(&connection) {
            let line = self.idle_line(session);
            self.outputs.push(ConnectionOutput::Send(connection, line));
        }
    }

    /// Responds with these lines and the `IDLE` line; does nothing if the connection is closed.
    pub(super) fn respond(&mut self, connection: ConnectionId, lines: &str) {
        if let Some(session) = self.sessions.get(&connection) {
            let response = format!("{lines}\r\n{}", self.idle_line(session));
            self.outputs
                .push(ConnectionOutput::Send(connection, response));
        }
    }

    /// Responds with an error, and marks an open transaction as failed.
    pub(super) fn reject(&mut self, connection: ConnectionId, rejection: &Rejection) {
        let session = self.sessions.get_mut(&connection);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.failed = true;
        }
        self.respond(connection, &rejection.line());
    }

    /// Queues work until a slot of the session's server is free.
    pub(super) fn enqueue(&mut self, connection: ConnectionId, statement_id: &str, work: Work) {
        let Some(session) = self.sessions.get(&connection) else {
            return;
        };
        let server_id = session.server_id.clone();
        if self.servers[&server_id].queue.len() >= MAX_QUEUED_STATEMENTS {
            let rejection = Rejection::new(ErrorCode::Retry, RETRY_AFTER_MS);
            return self.reject(connection, &rejection);
        }
        self.server_mut(&server_id).queue.push_back(Job {
            connection,
            statement_id: statement_id.to_owned(),
            work,
        });
        self.fill_slots(&server_id);
    }

    /// Starts queued jobs as long as slots are free.
    pub(super) fn fill_slots(&mut self, server_id: &str) {
        let slots = self.services[&self.servers[server_id].service].spec.slots;
        let (now, timing) = (self.now, self.timing);
        let server = self.server_mut(server_id);
        while server.running_jobs.len() < slots
            && let Some(job) = server.queue.pop_front()
        {
            let duration_s = match job.work {
                Work::Connect => timing.connect_s,
                Work::Status => STATUS_DURATION_S,
                Work::Read { .. } | Work::Write(_) | Work::Commit => timing.statement_s,
            };
            let ends_at_s = now.max(server.busy_until_s) + duration_s;
            server.running_jobs.push(RunningJob { ends_at_s, job });
        }
    }
}
