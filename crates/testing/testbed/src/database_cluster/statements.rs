//! Client statements: the checks on their arrival, and their effect at the end of their time in a
//! slot. The server's role may change in between, so whether the statement may run is checked at
//! both times.

use super::model::{
    ConnectionId, DatabaseCluster, Job, Rejection, Server, Session, Transaction, Work,
};
use crate::replica::KeyWrite;
use badgerstream_line_protocol::{ErrorCode, ParsedStatement, Position, StatementKind};

/// The next step for an accepted statement.
enum Accepted {
    /// None: it affects only the session and is complete.
    Complete,
    /// It must be queued for a slot.
    Queue(Work),
}

/// A statement and the freshness proof (`WAITPOS`) before it, if there is one.
struct StatementWithProof<'a> {
    proof: Option<Position>,
    /// The text of the statement without the proof.
    text: &'a str,
    parsed: ParsedStatement<'a>,
}

impl DatabaseCluster {
    /// Handles `QUERY`.
    pub(super) fn query(&mut self, connection: ConnectionId, id: &str, text: &str) {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return;
        };
        session.statement_count += 1;
        let server_id = session.server_id.clone();
        if self.run_administration_statement(connection, &server_id, text) {
            return;
        }
        match self.accept(connection, &server_id, text) {
            Ok(Accepted::Complete) => self.respond(connection, "COMPLETE -"),
            Ok(Accepted::Queue(work)) if self.is_read_only(connection, &work) => {
                self.reject_read_only(connection, &server_id, &work);
            }
            Ok(Accepted::Queue(work)) => self.enqueue(connection, id, work),
            Err(rejection) => self.reject(connection, &rejection),
        }
    }

    /// Checks a statement, and runs it if it affects only the session.
    fn accept(
        &mut self,
        connection: ConnectionId,
        server_id: &str,
        text: &str,
    ) -> Result<Accepted, Rejection> {
        let statement = parse(text)?;
        let server = &self.servers[server_id];
        let Some(session) = self.sessions.get_mut(&connection) else {
            return Ok(Accepted::Complete);
        };
        if session.transaction.as_ref().is_some_and(|t| t.failed) {
            return end_failed_transaction(session, &statement.parsed);
        }
        check_proof(&statement, server)?;
        accept_parsed(session, server, &statement)
    }

    /// Returns whether work must be rejected because the session's server isn't the primary, or is
    /// no longer the primary of the transaction's term.
    fn is_read_only(&self, connection: ConnectionId, work: &Work) -> bool {
        let Some(session) = self.sessions.get(&connection) else {
            return false;
        };
        let server = &self.servers[&session.server_id];
        match (&session.transaction, work) {
            (_, Work::Connect | Work::Status) => false,
            // A transaction without writes can be committed on any server.
            (Some(transaction), Work::Commit) if transaction.writes.is_empty() => false,
            (Some(transaction), _) if !transaction.read_only => {
                !server.is_primary || server.term != transaction.term
            }
            (Some(_), Work::Write(_)) => true,
            (None, Work::Write(_)) => !server.is_primary,
            _ => false,
        }
    }

    /// Rejects work that only a primary may run. A rejected commit ends its transaction too.
    fn reject_read_only(&mut self, connection: ConnectionId, server_id: &str, work: &Work) {
        if *work == Work::Commit
            && let Some(session) = self.sessions.get_mut(&connection)
        {
            session.transaction = None;
        }
        self.reject(connection, &Rejection::new(ErrorCode::ReadOnly, server_id));
    }

    /// Ends a job's time in its slot.
    pub(super) fn complete_job(&mut self, server_id: &str, job: Job) {
        let Job {
            connection,
            statement_id,
            work,
        } = job;
        if self.is_read_only(connection, &work) {
            return self.reject_read_only(connection, server_id, &work);
        }
        let Some(session) = self.sessions.get(&connection) else {
            return;
        };
        let server = &self.servers[server_id];
        let stamp = self.stamp(connection, server, session.statement_count);
        match work {
            Work::Connect => self.send_greeting(connection),
            Work::Status => {
                let row = self.status_row(server_id).unwrap_or_default();
                self.respond(connection, &format!("ROW {row}\r\nCOMPLETE -"));
            }
            Work::Read { key } => {
                let row = visible_value(session, server, &key)
                    .map_or_else(String::new, |value| format!("ROW {value}\r\n"));
                self.respond(connection, &format!("{row}COMPLETE {stamp}"));
            }
            Work::Write(write) => self.write(server_id, connection, statement_id, write, stamp),
            Work::Commit => self.commit_transaction(server_id, connection, stamp),
        }
    }

    /// Adds a write to the open transaction, or commits it by itself if there is none.
    fn write(
        &mut self,
        server_id: &str,
        connection: ConnectionId,
        statement_id: String,
        write: KeyWrite,
        stamp: String,
    ) {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return;
        };
        if let Some(transaction) = &mut session.transaction {
            transaction.ids.push(statement_id);
            transaction.writes.push(write);
            self.respond(connection, &format!("COMPLETE {stamp}"));
        } else {
            let (ids, writes) = (vec![statement_id], vec![write]);
            self.commit(server_id, connection, ids, writes, stamp);
        }
    }

    fn commit_transaction(&mut self, server_id: &str, connection: ConnectionId, stamp: String) {
        let Some(session) = self.sessions.get_mut(&connection) else {
            return;
        };
        match session.transaction.take() {
            Some(Transaction { ids, writes, .. }) if !writes.is_empty() => {
                self.commit(server_id, connection, ids, writes, stamp);
            }
            _ => self.respond(connection, &format!("COMPLETE {stamp}")),
        }
    }

    /// Returns the stamp in a `COMPLETE` line: primary term, connection, statement, end of the log,
    /// and a hash that makes stamps unique.
    fn stamp(&self, connection: ConnectionId, server: &Server, statement: u64) -> String {
        let number = server.replica.received().number;
        let hash = splitmix64_finalize(
            self.seed
                ^ splitmix64_finalize(connection)
                ^ splitmix64_finalize(statement.rotate_left(32) ^ number),
        );
        format!(
            "{:x}.{connection:x}.{statement:x}.{number:x}.{hash:016x}",
            server.term
        )
    }
}

