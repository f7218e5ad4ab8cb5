//! Makes a trace of real traffic: stands between clients and a server of the protocol, passes every byte on as it
//! came, and writes down each statement when its last byte is there. What it can't read it passes on all the
//! same, and counts.

use crate::trace::{Fault, Row, Writer};
use badgerstream_postgres_protocol::RingBuffer;
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_postgres_protocol::message;
use std::collections::{HashSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Marks that are remembered to tell a further attempt from a first one.
const MARKS: usize = 1 << 16;
/// Rows on their way to the file; who finds no room waits, so that nothing is lost.
const ROWS: usize = 1 << 14;
const PIECE: usize = 1 << 14;
/// A startup message longer than this is none.
const LONGEST_STARTUP: usize = 10_000;

/// What was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Recorded {
    pub rows: u64,
    /// Clients' own further attempts, which are marked so.
    pub retries: u64,
    /// Queries that are no statement of the protocol: passed on, not in the trace.
    pub unreadable: u64,
    pub connections: u64,
}

struct Book {
    start: Option<Instant>,
    seen: HashSet<String>,
    order: VecDeque<String>,
    recorded: Recorded,
    to: SyncSender<Row>,
}

type Shared = Arc<Mutex<Book>>;

/// Records until it is told to stop.
///
/// # Errors
/// The place can't be listened on, or the file can't be written.
pub fn record(
    listener: &TcpListener,
    server: SocketAddr,
    file: &Path,
    stop: &AtomicU8,
) -> Result<Recorded, Fault> {
    let place = || file.to_path_buf();
    let writer = Writer::new(file)?;
    listener
        .set_nonblocking(true)
        .map_err(|e| Fault::File(place(), e))?;
    let (to, from) = sync_channel(ROWS);
    let written = thread::spawn(move || write(writer, &from));
    let book = Book {
        start: None,
        seen: HashSet::new(),
        order: VecDeque::new(),
        recorded: Recorded::default(),
        to,
    };
    let book = Arc::new(Mutex::new(book));
    let mut streams: Vec<TcpStream> = Vec::new();
    let mut passing = Vec::new();
    while stop.load(Ordering::Relaxed) == 0 && !written.is_finished() {
        match listener.accept() {
            Ok((client, _)) => {
                streams.retain(|stream| stream.take_error().is_ok() && stream.peer_addr().is_ok());
                passing.retain(|thread: &thread::JoinHandle<()>| !thread.is_finished());
                streams.extend(client.try_clone().ok());
                locked(&book).recorded.connections += 1;
                let book = book.clone();
                passing.push(thread::spawn(move || drop(pass(&client, server, &book))));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(Duration::from_millis(5)),
            // One that left again before it was taken, or no descriptor: others may fare better.
            Err(_) => thread::sleep(Duration::from_millis(50)),
        }
    }
    for stream in streams {
        let _ = stream.shutdown(Shutdown::Both);
    }
    passing.into_iter().for_each(|thread| drop(thread.join()));
    let recorded = locked(&book).recorded;
    drop(book);
    match written.join() {
        Ok(result) => result.map(|()| recorded),
        Err(_) => Err(Fault::File(
            place(),
            std::io::Error::other("who writes has panicked"),
        )),
    }
}

fn locked(book: &Mutex<Book>) -> std::sync::MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write(mut writer: Writer, rows: &Receiver<Row>) -> Result<(), Fault> {
    rows.iter().try_for_each(|row| writer.row(&row))?;
    writer.close()
}

/// One client's connection, with one of its own to the server.
fn pass(client: &TcpStream, server: SocketAddr, book: &Shared) -> std::io::Result<()> {
    client.set_nonblocking(false)?;
    client.set_nodelay(true)?;
    let upstream =
        TcpStream::connect(server).inspect_err(|_| drop(client.shutdown(Shutdown::Both)))?;
    upstream.set_nodelay(true)?;
    let (mut answers, mut back) = (upstream.try_clone()?, client.try_clone()?);
    let returning = thread::spawn(move || {
        let _ = std::io::copy(&mut answers, &mut back);
        let _ = back.shutdown(Shutdown::Both);
    });
    let mut reading = Reading {
        startup: true,
        input: RingBuffer::new(message::MAX_MESSAGE_BYTES),
        lost: false,
    };
    let (mut from, mut to, mut piece) = (client, &upstream, vec![0; PIECE]);
    loop {
        let count = match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let queries = reading.queries(&piece[..count]);
        for text in queries {
            locked(book).query(&text);
        }
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    let _ = upstream.shutdown(Shutdown::Both);
    drop(returning.join());
    Ok(())
}

/// What a client's bytes hold.
struct Reading {
    startup: bool,
    input: RingBuffer,
    /// No longer understood: the rest is passed on unread.
    lost: bool,
}

impl Reading {
    fn queries(&mut self, bytes: &[u8]) -> Vec<String> {
        let mut queries = Vec::new();
        if self.lost {
            return queries;
        }
        self.input.push(bytes);
        if self.startup {
            let mut head = [0; 4];
            if self.input.len() < head.len() {
                return queries;
            }
            self.input.copy(0, &mut head);
            let length = u32::from_be_bytes(head) as usize;
            self.lost = !(8..LONGEST_STARTUP).contains(&length);
            if self.lost || self.input.len() < length {
                return queries;
            }
            self.input.skip(length);
            self.startup = false;
        }
        loop {
            match message::next(&mut self.input) {
                Ok(Some((b'Q', body))) => {
                    let texts = message::strings(&body).unwrap_or_default();
                    queries.extend(texts.first().map(|text| (*text).to_string()));
                }
                Ok(Some(_)) => {}
                Ok(None) => return queries,
                Err(_) => {
                    self.lost = true;
                    return queries;
                }
            }
        }
    }
}

impl Book {
    fn query(&mut self, text: &str) {
        // An empty query asks whether the server is there.
        if text.trim().is_empty() {
            return;
        }
        let Ok(statement) = Statement::parse(text) else {
            self.recorded.unreadable += 1;
            return;
        };
        let now = Instant::now();
        let start = *self.start.get_or_insert(now);
        let again = statement
            .mark
            .as_ref()
            .is_some_and(|mark| !self.first(mark));
        let retry = again || text.contains(",r=1") || text.contains(" r=1");
        self.recorded.rows += 1;
        self.recorded.retries += u64::from(retry);
        let row = Row {
            at_ms: (now - start).as_nanos() as f64 / 1e6,
            bytes: if statement.writes {
                value_bytes(text)
            } else {
                0
            },
            workload: statement.workload,
            customer: statement.customer,
            group: statement.group,
            // The quoted key names the session.
            session: statement.key.clone(),
            key: statement.key,
            writes: statement.writes,
            marked: statement.writes && statement.mark.is_some(),
            patience_ms: statement.wait_s * 1e3,
            slo_ms: 0.0,
            own: statement.after.is_some() && !statement.writes,
            retry,
        };
        // In the order of their moments, as the book is locked; who finds no room waits.
        let _ = self.to.send(row);
    }

    /// Whether a mark was not seen before.
    fn first(&mut self, mark: &str) -> bool {
        if !self.seen.insert(mark.to_string()) {
            return false;
        }
        self.order.push_back(mark.to_string());
        if self.order.len() > MARKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}

/// The size of the value that an INSERT carries in hex.
fn value_bytes(text: &str) -> u32 {
    let hex = text
        .split_once("'\\x")
        .and_then(|(_, rest)| rest.split_once('\''))
        .map_or("", |(hex, _)| hex);
    (hex.len() / 2) as u32
}
