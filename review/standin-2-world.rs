//! Stand-ins of one database service and of the platform, as the users' pages describe them, and the record of what they ran.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVER_PORT: u16 = 8149;
pub const PLATFORM_PORT: u16 = 8783;
pub const SERVICE: &str = "db1";

/// One commit in the log. `prev` leads to the first entry.
pub struct Entry {
    pub term: u64,
    pub num: u64,
    pub index: usize,
    pub commit_id: String,
    pub writes: Vec<(String, String, String)>,
    pub at: f64,
    pub prev: Option<Arc<Entry>>,
}

/// One database server.
pub struct Srv {
    pub id: String,
    pub ip: String,
    pub up: bool,
    /// Connections of an older life are dropped.
    pub life: u64,
    /// Callers (the second field of CONNECT) from which nothing is read; "*" is everybody.
    pub dark_to: Vec<String>,
    /// Nobody new is let in: the port is closed, and connections of callers end.
    pub refusing: bool,
    pub leader: bool,
    pub term: u64,
    pub log: Vec<Arc<Entry>>,
    pub applied: usize,
    pub kv: HashMap<String, String>,
    pub held: u64,
    pub paused: bool,
    /// Receives nothing.
    pub deaf: bool,
    pub draining: bool,
    pub gone: bool,
    pub receive_s: f64,
    /// The receipt takes up to this much longer, by turns.
    pub wobble_s: f64,
    pub apply_s: f64,
    pub deposed_at: Option<f64>,
    pub seq: u64,
    /// Beats are sent from this moment on.
    pub beats_from: f64,
    pub drain_acked_at: Option<f64>,
    pub busy_until: f64,
    /// The part of answers that are lost after the statement ran.
    pub lose: f64,
}

/// A statement that a server ran.
#[derive(Clone)]
pub struct Run {
    pub qid: String,
    pub server: String,
    pub at: f64,
    pub stamp: String,
    pub rows: Vec<String>,
    pub last: Option<Arc<Entry>>,
    pub values: BTreeMap<String, String>,
    pub text: String,
}

#[derive(Default)]
pub struct Platform {
    /// A delay for each of the next calls.
    pub next_delays: std::collections::VecDeque<f64>,
    pub calls: Vec<(f64, String, u64)>,
}

pub struct World {
    pub servers: Vec<Srv>,
    pub runs: HashMap<String, Vec<Run>>,
    /// Commits whose success a client has read, with the time.
    pub acked: Vec<(f64, Arc<Entry>)>,
    pub entries: HashMap<String, Vec<Arc<Entry>>>,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    pub platform: Platform,
    pub stop: bool,
    pub rng: u64,
    pub sync: usize,
    pub promote_s: f64,
}

pub struct Shared {
    pub w: Mutex<World>,
    pub cv: Condvar,
    pub t0: Instant,
    pub net: String,
    pub controls: Vec<String>,
    pub beat_s: f64,
}

impl World {
    pub fn rnd(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }
    /// The newest leader, running or not.
    pub fn top(&self) -> usize {
        (0..self.servers.len())
            .filter(|i| self.servers[*i].leader)
            .max_by_key(|i| self.servers[*i].term)
            .unwrap_or_else(|| {
                // While nobody leads: whose log is furthest.
                (0..self.servers.len())
                    .max_by_key(|i| self.servers[*i].position())
                    .unwrap_or(0)
            })
    }
    pub fn find(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.id == id)
    }
}

pub fn contains(last: &Option<Arc<Entry>>, entry: &Arc<Entry>) -> bool {
    let mut at = last.clone();
    while let Some(e) = at {
        if e.index < entry.index {
            return false;
        }
        if e.index == entry.index {
            return Arc::ptr_eq(&e, entry);
        }
        at = e.prev.clone();
    }
    false
}

