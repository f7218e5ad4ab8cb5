//! A server of the protocol that does to each statement what a script says, for tests of whoever speaks to one:
//! it answers, rejects, drips, breaks off, falls silent or speaks out of turn, and can stand still as a whole.

use crate::node::{self, greet, locked, send};
use badgerstream_postgres_protocol::message::{self, put, put_error, put_status};
use badgerstream_postgres_protocol::{Close, RingBuffer};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What is done to one statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// A row, whose value is what an INSERT wrote last to any key.
    Answer,
    /// 53300, to come back after so many milliseconds.
    Reject(Option<u64>),
    /// XX000.
    Fail,
    /// A row, so slowly: from one byte to the next.
    Drip(Duration),
    /// Half of a row, then the connection is over.
    BreakOff,
    /// Nothing, ever.
    Silence,
    /// A row, and a further one that nobody asked for.
    Twice,
    /// A row, and the connection is closed behind it.
    Leave,
}

type Script = dyn Fn(u64, &str) -> Turn + Send + Sync;

struct State {
    script: Box<Script>,
    asked: AtomicU64,
    open: AtomicU64,
    most_open: AtomicU64,
    still_until: Mutex<Option<Instant>>,
    written: Mutex<Vec<u8>>,
    /// What was asked and when, where it is kept.
    heard: Option<Mutex<Vec<(Instant, String)>>>,
}

/// It serves until its process ends.
#[derive(Clone)]
pub struct Scripted {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Scripted {
    /// The script is told the statement's number, from 0 on, and its text. With `keeps`, every one is kept.
    pub fn start(
        keeps: bool,
        script: impl Fn(u64, &str) -> Turn + Send + Sync + 'static,
    ) -> std::io::Result<Scripted> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            script: Box::new(script),
            asked: AtomicU64::new(0),
            open: AtomicU64::new(0),
            most_open: AtomicU64::new(0),
            still_until: Mutex::new(None),
            written: Mutex::default(),
            heard: keeps.then(Mutex::default),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || {
                    let open = state.open.fetch_add(1, Ordering::SeqCst) + 1;
                    state.most_open.fetch_max(open, Ordering::SeqCst);
                    let _ = state.serve(stream);
                    state.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Scripted { address, state })
    }

    /// All of it stands still from now on for so long; tells from when until when.
    pub fn pause(&self, length: Duration) -> (Instant, Instant) {
        let now = Instant::now();
        *locked(&self.state.still_until) = Some(now + length);
        (now, now + length)
    }

    pub fn asked(&self) -> u64 {
        self.state.asked.load(Ordering::SeqCst)
    }

    pub fn most_open(&self) -> u64 {
        self.state.most_open.load(Ordering::SeqCst)
    }

    /// What was asked, in the order in which it came.
    pub fn heard(&self) -> Vec<(Instant, String)> {
        self.state
            .heard
            .as_ref()
            .map(|heard| locked(heard).clone())
            .unwrap_or_default()
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> Result<(), Close> {
        let _ = stream.set_nodelay(true);
        let (mut input, mut output) = (
            RingBuffer::new(message::MAX_MESSAGE_BYTES),
            RingBuffer::new(message::MAX_MESSAGE_BYTES),
        );
        greet(&mut stream, &mut input)?;
        put(&mut output, b'R', &[&[0; 4]]);
        put(&mut output, b'Z', &[b"I"]);
        loop {
            send(&mut stream, &mut output)?;
            let (kind, body) = node::next(&mut stream, &mut input)?;
            if kind != b'Q' {
                return Err(Close::PeerClosed);
            }
            let text =
                String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            let turn = (self.script)(self.asked.fetch_add(1, Ordering::SeqCst), &text);
            if let Some(heard) = &self.heard {
                locked(heard).push((Instant::now(), text.clone()));
            }
            self.stand_still();
            self.answer(turn, &text, &mut stream, &mut output)?;
        }
    }

    fn stand_still(&self) {
        let until = *locked(&self.still_until);
        let left = until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        if !left.is_zero() {
            thread::sleep(left);
        }
    }

    fn answer(
        &self,
        turn: Turn,
        text: &str,
        stream: &mut TcpStream,
        output: &mut RingBuffer,
    ) -> Result<(), Close> {
        match turn {
            Turn::Reject(after) => {
                let detail = after.map_or(String::new(), |ms| ms.to_string());
                put_error(output, "ERROR", "53300", "rejected", &detail);
            }
            Turn::Fail => put_error(output, "ERROR", "XX000", "failed", ""),
            Turn::Silence => {
                // Until the client leaves.
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest);
                return Err(Close::PeerTimeout);
            }
            _ => self.row(text, output),
        }
        put(output, b'Z', &[b"I"]);
        match turn {
            Turn::Twice => {
                self.row(text, output);
                put(output, b'Z', &[b"I"]);
            }
            Turn::BreakOff => {
                let half = output.len() / 3;
                let bytes = output.take(half);
                stream.write_all(&bytes).map_err(|_| Close::IoError)?;
                let _ = stream.shutdown(Shutdown::Both);
                return Err(Close::IoError);
            }
            Turn::Drip(pause) => {
                while !output.is_empty() {
                    let byte = output.take(1);
                    stream.write_all(&byte).map_err(|_| Close::IoError)?;
                    thread::sleep(pause);
                }
            }
            Turn::Leave => {
                send(stream, output)?;
                return Err(Close::PeerClosed);
            }
            _ => {}
        }
        Ok(())
    }

    fn row(&self, text: &str, output: &mut RingBuffer) {
        let mut written = locked(&self.written);
        if text.starts_with("INSERT") {
            *written = node::value(text);
        }
        put_status(output, "as_of", "1767225600123");
        node::row(output, Some(&written), "SELECT 1");
    }
}
