//! One thread that sends on schedule, whatever the server does. It begins each statement when it is due, reads
//! and writes what is ready, and never waits for an answer: what is open ends at its client's time at the
//! latest, so it is bounded by rate and patience however long a run is.

use crate::attempts::{Attempts, Ended, Facts, Next, Outcome};
use crate::connection::{Answer, Connection, Heard, Told, Unopened};
use crate::scenario::{Holding, Retries};
use crate::slab::{Slab, Ticket};
use crate::work::{Asked, Moment, Work, Wrote, written_by};
use badgerstream_postgres_protocol::Close;
use rustix::event::{Timespec, epoll};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::time::Instant;

/// Statements begun in a row before sockets are looked at again, when many are due.
const IN_A_ROW: usize = 64;
/// Records handed over at once, and how long they are kept back at most.
const BATCH: usize = 2048;
const BATCH_AGE: u64 = 200_000_000;
/// The signal to stop is looked at so often.
const LONGEST_WAIT: u64 = 100_000_000;
/// Sessions whose last write is remembered, on one thread.
const SESSIONS: usize = 1 << 17;
const EVENTS: usize = 256;

/// What became of one statement.
#[derive(Clone, Debug)]
pub struct Record {
    pub work: Work,
    /// When the generator turned to it: what is behind `due` is its own lateness.
    pub begun: Moment,
    /// When the last byte of its first attempt, and of its last one, was handed over.
    pub sent: Option<Moment>,
    pub asked: Option<Moment>,
    /// When the first byte of its last attempt's answer came.
    pub first: Option<Moment>,
    /// Its final answer's last byte, or when it was given up.
    pub ended: Moment,
    pub outcome: Outcome,
    pub attempts: u32,
    /// Sent once more on a new connection, as the one it went out on was being closed.
    pub resent: bool,
    /// It had to show its session's write and did not.
    pub stale: bool,
}

/// What all threads of a run share.
pub struct Shared {
    pub start: Instant,
    pub run: u64,
    pub target: SocketAddr,
    pub workloads: Vec<String>,
    pub holding: Holding,
    pub retries: Retries,
    /// Clients tell a server that they wait so much less than they do, in nanoseconds: what is only just late
    /// still counts.
    pub grace: u64,
    /// 0: go on; 1: begin nothing more; 2: give up what is open.
    pub stop: AtomicU8,
    /// Statements begun and ended, for the line of progress.
    pub begun: AtomicU64,
    pub ended: AtomicU64,
}

/// What a thread tells of its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sockets {
    pub opened: u64,
    pub most_open: u64,
    /// Did not come up.
    pub refused: u64,
    /// The system had no descriptor or port left.
    pub short: u64,
    /// Broke, or said what can't be right, under a statement.
    pub broken: u64,
}

impl Sockets {
    pub fn add(&mut self, other: &Sockets) {
        self.opened += other.opened;
        self.most_open += other.most_open;
        self.refused += other.refused;
        self.short += other.short;
        self.broken += other.broken;
    }
}

/// For comparison only: clients that wait for their answers.
#[derive(Clone, Copy)]
pub struct Closed {
    pub clients: usize,
    pub until: Moment,
}

#[derive(Clone, Copy, PartialEq)]
enum Place {
    Waiting,
    /// A new connection is on its way up for it alone.
    Reserved,
    On(Ticket),
    Paused,
}

struct Job {
    work: Work,
    attempts: Attempts,
    place: Place,
    begun: Moment,
    sent: Option<Moment>,
    asked: Option<Moment>,
    first: Option<Moment>,
    resent: bool,
    wrote: Option<Wrote>,
}

struct Link {
    connection: Connection,
    job: Option<Ticket>,
    /// Who it is opened for, if not for whoever waits longest.
    reserved: Option<Ticket>,
    /// It is over, and must not be used again.
    ending: bool,
    idle_since: Moment,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Deadline(Ticket),
    Again(Ticket),
}

pub struct Engine<S> {
    shared: Arc<Shared>,
    source: S,
    coming: Option<Work>,
    closed: Option<Closed>,
    most: usize,
    epoll: OwnedFd,
    links: Slab<Link>,
    /// Free connections, the last used on top.
    idle: Vec<Ticket>,
    /// Connections on their way up for whoever waits longest.
    opening: usize,
    jobs: Slab<Job>,
    queue: VecDeque<Ticket>,
    waiting: usize,
    dispatching: bool,
    alarms: BinaryHeap<Reverse<(Moment, Alarm)>>,
    sessions: HashMap<u64, Wrote>,
    session_order: VecDeque<u64>,
    chance: fastrand::Rng,
    out: SyncSender<Vec<Record>>,
    batch: Vec<Record>,
    handed: Moment,
    heard: Vec<Heard>,
    sockets: Sockets,
}