impl Srv {
    pub fn new(id: &str, ip: &str, leader: bool, receive_s: f64) -> Srv {
        let first = Arc::new(Entry {
            term: 1,
            num: 1,
            index: 0,
            commit_id: "first".into(),
            writes: Vec::new(),
            at: 0.0,
            prev: None,
        });
        Srv {
            id: id.into(),
            ip: ip.into(),
            up: true,
            life: 1,
            dark_to: Vec::new(),
            refusing: false,
            leader,
            term: 1,
            log: vec![first],
            applied: 1,
            kv: HashMap::new(),
            held: 0,
            paused: false,
            deaf: false,
            draining: false,
            gone: false,
            receive_s,
            wobble_s: 0.0,
            apply_s: 0.03,
            deposed_at: None,
            seq: 0,
            beats_from: 0.0,
            drain_acked_at: None,
            busy_until: 0.0,
            lose: 0.0,
        }
    }
    fn is_dark(&self, who: &str) -> bool {
        self.dark_to.iter().any(|d| d == "*" || d == who)
    }
    pub fn last_applied(&self) -> Option<Arc<Entry>> {
        self.applied.checked_sub(1).map(|i| self.log[i].clone())
    }
    pub fn position(&self) -> (u64, u64) {
        self.log.last().map_or((self.term, 0), |e| (e.term, e.num))
    }
    fn applied_position(&self) -> (u64, u64) {
        self.last_applied()
            .map_or((self.term, 0), |e| (e.term, e.num))
    }
    pub fn apply_to(&mut self, n: usize) {
        while self.applied < n {
            let e = self.log[self.applied].clone();
            for (k, v, _) in &e.writes {
                self.kv.insert(k.clone(), v.clone());
            }
            self.applied += 1;
        }
    }
    fn cut_to(&mut self, n: usize) {
        self.log.truncate(n);
        self.applied = 0;
        self.kv.clear();
        self.apply_to(n);
    }
    fn step_down(&mut self) {
        self.leader = false;
        self.deposed_at = None;
    }
}

impl Shared {
    pub fn now(&self) -> f64 {
        self.t0.elapsed().as_secs_f64()
    }
    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.w.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn note(&self, text: String) {
        let now = self.now();
        self.lock().record.push(format!("{now:9.3} {text}"));
    }
    pub fn broke(&self, rule: &str, text: String) {
        let now = self.now();
        let mut w = self.lock();
        let line = format!("{now:9.3} BROKEN {rule}: {text}");
        w.record.push(line.clone());
        w.broken.push(line);
    }
    pub fn add_server(self: &Arc<Self>, s: Srv) {
        let id = s.id.clone();
        self.lock().servers.push(s);
        let (a, b) = (self.clone(), self.clone());
        let other = id.clone();
        thread::spawn(move || a.listen(&id));
        thread::spawn(move || b.beat(&other));
    }
    /// Ends the life of a server's process. Its log stays.
    pub fn crash(&self, id: &str) {
        let mut w = self.lock();
        if let Some(i) = w.find(id) {
            w.servers[i].up = false;
            w.servers[i].life += 1;
            w.servers[i].paused = false;
            w.servers[i].held = 0;
        }
        drop(w);
        self.note(format!("server {id} crashes"));
    }
    pub fn start_again(&self, id: &str) {
        let mut w = self.lock();
        let top = w.top();
        if let Some(i) = w.find(id) {
            w.servers[i].up = true;
            if i != top {
                w.servers[i].step_down();
            }
        }
        drop(w);
        self.note(format!("server {id} is back"));
    }

