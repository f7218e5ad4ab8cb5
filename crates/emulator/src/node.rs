//! A node on sockets: PostgreSQL's protocol, version 3, simple queries. Each connection has a thread.

use crate::group::{Entry, Group, Outcome, Written};
use crate::{Shape, now};
use badgerstream_protocol::comment::{Statement, inquired};
use badgerstream_protocol::message::{self, put, put_error, put_status};
use badgerstream_protocol::{Close, Ring};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a write that can't be replicated, or waits for a place, looks again.
const AGAIN: Duration = Duration::from_millis(2);

/// Where in a write a primary is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    Before,
    /// It is in this member's log and in no other.
    During,
    /// It is applied and, in a synchronous store, replicated; its answer is not sent.
    After,
}

#[derive(Default)]
struct Doors {
    connections: HashMap<u64, TcpStream>,
    numbered: u64,
    armed: Option<Point>,
}

pub struct Node {
    pub name: String,
    pub group: u16,
    pub member: usize,
    pub dial: SocketAddr,
    shape: Shape,
    store: Arc<Mutex<Group>>,
    doors: Mutex<Doors>,
    open: AtomicBool,
    hung: Mutex<bool>,
    woken: Condvar,
    busy: AtomicUsize,
    /// The most statements that were in work here at once.
    pub most_busy: AtomicUsize,
    /// Statements of any kind that were begun here.
    pub taken: AtomicU64,
    /// Unix time in milliseconds; 0 for long ago.
    pub born: AtomicU64,
}