impl<S: Iterator<Item = Work>> Engine<S> {
    /// # Errors
    /// The system's, where it gives no epoll.
    pub fn new(
        shared: Arc<Shared>,
        source: S,
        most: usize,
        closed: Option<Closed>,
        seed: u64,
        out: SyncSender<Vec<Record>>,
    ) -> std::io::Result<Engine<S>> {
        Ok(Engine {
            shared,
            source,
            coming: None,
            closed,
            most: most.max(1),
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            links: Slab::default(),
            idle: Vec::new(),
            opening: 0,
            jobs: Slab::default(),
            queue: VecDeque::new(),
            waiting: 0,
            dispatching: false,
            alarms: BinaryHeap::new(),
            sessions: HashMap::new(),
            session_order: VecDeque::new(),
            chance: fastrand::Rng::with_seed(seed),
            out,
            batch: Vec::with_capacity(BATCH),
            handed: 0,
            heard: Vec::new(),
            sockets: Sockets::default(),
        })
    }

    fn now(&self) -> Moment {
        self.shared.start.elapsed().as_nanos() as Moment
    }

    /// Until all that was due has ended.
    pub fn run(mut self) -> std::io::Result<Sockets> {
        self.coming = self.source.next();
        std::thread::sleep(self.shared.start.saturating_duration_since(Instant::now()));
        let mut events = [epoll::Event {
            flags: epoll::EventFlags::empty(),
            data: epoll::EventData::new_u64(0),
        }; EVENTS];
        loop {
            let stop = self.shared.stop.load(Ordering::Relaxed);
            let behind = stop == 0 && self.begin();
            self.alarms();
            if stop == 2 {
                self.give_up_all();
            }
            if self.jobs.is_empty() && (stop > 0 || self.is_over()) {
                break;
            }
            self.hand_over(false);
            let wait = if behind { 0 } else { self.wait(stop) };
            let wait = Timespec {
                tv_sec: (wait / 1_000_000_000) as i64,
                tv_nsec: (wait % 1_000_000_000) as _,
            };
            let count = match epoll::wait(&self.epoll, &mut events[..], Some(&wait)) {
                Ok(count) => count,
                Err(rustix::io::Errno::INTR) => 0,
                Err(e) => return Err(e.into()),
            };
            for event in &events[..count] {
                let (data, flags) = (event.data, event.flags);
                let ending =
                    epoll::EventFlags::RDHUP | epoll::EventFlags::HUP | epoll::EventFlags::ERR;
                self.turn(Ticket::read(data.u64()), flags.intersects(ending));
            }
        }
        self.hand_over(true);
        Ok(self.sockets)
    }

    fn is_over(&self) -> bool {
        self.coming.is_none() || self.closed.is_some_and(|closed| self.now() >= closed.until)
    }

    /// How long nothing is due.
    fn wait(&self, stop: u8) -> u64 {
        let now = self.now();
        let alarm = self.alarms.peek().map(|Reverse((at, _))| *at);
        let due = self
            .coming
            .as_ref()
            .filter(|_| stop == 0 && self.closed.is_none())
            .map(|work| work.due);
        let next = alarm.into_iter().chain(due).min().unwrap_or(Moment::MAX);
        next.saturating_sub(now).min(LONGEST_WAIT)
    }

    /// Begins what is due; true if there is more.
    fn begin(&mut self) -> bool {
        for _ in 0..IN_A_ROW {
            let now = self.now();
            let Some(work) = &self.coming else {
                return false;
            };
            let due = match self.closed {
                None => work.due <= now,
                Some(closed) => self.jobs.len() < closed.clients && now < closed.until,
            };
            if !due {
                return false;
            }
            let Some(mut work) = self.coming.take() else {
                return false;
            };
            self.coming = self.source.next();
            if self.closed.is_some() {
                work.due = now;
            }
            self.statement(work, now);
        }
        true
    }

    fn statement(&mut self, work: Work, now: Moment) {
        self.shared.begun.fetch_add(1, Ordering::Relaxed);
        let deadline = work.deadline();
        let job = Job {
            work,
            attempts: Attempts::default(),
            place: Place::Paused,
            begun: now,
            sent: None,
            asked: None,
            first: None,
            resent: false,
            wrote: None,
        };
        let ticket = self.jobs.add(job);
        self.alarms
            .push(Reverse((deadline, Alarm::Deadline(ticket))));
        self.attempt(ticket);
    }

