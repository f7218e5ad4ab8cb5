//! Questions of control to database servers, each on a connection of its own.

use crate::{clock, frames};
use async_channel::Receiver;
use async_io::{Async, Timer};
use badgerstream_control::{Asked, Row, Statement};
use badgerstream_wire::{LineBuffer, Position, Reply};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection that nobody needs any more is closed after so many seconds.
pub const IDLE: f64 = 6.0;

/// Whom to ask.
#[derive(Clone, Debug)]
pub struct Whom {
    /// The server's id, so that whoever reuses its address isn't taken for it.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub endpoint: SocketAddr,
}

struct Connection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
}

/// Asks what comes, until nothing has come for `idle_s`; each answer, or its want, is told.
pub async fn ask(
    whom: Whom, questions: Receiver<Statement>, answer_s: f64, idle_s: f64, told: impl Fn(Asked),
) {
    let mut connection = None;
    loop {
        let idle = async {
            Timer::after(Duration::from_secs_f64(idle_s)).await;
            None
        };
        let Some(statement) = future::or(async { questions.recv().await.ok() }, idle).await else { return };
        let asked = clock::now();
        let fresh = connection.is_none();
        let mut answer = one(&whom, &mut connection, statement, answer_s).await;
        if !fresh && matches!(&answer, Err(e) if e.kind() != ErrorKind::TimedOut) {
            // The connection had ended unseen: a new one tells how things stand.
            connection = None;
            answer = one(&whom, &mut connection, statement, answer_s).await;
        }
        told(match answer {
            Ok(Some(row)) => Asked::Row { statement, row, asked },
            Ok(None) => Asked::Busy,
            Err(e) => {
                connection = None;
                log::debug!("event=ask_failed id={} error={e}", whom.id);
                match e.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::NotFound => Asked::Refused,
                    _ => Asked::Silent,
                }
            }
        });
    }
}

async fn one(
    whom: &Whom, connection: &mut Option<Connection>, statement: Statement, answer_s: f64,
) -> Result<Option<Row>> {
    frames::within(answer_s, async {
        if connection.is_none() {
            *connection = Some(open(whom).await?);
        }
        let Some(connection) = connection.as_mut() else { return Ok(None) };
        let text = match statement {
            Statement::Status => "QUERY - STATUS\r\n".to_owned(),
            Statement::Pause(term) => format!("QUERY - PAUSE {term}\r\n"),
            Statement::Resume => "QUERY - RESUME\r\n".to_owned(),
            Statement::StepDown(term) => format!("QUERY - STEPDOWN {term}\r\n"),
        };
        connection.stream.write_all(text.as_bytes()).await?;
        let mut row = None;
        loop {
            let line = connection.line().await?;
            match Reply::parse(&line) {
                Some(Reply::Row(text)) => row = read_row(text),
                Some(Reply::Idle { .. }) => return Ok(row),
                Some(Reply::Error { code, text }) => {
                    log::debug!(
                        "event=ask_error id={} statement={statement:?} code={} text={text}",
                        whom.id,
                        code.word()
                    );
                }
                Some(Reply::Complete(_)) => {}
                None => return Err(ErrorKind::InvalidData.into()),
            }
        }
    })
    .await
}

async fn open(whom: &Whom) -> Result<Connection> {
    let stream = Async::<TcpStream>::connect(whom.endpoint).await?;
    frames::prepare(&stream, 1.5);
    let mut connection = Connection { stream, lines: LineBuffer::default() };
    let text = format!("CONNECT {} control {}\r\n", whom.service, whom.id);
    connection.stream.write_all(text.as_bytes()).await?;
    match Reply::parse(&connection.line().await?) {
        Some(Reply::Idle { .. }) => Ok(connection),
        // Somebody else is at this address now.
        Some(Reply::Error { code, .. }) if code.word() == "WRONGNODE" => Err(ErrorKind::NotFound.into()),
        Some(Reply::Error { code, .. }) => Err(Error::other(code.word())),
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

impl Connection {
    async fn line(&mut self) -> Result<Vec<u8>> {
        loop {
            if let Some(line) = self.lines.next().map_err(|e| Error::other(e.to_string()))? {
                return Ok(line.to_vec());
            }
            let mut bytes = [0; 512];
            match self.stream.read(&mut bytes).await? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.lines.feed(&bytes[..count]),
            }
        }
    }
}

/// The row of STATUS: role, term, position received, term held, lag in ms, busy, connections.
pub fn read_row(text: &[u8]) -> Option<Row> {
    let text = std::str::from_utf8(text).ok()?;
    let mut words = text.split_ascii_whitespace();
    let leader = words.next()? == "leader";
    let term = words.next()?.parse().ok()?;
    let received: Position = words.next()?.parse().ok()?;
    let held = words.next()?.parse().ok()?;
    Some(Row { leader, term, received: (received.term, received.number), held })
}
