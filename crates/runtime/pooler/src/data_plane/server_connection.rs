//! A connection to a database server: the handshake, and lines out and answers in.
//!
//! The pool of the server owns it while it is idle, a checkout while a client uses it. It knows
//! what session state it holds, and decides nothing.

use crate::clock;
use crate::net::{self, Scratch, WriteError};
use async_io::Async;
use badgerstream_line_protocol::{
    ErrorCode, LineBuffer, Position, ResponseLine, ResponseReader, StatementResult,
    TransactionState,
};
use badgerstream_pooling::connection::ConnectionState;
use std::net::{SocketAddr, TcpStream};
use thiserror::Error;

/// How long opening a connection may take, with the handshake, in seconds.
pub(super) const OPEN_TIMEOUT_S: f64 = 1.0;
/// After how many milliseconds without acknowledgement of a byte a connection breaks
/// (`TCP_USER_TIMEOUT`).
pub(super) const USER_TIMEOUT_MS: u32 = 1800;
/// An answer longer than this is forwarded in parts, in bytes.
pub(super) const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// A connection to a server.
pub(super) struct ServerConnection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
    /// The session state that it holds.
    pub(super) state: ConnectionState,
    /// Since when it is idle, in seconds of the monotonic clock.
    pub(super) idle_since: f64,
}

/// The server that a connection is opened to.
pub(super) struct ServerAddress<'a> {
    /// Where it listens.
    pub(super) endpoint: SocketAddr,
    /// Its service.
    pub(super) service: &'a str,
    /// Its id.
    pub(super) server_id: &'a str,
}

/// A connection that was opened, and the server's position if it said so.
pub(super) struct Opened {
    pub(super) connection: ServerConnection,
    pub(super) position: Option<Position>,
}

/// Why a connection could not be opened; nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenError {
    /// No answer in time, or the connection was refused or broke.
    Unreachable,
    /// Another server is at the address.
    WrongNode,
    /// The server has as many connections as it takes.
    Full,
    /// Any other refusal.
    Refused,
}

/// The connection broke while an answer was awaited, or what came is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection to the server broke before the end of an answer")]
pub(super) struct AnswerLost;

impl ServerConnection {
    /// Opens a connection to this server, within [`OPEN_TIMEOUT_S`]. `router` is the name that the
    /// server is given in `CONNECT`.
    pub(super) async fn open(
        address: &ServerAddress<'_>,
        router: &str,
        scratch: &Scratch,
    ) -> Result<Opened, OpenError> {
        let handshake = Self::handshake(address, router, scratch);
        net::until(clock::now() + OPEN_TIMEOUT_S, handshake)
            .await
            .unwrap_or(Err(OpenError::Unreachable))
    }

    async fn handshake(
        address: &ServerAddress<'_>,
        router: &str,
        scratch: &Scratch,
    ) -> Result<Opened, OpenError> {
        let stream = net::connect(address.endpoint, USER_TIMEOUT_MS)
            .await
            .map_err(|_| OpenError::Unreachable)?;
        let (service, server_id) = (address.service, address.server_id);
        let connect = format!("CONNECT {service} {router} {server_id}\r\n");
        net::write(&stream, connect.as_bytes())
            .await
            .map_err(|_| OpenError::Unreachable)?;
        let mut lines = LineBuffer::default();
        let position = loop {
            if let Some(line) = lines.next_line().map_err(|_| OpenError::Refused)? {
                break greeting_position(line)?;
            }
            match net::read(&stream, scratch, &mut lines).await {
                Ok(n) if n > 0 => {}
                // It accepted the connection and closed it: it has too many, or it shuts down.
                _ => return Err(OpenError::Full),
            }
        };
        let connection = Self {
            stream,
            lines,
            state: ConnectionState::default(),
            idle_since: 0.0,
        };
        Ok(Opened {
            connection,
            position,
        })
    }

    /// Whether the server has closed it, or sent what nothing asked for: it is of no more use.
    pub(super) fn is_unusable(&mut self, scratch: &Scratch) -> bool {
        !self.lines.is_empty()
            || !matches!(
                net::read_now(&self.stream, scratch, &mut self.lines),
                Ok(None)
            )
    }

    /// Sends complete lines.
    pub(super) async fn send(&self, bytes: &[u8]) -> Result<(), WriteError> {
        net::write(&self.stream, bytes).await
    }

    /// Waits for the rest of an answer. None once it is longer than
    /// [`MAX_BUFFERED_ANSWER_BYTES`]: forward `answer.raw`, clear it, and call again.
    pub(super) async fn read_answer(
        &mut self,
        answer: &mut ResponseReader,
        scratch: &Scratch,
    ) -> Result<Option<StatementResult>, AnswerLost> {
        loop {
            if let Some(outcome) = answer.read(&mut self.lines).map_err(|_| AnswerLost)? {
                return Ok(Some(outcome));
            }
            if answer.raw.len() >= MAX_BUFFERED_ANSWER_BYTES {
                return Ok(None);
            }
            match net::read(&self.stream, scratch, &mut self.lines).await {
                Ok(n) if n > 0 => {}
                _ => return Err(AnswerLost),
            }
        }
    }

    /// Whether nothing is left of an earlier answer.
    pub(super) fn is_clean(&self) -> bool {
        self.lines.is_empty()
    }

    /// Frees buffers before it becomes idle.
    pub(super) fn prepare_for_idle(&mut self) {
        self.lines.shrink();
        self.idle_since = clock::now();
    }
}

/// The position that a server's answer to `CONNECT` carries.
fn greeting_position(line: &[u8]) -> Result<Option<Position>, OpenError> {
    match ResponseLine::parse(line) {
        Some(ResponseLine::Idle {
            state: TransactionState::Idle,
            position,
        }) => Ok(position),
        Some(ResponseLine::Error {
            code: ErrorCode::WrongNode,
            ..
        }) => Err(OpenError::WrongNode),
        Some(ResponseLine::Error {
            code: ErrorCode::ConnLimit,
            ..
        }) => Err(OpenError::Full),
        _ => Err(OpenError::Refused),
    }
}
