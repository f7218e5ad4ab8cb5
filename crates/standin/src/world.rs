//! The rules of the databases and of the platform, without sockets and clock: whoever owns those hands in seconds and
//! what was said, and takes out what is answered.
//!
//! Time is taken in steps of its own: [`World::step`] does all that is due, in order, and [`World::next`] tells when it
//! is to be called again.

use crate::ledger::Ledger;
use crate::replica::{Commit, Replica};
use badgerstream_calls::members::{DbRole, Heartbeat, Phase};
use badgerstream_wire::{Code, Kind, Position, Request, State, Text};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Statements that wait for a slot of one server, at most; more are answered `RETRY`.
const WAITING: usize = 200;

/// A connection to a server, by a number that is never used again.
pub type Conn = u64;

/// Spans of the world, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// What a new connection occupies a slot for.
    pub open: f64,
    /// What a read, a write or a commit occupies a slot for.
    pub work: f64,
    /// From the primary to a replica, one way.
    pub network: f64,
    /// From when a replica has received a commit until reads see it.
    pub apply: f64,
    /// From the platform's answer until the named server leads.
    pub promote: f64,
    /// For so long a replica that was cut back answers nothing.
    pub cut: f64,
    /// For so long a replaced primary goes on by itself.
    pub lead_on: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { open: 0.012, work: 0.004, network: 0.0014, apply: 0.06, promote: 0.3, cut: 0.05, lead_on: 1.0 }
    }
}

/// A service to be played.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// How many replicas receive a commit before it is answered.
    pub sync_replicas: u32,
    /// Connections that a server takes from all callers together.
    pub max_conns: usize,
    /// Statements that a server runs at a time.
    pub slots: usize,
    /// Its servers; the first one leads.
    pub servers: Vec<ServerSpec>,
}

/// A server to be played.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Its id, like no other's.
    pub id: String,
    /// Where it is reached.
    pub endpoint: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
}

/// What is to be done on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Out {
    /// To be written.
    Say(Conn, String),
    /// To be closed, once all before it is written.
    Close(Conn),
}

/// What a statement does while it occupies a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Work {
    Open,
    Status,
    Read { thing: String },
    Write { thing: String, data: String },
    Commit,
}

#[derive(Debug, Clone)]
struct Job {
    conn: Conn,
    id: String,
    work: Work,
}

#[derive(Debug, Clone)]
struct Transaction {
    fetch: bool,
    failed: bool,
    /// The term that its server led in when it began.
    term: u64,
    ids: Vec<String>,
    puts: Vec<(String, String)>,
}

#[derive(Debug)]
struct Session {
    server: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (Kind, String)>,
    transaction: Option<Transaction>,
    statements: u64,
}

/// A commit whose answer waits for a replica.
#[derive(Debug)]
struct Unanswered {
    conn: Conn,
    position: Position,
    stamp: String,
    writes: u64,
}

#[derive(Debug)]
struct Server {
    spec: ServerSpec,
    service: String,
    running: bool,
    draining: bool,
    leads: bool,
    /// The term that it leads or follows.
    term: u64,
    /// It receives nothing, and holds this term.
    paused: Option<u64>,
    copy: Replica,
    /// Since when another leads, while this one goes on.
    deposed: Option<f64>,
    busy_until: f64,
    conns: usize,
    running_jobs: Vec<(f64, Job)>,
    waiting: VecDeque<Job>,
    unanswered: VecDeque<Unanswered>,
    call_seq: u64,
}

#[derive(Debug)]
struct Service {
    spec: ServiceSpec,
    term: u64,
    /// Who is to lead, and from when.
    promotions: Vec<(f64, String)>,
    /// The highest fence seen.
    fence: u64,
    /// The furthest commit that was answered and is still in the log.
    answered: Position,
}

/// All services, and what the platform knows of them.
#[derive(Debug)]
pub struct World {
    timing: Timing,
    fencing: bool,
    seed: u64,
    now: f64,
    services: BTreeMap<String, Service>,
    servers: BTreeMap<String, Server>,
    sessions: HashMap<Conn, Session>,
    next: Conn,
    out: Vec<Out>,
    /// What was seen of the users' rules.
    pub ledger: Ledger,
}

