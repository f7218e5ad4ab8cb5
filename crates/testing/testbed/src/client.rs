//! A small client of the wire.

use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, ResponseLine, ResponseReader, StatementResult};
use badgerstream_pooler::net::with_timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// One session.
pub struct Client {
    stream: Async<TcpStream>,
    lines: LineBuffer,
    limit: f64,
}

/// The answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementResponse {
    /// Its lines as they came.
    pub text: String,
    /// How it ended.
    pub outcome: StatementResult,
}

impl StatementResponse {
    /// The first row, if there is one.
    pub fn row(&self) -> Option<&str> {
        self.text.lines().find_map(|line| line.strip_prefix("ROW "))
    }
}

impl Client {
    /// Opens a session with this database. Nothing here takes more than `limit` seconds.
    pub async fn open(at: SocketAddr, database: &str, who: &str, limit: f64) -> Result<Self> {
        let stream = with_timeout(limit, Async::<TcpStream>::connect(at)).await?;
        let mut client = Self {
            stream,
            lines: LineBuffer::default(),
            limit,
        };
        with_timeout(limit, async {
            client
                .stream
                .write_all(format!("CONNECT {database} {who}\r\n").as_bytes())
                .await?;
            loop {
                if let Some(line) = client.lines.next_line().map_err(Error::other)? {
                    return match ResponseLine::parse(line) {
                        Some(ResponseLine::Idle { .. }) => Ok(()),
                        _ => Err(Error::other(String::from_utf8_lossy(line).into_owned())),
                    };
                }
                client.read().await?;
            }
        })
        .await?;
        Ok(client)
    }

    /// Asks for one statement. After an error nobody knows whether it has run, and the session is of no more use.
    pub async fn ask(&mut self, id: &str, text: &str) -> Result<StatementResponse> {
        let limit = self.limit;
        with_timeout(limit, async {
            self.stream
                .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
                .await?;
            let mut answer = ResponseReader::default();
            loop {
                if let Some(outcome) = answer.read(&mut self.lines).map_err(Error::other)? {
                    let text = String::from_utf8_lossy(&answer.raw).into_owned();
                    return Ok(StatementResponse { text, outcome });
                }
                self.read().await?;
            }
        })
        .await
    }

    async fn read(&mut self) -> Result<()> {
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
