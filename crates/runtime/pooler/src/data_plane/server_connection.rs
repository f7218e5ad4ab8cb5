//! A connection to a database server: performs the handshake, sends lines and reads answers.
//!
//! The server's pool owns the connection while it is idle, a checkout owns it while a client uses
//! it. The connection records the session state that the server holds for it; its owners decide how
//! it is used.

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

/// Timeout for opening a connection, including the handshake, in seconds.
pub(super) const OPEN_TIMEOUT_S: f64 = 1.0;
/// A connection breaks when sent bytes stay unacknowledged for this long, in milliseconds
/// (`TCP_USER_TIMEOUT`).
pub(super) const USER_TIMEOUT_MS: u32 = 1800;
/// Maximum size of an answer that is buffered whole, in bytes; longer ones are forwarded in parts.
pub(super) const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// A connection to a server.
pub(super) struct ServerConnection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
    /// Session state that the server holds for this connection.
    pub(super) state: ConnectionState,
    /// Since when it has been idle, in seconds of the monotonic clock.
    pub(super) idle_since: f64,
}

/// Address and identity of the server that a connection is opened to.
pub(super) struct ServerAddress<'a> {
    /// Address at which it listens.
    pub(super) endpoint: SocketAddr,
    /// Its service.
    pub(super) service: &'a str,
    /// Its id.
    pub(super) server_id: &'a str,
}

/// An opened connection, and the server's position if the handshake reported it.
pub(super) struct OpenedConnection {
    pub(super) connection: ServerConnection,
    pub(super) position: Option<Position>,
}

/// Why a connection could not be opened. No statement has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The server did not answer in time, or the connection was refused or broke.
    Unreachable,
    /// Another server now has this address.
    WrongNode,
    /// The server has reached its connection limit.
    ConnectionLimit,
    /// The server answered the handshake with another error or an invalid line.
    Refused,
}

/// The connection broke before the end of an answer, or the server sent an invalid one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection to the server broke or sent invalid data before the end of an answer")]
pub(super) struct AnswerLost;

impl ServerConnection {
    /// Opens a connection to this server within [`OPEN_TIMEOUT_S`]. `router` is the router's name,
    /// sent in `CONNECT`.
    pub(super) async fn open(
        address: &ServerAddress<'_>,
        router: &str,
        scratch: &Scratch,
    ) -> Result<OpenedConnection, OpenError> {
        let handshake = Self::handshake(address, router, scratch);
        net::with_deadline(clock::now() + OPEN_TIMEOUT_S, handshake)
            .await
            .unwrap_or(Err(OpenError::Unreachable))
    }

    async fn handshake(
        address: &ServerAddress<'_>,
        router: &str,
        scratch: &Scratch,
    ) -> Result<OpenedConnection, OpenError> {
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
                // The server accepted the connection and then closed it: it has reached its
                // connection limit or is shutting down.
                _ => return Err(OpenError::ConnectionLimit),
            }
        };
        let connection = Self {
            stream,
            lines,
            state: ConnectionState::default(),
            idle_since: 0.0,
        };
        Ok(OpenedConnection {
            connection,
            position,
        })
    }

    /// Returns whether the server has closed the connection or sent unsolicited data, so that it
    /// can't be reused.
    pub(super) fn is_unusable(&mut self, scratch: &Scratch) -> bool {
        !self.lines.is_empty()
            || !matches!(
                net::try_read(&self.stream, scratch, &mut self.lines),
                Ok(None)
            )
    }

    /// Sends complete protocol lines.
    pub(super) async fn send(&self, bytes: &[u8]) -> Result<(), WriteError> {
        net::write(&self.stream, bytes).await
    }

    /// Waits for the rest of an answer. Returns `None` when the buffered part has reached
    /// [`MAX_BUFFERED_ANSWER_BYTES`]: the caller then forwards `answer.raw`, clears it and calls
    /// again.
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

    /// Returns whether no unread bytes of an earlier answer are left.
    pub(super) fn is_clean(&self) -> bool {
        self.lines.is_empty()
    }

    /// Shrinks the line buffer and records that the connection is idle from now on.
    pub(super) fn prepare_for_idle(&mut self) {
        self.lines.shrink();
        self.idle_since = clock::now();
    }
}

/// Returns the position in a server's answer to `CONNECT`, if it carries one.
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
        }) => Err(OpenError::ConnectionLimit),
        _ => Err(OpenError::Refused),
    }
}
