//! The statements that the leading control machine sends to database servers, on one connection a server.
//!
//! The table in `docs/design/calls.md` says what may be sent again. A connection whose exchange came to no answer is reset,
//! so that what a cut holds up of it is lost, and never used again.

use crate::clock;
use crate::exchange::{self, AuthorityError, ExchangeError, Progress};
use crate::net;
use async_channel::Receiver;
use async_io::{Async, Timer};
use badgerstream_control::{CommandOutcome, ServerCommand, ServerStatus};
use badgerstream_line_protocol::{LineBuffer, Position, Reply};
use futures_lite::future;
use std::cell::RefCell;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection that nobody needs any more is closed after so many seconds.
pub const IDLE_S: f64 = 6.0;
/// What is read at once, in bytes.
const READ_BYTES: usize = 512;

/// The server that is asked.
#[derive(Clone, Debug)]
pub struct Target {
    /// The server's id, so that whoever reuses its address isn't taken for it.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub endpoint: SocketAddr,
}

/// A statement, and the ballot under which it was decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The statement.
    pub statement: ServerCommand,
    /// The ballot of the leader that asks.
    pub fence: u64,
}

impl Query {
    /// Whether it may run at any time and any number of times. All but `STATUS` change the server: a copy that comes late
    /// may undo what was decided since.
    pub fn is_idempotent(self) -> bool {
        self.statement == ServerCommand::Status
    }

    fn line(self) -> String {
        match self.statement {
            ServerCommand::Status => "QUERY - STATUS\r\n".to_owned(),
            ServerCommand::Pause(term) => format!("QUERY - PAUSE {term}\r\n"),
            ServerCommand::Resume => "QUERY - RESUME\r\n".to_owned(),
            ServerCommand::StepDown(term) => format!("QUERY - STEPDOWN {term}\r\n"),
        }
    }
}

/// How long is waited, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// For an answer.
    pub answer_s: f64,
    /// For the next query, before the connection is closed; with 0 it is closed with its answer.
    pub idle_s: f64,
}

/// Sends the queries that come, until none has come for a while, and tells what became of each. `may_act` is asked just
/// before a statement leaves that only the present leader may send.
pub async fn run(
    target: Target,
    queries: Receiver<Query>,
    waits: Waits,
    may_act: impl Fn(Query) -> bool,
    tell: impl Fn(Query, CommandOutcome),
) {
    let mut session = Session {
        target,
        answer_s: waits.answer_s,
        connection: None,
    };
    while let Some(query) = next(&queries, waits.idle_s).await {
        let asked_at = clock::now();
        let asked = match session.ask(query, &may_act).await {
            Ok(Some(row)) => CommandOutcome::Status {
                command: query.statement,
                status: row,
                sent_at: asked_at,
            },
            Ok(None) => CommandOutcome::Busy,
            Err(failed) => {
                log::debug!(
                    "event=query_failed id={} statement={:?} verdict={:?} error={}",
                    session.target.id,
                    query.statement,
                    failed.verdict,
                    failed.error
                );
                match failed.error.kind() {
                    _ if failed.is_authority_lost() => CommandOutcome::NotSent,
                    ErrorKind::ConnectionRefused | ErrorKind::NotFound => CommandOutcome::Refused,
                    _ => CommandOutcome::TimedOut,
                }
            }
        };
        tell(query, asked);
    }
    if let Some(connection) = session.connection {
        net::reset_on_close(&connection.stream, false);
    }
}

/// The next query; none when nobody will ask any more, or nobody has for a while.
async fn next(queries: &Receiver<Query>, idle_s: f64) -> Option<Query> {
    let idle = async {
        Timer::after(Duration::from_secs_f64(idle_s)).await;
        None
    };
    future::or(async { queries.recv().await.ok() }, idle).await
}

/// The session with one server.
struct Session {
    target: Target,
    answer_s: f64,
    /// None before the first exchange and after one that came to no answer.
    connection: Option<Connection>,
}

impl Session {
    /// The row that answers a query; none if the server answered without one.
    async fn ask(
        &mut self,
        query: Query,
        may_act: &impl Fn(Query) -> bool,
    ) -> std::result::Result<Option<ServerStatus>, ExchangeError> {
        if self
            .connection
            .as_mut()
            .is_some_and(|connection| !connection.is_usable())
        {
            self.connection = None;
        }
        let reused = self.connection.is_some();
        let first = self.exchange(query, may_act).await;
        match first {
            // The server ended the connection while it rested: a new one tells how things stand.
            Err(failed) if reused && may_try_again(query, &failed) => {
                self.exchange(query, may_act).await
            }
            ended => ended,
        }
    }