impl World {
    /// All servers run, and each service's first one leads term 1. With `fencing` the platform refuses a fence below one
    /// that it has seen. The seed makes the stamps.
    pub fn new(services: Vec<ServiceSpec>, timing: Timing, fencing: bool, seed: u64) -> Self {
        let mut world = Self {
            timing,
            fencing,
            seed,
            now: 0.0,
            services: BTreeMap::new(),
            servers: BTreeMap::new(),
            sessions: HashMap::new(),
            next: 0,
            out: Vec::new(),
            ledger: Ledger::default(),
        };
        for service in services {
            for (at, spec) in service.servers.iter().enumerate() {
                let server = Server {
                    spec: spec.clone(),
                    service: service.name.clone(),
                    running: true,
                    draining: false,
                    leads: at == 0,
                    term: 1,
                    paused: None,
                    copy: Replica::new(1),
                    deposed: None,
                    busy_until: 0.0,
                    conns: 0,
                    running_jobs: Vec::new(),
                    waiting: VecDeque::new(),
                    unanswered: VecDeque::new(),
                    call_seq: 0,
                };
                world.servers.insert(spec.id.clone(), server);
            }
            let start = Position { term: 1, number: 0 };
            let name = service.name.clone();
            let state = Service { spec: service, term: 1, promotions: Vec::new(), fence: 0, answered: start };
            world.services.insert(name, state);
        }
        world
    }

    /// The ids of all servers, running or not.
    pub fn ids(&self) -> Vec<String> {
        self.servers.keys().cloned().collect()
    }

    /// Where a server is reached, while it runs.
    pub fn endpoint(&self, id: &str) -> Option<SocketAddr> {
        self.servers.get(id).filter(|s| s.running).map(|s| s.spec.endpoint)
    }

    /// Who leads a service in its newest term, if that one runs.
    pub fn primary(&self, service: &str) -> Option<&str> {
        let term = self.services.get(service)?.term;
        let leads = |s: &&Server| s.service == service && s.running && s.leads && s.term == term;
        self.servers.values().find(leads).map(|s| s.spec.id.as_str())
    }

    /// What a server's reads see of a thing.
    pub fn read(&self, id: &str, thing: &str) -> Option<&str> {
        self.servers.get(id)?.copy.get(thing)
    }

    /// The row of `STATUS`.
    pub fn status(&self, id: &str) -> Option<String> {
        self.servers.get(id).map(|s| self.row(s))
    }

    /// The body of a server's next beat; none while it doesn't run.
    pub fn beat(&mut self, id: &str) -> Option<Heartbeat> {
        let slots = self.services.get(&self.servers.get(id)?.service)?.spec.slots as u32;
        let server = self.servers.get_mut(id).filter(|s| s.running)?;
        server.call_seq += 1;
        Some(Heartbeat {
            backend: server.service.clone(),
            endpoint: server.spec.endpoint.to_string(),
            zone: server.spec.zone.clone(),
            epoch: "v1".to_owned(),
            capacity: slots,
            phase: if server.draining { Phase::Draining } else { Phase::Ready },
            cold_left_ms: 0,
            db_role: Some(if server.leads { DbRole::Leader } else { DbRole::Follower }),
            call_seq: server.call_seq,
        })
    }

    /// What a server tells at once when it changes: whether it leads, and whether it drains.
    pub fn tells(&self, id: &str) -> (bool, bool) {
        self.servers.get(id).map_or((false, false), |s| (s.leads, s.draining))
    }

