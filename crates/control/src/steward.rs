//! One control machine: agreement, members, sessions and the primaries of all services put together.

use crate::failover::{Act, Around, Asked, Candidate, Failover, Statement, Timing};
use crate::members::{Beat, Members};
use crate::message::{GrantNews, MemberNews, Node, Peer, ToControl, ToRouter};
use crate::register::{Record, Register, RegisterOut};
use crate::sessions::Sessions;
use crate::state::{Primary, State, Taken};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct StewardTiming {
    /// A router's lease.
    pub lease: f64,
    /// A leader is missed after so long.
    pub suspect: f64,
    /// What a call to the platform may take, at most.
    pub platform: f64,
    /// What a call of an operator may take before it is told to come again.
    pub call: f64,
    /// A server that sends no beats for so long is forgotten.
    pub forget: f64,
    /// Those of each service.
    pub service: Timing,
}

/// A call from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A heartbeat.
    Beat { id: String, beat: Beat },
    /// A server has left.
    Depart { id: String },
    /// A valid configuration of this epoch, building on that version.
    Replace { base: u64, epoch: u64, body: Vec<u8> },
    /// The newest configuration.
    Read,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// As in HTTP.
    pub status: u16,
    /// The body; for an error one line of text.
    pub body: Vec<u8>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// The record is to be on disk before anything behind this.
    Save,
    /// To another control machine.
    Peer(Node, Peer),
    /// To the router on this session.
    Router(u64, ToRouter),
    /// To a database server.
    Ask { id: String, endpoint: String, service: String, statement: Statement },
    /// To the platform, if it can be sent before this second; `fence` rises with every holder of the duty.
    Promote { service: String, id: String, fence: u64, before: f64 },
    /// To whoever made the call of this number.
    Reply(u64, Answer),
}

#[derive(Clone, Debug)]
enum Origin {
    Here(u64),
    There(Node, u64),
}

#[derive(Clone, Debug)]
struct Waiting {
    origin: Origin,
    until: f64,
    what: Wanted,
}

#[derive(Clone, Debug)]
enum Wanted {
    Config {
        base: u64,
        epoch: u64,
        body: Vec<u8>,
    },
    Read,
    /// `settled` tells that it leads and that no router uses another.
    Primary {
        service: String,
        to: String,
        above: u64,
        settled: bool,
    },
}

#[derive(Clone, Debug)]
struct Session {
    router: String,
    /// What it was last told, so that nothing is sent twice.
    told: u64,
    epoch: u64,
}

#[derive(Clone, Debug)]
struct Grant {
    news: GrantNews,
    stamp: u64,
}

/// A leader knows how many routers there are after so many seconds: by then each has asked.
const SETTLED: f64 = 2.0;

/// Everything that exists only while this machine leads.
#[derive(Clone, Debug)]
struct Lead {
    since: f64,
    fence: u64,
    /// The number of the newest news.
    number: u64,
    leases: Sessions,
    services: BTreeMap<String, Failover>,
    grants: BTreeMap<String, Grant>,
    sessions: HashMap<u64, Session>,
    /// Under way: what is being agreed on.
    proposed: Option<(u64, Waiting)>,
    queue: VecDeque<Waiting>,
    sync: HashMap<String, u32>,
}

/// One control machine.
#[derive(Clone, Debug)]
pub struct Steward {
    me: Node,
    timing: StewardTiming,
    register: Register,
    members: Members,
    current: State,
    lead: Option<Lead>,
    /// Calls passed on to the leader: by the number they carry there.
    passed: HashMap<u64, (u64, f64)>,
    passing: u64,
    /// Calls that wait for somebody to lead.
    held: VecDeque<(u64, Call, f64)>,
    /// Bodies of members that changed while leading, told under the next number.
    news_due: bool,
}

impl Steward {
    /// A machine that starts with this on its disk. See [`Register::new`].
    pub fn new(me: Node, record: Record, votes: bool, now: f64, seed: u64, timing: StewardTiming) -> Steward {
        Steward {
            me,
            timing,
            current: record.state.clone(),
            register: Register::new(me, record, votes, now, seed, timing.suspect),
            members: Members::default(),
            lead: None,
            passed: HashMap::new(),
            passing: seed << 16,
            held: VecDeque::new(),
            news_due: false,
        }
    }

    /// What is to be on disk.
    pub fn record(&self) -> &Record {
        self.register.record()
    }

