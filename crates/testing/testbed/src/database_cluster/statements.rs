//! What servers do with statements.

use super::{
    Commit, ConnectionId, ConnectionOutput, DatabaseCluster, ErrorCode, Job, ParsedStatement,
    Position, Server, StatementKind, Transaction, UnacknowledgedCommit, Work,
};

impl DatabaseCluster {
    pub(super) fn row(&self, server: &Server) -> String {
        let role = if server.leads { "leader" } else { "follower" };
        let lag = server
            .copy
            .unapplied()
            .map_or(0.0, |c| (self.now - c.received).max(0.0) * 1000.0);
        let busy = server.running_jobs.len();
        let held = server.paused.unwrap_or(0);
        format!(
            "{role} {} {} {held} {lag:.0} {busy} {}",
            server.term,
            server.copy.received(),
            server.conns
        )
    }

    fn stamp(&self, conn: ConnectionId, server: &Server, statement: u64) -> String {
        let number = server.copy.received().number;
        let mark = mix(self.seed ^ mix(conn) ^ mix(statement.rotate_left(32) ^ number));
        format!(
            "{:x}.{conn:x}.{statement:x}.{number:x}.{mark:016x}",
            server.term
        )
    }

    pub(super) fn query(&mut self, conn: ConnectionId, id: &str, text: &str) {
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        session.statements += 1;
        let at = session.server.clone();
        let state = session.transaction.as_ref().map(|t| t.failed);
        if let Some(done) = self.administer(conn, &at, text) {
            return done;
        }
        let mut rest = text;
        let mut proof = None;
        if let Some(told) = text.strip_prefix("WAITPOS ") {
            let parsed = told
                .split_once(' ')
                .and_then(|(p, rest)| Some((p.parse::<Position>().ok()?, rest)));
            let Some((position, told)) = parsed else {
                return self.fail(conn, ErrorCode::Malformed, "WAITPOS");
            };
            (proof, rest) = (Some(position), told);
        }
        let Ok(statement) = ParsedStatement::parse(rest) else {
            return self.fail(conn, ErrorCode::Malformed, "unknown statement");
        };
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        if state == Some(true) {
            match statement {
                ParsedStatement::Abort => {
                    session.transaction = None;
                    return self.end(conn, "COMPLETE -");
                }
                ParsedStatement::Commit => {
                    session.transaction = None;
                    return self.end(conn, "ERROR ABORTED the transaction had failed");
                }
                _ => return self.fail(conn, ErrorCode::Malformed, "the transaction has failed"),
            }
        }
        let reads = matches!(
            statement,
            ParsedStatement::Fetch
                | ParsedStatement::Begin { .. }
                | ParsedStatement::Execute { .. }
        );
        if let Some(proof) = proof {
            if !reads {
                return self.fail(conn, ErrorCode::Malformed, "WAITPOS goes before reads");
            }
            if proof > self.servers[&at].copy.applied() {
                return self.fail(conn, ErrorCode::Lagging, &at);
            }
        }
        let work = match statement {
            ParsedStatement::Set { name, value } => {
                session.values.insert(name.to_owned(), value.to_owned());
                return self.end(conn, "COMPLETE -");
            }
            ParsedStatement::Prepare { name, kind, shape } => {
                session
                    .prepared
                    .insert(name.to_owned(), (kind, shape.to_owned()));
                return self.end(conn, "COMPLETE -");
            }
            ParsedStatement::Release { name } => {
                return match session.prepared.remove(name) {
                    Some(_) => self.end(conn, "COMPLETE -"),
                    None => self.fail(conn, ErrorCode::Unknown, name),
                };
            }
            ParsedStatement::Begin { read_only } => {
                if state.is_some() {
                    return self.fail(conn, ErrorCode::Malformed, "already in a transaction");
                }
                let server = &self.servers[&at];
                if !read_only && !server.leads {
                    return self.fail(conn, ErrorCode::ReadOnly, &at);
                }
                let transaction = Transaction {
                    fetch: read_only,
                    failed: false,
                    term: server.term,
                    ids: Vec::new(),
                    puts: Vec::new(),
                };
                session.transaction = Some(transaction);
                return self.end(conn, "COMPLETE -");
            }
            ParsedStatement::Abort | ParsedStatement::Commit if state.is_none() => {
                return self.fail(conn, ErrorCode::Malformed, "no transaction");
            }
            ParsedStatement::Abort => {
                session.transaction = None;
                return self.end(conn, "COMPLETE -");
            }
            ParsedStatement::Commit => Work::Commit,
            ParsedStatement::Fetch => Work::ConfigRead {
                thing: rest[6..].to_owned(),
            },
            ParsedStatement::Put => put(&rest[4..]),
            ParsedStatement::Execute { name, arguments } => match session.prepared.get(name) {
                None => return self.fail(conn, ErrorCode::Unknown, name),
                Some((StatementKind::Fetch, _)) => Work::ConfigRead {
                    thing: arguments.to_owned(),
                },
                Some((StatementKind::Put, _)) => put(arguments),
            },
        };
        if self.is_read_only(conn, &work) {
            return self.refuse(conn, &at, &work);
        }
        self.enqueue(conn, id, work);
    }

