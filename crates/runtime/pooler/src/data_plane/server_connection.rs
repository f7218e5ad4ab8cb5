//! A connection to a server.

use super::net::{self, Scratch, WriteError};
use crate::clock;
use async_io::Async;
use badgerstream_line_protocol::{Answer, Code, LineBuffer, Outcome, Position, Reply, State};
use badgerstream_pooling::connection::ConnectionState;
use std::net::{SocketAddr, TcpStream};

/// How long a connection may take to open, in seconds.
pub(super) const OPEN_TIMEOUT_S: f64 = 1.0;
/// A server that acknowledges no byte for so long is given up, in milliseconds.
pub(super) const USER_TIMEOUT_MS: u32 = 1800;
/// An answer longer than this is passed on in parts, in bytes.
pub(super) const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// A connection to a server, and what it holds.
pub(super) struct ServerConnection {
    stream: Async<TcpStream>,
    lines: LineBuffer,
    /// What it holds for sure.
    pub state: ConnectionState,
    /// Since when it rests, in seconds of the steady clock.
    pub idle_since: f64,
}

/// Why no connection was had; nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenError {
    /// No answer, or a connection refused or broken.
    Unreachable,
    /// Another server is at the address.
    WrongNode,
    /// The server has as many connections as it takes.
    Full,
    /// Any other refusal.
    Refused,
}

impl ServerConnection {
    /// Opens a connection to the server of this id, within `OPEN_TIMEOUT_S`; also where its log stands.
    pub(super) async fn open(
        endpoint: SocketAddr,
        service: &str,
        who: &str,
        id: &str,
        scratch: &Scratch,
    ) -> Result<(Self, Option<Position>), OpenError> {
        let opened = net::until(clock::now() + OPEN_TIMEOUT_S, async {
            let stream = net::connect(endpoint, USER_TIMEOUT_MS)
                .await
                .map_err(|_| OpenError::Unreachable)?;
            let hello = format!("CONNECT {service} {who} {id}\r\n");
            net::write(&stream, hello.as_bytes())
                .await
                .map_err(|_| OpenError::Unreachable)?;
            let mut lines = LineBuffer::default();
            loop {
                if let Some(line) = lines.next().map_err(|_| OpenError::Refused)? {
                    let position = match Reply::parse(line) {
                        Some(Reply::Idle {
                            state: State::Idle,
                            position,
                        }) => position,
                        Some(Reply::Error {
                            code: Code::WrongNode,
                            ..
                        }) => return Err(OpenError::WrongNode),
                        Some(Reply::Error {
                            code: Code::ConnLimit,
                            ..
                        }) => return Err(OpenError::Full),
                        _ => return Err(OpenError::Refused),
                    };
                    let connection = Self {
                        stream,
                        lines,
                        state: ConnectionState::default(),
                        idle_since: 0.0,
                    };
                    return Ok((connection, position));
                }
                match net::read(&stream, scratch, &mut lines).await {
                    Ok(n) if n > 0 => {}
                    // It took the connection and let go of it: it has too many, or it ends.
                    _ => return Err(OpenError::Full),
                }
            }
        });
        opened.await.unwrap_or(Err(OpenError::Unreachable))
    }

    /// The far end has closed it, or has said what nobody asked: of no more use.
    pub(super) fn is_unusable(&mut self, scratch: &Scratch) -> bool {
        !self.lines.is_empty()
            || !matches!(
                net::read_now(&self.stream, scratch, &mut self.lines),
                Ok(None)
            )
    }

    /// Sends lines.
    pub(super) async fn send(&self, bytes: &[u8]) -> Result<(), WriteError> {
        net::write(&self.stream, bytes).await
    }

    /// Waits for the rest of an answer. None if it has grown past `MAX_BUFFERED_ANSWER_BYTES`: pass `answer.raw` on, clear it, and call
    /// again. An error: the connection has broken off or speaks another language.
    pub(super) async fn read_answer(
        &mut self,
        answer: &mut Answer,
        scratch: &Scratch,
    ) -> Result<Option<Outcome>, ()> {
        loop {
            if let Some(outcome) = answer.take(&mut self.lines).map_err(drop)? {
                return Ok(Some(outcome));
            }
            if answer.raw.len() >= MAX_BUFFERED_ANSWER_BYTES {
                return Ok(None);
            }
            match net::read(&self.stream, scratch, &mut self.lines).await {
                Ok(n) if n > 0 => {}
                _ => return Err(()),
            }
        }
    }

    /// Nothing is left of an earlier answer.
    pub(super) fn is_clean(&self) -> bool {
        self.lines.is_empty()
    }

    /// Gives memory back before it rests.
    pub(super) fn prepare_for_idle(&mut self) {
        self.lines.shrink();
        self.idle_since = clock::now();
    }
}
