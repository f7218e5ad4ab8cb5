//! A client of the line protocol: one session that runs one statement at a time. It neither
//! reconnects nor resends a statement.

use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, ResponseLine, ResponseReader, StatementResult};
use badgerstream_pooler::net::with_timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// A session with a database.
pub struct Client {
    stream: Async<TcpStream>,
    lines: LineBuffer,
    timeout_s: f64,
}

/// The response to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementResponse {
    /// Its lines, as received.
    pub text: String,
    /// The result of the statement.
    pub result: StatementResult,
}

impl StatementResponse {
    /// Returns the content of the first row, if there is one.
    pub fn first_row(&self) -> Option<&str> {
        self.text.lines().find_map(|line| line.strip_prefix("ROW "))
    }
}

impl Client {
    /// Opens a session with a database as `caller`. `timeout_s` is the timeout of each call, this
    /// one included.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        caller: &str,
        timeout_s: f64,
    ) -> Result<Self> {
        let stream = with_timeout(timeout_s, Async::<TcpStream>::connect(address)).await?;
        let mut client = Self {
            stream,
            lines: LineBuffer::default(),
            timeout_s,
        };
        with_timeout(timeout_s, client.open_session(database, caller)).await?;
        Ok(client)
    }

    async fn open_session(&mut self, database: &str, caller: &str) -> Result<()> {
        self.stream
            .write_all(format!("CONNECT {database} {caller}\r\n").as_bytes())
            .await?;
        loop {
            if let Some(line) = self.lines.next_line().map_err(Error::other)? {
                return match ResponseLine::parse(line) {
                    Some(ResponseLine::Idle { .. }) => Ok(()),
                    _ => Err(Error::other(String::from_utf8_lossy(line).into_owned())),
                };
            }
            self.receive().await?;
        }
    }

    /// Sends a statement and waits for its response. After an error it is unknown whether the
    /// statement ran, and the session must not be used again.
    pub async fn query(&mut self, id: &str, statement: &str) -> Result<StatementResponse> {
        with_timeout(self.timeout_s, async {
            self.stream
                .write_all(format!("QUERY {id} {statement}\r\n").as_bytes())
                .await?;
            let mut response = ResponseReader::default();
            loop {
                if let Some(result) = response.read(&mut self.lines).map_err(Error::other)? {
                    let text = String::from_utf8_lossy(&response.raw).into_owned();
                    return Ok(StatementResponse { text, result });
                }
                self.receive().await?;
            }
        })
        .await
    }

    async fn receive(&mut self) -> Result<()> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.lines.feed(&bytes[..count]);
                Ok(())
            }
        }
    }
}
