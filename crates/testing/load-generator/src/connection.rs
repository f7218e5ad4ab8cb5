//! One connection to a server of the protocol, one statement at a time: a machine over a socket that never
//! waits. Whoever owns it tells it when there is something to read or room to write.

use badgerstream_postgres_protocol::message::{self, put};
use badgerstream_postgres_protocol::node::Node;
use badgerstream_postgres_protocol::{Close, RingBuffer};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, socket_with, sockopt};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};

/// What a final answer said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Completed,
    /// To come back after so many milliseconds, where that was told.
    Rejected(Option<u64>),
    Aborted,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub told: Told,
    /// The record, where one was found.
    pub value: Option<Vec<u8>>,
    /// The position that came with it.
    pub position: Option<u64>,
}

/// Why a connection can't even be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unopened {
    Refused,
    /// The system has no descriptor, port or memory left for it.
    Short,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Greeting,
    Idle,
    Asking,
}

/// What came of reading or writing.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// It is open and free.
    Ready,
    /// The last byte of its statement was handed over.
    Written,
    /// The first byte of an answer.
    First,
    Answer(Answer),
}

pub struct Connection {
    stream: TcpStream,
    state: State,
    input: RingBuffer,
    output: RingBuffer,
    answer: Option<Answer>,
    position: Option<u64>,
    heard_any: bool,
    /// Statements that were asked on it.
    pub uses: u32,
}

impl Connection {
    /// # Errors
    /// It can't even be begun.
    pub fn open(server: SocketAddr) -> Result<Connection, Unopened> {
        let family = if server.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket =
            socket_with(family, SocketType::STREAM, flags, None).map_err(|_| Unopened::Short)?;
        sockopt::set_tcp_nodelay(&socket, true).map_err(|_| Unopened::Short)?;
        match rustix::net::connect(&socket, &server) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            // Ports for its own end have run out, or memory for one more.
            Err(Errno::ADDRNOTAVAIL | Errno::NOBUFS | Errno::NOMEM | Errno::AGAIN) => {
                return Err(Unopened::Short);
            }
            Err(_) => return Err(Unopened::Refused),
        }
        let mut output = RingBuffer::new(message::MAX_MESSAGE_BYTES);
        Node::start(&mut output);
        Ok(Connection {
            stream: TcpStream::from(socket),
            state: State::Opening,
            input: RingBuffer::new(message::MAX_MESSAGE_BYTES),
            output,
            answer: None,
            position: None,
            heard_any: false,
            uses: 0,
        })
    }

    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    /// Whether it came up at all.
    pub fn is_up(&self) -> bool {
        !matches!(self.state, State::Opening | State::Greeting)
    }

    /// Whether a byte of the present statement's answer has come.
    pub fn heard_any(&self) -> bool {
        self.heard_any
    }

    /// What had been said when it ended: `ReadyForQuery` is not needed behind an error or a whole row.
    pub fn last_word(&mut self) -> Option<Answer> {
        let mut answer = self.answer.take()?;
        answer.position = self.position;
        Some(answer)
    }

    /// Begins a statement.
    ///
    /// # Errors
    /// How the connection ended under it.
    pub fn ask(&mut self, text: &str, heard: &mut Vec<Heard>) -> Result<(), Close> {
        put(&mut self.output, b'Q', &[text.as_bytes(), &[0]]);
        (self.state, self.heard_any) = (State::Asking, false);
        (self.answer, self.position) = (None, None);
        self.uses += 1;
        self.write(heard)
    }

    /// There may be room, or something to read, or both; `ending` where the peer will send no more.
    ///
    /// # Errors
    /// How the connection ended; what was heard before stands in `heard`.
    pub fn turn(&mut self, ending: bool, heard: &mut Vec<Heard>) -> Result<(), Close> {
        if self.state == State::Opening {
            match sockopt::socket_error(&self.stream) {
                Ok(Ok(())) if self.stream.peer_addr().is_ok() => self.state = State::Greeting,
                // Woken before it is up.
                Ok(Ok(())) => return Ok(()),
                _ => return Err(Close::Refused),
            }
        }
        self.write(heard)?;
        self.read(ending, heard)
    }

    fn write(&mut self, heard: &mut Vec<Heard>) -> Result<(), Close> {
        if self.output.is_empty() {
            return Ok(());
        }
        while !self.output.is_empty() {
            match self.stream.write(self.output.front()) {
                Ok(count) => self.output.skip(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Close::IoError),
            }
        }
        if self.state == State::Asking {
            heard.push(Heard::Written);
        }
        Ok(())
    }

    fn read(&mut self, ending: bool, heard: &mut Vec<Heard>) -> Result<(), Close> {
        loop {
            let room = self.input.room();
            let size = room.len();
            match self.stream.read(room) {
                Ok(0) => return Err(Close::PeerClosed),
                Ok(count) => {
                    self.input.filled(count);
                    if self.state == State::Asking && !self.heard_any {
                        self.heard_any = true;
                        heard.push(Heard::First);
                    }
                    while let Some((kind, body)) = message::next(&mut self.input)? {
                        self.message(kind, &body, heard)?;
                    }
                    // Less than there was room for: nothing is left (epoll(7), questions and answers, 9), but for
                    // an end that came with it, of which no further event would tell.
                    if count < size && !ending {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Close::IoError),
            }
        }
    }

    fn message(&mut self, kind: u8, body: &[u8], heard: &mut Vec<Heard>) -> Result<(), Close> {
        match (self.state, kind) {
            (State::Greeting, b'Z') => {
                self.state = State::Idle;
                heard.push(Heard::Ready);
            }
            (State::Greeting, b'E') => return Err(Close::TooManyConnections),
            (State::Greeting, _) | (_, b'T' | b'C' | b'N') => {}
            (_, b'S') => self.status(body),
            (State::Asking, b'D') => {
                let value = message::only_value(body)?.map(<[u8]>::to_vec);
                self.told(Told::Completed, value)?;
            }
            (State::Asking, b'E') => {
                let told = failed(body)?;
                self.told(told, None)?;
            }
            (State::Asking, b'Z') => {
                let mut answer = self
                    .answer
                    .take()
                    .ok_or(Close::Malformed("an answer with neither row nor error"))?;
                answer.position = self.position;
                self.state = State::Idle;
                heard.push(Heard::Answer(answer));
            }
            // An answer out of turn can't be told from the next statement's.
            _ => return Err(Close::Malformed("the server speaks without being asked")),
        }
        Ok(())
    }

    fn told(&mut self, told: Told, value: Option<Vec<u8>>) -> Result<(), Close> {
        if self.answer.is_some() {
            return Err(Close::Malformed("two answers to one statement"));
        }
        self.answer = Some(Answer {
            told,
            value,
            position: None,
        });
        Ok(())
    }

    fn status(&mut self, body: &[u8]) {
        let texts = message::strings(body).unwrap_or_default();
        if let ["as_of", position] = texts[..] {
            self.position = position.parse().ok();
        }
    }
}

fn failed(body: &[u8]) -> Result<Told, Close> {
    let code = message::error_code(body)?;
    if ![*b"53300", *b"57P03"].contains(&code) {
        return Ok(Told::Aborted);
    }
    let detail = body
        .split(|b| *b == 0)
        .find_map(|field| field.strip_prefix(b"D"));
    let told = detail.and_then(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
    Ok(Told::Rejected(told))
}
