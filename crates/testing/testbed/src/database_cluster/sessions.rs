//! Connections to servers: their beginning and end, what they are answered, and the slots that their statements wait for.

use super::{
    BTreeMap, ConnectionId, ConnectionOutput, DatabaseCluster, ErrorCode, Job,
    MAX_QUEUED_STATEMENTS, Request, Session, TransactionState, Work,
};

impl DatabaseCluster {
    /// A caller has sent `CONNECT`, as the first line of its connection. An error is to be written, then the connection
    /// closed; otherwise the answer comes as [`ConnectionOutput::Send`].
    pub fn connect(
        &mut self,
        now: f64,
        at: &str,
        service: &str,
        who: &str,
    ) -> Result<ConnectionId, String> {
        self.step_to(now);
        let full = |code: ErrorCode, text: &str| Err(format!("ERROR {} {text}\r\n", code.as_str()));
        let Some(server) = self.servers.get_mut(at).filter(|s| s.running) else {
            return full(ErrorCode::WrongNode, "-");
        };
        let expected = who.split_once(' ').map(|(_, id)| id);
        if server.service != service || expected.is_some_and(|id| id != at) {
            return full(ErrorCode::WrongNode, at);
        }
        if self
            .services
            .get(service)
            .is_some_and(|s| server.conns >= s.spec.max_conns)
        {
            return full(ErrorCode::ConnLimit, at);
        }
        server.conns += 1;
        self.next += 1;
        let conn = self.next;
        let session = Session {
            server: at.to_owned(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            statements: 0,
        };
        self.sessions.insert(conn, session);
        self.enqueue(conn, "-", Work::Open);
        Ok(conn)
    }

    /// A caller has sent a line; its answer comes as [`ConnectionOutput::Send`]. To be called for one line of a connection at a time.
    pub fn ask(&mut self, now: f64, conn: ConnectionId, line: &[u8]) {
        self.step_to(now);
        match Request::parse(line) {
            Ok(Request::Query { id, text }) => {
                let (id, text) = (id.to_owned(), text.to_owned());
                self.query(conn, &id, &text);
            }
            Ok(Request::Bye) => {
                self.closed(now, conn);
                self.out.push(ConnectionOutput::Close(conn));
            }
            _ => self.fail(conn, ErrorCode::Malformed, "not a request"),
        }
    }

    /// A caller has closed its connection: an open transaction is rolled back, what waits isn't run.
    pub fn closed(&mut self, now: f64, conn: ConnectionId) {
        self.step_to(now);
        let Some(session) = self.sessions.remove(&conn) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&session.server) else {
            return;
        };
        server.conns -= 1;
        server.waiting.retain(|job| job.conn != conn);
        server.unacknowledged.retain(|u| u.conn != conn);
    }

    pub(super) fn idle(&self, conn: ConnectionId) -> String {
        let Some(session) = self.sessions.get(&conn) else {
            return String::new();
        };
        let state = match &session.transaction {
            None => TransactionState::Idle,
            Some(t) if t.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        };
        format!(
            "IDLE {} {}\r\n",
            state.as_char(),
            self.servers[&session.server].copy.applied()
        )
    }

    /// The rest of an answer, after any rows.
    pub(super) fn end(&mut self, conn: ConnectionId, line: &str) {
        if self.sessions.contains_key(&conn) {
            let answer = format!("{line}\r\n{}", self.idle(conn));
            self.out.push(ConnectionOutput::Send(conn, answer));
        }
    }

    pub(super) fn fail(&mut self, conn: ConnectionId, code: ErrorCode, text: &str) {
        if let Some(transaction) = self
            .sessions
            .get_mut(&conn)
            .and_then(|s| s.transaction.as_mut())
        {
            transaction.failed = true;
        }
        self.end(conn, &format!("ERROR {} {text}", code.as_str()));
    }

    pub(super) fn enqueue(&mut self, conn: ConnectionId, id: &str, work: Work) {
        let Some(at) = self.sessions.get(&conn).map(|s| s.server.clone()) else {
            return;
        };
        if self.servers[&at].waiting.len() >= MAX_QUEUED_STATEMENTS {
            return self.fail(conn, ErrorCode::Retry, "20");
        }
        self.server(&at).waiting.push_back(Job {
            conn,
            id: id.to_owned(),
            work,
        });
        self.fill_slots(&at);
    }

    pub(super) fn fill_slots(&mut self, id: &str) {
        let slots = self.services[&self.servers[id].service].spec.slots;
        let (now, timing) = (self.now, self.timing);
        let server = self.server(id);
        while server.running_jobs.len() < slots
            && let Some(job) = server.waiting.pop_front()
        {
            let span = match job.work {
                Work::Open => timing.open,
                Work::Status => 0.0005,
                _ => timing.work,
            };
            server
                .running_jobs
                .push((now.max(server.busy_until) + span, job));
        }
    }
}