fn parse(text: &str) -> Result<StatementWithProof<'_>, Rejection> {
    let (proof, text) = match text.strip_prefix("WAITPOS ") {
        None => (None, text),
        Some(proven) => {
            let proven = proven
                .split_once(' ')
                .and_then(|(proof, text)| Some((proof.parse::<Position>().ok()?, text)));
            let (proof, text) =
                proven.ok_or_else(|| Rejection::new(ErrorCode::Malformed, "WAITPOS"))?;
            (Some(proof), text)
        }
    };
    let parsed = ParsedStatement::parse(text)
        .map_err(|_| Rejection::new(ErrorCode::Malformed, "unknown statement"))?;
    Ok(StatementWithProof {
        proof,
        text,
        parsed,
    })
}

/// Handles a statement in a failed transaction: only one that ends the transaction is accepted, and
/// it rolls the transaction back.
fn end_failed_transaction(
    session: &mut Session,
    statement: &ParsedStatement<'_>,
) -> Result<Accepted, Rejection> {
    match statement {
        ParsedStatement::Abort => {
            session.transaction = None;
            Ok(Accepted::Complete)
        }
        ParsedStatement::Commit => {
            session.transaction = None;
            Err(Rejection::new(
                ErrorCode::Aborted,
                "the transaction had failed",
            ))
        }
        _ => Err(Rejection::new(
            ErrorCode::Malformed,
            "the transaction has failed",
        )),
    }
}

