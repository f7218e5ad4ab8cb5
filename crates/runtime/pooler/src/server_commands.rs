//! Sends the commands of the leader of the control machines to one database server, over one
//! connection.
//!
//! The control driver starts [`run`] for a server once it has a command for it, and passes further
//! commands through a channel; that task owns the connection. `docs/design/calls.md` says which
//! commands may be sent again. A connection whose exchange ended without an answer is reset and
//! never reused, so that bytes of the command which a network partition delays are lost.

use crate::exchange::{self, AuthorityError, ExchangeError, Progress};
use crate::{clock, net};
use async_channel::Receiver;
use async_io::Async;
use badgerstream_control::{CommandOutcome, ServerCommand, ServerStatus};
use badgerstream_line_protocol::{ErrorCode, LineBuffer, Position, ResponseLine};
use futures_lite::future;
use std::cell::RefCell;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use thiserror::Error as ThisError;

/// A connection without a command for this many seconds is closed.
pub const IDLE_TIMEOUT_S: f64 = 6.0;
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 512;

/// The server that commands are sent to.
#[derive(Clone, Debug)]
pub struct CommandTarget {
    /// The server's id, so that another server that reuses its address isn't mistaken for it.
    pub server_id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub endpoint: SocketAddr,
}

/// A command with the fencing token of the leader that decided on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencedCommand {
    /// The command.
    pub command: ServerCommand,
    /// The fencing token of the leader that decided on it.
    pub fencing_token: u64,
}

impl FencedCommand {
    /// Returns whether the command may run at any time and any number of times. All commands except
    /// `STATUS` change the server: a duplicate that arrives late may undo a later decision.
    pub fn is_idempotent(self) -> bool {
        self.command == ServerCommand::Status
    }

    fn line(self) -> String {
        match self.command {
            ServerCommand::Status => "QUERY - STATUS\r\n".to_owned(),
            ServerCommand::Pause(term) => format!("QUERY - PAUSE {term}\r\n"),
            ServerCommand::Resume => "QUERY - RESUME\r\n".to_owned(),
            ServerCommand::StepDown(term) => format!("QUERY - STEPDOWN {term}\r\n"),
        }
    }
}

/// Timeouts of a connection, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CommandTimeouts {
    /// Timeout for an answer.
    pub answer_s: f64,
    /// Timeout for the next command, after which the connection is closed; with 0 it is closed
    /// after each answer.
    pub idle_s: f64,
}

/// An unexpected reply of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
enum ReplyError {
    /// Another server now has the address.
    #[error("the server at this address has another id than the one in CONNECT")]
    WrongServer,
    /// The server answered `CONNECT` with another error of the line protocol, whose code this is.
    #[error("the server answered CONNECT with {0}")]
    Rejected(&'static str),
    /// The reply is not a line of the line protocol.
    #[error("the server's reply is not a valid line of the protocol")]
    Malformed,
}

impl From<ReplyError> for Error {
    fn from(error: ReplyError) -> Self {
        let kind = match error {
            ReplyError::WrongServer => ErrorKind::NotFound,
            ReplyError::Rejected(_) => ErrorKind::Other,
            ReplyError::Malformed => ErrorKind::InvalidData,
        };
        Error::new(kind, error)
    }
}

/// Sends the commands from the channel until none has arrived for the idle timeout, and reports the
/// outcome of each. `may_act` is called just before sending a command that only the present leader
/// may send.
pub async fn run(
    target: CommandTarget,
    commands: Receiver<FencedCommand>,
    timeouts: CommandTimeouts,
    may_act: impl Fn(FencedCommand) -> bool,
    report: impl Fn(FencedCommand, CommandOutcome),
) {
    let mut session = ServerSession {
        target,
        answer_timeout_s: timeouts.answer_s,
        connection: None,
    };
    while let Some(command) = next_command(&commands, timeouts.idle_s).await {
        let sent_at = clock::now();
        let outcome = match session.execute(command, &may_act).await {
            Ok(Some(status)) => CommandOutcome::Status {
                command: command.command,
                status,
                sent_at,
            },
            Ok(None) => CommandOutcome::Busy,
            Err(error) => session.outcome_of_error(command, &error),
        };
        report(command, outcome);
    }
    if let Some(connection) = session.connection {
        net::set_reset_on_close(&connection.stream, false);
    }
}

/// Returns the next command; `None` if the channel is closed or no command arrives within the idle
/// timeout.
async fn next_command(
    commands: &Receiver<FencedCommand>,
    idle_timeout_s: f64,
) -> Option<FencedCommand> {
    let idle = async {
        net::sleep(idle_timeout_s).await;
        None
    };
    future::or(async { commands.recv().await.ok() }, idle).await
}

/// The session with one server.
struct ServerSession {
    target: CommandTarget,
    answer_timeout_s: f64,
    /// `None` before the first exchange and after an exchange without an answer.
    connection: Option<ServerConnection>,
}

impl ServerSession {
    /// Sends a command and returns the status in the server's answer; `None` if the answer has
    /// none.
    async fn execute(
        &mut self,
        command: FencedCommand,
        may_act: &impl Fn(FencedCommand) -> bool,
    ) -> std::result::Result<Option<ServerStatus>, ExchangeError> {
        self.connection
            .take_if(|connection| !connection.is_usable());
        let reused = self.connection.is_some();
        match self.exchange(command, may_act).await {
            // The server may have closed the connection while it was idle: a new connection shows
            // whether the server is reachable.
            Err(error) if reused && may_retry(command, &error) => {
                self.exchange(command, may_act).await
            }
            result => result,
        }
    }