    /// A further attempt waits for a connection, or has one at once.
    fn attempt(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        job.attempts.begun();
        self.enqueue(ticket);
        self.dispatch();
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        (job.place, job.asked, job.first) = (Place::Waiting, None, None);
        self.waiting += 1;
        self.queue.push_back(ticket);
        // Those that gave up meanwhile would add up while no connection falls free.
        if self.queue.len() > 2 * self.waiting + 1024 {
            let jobs = &mut self.jobs;
            self.queue.retain(|ticket| {
                jobs.get(*ticket)
                    .is_some_and(|job| job.place == Place::Waiting)
            });
        }
    }

    /// The longest waiting; it no longer waits.
    fn next_waiting(&mut self) -> Option<Ticket> {
        while let Some(ticket) = self.queue.pop_front() {
            if self
                .jobs
                .get(ticket)
                .is_some_and(|job| job.place == Place::Waiting)
            {
                self.waiting -= 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Gives free connections to those that wait, and opens new ones. What it does may free further ones: the
    /// outermost call sees to them.
    fn dispatch(&mut self) {
        if std::mem::replace(&mut self.dispatching, true) {
            return;
        }
        while self.waiting > 0 {
            let Some(link) = self.idle.pop() else { break };
            match self.next_waiting() {
                Some(ticket) => self.send(link, ticket),
                None => self.idle.push(link),
            }
        }
        while self.opening < self.waiting && self.links.len() < self.most {
            match self.open(None) {
                Ok(()) => {}
                Err(Unopened::Refused) => {
                    self.sockets.refused += 1;
                    self.unreached(Ended::Unreached);
                }
                Err(Unopened::Short) => {
                    self.sockets.short += 1;
                    // Those that are there have to do, if there are any.
                    if self.links.is_empty() {
                        self.unreached(Ended::Unreached);
                    }
                    break;
                }
            }
        }
        self.dispatching = false;
    }

    /// No connection came up for the longest waiting.
    fn unreached(&mut self, ended: Ended) {
        if let Some(ticket) = self.next_waiting() {
            self.ended(ticket, ended);
        }
    }

    fn open(&mut self, reserved: Option<Ticket>) -> Result<(), Unopened> {
        use epoll::EventFlags;
        let connection = Connection::open(self.shared.target)?;
        let link = self.links.add(Link {
            connection,
            job: None,
            reserved,
            ending: false,
            idle_since: 0,
        });
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        let Some(there) = self.links.get(link) else {
            return Ok(());
        };
        let added = epoll::add(
            &self.epoll,
            there.connection.fd(),
            epoll::EventData::new_u64(link.word()),
            flags,
        );
        if added.is_err() {
            self.links.remove(link);
            return Err(Unopened::Short);
        }
        self.opening += usize::from(reserved.is_none());
        self.sockets.opened += 1;
        self.sockets.most_open = self.sockets.most_open.max(self.links.len() as u64);
        Ok(())
    }

    fn send(&mut self, link: Ticket, ticket: Ticket) {
        let now = self.now();
        let (Some(job), Some(there)) = (self.jobs.get(ticket), self.links.get(link)) else {
            return;
        };
        let work = &job.work;
        job.wrote = if work.own {
            self.sessions.get(&work.session).copied()
        } else {
            None
        };
        let asked = Asked {
            run: self.shared.run,
            attempt: job.attempts.count,
            told: self.shared.retries.told,
            left: work
                .deadline()
                .saturating_sub(now)
                .saturating_sub(self.shared.grace),
            wrote: job.wrote,
        };
        let name = self
            .shared
            .workloads
            .get(usize::from(work.workload))
            .map_or("", String::as_str);
        let text = work.text(name, &asked);
        job.place = Place::On(link);
        there.job = Some(ticket);
        let mut heard = std::mem::take(&mut self.heard);
        let went = there.connection.ask(&text, &mut heard);
        self.told(link, heard);
        if let Err(close) = went {
            self.closed(link, close);
        }
    }

    /// A socket is ready for something.
    fn turn(&mut self, link: Ticket, ending: bool) {
        let Some(there) = self.links.get(link) else {
            return;
        };
        let mut heard = std::mem::take(&mut self.heard);
        let went = there.connection.turn(ending, &mut heard);
        there.ending = went.is_err();
        self.told(link, heard);
        if let Err(close) = went {
            self.closed(link, close);
        }
    }

    fn told(&mut self, link: Ticket, mut heard: Vec<Heard>) {
        let now = if heard.is_empty() { 0 } else { self.now() };
        for what in heard.drain(..) {
            let job = self.links.get(link).and_then(|there| there.job);
            let job = job.and_then(|ticket| self.jobs.get(ticket).map(|job| (ticket, job)));
            match (what, job) {
                (Heard::Ready, _) => self.up(link, now),
                (Heard::Written, Some((_, job))) => {
                    job.sent.get_or_insert(now);
                    job.asked = Some(now);
                }
                (Heard::First, Some((_, job))) => job.first = Some(now),
                (Heard::Answer(answer), Some((ticket, _))) => {
                    if let Some(there) = self.links.get(link) {
                        there.job = None;
                    }
                    self.answered(ticket, answer, now);
                    self.free(link, now);
                }
                _ => {}
            }
        }
        // Its place is used again.
        self.heard = heard;
    }

    /// A connection is open: for whom it was reserved, if that one still waits.
    fn up(&mut self, link: Ticket, now: Moment) {
        let reserved = self.links.get(link).and_then(|there| there.reserved.take());
        self.opening -= usize::from(reserved.is_none());
        let waits = |job: &mut Job| job.place == Place::Reserved;
        match reserved.filter(|ticket| self.jobs.get(*ticket).is_some_and(waits)) {
            Some(ticket) => self.send(link, ticket),
            None => self.free(link, now),
        }
    }

    /// A connection is free: for who waits longest, or kept.
    fn free(&mut self, link: Ticket, now: Moment) {
        let holding = self.shared.holding;
        let Some(there) = self.links.get(link) else {
            return;
        };
        if there.ending {
            return;
        }
        there.idle_since = now;
        if holding
            .uses
            .is_some_and(|uses| there.connection.uses >= uses)
        {
            self.links.remove(link);
        } else {
            self.idle.push(link);
        }
        self.dispatch();
    }

    fn answered(&mut self, ticket: Ticket, answer: Answer, now: Moment) {
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        let ended = match answer.told {
            Told::Completed => Ended::Completed,
            Told::Rejected(ms) => Ended::Rejected(ms.map(|ms| ms.saturating_mul(1_000_000))),
            Told::Aborted => Ended::Aborted,
        };
        let mut stale = false;
        if ended == Ended::Completed {
            let work = &job.work;
            stale = work.check
                && job.wrote.is_some_and(|wrote| {
                    !answer
                        .value
                        .as_deref()
                        .is_some_and(|value| written_by(value, wrote.number))
                });
            if work.writes.is_some() && work.session != 0 {
                let wrote = Wrote {
                    number: work.number,
                    position: answer.position,
                };
                let session = work.session;
                self.remember(session, wrote);
            }
        }
        self.ended_at(ticket, ended, now, stale);
    }

    fn remember(&mut self, session: u64, wrote: Wrote) {
        if self.sessions.insert(session, wrote).is_none() {
            self.session_order.push_back(session);
            if self.session_order.len() > SESSIONS
                && let Some(oldest) = self.session_order.pop_front()
            {
                self.sessions.remove(&oldest);
            }
        }
    }

    /// A connection has ended, and what it carried with it.
    fn closed(&mut self, link: Ticket, close: Close) {
        let Some(mut there) = self.links.remove(link) else {
            return;
        };
        if !there.connection.is_up() {
            self.opening -= usize::from(there.reserved.is_none());
            self.sockets.refused += 1;
            let ended = if close == Close::TooManyConnections {
                Ended::Rejected(None)
            } else {
                Ended::Unreached
            };
            match there.reserved {
                Some(ticket) => self.ended(ticket, ended),
                None => self.unreached(ended),
            }
            return self.dispatch();
        }
        let Some(ticket) = there.job else {
            self.idle.retain(|idle| *idle != link);
            return self.dispatch();
        };
        if let Some(answer) = there.connection.last_word() {
            let now = self.now();
            self.answered(ticket, answer, now);
            return self.dispatch();
        }
        self.sockets.broken += 1;
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        // A server may close a connection between statements: one that crosses it is sent once more. So is one
        // whose last byte was never handed over.
        let (sent, reused) = (job.asked.is_some(), there.connection.uses > 1);
        let crossed = !there.connection.heard_any() && job.work.repeatable() && lost(close);
        if reused && !job.resent && (!sent || crossed) {
            if sent {
                job.attempts.doubt();
            }
            self.once_more(ticket);
        } else {
            self.ended(
                ticket,
                if sent {
                    Ended::Aborted
                } else {
                    Ended::Unreached
                },
            );
        }
        self.dispatch();
    }

    /// On a new connection of its own: others that stand idle may be closing, too.
    fn once_more(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        (job.resent, job.place, job.asked, job.first) = (true, Place::Reserved, None, None);
        if self.open(Some(ticket)).is_err() {
            self.enqueue(ticket);
        }
    }

    fn ended(&mut self, ticket: Ticket, ended: Ended) {
        let now = self.now();
        self.ended_at(ticket, ended, now, false);
    }

    fn ended_at(&mut self, ticket: Ticket, ended: Ended, now: Moment, stale: bool) {
        let lot = self.chance.f64();
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        let facts = Facts {
            due: job.work.due,
            slo: job.work.slo,
            // What is told no time any more need not be asked.
            deadline: job.work.deadline().saturating_sub(self.shared.grace),
            repeatable: job.work.repeatable(),
        };
        match job
            .attempts
            .ended(ended, now, &facts, &self.shared.retries, lot)
        {
            Next::Again(at) => {
                job.place = Place::Paused;
                self.alarms.push(Reverse((at, Alarm::Again(ticket))));
            }
            Next::Over(outcome) => self.over(ticket, outcome, now, stale),
        }
    }

    fn over(&mut self, ticket: Ticket, outcome: Outcome, now: Moment, stale: bool) {
        let Some(job) = self.jobs.remove(ticket) else {
            return;
        };
        self.shared.ended.fetch_add(1, Ordering::Relaxed);
        self.batch.push(Record {
            work: job.work,
            begun: job.begun,
            sent: job.sent,
            asked: job.asked,
            first: job.first,
            ended: now,
            outcome,
            attempts: job.attempts.count,
            resent: job.resent,
            stale,
        });
    }

    fn alarms(&mut self) {
        loop {
            let now = self.now();
            match self.alarms.peek() {
                Some(Reverse((at, _))) if *at <= now => {}
                _ => break,
            }
            match self.alarms.pop() {
                Some(Reverse((_, Alarm::Deadline(ticket)))) => self.give_up(ticket),
                Some(Reverse((_, Alarm::Again(ticket)))) => self.attempt(ticket),
                None => break,
            }
        }
        self.leave_idle();
    }

    /// Its client leaves, and takes its connection along: an answer may still be on its way.
    fn give_up(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else {
            return;
        };
        let (place, sent) = (job.place, job.asked.is_some());
        match place {
            Place::Waiting => self.waiting -= 1,
            Place::On(link) => {
                self.links.remove(link);
            }
            Place::Paused | Place::Reserved => {}
        }
        // Who pauses was answered before: that answer stands.
        self.ended(
            ticket,
            Ended::GivenUp {
                sent: sent && place != Place::Paused,
            },
        );
        self.dispatch();
    }

    fn give_up_all(&mut self) {
        self.jobs
            .tickets()
            .into_iter()
            .for_each(|ticket| self.give_up(ticket));
    }

    /// Closes connections that stood idle for as long as clients hold them; the longest idle are at the bottom.
    fn leave_idle(&mut self) {
        let Some(most) = self.shared.holding.idle_ms else {
            return;
        };
        let most = (most * 1e6) as u64;
        let now = self.now();
        while let Some(first) = self.idle.first().copied() {
            let idle = self
                .links
                .get(first)
                .map_or(u64::MAX, |there| now.saturating_sub(there.idle_since));
            if idle < most {
                break;
            }
            self.idle.remove(0);
            self.links.remove(first);
        }
    }

    /// Records go to who counts them, many at once.
    fn hand_over(&mut self, all: bool) {
        let now = self.now();
        let old = now.saturating_sub(self.handed) > BATCH_AGE && !self.batch.is_empty();
        if self.batch.len() >= BATCH || old || all {
            self.handed = now;
            let batch = std::mem::replace(&mut self.batch, Vec::with_capacity(BATCH));
            // Nobody counts any more: the run is being given up.
            let _ = self.out.send(batch);
        }
    }
}

/// Whether an end of this kind may have crossed a statement that was never read.
fn lost(close: Close) -> bool {
    matches!(close, Close::PeerClosed | Close::IoError)
}