    /// The words of administration; none for any other text.
    fn administer(&mut self, conn: ConnectionId, at: &str, text: &str) -> Option<()> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let newest = self.services[&self.servers[at].service].term;
        match word {
            "STATUS" => {}
            "RESET" => {
                let session = self.sessions.get_mut(&conn)?;
                session.values.clear();
                session.prepared.clear();
                self.end(conn, "COMPLETE -");
                return Some(());
            }
            "PAUSE" | "STEPDOWN" => {
                let Ok(term) = rest.parse::<u64>() else {
                    self.fail(conn, ErrorCode::Malformed, "no term");
                    return Some(());
                };
                let server = self.server(at);
                if word == "PAUSE" && !server.leads && term > newest {
                    server.paused = Some(server.paused.unwrap_or(0).max(term));
                } else if word == "STEPDOWN" && server.leads && server.term < term {
                    self.step_down(at);
                }
            }
            "RESUME" => {
                self.server(at).paused = None;
                let service = self.servers[at].service.clone();
                self.rejoin(&service);
            }
            _ => return None,
        }
        self.enqueue(conn, "-", Work::Status);
        Some(())
    }

    /// Whether this may not run here, on a server that doesn't lead or leads no more.
    fn is_read_only(&self, conn: ConnectionId, work: &Work) -> bool {
        let Some(session) = self.sessions.get(&conn) else {
            return false;
        };
        let server = &self.servers[&session.server];
        match (&session.transaction, work) {
            (_, Work::Open | Work::Status) => false,
            (Some(t), Work::Commit) if t.puts.is_empty() => false,
            (Some(t), _) if !t.fetch => !server.leads || server.term != t.term,
            (Some(_), Work::Write { .. }) => true,
            (None, Work::Write { .. }) => !server.leads,
            _ => false,
        }
    }

    /// This is not run for want of the lead; a transaction whose end it was is over all the same.
    fn refuse(&mut self, conn: ConnectionId, at: &str, work: &Work) {
        if *work == Work::Commit
            && let Some(session) = self.sessions.get_mut(&conn)
        {
            session.transaction = None;
        }
        self.fail(conn, ErrorCode::ReadOnly, at);
    }

    /// A statement has had its slot.
    pub(super) fn done(&mut self, at: &str, job: Job) {
        let Job { conn, id, work } = job;
        if self.is_read_only(conn, &work) {
            return self.refuse(conn, at, &work);
        }
        let server = &self.servers[at];
        let Some(session) = self.sessions.get(&conn) else {
            return;
        };
        let stamp = self.stamp(conn, server, session.statements);
        match work {
            Work::Open => {
                let idle = self.idle(conn);
                self.out.push(ConnectionOutput::Send(conn, idle));
            }
            Work::Status => {
                let answer = format!("ROW {}\r\nCOMPLETE -", self.row(server));
                self.end(conn, &answer);
            }
            Work::ConfigRead { thing } => {
                let own = session.transaction.iter().flat_map(|t| t.puts.iter().rev());
                let own = own
                    .into_iter()
                    .find(|(t, _)| *t == thing)
                    .map(|(_, data)| data.as_str());
                let row = own
                    .or(server.copy.get(&thing))
                    .map_or(String::new(), |data| format!("ROW {data}\r\n"));
                self.end(conn, &format!("{row}COMPLETE {stamp}"));
            }
            Work::Write { thing, data } => {
                let Some(session) = self.sessions.get_mut(&conn) else {
                    return;
                };
                match &mut session.transaction {
                    Some(transaction) => {
                        transaction.ids.push(id);
                        transaction.puts.push((thing, data));
                        self.end(conn, &format!("COMPLETE {stamp}"));
                    }
                    None => self.commit(at, conn, vec![id], vec![(thing, data)], stamp),
                }
            }
            Work::Commit => {
                let Some(session) = self.sessions.get_mut(&conn) else {
                    return;
                };
                match session.transaction.take() {
                    Some(t) if !t.puts.is_empty() => self.commit(at, conn, t.ids, t.puts, stamp),
                    _ => self.end(conn, &format!("COMPLETE {stamp}")),
                }
            }
        }
    }

    fn commit(
        &mut self,
        at: &str,
        conn: ConnectionId,
        ids: Vec<String>,
        puts: Vec<(String, String)>,
        stamp: String,
    ) {
        ids.iter().for_each(|id| self.rule_checker.committed(id));
        let now = self.now;
        let writes = ids.len() as u64;
        let server = self.server(at);
        let position = Position {
            term: server.term,
            number: server.copy.received().number + 1,
        };
        server.copy.receive(Commit {
            position,
            ids: ids.into(),
            puts: puts.into(),
            given: now,
            received: now,
        });
        server.copy.apply();
        server.unacknowledged.push_back(UnacknowledgedCommit {
            conn,
            position,
            stamp,
            writes,
        });
    }

    /// Answers the commits that enough replicas have.
    pub(super) fn answer_commits(&mut self, id: &str) {
        let server = &self.servers[id];
        if server.unacknowledged.is_empty() {
            return;
        }
        let service = &self.services[&server.service];
        let needed = service.spec.sync_replicas as usize;
        let newest = service.term;
        let name = server.service.clone();
        while let Some(first) = self.servers[id].unacknowledged.front() {
            let position = first.position;
            let has = |s: &&Server| {
                s.service == name
                    && s.running
                    && !s.leads
                    && s.term == position.term
                    && s.copy.received().number >= position.number
            };
            if self.servers.values().filter(has).count() < needed {
                return;
            }
            let Some(first) = self.server(id).unacknowledged.pop_front() else {
                return;
            };
            self.rule_checker.answered += first.writes;
            if position.term < newest {
                self.rule_checker.deposed += 1;
                log::warn!("event=deposed_primary_committed id={id} position={position}");
            } else if let Some(service) = self.services.get_mut(&name) {
                service.answered = service.answered.max(position);
            }
            self.end(first.conn, &format!("COMPLETE {}", first.stamp));
        }
    }
}

/// Thing and data.
fn put(rest: &str) -> Work {
    let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
    Work::Write {
        thing: thing.to_owned(),
        data: data.to_owned(),
    }
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
