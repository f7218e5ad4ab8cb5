//! A node on sockets: `PostgreSQL`'s protocol, version 3, simple queries. Each connection has a thread.

use crate::group::{Entry, Group, Outcome, Written};
use crate::{Shape, now};
use badgerstream_postgres_protocol::comment::{Statement, inquiry_mark};
use badgerstream_postgres_protocol::message::{self, put, put_error, put_status};
use badgerstream_postgres_protocol::{Close, RingBuffer};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// What arrived at a node, for whoever judges a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A connection, by its startup message.
    Opened,
    /// One that was turned away, as the node holds as many as it takes.
    Full,
    Probe,
    /// A statement, by its id.
    Statement(String),
}

/// Something arrived: when (Unix time in microseconds), at which node of the list, from which address, and how
/// many connections the node held then.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub node: usize,
    pub from: Option<IpAddr>,
    pub held: usize,
    pub what: What,
}

/// Openings within so long count as lately, in load reports.
const LATELY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Doors {
    connections: HashMap<u64, TcpStream>,
    numbered: u64,
    armed: Option<Point>,
    /// When connections were opened, the last of them.
    opened: VecDeque<Instant>,
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
    /// Statements and handshakes in work, and who waits for one of them to end.
    busy: Mutex<usize>,
    freed: Condvar,
    /// Its work takes so many times as long, in thousandths.
    slower: AtomicU64,
    number: usize,
    sink: OnceLock<Sender<Arrival>>,
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
        shape: Shape,
        name: String,
        number: usize,
        group: u16,
        member: usize,
        store: Arc<Mutex<Group>>,
        port: u16,
    ) -> std::io::Result<Arc<Node>> {
        let listener = TcpListener::bind((shape.host, port))?;
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
            busy: Mutex::new(0),
            freed: Condvar::new(),
            slower: AtomicU64::new(1000),
            number,
            sink: OnceLock::new(),
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
                    let (number, held) = node.enter(&stream);
                    let _ = node.serve(stream, held);
                    locked(&node.doors).connections.remove(&number);
                });
            }
        });
    }

    /// Its number, and how many connections are held with it.
    fn enter(&self, stream: &TcpStream) -> (u64, usize) {
        let mut doors = locked(&self.doors);
        doors.numbered += 1;
        let number = doors.numbered;
        if let Ok(copy) = stream.try_clone() {
            doors.connections.insert(number, copy);
        }
        doors.opened.push_back(Instant::now());
        while doors
            .opened
            .pop_front_if(|at| at.elapsed() > LATELY)
            .is_some()
        {}
        (number, doors.connections.len())
    }

    /// From now on it tells of what arrives.
    pub fn tell(&self, sink: Sender<Arrival>) {
        // A second one is not heard.
        let _ = self.sink.set(sink);
    }

    fn arrived(&self, from: Option<IpAddr>, what: What) {
        if let Some(sink) = self.sink.get() {
            let at_us = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |t| t.as_micros() as u64);
            let held = locked(&self.doors).connections.len();
            let _ = sink.send(Arrival {
                at_us,
                node: self.number,
                from,
                held,
                what,
            });
        }
    }

    /// All of its work takes so many times as long from now on.
    pub fn slow(&self, times: f64) {
        self.slower.store((times * 1000.0) as u64, Ordering::SeqCst);
    }

    /// Ends its process: the listener closes and all connections break.
    pub fn kill(&self) {
        locked(&self.store).kill(self.member);
        if self.open.swap(false, Ordering::SeqCst) {
            // The accepting thread sees that it is over, and takes its listener with it.
            let _ = TcpStream::connect(self.dial);
        }
        locked(&self.doors)
            .connections
            .drain()
            .for_each(|(_, stream)| {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        self.hang(false);
        self.freed.notify_all();
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

    fn serve(&self, mut stream: TcpStream, held: usize) -> Result<(), Close> {
        let _ = stream.set_nodelay(true);
        let from = stream.peer_addr().ok().map(|peer| peer.ip());
        let (mut input, mut output) = (
            RingBuffer::new(message::MAX_MESSAGE_BYTES),
            RingBuffer::new(message::MAX_MESSAGE_BYTES),
        );
        greet(&mut stream, &mut input)?;
        let full = self.shape.connections > 0 && held > self.shape.connections;
        self.arrived(from, if full { What::Full } else { What::Opened });
        self.wait_while_hung();
        if full {
            put_error(
                &mut output,
                "FATAL",
                "53300",
                "it holds as many connections as it takes",
                "",
            );
            return send(&mut stream, &mut output);
        }
        if self.shape.handshake_us > 0 {
            self.spend(self.shape.handshake_us);
            self.leave();
        }
        put(&mut output, b'R', &[&[0; 4]]);
        put_status(&mut output, "server_version", "15.0");
        put(&mut output, b'Z', &[b"I"]);
        loop {
            send(&mut stream, &mut output)?;
            let (kind, body) = next(&mut stream, &mut input)?;
            if kind != b'Q' {
                return Err(Close::PeerClosed);
            }
            let epoch = locked(&self.store).epoch(self.member);
            self.wait_while_hung();
            let texts = message::strings(&body)?;
            let commit = self.answer(
                texts.first().copied().unwrap_or_default(),
                epoch,
                from,
                &mut output,
            )?;
            // It may have been hung meanwhile, or killed: then nothing more is said.
            self.wait_while_hung();
            if !self.open.load(Ordering::SeqCst) {
                return Err(Close::IoError);
            }
            self.tell_state(commit, &mut output);
            put(&mut output, b'Z', &[b"I"]);
        }
    }

    /// Role and position, the commit's own behind a write.
    fn tell_state(&self, commit: Option<u64>, output: &mut RingBuffer) {
        let store = locked(&self.store);
        let position = commit.unwrap_or_else(|| store.position(self.member, now()));
        put_status(
            output,
            "rank",
            if store.leads(self.member) {
                "source"
            } else {
                "copy"
            },
        );
        put_status(output, "as_of", &position.to_string());
        put_status(output, "vitals", &self.vitals(&store));
    }

    /// A load report: position and role, from where and since when the term's primary took over, connections
    /// held and opened lately.
    fn vitals(&self, store: &Group) -> String {
        let (held, lately) = {
            let doors = locked(&self.doors);
            let lately = doors
                .opened
                .iter()
                .rev()
                .take_while(|at| at.elapsed() <= LATELY)
                .count();
            (doors.connections.len(), lately)
        };
        format!("{},x4={held},x5={lately}", vitals(store, self.member))
    }

    fn answer(
        &self,
        text: &str,
        epoch: u64,
        from: Option<IpAddr>,
        output: &mut RingBuffer,
    ) -> Result<Option<u64>, Close> {
        if let Some(mark) = inquiry_mark(text) {
            self.outcome(mark, output);
            return Ok(None);
        }
        match Statement::parse(text) {
            Ok(s) => {
                if self.shape.loud {
                    println!("{}: {text}", self.name);
                }
                self.arrived(from, What::Statement(s.id.clone()));
                self.taken.fetch_add(1, Ordering::SeqCst);
                self.spend(self.shape.service_us);
                let done = self.statement(text, &s, epoch, output);
                self.leave();
                return done;
            }
            Err(_) if text == "SELECT 1" => {
                self.arrived(from, What::Probe);
                row(output, Some(b"1"), "SELECT 1");
            }
            Err(_) if text == "SHOW vitals" => {
                self.arrived(from, What::Probe);
                let told = self.vitals(&locked(&self.store));
                row(output, Some(told.as_bytes()), "SHOW");
            }
            Err((code, fault)) => put_error(output, "ERROR", code, fault, ""),
        }
        Ok(None)
    }

    /// One more is in work: it waits for a place and takes its time, longer while the node is cold or slow.
    fn spend(&self, service_us: u64) {
        let busy = locked(&self.busy);
        let full = |busy: &mut usize| *busy >= self.shape.slots && self.open.load(Ordering::SeqCst);
        let mut busy = self
            .freed
            .wait_while(busy, full)
            .unwrap_or_else(PoisonError::into_inner);
        *busy += 1;
        self.most_busy.fetch_max(*busy, Ordering::SeqCst);
        drop(busy);
        let age = now().saturating_sub(self.born.load(Ordering::SeqCst)) as f64;
        let warmed = (age / (self.shape.cold_ms as f64).max(1.0)).min(1.0);
        let warmth = self.shape.cold_from + (1.0 - self.shape.cold_from) * warmed;
        let slower = self.slower.load(Ordering::SeqCst) as f64 / 1000.0;
        let time = service_us as f64 * slower / warmth.max(0.01);
        if time >= 1.0 {
            thread::sleep(Duration::from_micros(time as u64));
        }
    }

    fn leave(&self) {
        *locked(&self.busy) -= 1;
        self.freed.notify_one();
    }

    fn statement(
        &self,
        text: &str,
        s: &Statement,
        epoch: u64,
        output: &mut RingBuffer,
    ) -> Result<Option<u64>, Close> {
        if !s.writes {
            let value = locked(&self.store).read(now(), self.member, &s.key);
            row(output, value.as_deref(), "SELECT 1");
            return Ok(None);
        }
        let armed = if locked(&self.store).leads(self.member) {
            locked(&self.doors).armed.take()
        } else {
            None
        };
        if armed == Some(Point::Before) {
            self.kill();
            return Err(Close::IoError);
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
            return Err(Close::IoError);
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
            Written::Blocked => Err(Close::IoError),
        }
    }

    fn outcome(&self, mark: &str, output: &mut RingBuffer) {
        if !self.shape.outcomes {
            return put_error(output, "ERROR", "0A000", "outcomes are not told here", "");
        }
        match locked(&self.store).outcome(now(), self.member, mark) {
            Outcome::Ran(value) => row(output, Some(&value), "SELECT 1"),
            Outcome::Never => {
                put_error(output, "ERROR", "02000", "it never ran and never will", "");
            }
            Outcome::Unknown => {
                put_error(output, "ERROR", "25006", "only the primary can tell", "");
            }
        }
    }
}

/// What a load report tells of the log.
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
pub(crate) fn greet(stream: &mut TcpStream, input: &mut RingBuffer) -> Result<(), Close> {
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
pub(crate) fn next(stream: &mut TcpStream, input: &mut RingBuffer) -> Result<(u8, Vec<u8>), Close> {
    loop {
        match message::next(input)? {
            Some(message) => return Ok(message),
            None => read(stream, input)?,
        }
    }
}

pub(crate) fn send(stream: &mut TcpStream, output: &mut RingBuffer) -> Result<(), Close> {
    while !output.is_empty() {
        stream
            .write_all(output.front())
            .map_err(|_| Close::IoError)?;
        output.skip(output.front().len());
    }
    Ok(())
}

fn read(stream: &mut TcpStream, input: &mut RingBuffer) -> Result<(), Close> {
    let count = stream.read(input.room()).map_err(|_| Close::IoError)?;
    input.filled(count);
    if count == 0 {
        Err(Close::PeerClosed)
    } else {
        Ok(())
    }
}

/// The bytes that an INSERT writes in hex behind `\x`.
pub(crate) fn value(text: &str) -> Vec<u8> {
    let hex = text
        .split_once("'\\x")
        .and_then(|(_, rest)| rest.split_once('\''))
        .map_or("", |(hex, _)| hex);
    let byte =
        |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or("0"), 16).unwrap_or(0);
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// One column `v` of type bytea, in binary; no record comes as null.
pub(crate) fn row(output: &mut RingBuffer, value: Option<&[u8]>, done: &str) {
    let described: [&[u8]; 6] = [
        &[0, 1],
        b"v\0",
        &[0; 6],
        &17u32.to_be_bytes(),
        &[255; 6],
        &[0, 1],
    ];
    put(output, b'T', &described);
    let length = value.map_or(-1, |v| v.len() as i32);
    put(
        output,
        b'D',
        &[&[0, 1], &length.to_be_bytes(), value.unwrap_or_default()],
    );
    put(output, b'C', &[done.as_bytes(), &[0]]);
}