    /// A caller has sent `CONNECT`, as the first line of its connection. An error is to be written, then the connection
    /// closed; otherwise the answer comes as [`Out::Say`].
    pub fn connect(&mut self, now: f64, at: &str, service: &str, who: &str) -> Result<Conn, String> {
        self.step_to(now);
        let full = |code: Code, text: &str| Err(format!("ERROR {} {text}\r\n", code.word()));
        let Some(server) = self.servers.get_mut(at).filter(|s| s.running) else {
            return full(Code::WrongNode, "-");
        };
        let expected = who.split_once(' ').map(|(_, id)| id);
        if server.service != service || expected.is_some_and(|id| id != at) {
            return full(Code::WrongNode, at);
        }
        if self.services.get(service).is_some_and(|s| server.conns >= s.spec.max_conns) {
            return full(Code::ConnLimit, at);
        }
        server.conns += 1;
        self.next += 1;
        let conn = self.next;
        let session = Session {
            server: at.to_owned(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            statements: 0,
        };
        self.sessions.insert(conn, session);
        self.enqueue(conn, "-", Work::Open);
        Ok(conn)
    }

    /// A caller has sent a line; its answer comes as [`Out::Say`]. To be called for one line of a connection at a time.
    pub fn ask(&mut self, now: f64, conn: Conn, line: &[u8]) {
        self.step_to(now);
        match Request::parse(line) {
            Ok(Request::Query { id, text }) => {
                let (id, text) = (id.to_owned(), text.to_owned());
                self.query(conn, &id, &text);
            }
            Ok(Request::Bye) => {
                self.closed(now, conn);
                self.out.push(Out::Close(conn));
            }
            _ => self.fail(conn, Code::Malformed, "not a request"),
        }
    }

    /// A caller has closed its connection: an open transaction is rolled back, what waits isn't run.
    pub fn closed(&mut self, now: f64, conn: Conn) {
        self.step_to(now);
        let Some(session) = self.sessions.remove(&conn) else { return };
        let Some(server) = self.servers.get_mut(&session.server) else { return };
        server.conns -= 1;
        server.waiting.retain(|job| job.conn != conn);
        server.unanswered.retain(|u| u.conn != conn);
    }

    /// `POST /promotions`: the status of its answer.
    pub fn promote(&mut self, now: f64, name: &str, id: &str, fence: u64) -> u16 {
        self.step_to(now);
        let present = self.primary(name) == Some(id);
        let Some(service) = self.services.get_mut(name) else { return 404 };
        if fence < service.fence && self.fencing {
            return 409;
        }
        service.fence = service.fence.max(fence);
        if self.servers.get(id).is_none_or(|s| s.service != name || !s.running) {
            return 409;
        }
        if !present {
            service.promotions.push((now + self.timing.promote, id.to_owned()));
        }
        200
    }

    /// A server's process ends; all its connections break.
    pub fn crash(&mut self, now: f64, id: &str) {
        self.step_to(now);
        let Some(server) = self.servers.get_mut(id).filter(|s| s.running) else { return };
        server.running = false;
        server.conns = 0;
        server.paused = None;
        server.running_jobs.clear();
        server.waiting.clear();
        server.unanswered.clear();
        let mut broken: Vec<Conn> = Vec::new();
        self.sessions.retain(|conn, session| {
            let of = session.server == id;
            broken.extend(of.then_some(*conn));
            !of
        });
        broken.sort_unstable();
        self.out.extend(broken.into_iter().map(Out::Close));
        log::info!("event=server_ended id={id}");
    }

    /// A server's process starts again, with the log that it had.
    pub fn start(&mut self, now: f64, id: &str) {
        self.step_to(now);
        let Some(server) = self.servers.get_mut(id).filter(|s| !s.running) else { return };
        let term = self.services[&server.service].term;
        server.running = true;
        server.draining = false;
        server.deposed = None;
        if server.term < term {
            server.leads = false;
        }
        log::info!("event=server_started id={id}");
        let service = self.servers[id].service.clone();
        self.rejoin(&service);
    }

    /// A server says from now on that it will end.
    pub fn drain(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.draining = true;
        }
    }

    /// When [`World::step`] has something to do.
    pub fn next(&self) -> Option<f64> {
        if !self.out.is_empty() {
            return Some(self.now);
        }
        let mut times: Vec<f64> = Vec::new();
        times.extend(self.services.values().flat_map(|s| s.promotions.iter().map(|p| p.0)));
        for server in self.servers.values().filter(|s| s.running) {
            times.extend(server.running_jobs.iter().map(|j| j.0));
            times.extend(self.receives(server).map(|c| c.given + self.timing.network));
            times.extend(server.copy.unapplied().map(|c| c.received + self.timing.apply));
            if server.leads && self.primary(&server.service).is_some_and(|p| p != server.spec.id) {
                times.extend(server.deposed.map(|at| at + self.timing.lead_on));
            }
        }
        times.into_iter().min_by(f64::total_cmp).map(|at| at.max(self.now))
    }

    /// Does all that is due, and gives what is to be written.
    pub fn step(&mut self, now: f64) -> Vec<Out> {
        self.step_to(now);
        std::mem::take(&mut self.out)
    }