    async fn exchange(
        &mut self,
        command: FencedCommand,
        may_act: &impl Fn(FencedCommand) -> bool,
    ) -> std::result::Result<Option<ServerStatus>, ExchangeError> {
        let connection = self.connection.take();
        let target = &self.target;
        let answer_timeout_s = self.answer_timeout_s;
        let exchanged = exchange::run(answer_timeout_s, async |progress| {
            let mut connection = match connection {
                Some(connection) => connection,
                None => ServerConnection::open(target, answer_timeout_s).await?,
            };
            // If the process was suspended or partitioned since the command was decided on, another
            // machine may be the leader by now, so the command must not be sent.
            if !command.is_idempotent() && !may_act(command) {
                return Err(AuthorityError::NotLeader.into());
            }
            let status = connection
                .exchange(progress, command, &target.server_id)
                .await?;
            Ok((connection, status))
        });
        // On failure the connection has been dropped inside the exchange, which resets it.
        let (connection, status) = exchanged.await?;
        self.connection = Some(connection);
        Ok(status)
    }

    /// Logs a command that ended without an answer, and returns its outcome for the controller.
    fn outcome_of_error(&self, command: FencedCommand, error: &ExchangeError) -> CommandOutcome {
        log::debug!(
            "event=command_failed server={} command={:?} execution_outcome={:?} error={}",
            self.target.server_id,
            command.command,
            error.execution_outcome,
            error.error
        );
        match error.error.kind() {
            _ if error.is_authority_lost() => CommandOutcome::NotSent,
            ErrorKind::ConnectionRefused | ErrorKind::NotFound => CommandOutcome::Refused,
            _ => CommandOutcome::TimedOut,
        }
    }
}

/// Returns whether a command that failed on a reused connection may be sent again on a new one.
fn may_retry(command: FencedCommand, error: &ExchangeError) -> bool {
    let given_up = error.is_authority_lost() || error.error.kind() == ErrorKind::TimedOut;
    !given_up
        && error
            .execution_outcome
            .permits_retry(command.is_idempotent())
}

struct ServerConnection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
}

impl ServerConnection {
    /// Opens a connection and verifies with `CONNECT` that the server has the expected id.
    async fn open(target: &CommandTarget, answer_timeout_s: f64) -> Result<ServerConnection> {
        let stream = Async::<TcpStream>::connect(target.endpoint).await?;
        // The system drops bytes that are not acknowledged in time, even if this process is
        // suspended or killed meanwhile.
        net::try_set_options(&stream, answer_timeout_s);
        net::set_reset_on_close(&stream, true);
        let mut connection = ServerConnection {
            stream,
            lines: LineBuffer::default(),
        };
        let connect = format!(
            "CONNECT {} control {}\r\n",
            target.service, target.server_id
        );
        net::write(&connection.stream, connect.as_bytes())
            .await
            .map_err(|_| ErrorKind::BrokenPipe)?;
        match ResponseLine::parse(&connection.read_line().await?) {
            Some(ResponseLine::Idle { .. }) => Ok(connection),
            Some(ResponseLine::Error {
                code: ErrorCode::WrongNode,
                ..
            }) => Err(ReplyError::WrongServer.into()),
            Some(ResponseLine::Error { code, .. }) => {
                Err(ReplyError::Rejected(code.as_str()).into())
            }
            _ => Err(ReplyError::Malformed.into()),
        }
    }

    /// Returns whether the connection may be used for another exchange: the server has neither
    /// closed it nor sent unsolicited data.
    fn is_usable(&mut self) -> bool {
        let scratch = RefCell::new(vec![0; READ_BUFFER_BYTES]);
        self.lines.is_empty()
            && matches!(
                net::try_read(&self.stream, &scratch, &mut self.lines),
                Ok(None)
            )
    }

    async fn exchange(
        &mut self,
        progress: &Progress,
        command: FencedCommand,
        server_id: &str,
    ) -> Result<Option<ServerStatus>> {
        progress
            .send(&self.stream, command.line().as_bytes())
            .await?;
        let mut status = None;
        loop {
            let line = self.read_line().await?;
            match ResponseLine::parse(&line) {
                Some(ResponseLine::Row(text)) => status = parse_status(text),
                Some(ResponseLine::Idle { .. }) => return Ok(status),
                Some(ResponseLine::Error { code, text }) => {
                    log::debug!(
                        "event=command_rejected server={server_id} command={:?} code={} \
                         text={text}",
                        command.command,
                        code.as_str()
                    );
                }
                Some(ResponseLine::Complete(_)) => {}
                None => return Err(ReplyError::Malformed.into()),
            }
        }
    }

    async fn read_line(&mut self) -> Result<Vec<u8>> {
        let scratch = RefCell::new(vec![0; READ_BUFFER_BYTES]);
        loop {
            if let Some(line) = self
                .lines
                .next_line()
                .map_err(|e| Error::other(e.to_string()))?
            {
                return Ok(line.to_vec());
            }
            if net::read(&self.stream, &scratch, &mut self.lines).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Parses the row that answers `STATUS` (`line-protocol`): role, primary term, received position,
/// highest term, lag in ms, busy slots, connections. The last three are ignored. Returns `None` if
/// a field is missing or invalid.
pub fn parse_status(text: &[u8]) -> Option<ServerStatus> {
    let text = std::str::from_utf8(text).ok()?;
    let mut words = text.split_ascii_whitespace();
    let is_primary = words.next()? == "leader";
    let primary_term = words.next()?.parse().ok()?;
    let received: Position = words.next()?.parse().ok()?;
    let highest_term = words.next()?.parse().ok()?;
    Some(ServerStatus {
        is_primary,
        primary_term,
        received: (received.term, received.number),
        highest_term,
    })
}