    /// The machines that decide, and whether this one is heard.
    pub fn voters(&self) -> &[Node] {
        self.register.voters()
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<Node> {
        self.register.leader()
    }

    /// Whether this machine leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// This machine is about to end: whatever it leads goes to another at once.
    pub fn resign(&mut self, now: f64) -> Vec<Out> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.register.resign(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// What the settings say of other control machines, and how many may be lost at once.
    pub fn settings(&mut self, seeds: Vec<Node>, losses: usize) {
        self.register.seeds(seeds);
        self.register.outlives(losses);
    }

    /// Whether this machine's word counts: not that of an empty disk before it has caught up.
    pub fn votes(&self) -> bool {
        self.register.votes()
    }

    /// Whether this machine leads and knows that nobody else does.
    pub fn acts(&self, now: f64) -> bool {
        self.lead.is_some() && now < self.register.authority()
    }

    /// What is known of the servers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// For logs and operators: service, phase, primary and its term.
    pub fn primaries(&self) -> Vec<(String, &'static str, GrantNews)> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let of = |(service, f): (&String, &Failover)| {
            let empty = GrantNews { service: service.clone(), id: String::new(), term: 0, closing: true };
            let news = lead.grants.get(service).map_or(empty, |g| g.news.clone());
            (service.clone(), f.phase(), news)
        };
        lead.services.iter().map(of).collect()
    }

    /// The routers that hold a lease.
    pub fn routers(&self, now: f64) -> usize {
        self.lead.as_ref().map_or(0, |l| l.leases.held(now))
    }

    /// The configuration's epoch and text as agreed, as far as is known here.
    pub fn config(&self) -> (u64, &[u8]) {
        (self.current.epoch, &self.current.config)
    }

    fn settle(&mut self, now: f64, outs: Vec<RegisterOut>, out: &mut Vec<Out>) {
        for one in outs {
            match one {
                RegisterOut::Save => out.push(Out::Save),
                RegisterOut::Send(to, message) => out.push(Out::Peer(to, message)),
                RegisterOut::Won => self.won(now),
                RegisterOut::Lost => self.lost(out),
                RegisterOut::Agreed => self.agreed(now, out),
            }
        }
    }

    fn won(&mut self, now: f64) {
        let fence = self.register.leads().map_or(0, |b| b.0);
        self.current = self.register.record().state.clone();
        log::info!("event=leads fence={fence} epoch={}", self.current.epoch);
        // Leases that another leader gave may run for their length from when it last could act, which was before this.
        let before_us = now + self.timing.lease + 0.05;
        self.lead = Some(Lead {
            since: now,
            fence,
            number: 1,
            leases: Sessions::begin(before_us),
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            sessions: HashMap::new(),
            proposed: None,
            queue: VecDeque::new(),
            sync: HashMap::new(),
        });
        for member in self.members.all().map(|m| m.news.id.clone()).collect::<Vec<_>>() {
            self.members.restamp(&member, 1);
        }
        self.know_services();
    }

    fn lost(&mut self, out: &mut Vec<Out>) {
        log::info!("event=leads_no_longer");
        let Some(lead) = self.lead.take() else { return };
        for (session, _) in lead.sessions {
            out.push(Out::Router(session, self.elsewhere()));
        }
        let waiting = lead.proposed.map(|(_, w)| w).into_iter().chain(lead.queue);
        for one in waiting {
            // It may hold or not: whoever asked must ask again.
            answer(&one.origin, 503, b"another machine leads now\n".to_vec(), out);
        }
    }

    fn agreed(&mut self, now: f64, out: &mut Vec<Out>) {
        self.current = self.register.record().state.clone();
        let Some(lead) = &mut self.lead else { return };
        if let Some((_, one)) = lead.proposed.take() {
            match one.what {
                Wanted::Config { epoch, .. } => {
                    log::info!("event=config epoch={epoch}");
                    answer(&one.origin, 200, Vec::new(), out);
                }
                Wanted::Primary { service, settled, .. } => {
                    if !settled && let Some(failover) = lead.services.get_mut(&service) {
                        let act = failover.agreed(now, true);
                        self.act(now, &service, act.into_iter().collect(), out);
                    }
                }
                Wanted::Read => {}
            }
        }
        self.know_services();
        self.next(now, out);
        self.tell_all(now, out);
    }

    fn elsewhere(&self) -> ToRouter {
        let leader = self.register.leader().filter(|l| *l != self.me || self.lead.is_some());
        ToRouter::Elsewhere { leader, voters: self.voters().to_vec() }
    }

    /// How many replicas each service waits for: the driver tells it with each configuration that it has read.
    pub fn replicas_waited_for(&mut self, sync: HashMap<String, u32>) {
        if let Some(lead) = &mut self.lead {
            lead.sync = sync;
        }
    }

    fn know_services(&mut self) {
        let timing = self.timing.service;
        let services = self.members.services();
        if let Some(lead) = &mut self.lead {
            for service in services {
                lead.services.entry(service).or_insert_with(|| Failover::new(timing));
            }
        }
    }

    /// Lets time pass; to be called every few hundredths of a second while this machine leads.
    pub fn tick(&mut self, now: f64) -> Vec<Out> {
        let mut out = Vec::new();
        let mut outs = Vec::new();
        self.register.tick(now, &mut outs);
        self.settle(now, outs, &mut out);
        let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
        if self.members.sweep(now, self.timing.forget, number) {
            self.news_due = true;
        }
        let late: Vec<u64> =
            self.passed.iter().filter(|(_, (_, until))| now > *until).map(|(id, _)| *id).collect();
        for id in late {
            if let Some((call, _)) = self.passed.remove(&id) {
                out.push(Out::Reply(call, told(503, "no answer from the machine that leads")));
            }
        }
        self.retry_held(now, &mut out);
        if self.lead.is_some() {
            if now < self.register.authority() {
                self.step(now, &mut out);
            }
            self.next(now, &mut out);
            // What came in one step is told at once: changes come in crowds, and each telling is answered.
            if self.news_due && now < self.register.authority() {
                self.news_due = false;
                if let Some(lead) = &mut self.lead {
                    lead.number += 1;
                }
                self.tell_all(now, &mut out);
            }
            if let Some(lead) = &mut self.lead {
                lead.leases.sweep(now);
                let late = lead.queue.iter().position(|w| now > w.until);
                if let Some(one) = late.and_then(|at| lead.queue.remove(at)) {
                    self.refuse(now, one, &mut out);
                }
                let stuck =
                    self.lead.as_ref().and_then(|l| l.proposed.as_ref()).is_some_and(|(_, w)| now > w.until);
                if stuck && let Some((_, one)) = self.lead.as_mut().and_then(|l| l.proposed.as_mut()) {
                    // It stays under way; whoever asked comes again and finds it taken, or not.
                    let origin = std::mem::replace(&mut one.origin, Origin::Here(0));
                    one.until = f64::INFINITY;
                    answer(&origin, 503, b"not agreed on yet\n".to_vec(), &mut out);
                }
            }
        }
        out
    }

    fn refuse(&mut self, now: f64, one: Waiting, out: &mut Vec<Out>) {
        match one.what {
            Wanted::Primary { settled: true, .. } => {}
            Wanted::Primary { service, .. } => {
                if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(&service)) {
                    failover.agreed(now, false);
                }
            }
            _ => answer(&one.origin, 503, b"nothing could be agreed on in time\n".to_vec(), out),
        }
    }