    async fn exchange(
        &mut self,
        query: Query,
        may_act: &impl Fn(Query) -> bool,
    ) -> std::result::Result<Option<ServerStatus>, ExchangeError> {
        let connection = self.connection.take();
        let (target, answer_s) = (&self.target, self.answer_s);
        let exchanged = exchange::run(answer_s, async |progress| {
            let mut connection = match connection {
                Some(connection) => connection,
                None => Connection::open(target, answer_s).await?,
            };
            // Whoever was frozen or cut off since this was decided must not send it: another machine may lead by now.
            if !query.is_idempotent() && !may_act(query) {
                return Err(AuthorityError::NotLeader.into());
            }
            let row = connection.exchange(progress, query, &target.id).await?;
            Ok((connection, row))
        });
        // Without an answer the connection is dropped there, which resets it.
        let (connection, row) = exchanged.await?;
        self.connection = Some(connection);
        Ok(row)
    }
}

/// Whether a query that failed on a connection that had rested is sent once more on a new one.
fn may_try_again(query: Query, failed: &ExchangeError) -> bool {
    let given_up = failed.is_authority_lost() || failed.error.kind() == ErrorKind::TimedOut;
    !given_up && failed.verdict.permits_retry(query.is_idempotent())
}

struct Connection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
}

impl Connection {
    /// Opens a connection to the server of this id.
    async fn open(target: &Target, answer_s: f64) -> Result<Connection> {
        let stream = Async::<TcpStream>::connect(target.endpoint).await?;
        // Bytes that are not acknowledged in time are dropped, also when this process is frozen or killed meanwhile.
        net::configure(&stream, answer_s);
        net::reset_on_close(&stream, true);
        let mut connection = Connection {
            stream,
            lines: LineBuffer::default(),
        };
        let hello = format!("CONNECT {} control {}\r\n", target.service, target.id);
        net::write(&connection.stream, hello.as_bytes())
            .await
            .map_err(|_| ErrorKind::BrokenPipe)?;
        match Reply::parse(&connection.line().await?) {
            Some(Reply::Idle { .. }) => Ok(connection),
            // Somebody else is at this address now.
            Some(Reply::Error { code, .. }) if code.word() == "WRONGNODE" => {
                Err(ErrorKind::NotFound.into())
            }
            Some(Reply::Error { code, .. }) => Err(Error::other(code.word())),
            _ => Err(ErrorKind::InvalidData.into()),
        }
    }

    /// Whether it may carry another exchange: the server has not ended it, nor said what nobody asked for.
    fn is_usable(&mut self) -> bool {
        let scratch = RefCell::new(vec![0; READ_BYTES]);
        self.lines.is_empty()
            && matches!(
                net::read_now(&self.stream, &scratch, &mut self.lines),
                Ok(None)
            )
    }

    async fn exchange(
        &mut self,
        progress: &Progress,
        query: Query,
        id: &str,
    ) -> Result<Option<ServerStatus>> {
        progress.send(&self.stream, query.line().as_bytes()).await?;
        let mut row = None;
        loop {
            let line = self.line().await?;
            match Reply::parse(&line) {
                Some(Reply::Row(text)) => row = read_row(text),
                Some(Reply::Idle { .. }) => return Ok(row),
                Some(Reply::Error { code, text }) => {
                    log::debug!(
                        "event=query_refused id={id} query={query:?} code={} text={text}",
                        code.word()
                    );
                }
                Some(Reply::Complete(_)) => {}
                None => return Err(ErrorKind::InvalidData.into()),
            }
        }
    }

    async fn line(&mut self) -> Result<Vec<u8>> {
        let scratch = RefCell::new(vec![0; READ_BYTES]);
        loop {
            if let Some(line) = self.lines.next().map_err(|e| Error::other(e.to_string()))? {
                return Ok(line.to_vec());
            }
            if net::read(&self.stream, &scratch, &mut self.lines).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// The row of STATUS: role, term, position received, term held, lag in ms, busy, connections.
pub fn read_row(text: &[u8]) -> Option<ServerStatus> {
    let text = std::str::from_utf8(text).ok()?;
    let mut words = text.split_ascii_whitespace();
    let leader = words.next()? == "leader";
    let term = words.next()?.parse().ok()?;
    let received: Position = words.next()?.parse().ok()?;
    let held = words.next()?.parse().ok()?;
    Some(ServerStatus {
        is_primary: leader,
        primary_term: term,
        received: (received.term, received.number),
        highest_term: held,
    })
}