/// Rejects a read if its server hasn't yet applied the position in its freshness proof.
fn check_proof(statement: &StatementWithProof<'_>, server: &Server) -> Result<(), Rejection> {
    let Some(proof) = statement.proof else {
        return Ok(());
    };
    let may_read = matches!(
        statement.parsed,
        ParsedStatement::Fetch | ParsedStatement::Begin { .. } | ParsedStatement::Execute { .. }
    );
    if !may_read {
        let text = "WAITPOS goes before reads";
        return Err(Rejection::new(ErrorCode::Malformed, text));
    }
    if proof > server.replica.applied() {
        return Err(Rejection::new(ErrorCode::Lagging, &server.spec.id));
    }
    Ok(())
}

/// Runs a statement that affects only the session, or returns the work to queue. The session's
/// transaction, if there is one, must not have failed.
fn accept_parsed(
    session: &mut Session,
    server: &Server,
    statement: &StatementWithProof<'_>,
) -> Result<Accepted, Rejection> {
    match statement.parsed {
        ParsedStatement::Set { name, value } => {
            session.values.insert(name.to_owned(), value.to_owned());
            Ok(Accepted::Complete)
        }
        ParsedStatement::Prepare { name, kind, .. } => {
            session.prepared.insert(name.to_owned(), kind);
            Ok(Accepted::Complete)
        }
        ParsedStatement::Release { name } => match session.prepared.remove(name) {
            Some(_) => Ok(Accepted::Complete),
            None => Err(Rejection::new(ErrorCode::Unknown, name)),
        },
        ParsedStatement::Begin { read_only } => begin(session, server, read_only),
        ParsedStatement::Abort | ParsedStatement::Commit if session.transaction.is_none() => {
            Err(Rejection::new(ErrorCode::Malformed, "no transaction"))
        }
        ParsedStatement::Abort => {
            session.transaction = None;
            Ok(Accepted::Complete)
        }
        ParsedStatement::Commit => Ok(Accepted::Queue(Work::Commit)),
        ParsedStatement::Fetch => {
            let key = statement.text["FETCH ".len()..].to_owned();
            Ok(Accepted::Queue(Work::Read { key }))
        }
        ParsedStatement::Put => {
            let write = key_write(&statement.text["PUT ".len()..]);
            Ok(Accepted::Queue(Work::Write(write)))
        }
        ParsedStatement::Execute { name, arguments } => match session.prepared.get(name) {
            None => Err(Rejection::new(ErrorCode::Unknown, name)),
            Some(kind) => Ok(Accepted::Queue(match kind {
                StatementKind::Fetch => Work::Read {
                    key: arguments.to_owned(),
                },
                StatementKind::Put => Work::Write(key_write(arguments)),
            })),
        },
    }
}

fn begin(session: &mut Session, server: &Server, read_only: bool) -> Result<Accepted, Rejection> {
    if session.transaction.is_some() {
        let text = "already in a transaction";
        return Err(Rejection::new(ErrorCode::Malformed, text));
    }
    if !read_only && !server.is_primary {
        return Err(Rejection::new(ErrorCode::ReadOnly, &server.spec.id));
    }
    session.transaction = Some(Transaction {
        read_only,
        failed: false,
        term: server.term,
        ids: Vec::new(),
        writes: Vec::new(),
    });
    Ok(Accepted::Complete)
}

/// Returns the value of a key as a session reads it: the last write of its own transaction,
/// otherwise the applied value.
fn visible_value<'a>(session: &'a Session, server: &'a Server, key: &str) -> Option<&'a str> {
    let transaction = session.transaction.as_ref();
    let own_write = transaction.and_then(|transaction| {
        let mut writes = transaction.writes.iter().rev();
        writes.find(|write| write.key == key)
    });
    own_write.map_or_else(
        || server.replica.get(key),
        |write| Some(write.value.as_str()),
    )
}

/// Parses a key and, after a space, its value.
fn key_write(text: &str) -> KeyWrite {
    let (key, value) = text.split_once(' ').unwrap_or((text, ""));
    KeyWrite {
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

/// The finalizer of `SplitMix64`: each input bit affects all output bits.
fn splitmix64_finalize(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
