//! A client of the protocol: one connection, one statement at a time, each with one outcome.

use badgerstream_postgres_protocol::message::{self, put};
use badgerstream_postgres_protocol::node::Node;
use badgerstream_postgres_protocol::{Close, RingBuffer};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Beyond its own time a client waits so long, to tell a late answer from none.
const GRACE: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The value; none for a record that is not there.
    Completed(Option<Vec<u8>>),
    /// To come back after so many milliseconds, where that was told.
    Rejected(Option<u64>),
    Aborted(String),
    /// No final answer came.
    Unanswered(&'static str),
}

pub struct Client {
    router: SocketAddr,
    connection: Option<(TcpStream, RingBuffer)>,
    /// Statements sent again on a new connection, as the one they were sent on had been closed before.
    pub resent: usize,
}

/// Why there was no answer: nothing at all came, or the time was up.
enum Lost {
    Closed,
    Silent,
    Wrong,
}

impl Client {
    pub fn new(router: SocketAddr) -> Client {
        Client {
            router,
            connection: None,
            resent: 0,
        }
    }

    /// Sends a statement and waits for its final answer, as long as `wait` and a moment more.
    pub fn ask(&mut self, text: &str, wait: Duration) -> Outcome {
        let until = Instant::now() + wait + GRACE;
        let fresh = self.connection.is_none();
        let mut told = self.try_once(text, until);
        // A router may close a connection between requests; one that crosses it is sent once more.
        if let (Err(Lost::Closed), false) = (&told, fresh) {
            self.resent += 1;
            self.connection = None;
            told = self.try_once(text, until);
        }
        told.unwrap_or_else(|lost| {
            self.connection = None;
            Outcome::Unanswered(match lost {
                Lost::Closed => "closed",
                Lost::Silent => "silent",
                Lost::Wrong => "unreadable",
            })
        })
    }

    fn try_once(&mut self, text: &str, until: Instant) -> Result<Outcome, Lost> {
        if self.connection.is_none() {
            let stream = TcpStream::connect(self.router).map_err(|_| Lost::Closed)?;
            stream.set_nodelay(true).map_err(|_| Lost::Closed)?;
            let mut start = RingBuffer::new(message::MAX_MESSAGE_BYTES);
            Node::start(&mut start);
            let mut connection = (stream, RingBuffer::new(message::MAX_MESSAGE_BYTES));
            send(&mut connection.0, &mut start)?;
            loop {
                if next(&mut connection, until)?.0 == b'Z' {
                    break;
                }
            }
            self.connection = Some(connection);
        }
        let connection = self.connection.as_mut().ok_or(Lost::Closed)?;
        let mut query = RingBuffer::new(message::MAX_MESSAGE_BYTES);
        put(&mut query, b'Q', &[text.as_bytes(), &[0]]);
        send(&mut connection.0, &mut query)?;
        let mut outcome = None;
        loop {
            let (kind, body) = next(connection, until)?;
            match kind {
                b'D' => {
                    let value = message::only_value(&body).map_err(|_| Lost::Wrong)?;
                    outcome = Some(Outcome::Completed(value.map(<[u8]>::to_vec)));
                }
                b'E' => outcome = Some(failed(&body).map_err(|_| Lost::Wrong)?),
                b'Z' => return outcome.ok_or(Lost::Wrong),
                _ => {}
            }
        }
    }
}

fn failed(body: &[u8]) -> Result<Outcome, Close> {
    let code = message::error_code(body)?;
    let text = |field: u8| {
        let found = body
            .split(|b| *b == 0)
            .find_map(|part| part.strip_prefix(&[field]));
        found.map(|text| String::from_utf8_lossy(text).into_owned())
    };
    Ok(match &code {
        b"53300" | b"57P03" => Outcome::Rejected(text(b'D').and_then(|detail| detail.parse().ok())),
        _ => Outcome::Aborted(String::from_utf8_lossy(&code).into_owned()),
    })
}

fn send(stream: &mut TcpStream, ring: &mut RingBuffer) -> Result<(), Lost> {
    while !ring.is_empty() {
        stream.write_all(ring.front()).map_err(|_| Lost::Closed)?;
        ring.skip(ring.front().len());
    }
    Ok(())
}

fn next(connection: &mut (TcpStream, RingBuffer), until: Instant) -> Result<(u8, Vec<u8>), Lost> {
    let (stream, input) = connection;
    loop {
        if let Some(message) = message::next(input).map_err(|_| Lost::Wrong)? {
            return Ok(message);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Lost::Silent);
        }
        stream
            .set_read_timeout(Some(left))
            .map_err(|_| Lost::Closed)?;
        match stream.read(input.room()) {
            Ok(0) => {
                return Err(if input.is_empty() {
                    Lost::Closed
                } else {
                    Lost::Wrong
                });
            }
            Ok(count) => input.filled(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Lost::Silent);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(Lost::Closed),
        }
    }
}