    /// One step of every service.
    fn step(&mut self, now: f64, out: &mut Vec<Out>) {
        let services: Vec<String> = match &self.lead {
            Some(lead) => lead.services.keys().cloned().collect(),
            None => return,
        };
        for service in services {
            let members: Vec<Candidate> = self.members.of(&service).map(candidate).collect();
            let Some(lead) = &mut self.lead else { return };
            let Some(mut failover) = lead.services.remove(&service) else { continue };
            let lost = self.members.lost(&service, self.timing.service.heartbeat);
            let record = self.current.primaries.get(&service);
            let leases = &lead.leases;
            let all_know = |number: u64| leases.all_know(now, number);
            let acts = failover.tick(&Around {
                now,
                members: &members,
                lost: &lost,
                record: record.map(|p| (p.id.as_str(), p.above)),
                all_know: &all_know,
                since: lead.since,
                not_before: lead.leases.before_us() + self.timing.platform,
                sync: lead.sync.get(&service).copied().unwrap_or(1),
            });
            lead.services.insert(service.clone(), failover);
            self.act(now, &service, acts, out);
        }
    }

    fn act(&mut self, now: f64, service: &str, acts: Vec<Act>, out: &mut Vec<Out>) {
        for act in acts {
            match act {
                Act::Ask(id, statement) => {
                    let Some(member) = self.members.get(&id) else {
                        self.asked(now, service, &id, Asked::Silent);
                        continue;
                    };
                    let endpoint = member.news.endpoint.clone();
                    out.push(Out::Ask { id, endpoint, service: service.to_owned(), statement });
                }
                Act::Agree { to, above } => {
                    let what = Wanted::Primary { service: service.to_owned(), to, above, settled: false };
                    let until = now + 2.0;
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_front(Waiting { origin: Origin::Here(0), until, what });
                    }
                    self.next(now, out);
                }
                Act::Settle { id, term } => {
                    let what =
                        Wanted::Primary { service: service.to_owned(), to: id, above: term, settled: true };
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_back(Waiting { origin: Origin::Here(0), until: now + 2.0, what });
                    }
                    self.next(now, out);
                }
                Act::Promote { to } => {
                    let fence = self.lead.as_ref().map_or(0, |l| l.fence);
                    let before = self.register.authority();
                    out.push(Out::Promote { service: service.to_owned(), id: to, fence, before });
                }
                Act::Grant { id, term, closing } => {
                    let Some(lead) = &mut self.lead else { return };
                    log::info!("event=grant service={service} id={id} term={term} closing={closing}");
                    lead.number += 1;
                    let news = GrantNews { service: service.to_owned(), id, term, closing };
                    lead.grants.insert(service.to_owned(), Grant { news, stamp: lead.number });
                    let number = lead.number;
                    if let Some(failover) = lead.services.get_mut(service) {
                        failover.told(number);
                    }
                    self.news_due = true;
                }
            }
        }
    }

    /// Proposes the next of what waits.
    fn next(&mut self, now: f64, out: &mut Vec<Out>) {
        loop {
            let authority = self.register.authority() > now;
            let Some(lead) = &mut self.lead else { return };
            if lead.proposed.is_some() || !authority || self.register.agreed().is_none() {
                return;
            }
            let Some(one) = lead.queue.pop_front() else { return };
            let state = match &one.what {
                Wanted::Read => {
                    answer(&one.origin, 200, self.current.config.clone(), out);
                    continue;
                }
                Wanted::Config { base, epoch, body } => match self.current.judge(*base, *epoch, body) {
                    Taken::Next => self.current.with_config(*epoch, body),
                    other => {
                        let (status, text) = match other {
                            Taken::Before => (200, String::new()),
                            Taken::Elsewise => (412, format!("version {} is in place\n", self.current.epoch)),
                            _ => (400, format!("epoch is not above {}\n", self.current.epoch)),
                        };
                        answer(&one.origin, status, text.into_bytes(), out);
                        continue;
                    }
                },
                // By now another change may have begun.
                Wanted::Primary { service, to, above, settled: true }
                    if !lead.services.get(service).is_some_and(|f| f.is_steady(to, *above)) =>
                {
                    continue;
                }
                Wanted::Primary { service, to, above, .. } => {
                    self.current.with_primary(service, Primary { id: to.clone(), above: *above })
                }
            };
            let mut outs = Vec::new();
            let seq = self.register.propose(now, state, &mut outs);
            if let (Some(seq), Some(lead)) = (seq, &mut self.lead) {
                lead.proposed = Some((seq, one));
            }
            self.settle(now, outs, out);
        }
    }

    fn news(
        &self, now: f64, lead: &Lead, session: &Session, sent: Option<f64>, lease: f64, whole: bool,
    ) -> ToRouter {
        let after = if whole { 0 } else { session.told };
        // Most calls only renew the lease: nothing is looked through for them.
        let any = after < lead.number || self.news_due;
        let grants =
            lead.grants.values().filter(|g| any && g.stamp > after).map(|g| g.news.clone()).collect();
        let members = any.then(|| self.members.all().filter(|m| m.stamp > after && !(whole && m.news.gone)));
        let newer = self.current.epoch > session.epoch;
        ToRouter::News {
            known: (crate::Ballot(lead.fence), lead.number),
            sent,
            lease,
            whole,
            grants,
            members: members.into_iter().flatten().map(|m| m.news.clone()).collect::<Vec<MemberNews>>(),
            config: newer.then(|| self.current.config.clone()),
            voters: self.voters().to_vec(),
            routers: if now - lead.since < SETTLED { 0 } else { lead.leases.held(now) as u32 },
        }
    }

    /// Tells every router what it doesn't know yet.
    fn tell_all(&mut self, now: f64, out: &mut Vec<Out>) {
        if now >= self.register.authority() {
            self.news_due = true;
            return;
        }
        let Some(mut lead) = self.lead.take() else { return };
        let mut sessions = std::mem::take(&mut lead.sessions);
        for (id, session) in &mut sessions {
            if session.told < lead.number || session.epoch < self.current.epoch {
                out.push(Out::Router(*id, self.news(now, &lead, session, None, 0.0, false)));
                session.told = lead.number;
                session.epoch = self.current.epoch;
            }
        }
        lead.sessions = sessions;
        self.lead = Some(lead);
    }

    /// A router asks for its lease on this session.
    pub fn router(&mut self, now: f64, session: u64, call: ToControl) -> Vec<Out> {
        let mut out = Vec::new();
        let authority = self.register.authority();
        let elsewhere = self.elsewhere();
        if self.lead.is_some() && now >= authority + 0.5 * self.timing.suspect {
            // Cut off from the others: somebody else may lead by now.
            out.push(Out::Router(
                session,
                ToRouter::Elsewhere { leader: None, voters: self.voters().to_vec() },
            ));
            return out;
        }
        let Some(mut lead) = self.lead.take() else {
            out.push(Out::Router(session, elsewhere));
            return out;
        };
        for seen in &call.evidence {
            if let Some(failover) = lead.services.get_mut(&seen.service) {
                failover.evidence(&seen.id, now - seen.answered);
            }
        }
        let ours = call.known.0 == crate::Ballot(lead.fence);
        let known = if ours { call.known.1 } else { 0 };
        let mut lease = 0.0;
        if now < authority {
            lease = self.timing.lease;
            lead.leases.renew(now, &call.router, call.life, known, lease);
        }
        let of = Session { router: call.router, told: known, epoch: call.epoch };
        out.push(Out::Router(session, self.news(now, &lead, &of, Some(call.sent), lease, !ours)));
        let told = lead.number;
        let epoch = self.current.epoch.max(of.epoch);
        lead.sessions.insert(session, Session { told, epoch, ..of });
        self.lead = Some(lead);
        out
    }

    /// A session's connection has ended. The lease that its router holds goes on.
    pub fn gone(&mut self, session: u64) {
        if let Some(lead) = &mut self.lead
            && let Some(session) = lead.sessions.remove(&session)
        {
            log::debug!("event=session_ended router={}", session.router);
        }
    }

    /// A message of another control machine.
    pub fn peer(&mut self, now: f64, from: Node, message: Peer) -> Vec<Out> {
        let mut out = Vec::new();
        match message {
            Peer::Members(news) => {
                let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
                for one in news {
                    self.take(now, one, number);
                }
                self.know_services();
            }
            Peer::Call { id, base, epoch, body } => {
                let what = match body {
                    Some(body) => Wanted::Config { base, epoch, body },
                    None => Wanted::Read,
                };
                let origin = Origin::There(from, id);
                let until = now + self.timing.call;
                match &mut self.lead {
                    Some(lead) => lead.queue.push_back(Waiting { origin, until, what }),
                    None => answer(&origin, 503, b"this machine doesn't lead\n".to_vec(), &mut out),
                }
                self.next(now, &mut out);
            }
            Peer::Answer { id, status, body } => {
                if let Some((call, _)) = self.passed.remove(&id) {
                    out.push(Out::Reply(call, Answer { status, body }));
                }
            }
            other => {
                let mut outs = Vec::new();
                self.register.message(now, from, other, &mut outs);
                self.settle(now, outs, &mut out);
            }
        }
        out
    }

    /// Servers as they were known in a life before this one: who is gone by now will be missed as all others are.
    pub fn recall(&mut self, now: f64, kept: Vec<MemberNews>) {
        for news in kept {
            self.members.merge(now, news, 0);
        }
    }

    /// A control machine has a connection again: it is told all that is known, as it may have missed it.
    pub fn met(&mut self, node: Node) -> Vec<Out> {
        let news: Vec<MemberNews> = self.members.all().map(|m| m.news.clone()).collect();
        if news.is_empty() { Vec::new() } else { vec![Out::Peer(node, Peer::Members(news))] }
    }

    fn take(&mut self, now: f64, news: MemberNews, number: u64) -> bool {
        let id = news.id.clone();
        let newer = self.members.merge(now, news, number);
        self.news_due |= newer && number > 0 && self.members.is_stamped(&id, number);
        newer
    }

    fn spread(&self, news: &MemberNews, out: &mut Vec<Out>) {
        for voter in self.voters().iter().filter(|v| **v != self.me) {
            out.push(Out::Peer(*voter, Peer::Members(vec![news.clone()])));
        }
    }

    /// The answer to a beat. A machine that is cut off from whoever leads keeps what it heard, but sends its caller on:
    /// a server that only it knows of may hold what the others miss.
    fn taken(&self, now: f64) -> Answer {
        if self.register.in_touch(now) {
            Answer { status: 200, body: b"{}".to_vec() }
        } else {
            told(503, "no machine leads here")
        }
    }

    /// A call from outside; its answer comes as [`Out::Reply`] under this number.
    pub fn call(&mut self, now: f64, number: u64, call: Call) -> Vec<Out> {
        let mut out = Vec::new();
        match call {
            Call::Beat { id, beat } => {
                let stamp = self.lead.as_ref().map_or(0, |l| l.number + 1);
                if let Some(news) = self.members.beat(now, &id, &beat, stamp) {
                    self.news_due |= stamp > 0 && self.members.is_stamped(&id, stamp);
                    self.spread(&news, &mut out);
                }
                out.push(Out::Reply(number, self.taken(now)));
                self.know_services();
            }
            Call::Depart { id } => {
                let stamp = self.lead.as_ref().map_or(0, |l| l.number + 1);
                if let Some(news) = self.members.depart(now, &id, stamp) {
                    self.news_due |= stamp > 0;
                    self.spread(&news, &mut out);
                }
                out.push(Out::Reply(number, self.taken(now)));
                self.know_services();
            }
            call => {
                self.held.push_back((number, call, now + self.timing.call));
                self.retry_held(now, &mut out);
            }
        }
        out
    }

    /// Calls that need the leader: taken here, passed on, or held until one is known.
    fn retry_held(&mut self, now: f64, out: &mut Vec<Out>) {
        for _ in 0..self.held.len() {
            let Some((number, call, until)) = self.held.pop_front() else { return };
            if now > until {
                out.push(Out::Reply(number, told(503, "no machine leads")));
                continue;
            }
            let leader = self.register.leader();
            if let Some(lead) = &mut self.lead {
                let what = match call {
                    Call::Replace { base, epoch, body } => Wanted::Config { base, epoch, body },
                    _ => Wanted::Read,
                };
                lead.queue.push_back(Waiting { origin: Origin::Here(number), until, what });
                self.next(now, out);
            } else if let Some(leader) = leader.filter(|l| *l != self.me) {
                self.passing += 1;
                let id = self.passing;
                self.passed.insert(id, (number, until));
                let message = match call {
                    Call::Replace { base, epoch, body } => Peer::Call { id, base, epoch, body: Some(body) },
                    _ => Peer::Call { id, base: 0, epoch: 0, body: None },
                };
                out.push(Out::Peer(leader, message));
            } else {
                self.held.push_back((number, call, until));
            }
        }
    }

    /// What a question to a server came to.
    pub fn asked(&mut self, now: f64, service: &str, id: &str, asked: Asked) {
        if matches!(asked, Asked::Row { .. } | Asked::Busy) {
            self.members.answered(now, id);
        }
        if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(service)) {
            failover.asked(now, id, asked);
        }
    }

    /// What a call to the platform came to; none if nothing came in time.
    pub fn promoted(&mut self, now: f64, service: &str, status: Option<u16>) {
        log::info!("event=promotion_answered service={service} status={}", status.unwrap_or(0));
        if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(service)) {
            failover.promoted(now, status);
        }
    }
}

fn candidate(member: &crate::members::Member) -> Candidate {
    Candidate { id: member.news.id.clone(), draining_since: member.draining_since, heard: member.heard }
}

fn told(status: u16, text: &str) -> Answer {
    Answer { status, body: format!("{text}\n").into_bytes() }
}

fn answer(origin: &Origin, status: u16, body: Vec<u8>, out: &mut Vec<Out>) {
    match origin {
        // Nobody waits for what a service's step proposed.
        Origin::Here(0) => {}
        Origin::Here(call) => out.push(Out::Reply(*call, Answer { status, body })),
        Origin::There(node, id) => out.push(Out::Peer(*node, Peer::Answer { id: *id, status, body })),
    }
}