    fn step_to(&mut self, now: f64) {
        let out = std::mem::take(&mut self.out);
        let mut all = out;
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.now = at;
            self.due();
            all.append(&mut self.out);
        }
        self.out = all;
        self.now = self.now.max(now);
    }

    /// The next commit that a replica receives.
    fn receives(&self, server: &Server) -> Option<&Commit> {
        if server.leads || server.paused.is_some() {
            return None;
        }
        let primary = &self.servers[self.primary(&server.service)?];
        (server.term == primary.term).then(|| primary.copy.after(server.copy.received().number))?
    }

    /// Everything of this moment.
    fn due(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            while let Some((_, id)) = self
                .services
                .get_mut(name)
                .and_then(|s| s.promotions.iter().position(|p| p.0 <= now).map(|at| s.promotions.remove(at)))
            {
                self.takes_over(name, &id);
            }
        }
        for id in self.ids() {
            if !self.servers[&id].running {
                continue;
            }
            let server = &self.servers[&id];
            let replaced = server.leads && self.primary(&server.service).is_some_and(|p| p != id);
            if replaced && server.deposed.is_some_and(|at| at + self.timing.lead_on <= now) {
                self.step_down(&id);
            }
            while let Some(commit) =
                self.receives(&self.servers[&id]).filter(|c| c.given + self.timing.network <= now)
            {
                let commit = Commit { received: now, ..commit.clone() };
                self.server(&id).copy.receive(commit);
            }
            let apply = self.timing.apply;
            let server = self.server(&id);
            while server.copy.unapplied().is_some_and(|c| server.leads || c.received + apply <= now) {
                server.copy.apply();
            }
        }
        for id in self.ids() {
            while let Some(at) = self.servers[&id].running_jobs.iter().position(|j| j.0 <= now) {
                let (_, job) = self.server(&id).running_jobs.remove(at);
                self.done(&id, job);
            }
            self.fill_slots(&id);
            self.answer_commits(&id);
        }
    }

    fn server(&mut self, id: &str) -> &mut Server {
        self.servers.get_mut(id).expect("servers are never removed")
    }

    /// The named server leads the next term with what it had received and nothing more.
    fn takes_over(&mut self, name: &str, id: &str) {
        if !self.servers[id].running || self.primary(name) == Some(id) {
            return;
        }
        let now = self.now;
        let had = self.servers[id].copy.received();
        let Some(service) = self.services.get_mut(name) else { return };
        let old = service.term;
        service.term += 1;
        let term = service.term;
        log::info!("event=promoted service={name} id={id} term={term} position={had}");
        if service.answered > had {
            if service.spec.sync_replicas > 0 {
                self.ledger.lost += service.answered.number - had.number.min(service.answered.number);
                log::warn!("event=commits_lost service={name} answered={} kept={had}", service.answered);
            }
            service.answered = had;
        }
        // Of all copies the old primary's goes furthest.
        let cut: Vec<String> = self
            .servers
            .values()
            .filter(|s| s.service == name && s.leads && s.term == old)
            .flat_map(|s| s.copy.beyond(had.number).flat_map(|c| c.ids.iter().cloned()))
            .collect();
        cut.iter().for_each(|id| self.ledger.cut(id));
        let cut_s = self.timing.cut;
        let others: Vec<String> = self
            .servers
            .values()
            .filter(|s| s.service == name && s.running)
            .map(|s| s.spec.id.clone())
            .collect();
        let server = self.server(id);
        (server.leads, server.term, server.paused, server.deposed) = (true, term, None, None);
        while server.copy.unapplied().is_some() {
            server.copy.apply();
        }
        for other in others.iter().filter(|o| *o != id) {
            let server = self.server(other);
            if server.leads {
                server.deposed.get_or_insert(now);
                continue;
            }
            if server.copy.received() > had {
                server.busy_until = now + cut_s;
            }
            server.paused = None;
            // A log that ends before the new primary's is a beginning of it.
            let begins = server.copy.received() <= had && server.term == old;
            self.follow(other, begins);
        }
    }

    /// Replicas of former terms, and those too far behind, take a whole copy.
    fn rejoin(&mut self, service: &str) {
        let of = self
            .servers
            .values()
            .filter(|s| s.service == service && s.running && !s.leads && s.paused.is_none());
        let of: Vec<String> = of.map(|s| s.spec.id.clone()).collect();
        of.iter().for_each(|id| self.follow(id, false));
    }

    /// A replica takes up the newest term, if its primary runs. Unless its log is known to be a beginning of the
    /// primary's, it takes a copy: it may have commits that are no longer there, under the same numbers.
    fn follow(&mut self, id: &str, begins: bool) {
        let server = &self.servers[id];
        let Some(primary) = self.primary(&server.service).filter(|p| *p != id) else { return };
        let primary = &self.servers[primary];
        let (term, copy) = (primary.term, &primary.copy);
        let whole = !(begins || server.term == term) || !copy.reaches(server.copy.received().number);
        let copy = whole.then(|| copy.clone());
        let server = self.server(id);
        if let Some(copy) = copy {
            server.copy = copy;
        }
        server.leads = false;
        server.term = term;
    }

    /// A primary that was replaced becomes a replica.
    fn step_down(&mut self, id: &str) {
        let server = self.server(id);
        server.deposed = None;
        let unanswered: Vec<Conn> = server.unanswered.drain(..).map(|u| u.conn).collect();
        // The primary of the newest term may be down: this one doesn't lead any more all the same.
        self.server(id).leads = false;
        self.follow(id, false);
        // What it committed alone is gone.
        for conn in unanswered {
            self.end(conn, "ERROR FAILED the lead was lost");
        }
        log::info!("event=stepped_down id={id}");
    }

    fn row(&self, server: &Server) -> String {
        let role = if server.leads { "leader" } else { "follower" };
        let lag = server.copy.unapplied().map_or(0.0, |c| (self.now - c.received).max(0.0) * 1000.0);
        let busy = server.running_jobs.len();
        let held = server.paused.unwrap_or(0);
        format!("{role} {} {} {held} {lag:.0} {busy} {}", server.term, server.copy.received(), server.conns)
    }

    fn idle(&self, conn: Conn) -> String {
        let Some(session) = self.sessions.get(&conn) else { return String::new() };
        let state = match &session.transaction {
            None => State::Idle,
            Some(t) if t.failed => State::Failed,
            Some(_) => State::Open,
        };
        format!("IDLE {} {}\r\n", state.letter(), self.servers[&session.server].copy.applied())
    }

    /// The rest of an answer, after any rows.
    fn end(&mut self, conn: Conn, line: &str) {
        if self.sessions.contains_key(&conn) {
            let answer = format!("{line}\r\n{}", self.idle(conn));
            self.out.push(Out::Say(conn, answer));
        }
    }

    fn fail(&mut self, conn: Conn, code: Code, text: &str) {
        if let Some(transaction) = self.sessions.get_mut(&conn).and_then(|s| s.transaction.as_mut()) {
            transaction.failed = true;
        }
        self.end(conn, &format!("ERROR {} {text}", code.word()));
    }

    fn stamp(&self, conn: Conn, server: &Server, statement: u64) -> String {
        let number = server.copy.received().number;
        let mark = mix(self.seed ^ mix(conn) ^ mix(statement.rotate_left(32) ^ number));
        format!("{:x}.{conn:x}.{statement:x}.{number:x}.{mark:016x}", server.term)
    }

    fn enqueue(&mut self, conn: Conn, id: &str, work: Work) {
        let Some(at) = self.sessions.get(&conn).map(|s| s.server.clone()) else { return };
        if self.servers[&at].waiting.len() >= WAITING {
            return self.fail(conn, Code::Retry, "20");
        }
        self.server(&at).waiting.push_back(Job { conn, id: id.to_owned(), work });
        self.fill_slots(&at);
    }

    fn fill_slots(&mut self, id: &str) {
        let slots = self.services[&self.servers[id].service].spec.slots;
        let (now, timing) = (self.now, self.timing);
        let server = self.server(id);
        while server.running_jobs.len() < slots
            && let Some(job) = server.waiting.pop_front()
        {
            let span = match job.work {
                Work::Open => timing.open,
                Work::Status => 0.0005,
                _ => timing.work,
            };
            server.running_jobs.push((now.max(server.busy_until) + span, job));
        }
    }

    fn query(&mut self, conn: Conn, id: &str, text: &str) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.statements += 1;
        let at = session.server.clone();
        let state = session.transaction.as_ref().map(|t| t.failed);
        if let Some(done) = self.administer(conn, &at, text) {
            return done;
        }
        let mut rest = text;
        let mut proof = None;
        if let Some(told) = text.strip_prefix("WAITPOS ") {
            let parsed = told.split_once(' ').and_then(|(p, rest)| Some((p.parse::<Position>().ok()?, rest)));
            let Some((position, told)) = parsed else { return self.fail(conn, Code::Malformed, "WAITPOS") };
            (proof, rest) = (Some(position), told);
        }
        let Ok(statement) = Text::parse(rest) else {
            return self.fail(conn, Code::Malformed, "unknown statement");
        };
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if state == Some(true) {
            match statement {
                Text::Abort => {
                    session.transaction = None;
                    return self.end(conn, "COMPLETE -");
                }
                Text::Commit => {
                    session.transaction = None;
                    return self.end(conn, "ERROR ABORTED the transaction had failed");
                }
                _ => return self.fail(conn, Code::Malformed, "the transaction has failed"),
            }
        }
        let reads = matches!(statement, Text::Fetch | Text::Begin { .. } | Text::Execute { .. });
        if let Some(proof) = proof {
            if !reads {
                return self.fail(conn, Code::Malformed, "WAITPOS goes before reads");
            }
            if proof > self.servers[&at].copy.applied() {
                return self.fail(conn, Code::Lagging, &at);
            }
        }
        let work = match statement {
            Text::Set { name, value } => {
                session.values.insert(name.to_owned(), value.to_owned());
                return self.end(conn, "COMPLETE -");
            }
            Text::Prepare { name, kind, shape } => {
                session.prepared.insert(name.to_owned(), (kind, shape.to_owned()));
                return self.end(conn, "COMPLETE -");
            }
            Text::Release { name } => {
                return match session.prepared.remove(name) {
                    Some(_) => self.end(conn, "COMPLETE -"),
                    None => self.fail(conn, Code::Unknown, name),
                };
            }
            Text::Begin { fetch } => {
                if state.is_some() {
                    return self.fail(conn, Code::Malformed, "already in a transaction");
                }
                let server = &self.servers[&at];
                if !fetch && !server.leads {
                    return self.fail(conn, Code::ReadOnly, &at);
                }
                let transaction = Transaction {
                    fetch,
                    failed: false,
                    term: server.term,
                    ids: Vec::new(),
                    puts: Vec::new(),
                };
                session.transaction = Some(transaction);
                return self.end(conn, "COMPLETE -");
            }
            Text::Abort | Text::Commit if state.is_none() => {
                return self.fail(conn, Code::Malformed, "no transaction");
            }
            Text::Abort => {
                session.transaction = None;
                return self.end(conn, "COMPLETE -");
            }
            Text::Commit => Work::Commit,
            Text::Fetch => Work::Read { thing: rest[6..].to_owned() },
            Text::Put => put(&rest[4..]),
            Text::Execute { name, rest } => match session.prepared.get(name) {
                None => return self.fail(conn, Code::Unknown, name),
                Some((Kind::Fetch, _)) => Work::Read { thing: rest.to_owned() },
                Some((Kind::Put, _)) => put(rest),
            },
        };
        if self.is_read_only(conn, &work) {
            return self.refuse(conn, &at, &work);
        }
        self.enqueue(conn, id, work);
    }

    /// The words of administration; none for any other text.
    fn administer(&mut self, conn: Conn, at: &str, text: &str) -> Option<()> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let newest = self.services[&self.servers[at].service].term;
        match word {
            "STATUS" => {}
            "RESET" => {
                let session = self.sessions.get_mut(&conn)?;
                session.values.clear();
                session.prepared.clear();
                self.end(conn, "COMPLETE -");
                return Some(());
            }
            "PAUSE" | "STEPDOWN" => {
                let Ok(term) = rest.parse::<u64>() else {
                    self.fail(conn, Code::Malformed, "no term");
                    return Some(());
                };
                let server = self.server(at);
                if word == "PAUSE" && !server.leads && term > newest {
                    server.paused = Some(server.paused.unwrap_or(0).max(term));
                } else if word == "STEPDOWN" && server.leads && server.term < term {
                    self.step_down(at);
                }
            }
            "RESUME" => {
                self.server(at).paused = None;
                let service = self.servers[at].service.clone();
                self.rejoin(&service);
            }
            _ => return None,
        }
        self.enqueue(conn, "-", Work::Status);
        Some(())
    }

    /// Whether this may not run here, on a server that doesn't lead or leads no more.
    fn is_read_only(&self, conn: Conn, work: &Work) -> bool {
        let Some(session) = self.sessions.get(&conn) else { return false };
        let server = &self.servers[&session.server];
        match (&session.transaction, work) {
            (_, Work::Open | Work::Status) => false,
            (Some(t), Work::Commit) if t.puts.is_empty() => false,
            (Some(t), _) if !t.fetch => !server.leads || server.term != t.term,
            (Some(_), Work::Write { .. }) => true,
            (None, Work::Write { .. }) => !server.leads,
            _ => false,
        }
    }

    /// This is not run for want of the lead; a transaction whose end it was is over all the same.
    fn refuse(&mut self, conn: Conn, at: &str, work: &Work) {
        if *work == Work::Commit
            && let Some(session) = self.sessions.get_mut(&conn)
        {
            session.transaction = None;
        }
        self.fail(conn, Code::ReadOnly, at);
    }

    /// A statement has had its slot.
    fn done(&mut self, at: &str, job: Job) {
        let Job { conn, id, work } = job;
        if self.is_read_only(conn, &work) {
            return self.refuse(conn, at, &work);
        }
        let server = &self.servers[at];
        let Some(session) = self.sessions.get(&conn) else { return };
        let stamp = self.stamp(conn, server, session.statements);
        match work {
            Work::Open => {
                let idle = self.idle(conn);
                self.out.push(Out::Say(conn, idle));
            }
            Work::Status => {
                let answer = format!("ROW {}\r\nCOMPLETE -", self.row(server));
                self.end(conn, &answer);
            }
            Work::Read { thing } => {
                let own = session.transaction.iter().flat_map(|t| t.puts.iter().rev());
                let own = own.into_iter().find(|(t, _)| *t == thing).map(|(_, data)| data.as_str());
                let row =
                    own.or(server.copy.get(&thing)).map_or(String::new(), |data| format!("ROW {data}\r\n"));
                self.end(conn, &format!("{row}COMPLETE {stamp}"));
            }
            Work::Write { thing, data } => {
                let Some(session) = self.sessions.get_mut(&conn) else { return };
                match &mut session.transaction {
                    Some(transaction) => {
                        transaction.ids.push(id);
                        transaction.puts.push((thing, data));
                        self.end(conn, &format!("COMPLETE {stamp}"));
                    }
                    None => self.commit(at, conn, vec![id], vec![(thing, data)], stamp),
                }
            }
            Work::Commit => {
                let Some(session) = self.sessions.get_mut(&conn) else { return };
                match session.transaction.take() {
                    Some(t) if !t.puts.is_empty() => self.commit(at, conn, t.ids, t.puts, stamp),
                    _ => self.end(conn, &format!("COMPLETE {stamp}")),
                }
            }
        }
    }

    fn commit(&mut self, at: &str, conn: Conn, ids: Vec<String>, puts: Vec<(String, String)>, stamp: String) {
        ids.iter().for_each(|id| self.ledger.committed(id));
        let now = self.now;
        let writes = ids.len() as u64;
        let server = self.server(at);
        let position = Position { term: server.term, number: server.copy.received().number + 1 };
        server.copy.receive(Commit {
            position,
            ids: ids.into(),
            puts: puts.into(),
            given: now,
            received: now,
        });
        server.copy.apply();
        server.unanswered.push_back(Unanswered { conn, position, stamp, writes });
    }

    /// Answers the commits that enough replicas have.
    fn answer_commits(&mut self, id: &str) {
        let server = &self.servers[id];
        if server.unanswered.is_empty() {
            return;
        }
        let service = &self.services[&server.service];
        let needed = service.spec.sync_replicas as usize;
        let newest = service.term;
        let name = server.service.clone();
        while let Some(first) = self.servers[id].unanswered.front() {
            let position = first.position;
            let has = |s: &&Server| {
                s.service == name
                    && s.running
                    && !s.leads
                    && s.term == position.term
                    && s.copy.received().number >= position.number
            };
            if self.servers.values().filter(has).count() < needed {
                return;
            }
            let Some(first) = self.server(id).unanswered.pop_front() else { return };
            self.ledger.answered += first.writes;
            if position.term < newest {
                self.ledger.deposed += 1;
                log::warn!("event=deposed_primary_committed id={id} position={position}");
            } else if let Some(service) = self.services.get_mut(&name) {
                service.answered = service.answered.max(position);
            }
            self.end(first.conn, &format!("COMPLETE {}", first.stamp));
        }
    }
}

/// Thing and data.
fn put(rest: &str) -> Work {
    let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
    Work::Write { thing: thing.to_owned(), data: data.to_owned() }
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
