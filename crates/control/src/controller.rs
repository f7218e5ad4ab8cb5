//! One control machine: agreement, members, sessions and the primaries of all services put together.

use crate::consensus::{Consensus, ConsensusOutput, Record};
use crate::failover::{Act, Around, Asked, Candidate, Failover, Statement, Timing};
use crate::leases::Leases;
use crate::members::{Beat, Members};
use crate::message::{GrantNews, MemberNews, Node, PeerMessage, ToControl, ToRouter};
use crate::state::{Primary, State, Taken};
use beats::Refreshed;
#[cfg(test)]
pub(crate) use news::SESSIONS_A_TICK;
use news::{Session, Telling};
use services::Turns;
#[cfg(test)]
pub(crate) use services::{EVIDENCE_WANTED, QUESTIONS_A_TICK, SERVICES_A_TICK};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

mod beats;
mod members_news;
mod news;
mod orders;
mod services;

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ControlTiming {
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
pub enum Output {
    /// The record is to be on disk before anything behind this.
    Save,
    /// To another control machine.
    Peer(Node, PeerMessage),
    /// To the router on this session: an answer, or where else to ask.
    Router(u64, ToRouter),
    /// News to the router on this session, behind all that went there before. Sessions that lack the same share it.
    News(u64, Rc<ToRouter>),
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
    leases: Leases,
    services: BTreeMap<String, Failover>,
    grants: BTreeMap<String, Grant>,
    sessions: BTreeMap<u64, Session>,
    telling: Telling,
    turns: Turns,
    /// Under way: what is being agreed on.
    proposed: Option<(u64, Waiting)>,
    queue: VecDeque<Waiting>,
    sync: HashMap<String, u32>,
}

/// One control machine.
#[derive(Clone, Debug)]
pub struct Controller {
    me: Node,
    timing: ControlTiming,
    consensus: Consensus,
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
    /// Beats that told nothing new, for the other control machines.
    refreshed: Refreshed,
    /// When it was last looked for members that are silent.
    swept: f64,
}

/// Between two looks for members that are silent, in seconds.
const SWEEP: f64 = 0.1;

impl Controller {
    /// A machine that starts with this on its disk. See [`Consensus::new`].
    pub fn new(
        me: Node, record: Record, votes: bool, now: f64, seed: u64, timing: ControlTiming,
    ) -> Controller {
        Controller {
            me,
            timing,
            current: record.state.clone(),
            consensus: Consensus::new(me, record, votes, now, seed, timing.suspect),
            members: Members::default(),
            lead: None,
            passed: HashMap::new(),
            passing: seed << 16,
            held: VecDeque::new(),
            news_due: false,
            refreshed: Refreshed::default(),
            swept: f64::NEG_INFINITY,
        }
    }

    /// What is to be on disk.
    pub fn record(&self) -> &Record {
        self.consensus.record()
    }

    /// The machines that decide, and whether this one is heard.
    pub fn voters(&self) -> &[Node] {
        self.consensus.voters()
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<Node> {
        self.consensus.leader()
    }

    /// Whether this machine leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// This machine is about to end: whatever it leads goes to another at once.
    pub fn resign(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.resign(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// What the settings say of other control machines, and how many may be lost at once.
    pub fn settings(&mut self, seeds: Vec<Node>, losses: usize) {
        self.consensus.seeds(seeds);
        self.consensus.outlives(losses);
    }

    /// Whether this machine's word counts: not that of an empty disk before it has caught up.
    pub fn votes(&self) -> bool {
        self.consensus.votes()
    }

    /// Whether this machine leads and knows that nobody else does.
    pub fn acts(&self, now: f64) -> bool {
        self.lead.is_some() && now < self.consensus.authority()
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

    fn settle(&mut self, now: f64, outs: Vec<ConsensusOutput>, out: &mut Vec<Output>) {
        for one in outs {
            match one {
                ConsensusOutput::Save => out.push(Output::Save),
                ConsensusOutput::Send(to, message) => out.push(Output::Peer(to, message)),
                ConsensusOutput::Won => self.won(now),
                ConsensusOutput::Lost => self.lost(out),
                ConsensusOutput::Agreed => self.agreed(now, out),
            }
        }
    }

    fn won(&mut self, now: f64) {
        let fence = self.consensus.leads().map_or(0, |b| b.0);
        self.current = self.consensus.record().state.clone();
        log::info!("event=leads fence={fence} epoch={}", self.current.epoch);
        // Leases that another leader gave may run for their length from when it last could act, which was before this.
        let before_us = now + self.timing.lease + 0.05;
        self.lead = Some(Lead {
            since: now,
            fence,
            number: 1,
            leases: Leases::begin(before_us),
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            sessions: BTreeMap::new(),
            telling: Telling::default(),
            turns: Turns::default(),
            proposed: None,
            queue: VecDeque::new(),
            sync: HashMap::new(),
        });
        for member in self.members.all().map(|m| m.news.id.clone()).collect::<Vec<_>>() {
            self.members.restamp(&member, 1);
        }
        self.know_services();
    }

    fn lost(&mut self, out: &mut Vec<Output>) {
        log::info!("event=leads_no_longer");
        let Some(lead) = self.lead.take() else { return };
        for (session, _) in lead.sessions {
            out.push(Output::Router(session, self.elsewhere()));
        }
        let waiting = lead.proposed.map(|(_, w)| w).into_iter().chain(lead.queue);
        for one in waiting {
            // It may hold or not: whoever asked must ask again.
            answer(&one.origin, 503, b"another machine leads now\n".to_vec(), out);
        }
    }

    fn agreed(&mut self, now: f64, out: &mut Vec<Output>) {
        self.current = self.consensus.record().state.clone();
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

    /// Lets time pass; to be called every few hundredths of a second while this machine leads.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        let mut outs = Vec::new();
        self.consensus.tick(now, &mut outs);
        self.settle(now, outs, &mut out);
        self.spread_refreshed(now, &mut out);
        let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
        if now - self.swept >= SWEEP {
            self.swept = now;
            self.news_due |= self.members.sweep(now, self.timing.forget, number);
        }
        let late: Vec<u64> =
            self.passed.iter().filter(|(_, (_, until))| now > *until).map(|(id, _)| *id).collect();
        for id in late {
            if let Some((call, _)) = self.passed.remove(&id) {
                out.push(Output::Reply(call, told(503, "no answer from the machine that leads")));
            }
        }
        self.retry_held(now, &mut out);
        if let Some(lead) = &mut self.lead {
            lead.turns.begin_tick(now);
            if now < self.consensus.authority() {
                self.step(now, &mut out);
            }
            self.next(now, &mut out);
            self.tell_all(now, &mut out);
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

    /// A message of another control machine.
    pub fn peer(&mut self, now: f64, from: Node, message: PeerMessage) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            PeerMessage::Members(news) => {
                let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
                for one in news {
                    self.take(now, one, number);
                }
                self.know_services();
            }
            PeerMessage::Call { id, base, epoch, body } => {
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
            PeerMessage::Answer { id, status, body } => {
                if let Some((call, _)) = self.passed.remove(&id) {
                    out.push(Output::Reply(call, Answer { status, body }));
                }
            }
            other => {
                let mut outs = Vec::new();
                self.consensus.message(now, from, other, &mut outs);
                self.settle(now, outs, &mut out);
            }
        }
        out
    }

    /// A call from outside; its answer comes as [`Output::Reply`] under this number.
    pub fn call(&mut self, now: f64, number: u64, call: Call) -> Vec<Output> {
        let mut out = Vec::new();
        match call {
            Call::Beat { id, beat } => {
                self.beat(now, &id, &beat, &mut out);
                out.push(Output::Reply(number, self.taken(now)));
                self.know_services();
            }
            Call::Depart { id } => {
                let stamp = self.lead.as_ref().map_or(0, |l| l.number + 1);
                if let Some(news) = self.members.depart(now, &id, stamp) {
                    self.news_due |= stamp > 0;
                    self.spread(&news, &mut out);
                }
                out.push(Output::Reply(number, self.taken(now)));
                self.know_services();
            }
            call => {
                self.held.push_back((number, call, now + self.timing.call));
                self.retry_held(now, &mut out);
            }
        }
        out
    }
}

fn candidate(member: &crate::members::Member) -> Candidate {
    Candidate { id: member.news.id.clone(), draining_since: member.draining_since, heard: member.heard }
}

fn told(status: u16, text: &str) -> Answer {
    Answer { status, body: format!("{text}\n").into_bytes() }
}

fn answer(origin: &Origin, status: u16, body: Vec<u8>, out: &mut Vec<Output>) {
    match origin {
        // Nobody waits for what a service's step proposed.
        Origin::Here(0) => {}
        Origin::Here(call) => out.push(Output::Reply(*call, Answer { status, body })),
        Origin::There(node, id) => {
            out.push(Output::Peer(*node, PeerMessage::Answer { id: *id, status, body }))
        }
    }
}