/// A panic of one connection's thread must not end the rig.
pub fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    pub fn start(
        shape: Shape, name: String, group: u16, member: usize, store: Arc<Mutex<Group>>, port: u16,
    ) -> std::io::Result<Arc<Node>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let node = Arc::new(Node {
            name,
            group,
            member,
            dial: listener.local_addr()?,
            shape,
            store,
            doors: Mutex::default(),
            open: AtomicBool::new(true),
            hung: Mutex::new(false),
            woken: Condvar::new(),
            busy: AtomicUsize::new(0),
            most_busy: AtomicUsize::new(0),
            taken: AtomicU64::new(0),
            born: AtomicU64::new(0),
        });
        node.clone().listen(listener);
        Ok(node)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !self.open.load(Ordering::SeqCst) {
                    break;
                }
                let node = self.clone();
                thread::spawn(move || {
                    let number = node.enter(&stream);
                    let _ = node.serve(stream);
                    locked(&node.doors).connections.remove(&number);
                });
            }
        });
    }

    fn enter(&self, stream: &TcpStream) -> u64 {
        let mut doors = locked(&self.doors);
        doors.numbered += 1;
        let number = doors.numbered;
        if let Ok(copy) = stream.try_clone() {
            doors.connections.insert(number, copy);
        }
        number
    }

    /// Ends its process: the listener closes and all connections break.
    pub fn kill(&self) {
        locked(&self.store).kill(self.member);
        if self.open.swap(false, Ordering::SeqCst) {
            // The accepting thread sees that it is over, and takes its listener with it.
            let _ = TcpStream::connect(self.dial);
        }
        locked(&self.doors).connections.drain().for_each(|(_, stream)| {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
        self.hang(false);
    }

    /// Starts it again at its address, cold.
    pub fn restart(self: &Arc<Self>) -> std::io::Result<()> {
        let mut tries = 0;
        let listener = loop {
            // The old listener may be on its way out.
            match TcpListener::bind(self.dial) {
                Ok(listener) => break listener,
                Err(_) if tries < 250 => tries += 1,
                Err(e) => return Err(e),
            }
            thread::sleep(AGAIN);
        };
        locked(&self.doors).armed = None;
        self.born.store(now(), Ordering::SeqCst);
        locked(&self.store).restart(now(), self.member);
        self.open.store(true, Ordering::SeqCst);
        self.clone().listen(listener);
        Ok(())
    }

    /// Kills it at this point of the next write that it begins.
    pub fn arm(&self, point: Point) {
        locked(&self.doors).armed = Some(point);
    }

    /// Says nothing more, or goes on where it stopped.
    pub fn hang(&self, hung: bool) {
        *locked(&self.hung) = hung;
        self.woken.notify_all();
    }

    fn wait_while_hung(&self) {
        let hung = locked(&self.hung);
        drop(self.woken.wait_while(hung, |hung| *hung));
    }

    fn serve(&self, mut stream: TcpStream) -> Result<(), Close> {
        let _ = stream.set_nodelay(true);
        let (mut input, mut output) = (Ring::new(message::LONGEST), Ring::new(message::LONGEST));
        greet(&mut stream, &mut input)?;
        self.wait_while_hung();
        put(&mut output, b'R', &[&[0; 4]]);
        put_status(&mut output, "server_version", "15.0");
        put(&mut output, b'Z', &[b"I"]);
        loop {
            send(&mut stream, &mut output)?;
            let (kind, body) = next(&mut stream, &mut input)?;
            if kind != b'Q' {
                return Err(Close::Left);
            }
            let epoch = locked(&self.store).epoch(self.member);
            self.wait_while_hung();
            let texts = message::strings(&body)?;
            let commit = self.answer(texts.first().copied().unwrap_or_default(), epoch, &mut output)?;
            // It may have been hung meanwhile, or killed: then nothing more is said.
            self.wait_while_hung();
            if !self.open.load(Ordering::SeqCst) {
                return Err(Close::Broken);
            }
            self.tell_state(commit, &mut output);
            put(&mut output, b'Z', &[b"I"]);
        }
    }

    /// Role and position, the commit's own behind a write.
    fn tell_state(&self, commit: Option<u64>, output: &mut Ring) {
        let store = locked(&self.store);
        let position = commit.unwrap_or_else(|| store.position(self.member, now()));
        put_status(output, "rank", if store.leads(self.member) { "source" } else { "copy" });
        put_status(output, "as_of", &position.to_string());
        put_status(output, "vitals", &vitals(&store, self.member));
    }

    fn answer(&self, text: &str, epoch: u64, output: &mut Ring) -> Result<Option<u64>, Close> {
        if let Some(mark) = inquired(text) {
            self.outcome(mark, output);
            return Ok(None);
        }
        match Statement::read(text) {
            Ok(s) => {
                if self.shape.loud {
                    println!("{}: {text}", self.name);
                }
                self.begin();
                let done = self.statement(text, &s, epoch, output);
                self.busy.fetch_sub(1, Ordering::SeqCst);
                return done;
            }
            Err(_) if text == "SELECT 1" => row(output, Some(b"1"), "SELECT 1"),
            Err(_) if text == "SHOW vitals" => {
                let told = vitals(&locked(&self.store), self.member);
                row(output, Some(told.as_bytes()), "SHOW");
            }
            Err((code, fault)) => put_error(output, "ERROR", code, fault, ""),
        }
        Ok(None)
    }

    /// One more is in work; it waits for a place and takes its time, longer while the node is cold.
    fn begin(&self) {
        let mut busy = self.busy.load(Ordering::SeqCst);
        loop {
            if busy >= self.shape.slots {
                thread::sleep(AGAIN);
                busy = self.busy.load(Ordering::SeqCst);
                continue;
            }
            match self.busy.compare_exchange(busy, busy + 1, Ordering::SeqCst, Ordering::SeqCst) {
                Ok(_) => break,
                Err(present) => busy = present,
            }
        }
        self.most_busy.fetch_max(busy + 1, Ordering::SeqCst);
        self.taken.fetch_add(1, Ordering::SeqCst);
        let age = now().saturating_sub(self.born.load(Ordering::SeqCst)) as f64;
        let warmed = (age / (self.shape.cold_ms as f64).max(1.0)).min(1.0);
        let warmth = self.shape.cold_from + (1.0 - self.shape.cold_from) * warmed;
        let time = self.shape.service_us as f64 / warmth.max(0.01);
        if time >= 1.0 {
            thread::sleep(Duration::from_micros(time as u64));
        }
    }

    fn statement(
        &self, text: &str, s: &Statement, epoch: u64, output: &mut Ring,
    ) -> Result<Option<u64>, Close> {
        if !s.writes {
            let value = locked(&self.store).read(now(), self.member, &s.key);
            row(output, value.as_deref(), "SELECT 1");
            return Ok(None);
        }
        let armed =
            if locked(&self.store).leads(self.member) { locked(&self.doors).armed.take() } else { None };
        if armed == Some(Point::Before) {
            self.kill();
            return Err(Close::Broken);
        }
        let written = loop {
            let entry = Entry {
                at: 0,
                term: 0,
                number: 0,
                mark: s.mark.clone(),
                statement: s.id.clone(),
                key: s.key.clone(),
                value: value(text),
            };
            let alone = armed == Some(Point::During);
            let written = locked(&self.store).write(now(), self.member, epoch, alone, entry);
            if written != Written::Blocked || !self.open.load(Ordering::SeqCst) {
                break written;
            }
            thread::sleep(AGAIN);
        };
        if armed.is_some() {
            self.kill();
            return Err(Close::Broken);
        }
        match written {
            Written::Done { at, value, .. } => {
                while now() < at {
                    thread::sleep(AGAIN / 4);
                }
                row(output, Some(&value), "INSERT 0 1");
                Ok(Some(at))
            }
            Written::NoPrimary => {
                put_error(output, "ERROR", "25006", "this is a replica", "");
                Ok(None)
            }
            Written::Blocked => Err(Close::Broken),
        }
    }

    fn outcome(&self, mark: &str, output: &mut Ring) {
        if !self.shape.outcomes {
            return put_error(output, "ERROR", "0A000", "outcomes are not told here", "");
        }
        match locked(&self.store).outcome(now(), self.member, mark) {
            Outcome::Ran(value) => row(output, Some(&value), "SELECT 1"),
            Outcome::Never => put_error(output, "ERROR", "02000", "it never ran and never will", ""),
            Outcome::Unknown => put_error(output, "ERROR", "25006", "only the primary can tell", ""),
        }
    }
}

/// A load report: position and role, and from where and since when the term's primary took over.
fn vitals(store: &Group, member: usize) -> String {
    let seconds = |ms: u64| format!("{}.{:03}", ms / 1000, ms % 1000);
    let (leads, position) = (store.leads(member), store.position(member, now()));
    let mut told = format!("x0={},x1={}", seconds(position), u8::from(leads));
    if let Some((branch, promoted)) = store.took_over(member) {
        told += &format!(",x2={},x3={}", seconds(branch), seconds(promoted));
    }
    told
}

/// Reads a startup message.
pub(crate) fn greet(stream: &mut TcpStream, input: &mut Ring) -> Result<(), Close> {
    while input.len() < 4 {
        read(stream, input)?;
    }
    let mut head = [0; 4];
    input.copy(0, &mut head);
    let length = u32::from_be_bytes(head) as usize;
    if !(8..10_000).contains(&length) {
        return Err(Close::Malformed("the startup's length can't be right"));
    }
    while input.len() < length {
        read(stream, input)?;
    }
    input.skip(length);
    Ok(())
}

/// The next whole message.
pub(crate) fn next(stream: &mut TcpStream, input: &mut Ring) -> Result<(u8, Vec<u8>), Close> {
    loop {
        match message::next(input)? {
            Some(message) => return Ok(message),
            None => read(stream, input)?,
        }
    }
}

pub(crate) fn send(stream: &mut TcpStream, output: &mut Ring) -> Result<(), Close> {
    while !output.is_empty() {
        stream.write_all(output.front()).map_err(|_| Close::Broken)?;
        output.skip(output.front().len());
    }
    Ok(())
}

fn read(stream: &mut TcpStream, input: &mut Ring) -> Result<(), Close> {
    let count = stream.read(input.room()).map_err(|_| Close::Broken)?;
    input.filled(count);
    if count == 0 { Err(Close::Left) } else { Ok(()) }
}

/// The bytes that an INSERT writes in hex behind `\x`.
pub(crate) fn value(text: &str) -> Vec<u8> {
    let hex = text.split_once("'\\x").and_then(|(_, rest)| rest.split_once('\'')).map_or("", |(hex, _)| hex);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or("0"), 16).unwrap_or(0);
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// One column `v` of type bytea, in binary; no record comes as null.
pub(crate) fn row(output: &mut Ring, value: Option<&[u8]>, done: &str) {
    let described: [&[u8]; 6] = [&[0, 1], b"v\0", &[0; 6], &17u32.to_be_bytes(), &[255; 6], &[0, 1]];
    put(output, b'T', &described);
    let length = value.map_or(-1, |v| v.len() as i32);
    put(output, b'D', &[&[0, 1], &length.to_be_bytes(), value.unwrap_or_default()]);
    put(output, b'C', &[done.as_bytes(), &[0]]);
}