    /// Replication, the application of the log, and old leaders that find the new one.
    pub fn replicate(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let now = self.now();
            let mut w = self.lock();
            if w.stop {
                return;
            }
            let top = w.top();
            let source_up = w.servers[top].up
                && w.servers[top].leader
                && !w.servers[top].is_dark("*")
                && !w.servers[top].is_dark("replicas");
            let (log, term) = (w.servers[top].log.clone(), w.servers[top].term);
            let mut moved = false;
            for i in 0..w.servers.len() {
                let s = &mut w.servers[i];
                if i == top || !s.up || s.gone {
                    continue;
                }
                let wave = 0.5 + 0.5 * (now * 2.3 + i as f64 * 2.1).sin();
                let receive_s = s.receive_s + s.wobble_s * wave;
                let reach = source_up && !s.is_dark("*") && !s.is_dark("replicas");
                if s.leader {
                    if reach && s.deposed_at.is_some_and(|at| now - at > 1.0) {
                        s.step_down();
                    }
                    continue;
                }
                if reach && !s.paused && !s.deaf {
                    let n = s.log.len();
                    if n > log.len() || (n > 0 && !Arc::ptr_eq(&s.log[n - 1], &log[n - 1])) {
                        let mut k = n.min(log.len());
                        while k > 0 && !Arc::ptr_eq(&s.log[k - 1], &log[k - 1]) {
                            k -= 1;
                        }
                        s.cut_to(k);
                        s.busy_until = now + 0.05;
                    }
                    s.term = term;
                    while s.log.len() < log.len() && log[s.log.len()].at + receive_s <= now {
                        let e = log[s.log.len()].clone();
                        s.log.push(e);
                        moved = true;
                    }
                }
                let mut n = s.applied;
                while n < s.log.len() && s.log[n].at + receive_s + s.apply_s <= now {
                    n += 1;
                }
                s.apply_to(n);
            }
            drop(w);
            if moved {
                self.cv.notify_all();
            }
        }
    }

    fn listen(self: Arc<Self>, id: &str) {
        let mut listener: Option<TcpListener> = None;
        loop {
            let (open, life, ip) = {
                let w = self.lock();
                if w.stop {
                    return;
                }
                let Some(i) = w.find(id) else { return };
                let s = &w.servers[i];
                if s.gone {
                    return;
                }
                (s.up && !s.refusing, s.life, s.ip.clone())
            };
            if !open {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(l) = &listener else {
                let address: SocketAddr = format!("{ip}:{SERVER_PORT}").parse().unwrap();
                if let Ok(l) = TcpListener::bind(address) {
                    let _ = l.set_nonblocking(true);
                    listener = Some(l);
                }
                continue;
            };
            match l.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (me, id) = (self.clone(), id.to_owned());
                    thread::spawn(move || me.serve(&id, life, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Returns the server's index if the connection still belongs to its life.
    fn alive(w: &World, id: &str, life: u64) -> Option<usize> {
        let i = w.find(id)?;
        let s = &w.servers[i];
        (!w.stop && s.up && s.life == life && !s.gone && !s.refusing).then_some(i)
    }

    fn serve(self: &Arc<Self>, id: &str, life: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut c = Conn::default();
        let mut buf: Vec<u8> = Vec::new();
        let mut bytes = [0u8; 4096];
        let mut dark_since: Option<f64> = None;
        loop {
            {
                let w = self.lock();
                let Some(i) = Self::alive(&w, id, life) else {
                    return;
                };
                let who = if c.who.is_empty() { "?" } else { &c.who };
                if w.servers[i].is_dark(who) {
                    let since = *dark_since.get_or_insert(self.now());
                    drop(w);
                    if self.now() - since > 3.0 {
                        return;
                    }
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                dark_since = None;
            }
            if let Some(at) = buf.windows(2).position(|b| b == b"\r\n") {
                let line = String::from_utf8_lossy(&buf[..at]).into_owned();
                buf.drain(..at + 2);
                let answer = self.line(id, life, &mut c, &line);
                let Some(answer) = answer else { return };
                // Darkness holds answers back too.
                loop {
                    let w = self.lock();
                    let Some(i) = Self::alive(&w, id, life) else {
                        return;
                    };
                    if !w.servers[i].is_dark(&c.who) {
                        break;
                    }
                    drop(w);
                    thread::sleep(Duration::from_millis(5));
                }
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut bytes) {
                Ok(0) => return,
                Ok(n) => buf.extend_from_slice(&bytes[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return,
            }
        }
    }

    fn line(self: &Arc<Self>, id: &str, life: u64, c: &mut Conn, line: &str) -> Option<String> {
        if c.who.is_empty() {
            let f: Vec<&str> = line.split(' ').collect();
            if f.len() < 3 || f[0] != "CONNECT" {
                return None;
            }
            c.who = f[2].to_owned();
            if f[1] != SERVICE || f.get(3).is_some_and(|want| *want != id) {
                return Some(format!("ERROR WRONGNODE {id}\r\n"));
            }
            thread::sleep(Duration::from_millis(10));
            let w = self.lock();
            let i = Self::alive(&w, id, life)?;
            let p = w.servers[i].applied_position();
            return Some(format!("IDLE I {}.{}\r\n", p.0, p.1));
        }
        if line == "BYE" {
            return None;
        }
        let rest = line.strip_prefix("QUERY ")?;
        let (qid, text) = rest.split_once(' ')?;
        let word = text.split(' ').next().unwrap_or("");
        if qid != "-" && matches!(word, "FETCH" | "PUT" | "EXECUTE" | "COMMIT" | "WAITPOS") {
            thread::sleep(Duration::from_millis(4));
        }
        let outcome = self.statement(id, life, c, qid, text)?;
        let mut w = self.lock();
        let i = Self::alive(&w, id, life)?;
        if qid != "-" && w.servers[i].lose > 0.0 {
            let lost = w.servers[i].lose;
            if w.rnd() < lost {
                drop(w);
                // The answer is lost: the connection stays silent, then ends.
                thread::sleep(Duration::from_millis(2500));
                return None;
            }
        }
        let s = &w.servers[i];
        let state = match &c.tx {
            None => 'I',
            Some(t) if t.failed => 'E',
            Some(_) => 'T',
        };
        let p = if outcome.received {
            s.position()
        } else {
            s.applied_position()
        };
        let mut out = String::new();
        for r in &outcome.rows {
            out.push_str(&format!("ROW {r}\r\n"));
        }
        match &outcome.end {
            Ok(stamp) => out.push_str(&format!("COMPLETE {stamp}\r\n")),
            Err(e) => out.push_str(&format!("ERROR {e}\r\n")),
        }
        out.push_str(&format!("IDLE {state} {}.{}\r\n", p.0, p.1));
        Some(out)
    }

    fn statement(
        self: &Arc<Self>,
        id: &str,
        life: u64,
        c: &mut Conn,
        qid: &str,
        text: &str,
    ) -> Option<Outcome> {
        let now = self.now();
        let mut w = self.lock();
        let i = Self::alive(&w, id, life)?;
        let (word, args) = text.split_once(' ').unwrap_or((text, ""));
        let status = |w: &World| {
            let s = &w.servers[i];
            let p = s.position();
            Outcome {
                rows: vec![format!(
                    "{} {} {}.{} {} 0 0 1",
                    if s.leader { "leader" } else { "follower" },
                    s.term,
                    p.0,
                    p.1,
                    s.held
                )],
                end: Ok("-".into()),
                received: true,
            }
        };
        match word {
            "STATUS" => return Some(status(&w)),
            "PAUSE" => {
                let t: u64 = args.parse().ok()?;
                let newest = w.servers.iter().map(|s| s.term).max().unwrap_or(0);
                let s = &mut w.servers[i];
                if !s.leader && t > newest {
                    s.paused = true;
                    s.held = s.held.max(t);
                }
                let line = format!(
                    "{now:9.3} {id} PAUSE {t}: paused {} at {:?}",
                    s.paused,
                    s.position()
                );
                w.record.push(line);
                return Some(status(&w));
            }
            "RESUME" => {
                let s = &mut w.servers[i];
                s.paused = false;
                s.held = 0;
                let line = format!("{now:9.3} {id} RESUME");
                w.record.push(line);
                return Some(status(&w));
            }
            "STEPDOWN" => {
                let t: u64 = args.parse().ok()?;
                let s = &mut w.servers[i];
                if s.leader && s.term < t {
                    s.step_down();
                }
                let line = format!("{now:9.3} {id} STEPDOWN {t}: leader {}", s.leader);
                w.record.push(line);
                drop(w);
                self.cv.notify_all();
                let w = self.lock();
                return Some(status(&w));
            }
            _ => {}
        }
        if now < w.servers[i].busy_until {
            return Some(Outcome::error("RETRY 50"));
        }
        let (text, word, args) = if word == "WAITPOS" {
            let (pos, rest) = args.split_once(' ')?;
            let (t, n) = pos.split_once('.')?;
            let want: (u64, u64) = (t.parse().ok()?, n.parse().ok()?);
            if w.servers[i].applied_position() < want {
                return Some(Outcome::error("LAGGING behind"));
            }
            let (word, args) = rest.split_once(' ').unwrap_or((rest, ""));
            (rest, word, args)
        } else {
            (text, word, args)
        };
        match word {
            "SET" => {
                let (k, v) = args.split_once(' ')?;
                c.values.insert(k.into(), v.into());
                return Some(Outcome::done());
            }
            "RESET" => {
                c.values.clear();
                c.prepared.clear();
                return Some(Outcome::done());
            }
            "PREPARE" => {
                let (n, rest) = args.split_once(' ')?;
                c.prepared.insert(n.into(), rest.into());
                return Some(Outcome::done());
            }
            "RELEASE" => {
                c.prepared.remove(args);
                return Some(Outcome::done());
            }
            "ABORT" => {
                c.tx = None;
                return Some(Outcome::done());
            }
            _ => {}
        }
        if c.tx.as_ref().is_some_and(|t| t.failed) {
            if word == "COMMIT" {
                c.tx = None;
                return Some(Outcome::error("ABORTED failed"));
            }
            return Some(Outcome::error("MALFORMED failed"));
        }
        let (kind, key, value) = match word {
            "BEGIN" => {
                let ro = args == "FETCH";
                if !ro && !w.servers[i].leader {
                    return Some(Outcome::error(&format!("READONLY {id}")));
                }
                c.tx = Some(Tx {
                    ro,
                    ..Tx::default()
                });
                return Some(Outcome::done());
            }
            "COMMIT" => ("COMMIT", String::new(), String::new()),
            "FETCH" => ("FETCH", args.to_owned(), String::new()),
            "PUT" => {
                let (k, v) = args.split_once(' ')?;
                ("PUT", k.to_owned(), v.to_owned())
            }
            "EXECUTE" => {
                let mut f = args.splitn(3, ' ');
                let (name, k, v) = (f.next()?, f.next().unwrap_or(""), f.next().unwrap_or(""));
                let Some(p) = c.prepared.get(name) else {
                    if let Some(t) = &mut c.tx {
                        t.failed = true;
                    }
                    return Some(Outcome::error(&format!("UNKNOWN {name}")));
                };
                let kind = if p.starts_with("PUT") { "PUT" } else { "FETCH" };
                let shape = p.split_once(' ').map_or("", |x| x.1);
                (kind, format!("{shape}/{k}"), v.to_owned())
            }
            _ => return Some(Outcome::error("MALFORMED what")),
        };
        let plain = c.tx.as_ref().is_none_or(|t| !t.ro);
        let in_tx = c.tx.is_some();
        let wrote = c.tx.as_ref().is_some_and(|t| !t.writes.is_empty());
        if !w.servers[i].leader
            && (kind == "PUT" || (in_tx && plain && !(kind == "COMMIT" && !wrote)))
        {
            if kind == "COMMIT" {
                c.tx = None;
            } else if let Some(t) = &mut c.tx {
                t.failed = true;
            }
            return Some(Outcome::error(&format!("READONLY {id}")));
        }
        w.rng ^= 0x9E37;
        let draw = (w.rnd() * 1e15) as u64;
        let stamp = format!("{}.{draw:x}.{i:x}", w.servers[i].term);
        let mut rows = Vec::new();
        if kind == "FETCH" {
            let own =
                c.tx.as_ref()
                    .and_then(|t| t.writes.iter().rev().find(|x| x.0 == key));
            let v = own
                .map(|x| x.1.clone())
                .or_else(|| w.servers[i].kv.get(&key).cloned());
            rows.extend(v);
        }
        let run = Run {
            qid: qid.into(),
            server: id.into(),
            at: now,
            stamp: stamp.clone(),
            rows: rows.clone(),
            last: w.servers[i].last_applied(),
            values: c.values.clone(),
            text: text.into(),
        };
        w.runs.entry(qid.into()).or_default().push(run);
        let commit = match (kind, &mut c.tx) {
            ("PUT", Some(t)) => {
                t.writes.push((key, value, qid.into()));
                None
            }
            ("PUT", None) => Some(vec![(key, value, qid.to_owned())]),
            ("COMMIT", _) => c.tx.take().map(|t| t.writes).filter(|x| !x.is_empty()),
            _ => None,
        };
        let Some(writes) = commit else {
            return Some(Outcome {
                rows,
                end: Ok(stamp),
                received: false,
            });
        };
        let s = &mut w.servers[i];
        let prev = s.log.last().cloned();
        let e = Arc::new(Entry {
            term: s.term,
            num: prev.as_ref().map_or(0, |p| p.num) + 1,
            index: s.log.len(),
            commit_id: qid.into(),
            writes,
            at: now,
            prev,
        });
        s.log.push(e.clone());
        let n = s.log.len();
        s.apply_to(n);
        w.entries.entry(qid.into()).or_default().push(e.clone());
        // The answer waits for `sync` replicas.
        loop {
            let have = (0..w.servers.len())
                .filter(|r| {
                    *r != i
                        && w.servers[*r]
                            .log
                            .get(e.index)
                            .is_some_and(|x| Arc::ptr_eq(x, &e))
                })
                .count();
            if have >= w.sync {
                return Some(Outcome {
                    rows,
                    end: Ok(stamp),
                    received: false,
                });
            }
            Self::alive(&w, id, life)?;
            if !w.servers[i].leader {
                return None;
            }
            let (again, _) = self
                .cv
                .wait_timeout(w, Duration::from_millis(5))
                .unwrap_or_else(|e| e.into_inner());
            w = again;
        }
    }

    // ---- platform ----

    pub fn run_platform(self: Arc<Self>, ip: &str) {
        let address: SocketAddr = format!("{ip}:{PLATFORM_PORT}").parse().unwrap();
        let listener = TcpListener::bind(address).expect("platform address");
        for stream in listener.incoming().flatten() {
            let me = self.clone();
            if me.lock().stop {
                return;
            }
            thread::spawn(move || me.platform_call(stream));
        }
    }

    fn platform_call(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Some((head, body)) = read_http(&mut stream) else {
            return;
        };
        let field = |name: &str| {
            let at = body.find(&format!("\"{name}\""))?;
            body[at..].split('"').nth(3).map(str::to_owned)
        };
        let fence = head
            .lines()
            .find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("x-fence-token:")
                    .map(|x| x.trim().to_owned())
            })
            .and_then(|x| x.parse::<u64>().ok())
            .unwrap_or(0);
        let Some(server) = field("id") else { return };
        let now = self.now();
        let delay = {
            let mut w = self.lock();
            w.platform.calls.push((now, server.clone(), fence));
            let d = w.platform.next_delays.pop_front();
            d.unwrap_or(0.0)
        };
        self.note(format!(
            "platform reads: promote {server}, fence {fence}, to be run in {delay:.1} s"
        ));
        thread::sleep(Duration::from_secs_f64(delay));
        let status = self.promote(&server);
        self.note(format!(
            "platform runs: promote {server}, fence {fence}: {status}"
        ));
        let _ = stream
            .write_all(format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }

    fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let w = self.lock();
        let Some(i) = w.find(id) else { return 409 };
        if !w.servers[i].up || w.servers[i].gone {
            return 409;
        }
        if w.top() == i && w.servers[i].leader {
            return 200;
        }
        let after = w.promote_s;
        drop(w);
        let (me, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(after));
            me.promote_now(&id);
        });
        200
    }

    fn promote_now(self: &Arc<Self>, id: &str) {
        let now = self.now();
        let mut w = self.lock();
        let Some(i) = w.find(id) else { return };
        if !w.servers[i].up || (w.top() == i && w.servers[i].leader) {
            return;
        }
        let term = w.servers.iter().map(|s| s.term).max().unwrap_or(0) + 1;
        let old = w.top();
        let current = w.servers[old].log.clone();
        for s in &mut w.servers {
            s.paused = false;
            s.held = 0;
            if s.leader {
                s.deposed_at = Some(now);
            }
        }
        let n = w.servers[i].log.len();
        w.servers[i].apply_to(n);
        w.servers[i].leader = true;
        w.servers[i].deposed_at = None;
        w.servers[i].term = term;
        let last = w.servers[i].log.last().cloned();
        let current = current.last().cloned();
        let lost: Vec<String> = w
            .acked
            .iter()
            .rev()
            .take(20000)
            .filter(|(_, e)| contains(&current, e) && !contains(&last, e))
            .map(|(at, e)| {
                format!(
                    "{}.{} ({}) acknowledged at {at:.3}",
                    e.term, e.num, e.commit_id
                )
            })
            .collect();
        let p = w.servers[i].position();
        drop(w);
        self.note(format!(
            "server {id} leads term {term} with its log up to {}.{}",
            p.0, p.1
        ));
        if !lost.is_empty() {
            self.broke(
                "LOST",
                format!(
                    "{id} is promoted and its log lacks {} acknowledged commits, the newest {}",
                    lost.len(),
                    lost[0]
                ),
            );
        }
        self.cv.notify_all();
    }

    // ---- beats ----

    fn beat(self: Arc<Self>, id: &str) {
        let mut next = 0;
        let mut told: Option<(bool, bool)> = None;
        let mut last = -100.0;
        loop {
            thread::sleep(Duration::from_millis(10));
            let now = self.now();
            let body = {
                let mut w = self.lock();
                if w.stop {
                    return;
                }
                let Some(i) = w.find(id) else { return };
                let s = &mut w.servers[i];
                if s.gone {
                    return;
                }
                let state = (s.leader, s.draining);
                let due = now - last >= self.beat_s || told != Some(state);
                if !s.up
                    || now < s.beats_from
                    || !due
                    || s.refusing
                    || s.is_dark("control")
                    || s.is_dark("*")
                {
                    continue;
                }
                s.seq += 1;
                told = Some(state);
                format!(
                    "{{\"backend\":\"{SERVICE}\",\"endpoint\":\"{}:{SERVER_PORT}\",\"zone\":\"z-a\",\"epoch\":\"v1\",\"capacity\":4,\"phase\":\"{}\",\"cold_left_ms\":0,\"db_role\":\"{}\",\"call_seq\":{}}}",
                    s.ip,
                    if s.draining { "draining" } else { "ready" },
                    if s.leader { "leader" } else { "follower" },
                    s.seq
                )
            };
            last = now;
            let draining = body.contains("draining");
            for _ in 0..self.controls.len() {
                let to = &self.controls[next % self.controls.len()];
                let answer = http(
                    to,
                    "POST",
                    &format!("/api/Members.Heartbeat/{id}"),
                    &[],
                    &body,
                    1.0,
                );
                if answer.as_ref().is_some_and(|a| a.0 < 300) {
                    if draining {
                        let at = self.now();
                        let mut w = self.lock();
                        if let Some(i) = w.find(id)
                            && w.servers[i].drain_acked_at.is_none()
                        {
                            w.servers[i].drain_acked_at = Some(at);
                            drop(w);
                            self.note(format!("that {id} drains is acknowledged"));
                        }
                    }
                    break;
                }
                next += 1;
            }
        }
    }

    pub fn depart(&self, id: &str) {
        for to in &self.controls {
            let answer = http(
                to,
                "POST",
                &format!("/api/Members.Depart/{id}"),
                &[],
                "",
                1.0,
            );
            if answer.is_some_and(|a| a.0 < 300) {
                break;
            }
        }
        self.note(format!("server {id} departs and ends"));
        let mut w = self.lock();
        if let Some(i) = w.find(id) {
            w.servers[i].up = false;
            w.servers[i].life += 1;
            w.servers[i].gone = true;
        }
    }
}

struct Outcome {
    rows: Vec<String>,
    end: Result<String, String>,
    received: bool,
}

impl Outcome {
    fn error(text: &str) -> Outcome {
        Outcome {
            rows: Vec::new(),
            end: Err(text.into()),
            received: false,
        }
    }
    fn done() -> Outcome {
        Outcome {
            rows: Vec::new(),
            end: Ok("-".into()),
            received: false,
        }
    }
}

#[derive(Default)]
struct Tx {
    ro: bool,
    writes: Vec<(String, String, String)>,
    failed: bool,
}

#[derive(Default)]
struct Conn {
    who: String,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
    tx: Option<Tx>,
}

pub fn read_http(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    let mut bytes = [0u8; 4096];
    loop {
        if let Some(at) = buf.windows(4).position(|b| b == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).into_owned();
            let length = head
                .lines()
                .find_map(|l| {
                    l.to_ascii_lowercase()
                        .strip_prefix("content-length:")
                        .map(|x| x.trim().to_owned())
                })
                .and_then(|x| x.parse::<usize>().ok())
                .unwrap_or(0);
            if buf.len() >= at + 4 + length {
                let body = String::from_utf8_lossy(&buf[at + 4..at + 4 + length]).into_owned();
                return Some((head, body));
            }
        }
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => buf.extend_from_slice(&bytes[..n]),
            _ => return None,
        }
    }
}

/// One HTTP call; the status and the body, or nothing within the time.
pub fn http(
    to: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout_s: f64,
) -> Option<(u16, String)> {
    let limit = Duration::from_secs_f64(timeout_s);
    let address: SocketAddr = to.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (k, v) in headers {
        head.push_str(&format!("{k}: {v}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (head, body) = read_http(&mut stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
