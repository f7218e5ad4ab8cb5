//! What the decisions of control cost by themselves: three controllers in one process, joined by a queue, in a time of their
//! own. Only this thread's processor time is measured, so the figures hold on a busy machine too.

use crate::plan::{HEARTBEAT_MS, Plan, ServerSpec};
use crate::servers::World;
use badgerstream_control::{
    Asked, Beat, Call, ControlTiming, Controller, Evidence, FOUNDING, Node, Output, PeerMessage, Phase,
    Record, State, Timing, ToControl, ToRouter, Voter,
};
use badgerstream_node::frames::{self, Frame};
use badgerstream_node::server_queries::read_row;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// A step of time, in seconds: the leader's pause between two ticks.
const STEP: f64 = 0.02;
/// Between two renewals of a router, in seconds.
const RENEW: f64 = 0.3;

/// Processor time of this thread so far, in seconds.
fn spent() -> f64 {
    let at = clock_gettime(ClockId::ThreadCPUTime);
    at.tv_sec as f64 + at.tv_nsec as f64 / 1e9
}

/// What was counted; times are seconds of the leader's processor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Ticks, and what they took.
    pub ticks: (u64, f64),
    /// Renewals of routers.
    pub renewals: (u64, f64),
    /// Beats of servers, and news of beats from other control machines.
    pub beats: (u64, f64),
    /// Answers to questions of servers.
    pub answers: (u64, f64),
    /// Frames to routers: how many, and what writing them to memory took.
    pub frames: (u64, f64),
    /// Bytes of those frames.
    pub frame_bytes: u64,
    /// Bytes of renewals.
    pub renewal_bytes: u64,
    /// Bytes from the leader to all other control machines.
    pub peer_bytes: u64,
    /// The longest chain of work without a pause, decisions and frames together.
    pub longest_s: f64,
}

fn add(to: &mut (u64, f64), took: f64) {
    to.0 += 1;
    to.1 += took;
}

/// Microseconds each.
pub fn each_us(of: (u64, f64)) -> f64 {
    if of.0 == 0 { 0.0 } else { of.1 / of.0 as f64 * 1e6 }
}

struct Router {
    known: (badgerstream_control::Ballot, u64),
    epoch: u64,
    config_text: Rc<[u8]>,
    holds: bool,
    evidence_wanted: Vec<String>,
}

/// Three control machines, the servers and the routers.
pub struct Decisions {
    now: f64,
    controllers: Vec<(Node, Controller)>,
    world: World,
    servers: Vec<ServerSpec>,
    routers: Vec<Router>,
    evidence: usize,
    queue: VecDeque<(Node, Node, PeerMessage)>,
    seq: u64,
    replies: HashMap<u64, u16>,
    renews: Vec<ToControl>,
    /// What has been counted since the last [`Decisions::forget`].
    pub costs: Costs,
}

fn node(at: &SocketAddr) -> Node {
    match at.ip() {
        IpAddr::V4(ip) => u32::from(ip),
        IpAddr::V6(_) => 0,
    }
}

fn timing() -> ControlTiming {
    let heartbeat = HEARTBEAT_MS as f64 / 1000.0;
    let service = Timing { ask: 0.2, ask_replica: 1.0, silence: 0.6, answer: 0.6, heartbeat, drain: 7.0 };
    ControlTiming {
        lease: 1.5,
        suspect: 0.6,
        platform: 1.0,
        call: 0.9,
        contact: 1.0,
        forget: 4.0 * heartbeat,
        service,
    }
}

/// A control machine of the first hour.
fn founder(node: Node) -> Voter {
    Voter { node, incarnation: FOUNDING }
}

impl Decisions {
    /// All at their start; routers tell what they saw of so many primaries.
    pub fn new(plan: &Plan, evidence: usize) -> Decisions {
        let nodes: Vec<Node> = plan.controls().iter().map(node).collect();
        let one = |(n, me): (usize, &Node)| {
            let record = Record {
                promised: Default::default(),
                accepted: Default::default(),
                state: Rc::new(State::first(nodes.clone())),
            };
            (*me, Controller::new(founder(*me), record, 0.0, 7 + n as u64, timing()))
        };
        let servers = plan.servers();
        let router = |_| Router {
            known: Default::default(),
            epoch: 0,
            config_text: Rc::from([]),
            holds: false,
            evidence_wanted: Vec::new(),
        };
        Decisions {
            now: 0.0,
            controllers: nodes.iter().enumerate().map(one).collect(),
            world: World::new(&servers),
            servers,
            routers: (0..plan.routers).map(router).collect(),
            evidence,
            queue: VecDeque::new(),
            seq: 0,
            replies: HashMap::new(),
            renews: Vec::new(),
            costs: Costs::default(),
        }
    }

    /// Counts from nothing again.
    pub fn forget(&mut self) {
        self.costs = Costs::default();
    }

    /// None for a machine that is gone.
    fn at(&self, of: Node) -> Option<usize> {
        self.controllers.iter().position(|(n, _)| *n == of)
    }

    fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(|(_, s)| s.acts(self.now))
    }

    /// How many routers know this epoch and hold a lease.
    pub fn ready(&self, epoch: u64) -> usize {
        self.routers.iter().filter(|r| r.holds && r.epoch >= epoch).count()
    }

    /// Services whose primary routers may use.
    pub fn granted(&self) -> usize {
        let Some(leader) = self.leader() else { return 0 };
        self.controllers[leader]
            .1
            .primaries()
            .iter()
            .filter(|(_, _, g)| !g.closing && !g.id.is_empty())
            .count()
    }

    /// Does what this machine decided; the time that its frames took.
    fn perform(&mut self, of: usize, out: Vec<Output>) -> f64 {
        let mut framed = 0.0;
        let me = self.controllers[of].0;
        let leads = self.leader() == Some(of);
        let mut asked = Vec::new();
        let mut waiting = VecDeque::from(out);
        let mut encoded: Vec<(Rc<ToRouter>, u64)> = Vec::new();
        while let Some(one) = waiting.pop_front() {
            match one {
                Output::Save => {
                    let now = self.now;
                    waiting.extend(self.controllers[of].1.saved(now));
                }
                Output::Promote { .. } => {}
                Output::KeepServers(then) => waiting.extend(then),
                Output::Peer(to, message) => {
                    if leads {
                        let frame = Frame::Peer { to, message: message.clone() };
                        self.costs.peer_bytes += frames::bytes(&frame).len() as u64;
                    }
                    self.queue.push_back((me, to.node(), message));
                }
                Output::Router(session, message) => {
                    let news = Rc::new(message);
                    let (_, took) = self.frame(&news);
                    framed += took;
                    self.take(session, &news);
                }
                Output::News(session, news) => {
                    // Encoded once for all sessions that are told the same.
                    let known = encoded.iter().find(|(of, _)| Rc::ptr_eq(of, &news));
                    if let Some((_, bytes)) = known {
                        self.costs.frame_bytes += bytes;
                    } else {
                        let (bytes, took) = self.frame(&news);
                        framed += took;
                        encoded.push((news.clone(), bytes));
                    }
                    self.take(session, &news);
                }
                Output::Ask { id, service, statement, .. } => asked.push((id, service, statement)),
                Output::Reply(call, answer) => {
                    self.replies.insert(call, answer.status);
                }
            }
        }
        for (id, service, statement) in asked {
            let text = match statement {
                badgerstream_control::Statement::Pause(term) => format!("PAUSE {term}"),
                badgerstream_control::Statement::StepDown(term) => format!("STEPDOWN {term}"),
                badgerstream_control::Statement::Resume => "RESUME".to_owned(),
                badgerstream_control::Statement::Status => "STATUS".to_owned(),
            };
            let row = self.world.ask(&id, &text).and_then(|row| read_row(row.as_bytes()));
            let answer = row.map_or(Asked::Refused, |row| Asked::Row { statement, row, asked: self.now });
            let began = spent();
            self.controllers[of].1.asked(self.now, &service, &id, answer);
            if leads {
                add(&mut self.costs.answers, spent() - began);
            }
        }
        framed
    }

    /// Writes a frame to memory; its bytes and the time that it took.
    fn frame(&mut self, news: &Rc<ToRouter>) -> (u64, f64) {
        let began = spent();
        let bytes = frames::bytes(&Frame::News(news.clone())).len() as u64;
        let took = spent() - began;
        add(&mut self.costs.frames, took);
        self.costs.frame_bytes += bytes;
        (bytes, took)
    }

    fn take(&mut self, session: u64, news: &ToRouter) {
        let at = session as usize % 10_000;
        let ToRouter::News { known, sent, lease, config, evidence_wanted, .. } = news else { return };
        let Some(router) = self.routers.get_mut(at) else { return };
        router.known = router.known.max(*known);
        router.evidence_wanted.clone_from(evidence_wanted);
        if let Some(text) = config.as_ref().and_then(|news| news.resolve(&router.config_text)) {
            router.epoch = crate::routers::epoch(&text).unwrap_or(router.epoch);
            router.config_text = text;
        }
        router.holds |= sent.is_some() && *lease > 0.0;
        if sent.is_none() {
            let renew = self.renew(at);
            self.renews.push(renew);
        }
    }

    fn renew(&self, at: usize) -> ToControl {
        let router = &self.routers[at];
        let seen = |s: &ServerSpec| Evidence { service: s.service.clone(), id: s.id.clone(), answered: 0.05 };
        let wanted = |s: &&ServerSpec| s.leads && router.evidence_wanted.contains(&s.service);
        let asked_about = self.servers.iter().filter(wanted);
        ToControl {
            router: format!("edge-local-{at}"),
            life: 1 + at as u64,
            sent: self.now,
            known: router.known,
            epoch: router.epoch,
            evidence: asked_about.take(self.evidence).map(seen).collect(),
        }
    }

    fn hear(&mut self, leader: usize, call: ToControl) {
        let at = call.life as usize - 1;
        // A session belongs to one machine: to another leader a router has another one.
        let session = (leader as u64 + 1) * 10_000 + at as u64;
        self.costs.renewal_bytes += frames::bytes(&Frame::Renew(call.clone())).len() as u64;
        let began = spent();
        let out = self.controllers[leader].1.router(self.now, session, call);
        let took = spent() - began;
        add(&mut self.costs.renewals, took);
        self.perform(leader, out);
    }

    /// Lets time pass by one step: beats, renewals, messages and a tick of each machine.
    pub fn step(&mut self) {
        self.now += STEP;
        let round = (self.now / STEP).round() as usize;
        for n in 0..self.controllers.len() {
            let leads = self.leader() == Some(n);
            let began = spent();
            let out = self.controllers[n].1.tick(self.now);
            let took = spent() - began;
            let framed = self.perform(n, out);
            if leads {
                add(&mut self.costs.ticks, took);
                self.costs.longest_s = self.costs.longest_s.max(took + framed);
            }
        }
        self.pass();
        let beats = (HEARTBEAT_MS as f64 / 1000.0 / STEP).round() as usize;
        for n in (0..self.servers.len()).filter(|n| n % beats == round % beats) {
            self.beat(n);
        }
        let renews = (RENEW / STEP).round() as usize;
        if let Some(leader) = self.leader() {
            for call in std::mem::take(&mut self.renews) {
                self.hear(leader, call);
            }
            for n in (0..self.routers.len()).filter(|n| n % renews == round % renews) {
                let call = self.renew(n);
                self.hear(leader, call);
            }
        }
        self.pass();
    }

    fn beat(&mut self, n: usize) {
        self.seq += 1;
        let server = &self.servers[n];
        let beat = Beat {
            service: server.service.clone(),
            endpoint: server.endpoint.to_string(),
            zone: server.zone.clone(),
            slots: 4,
            phase: Phase::Ready,
            call_seq: self.seq,
        };
        let call = Call::Beat { id: server.id.clone(), beat };
        let at = n % self.controllers.len();
        self.call(at, call);
    }

    fn call(&mut self, at: usize, call: Call) -> u64 {
        self.seq += 1;
        let number = self.seq;
        let is_beat = matches!(call, Call::Beat { .. });
        let leads = self.leader() == Some(at);
        let began = spent();
        let out = self.controllers[at].1.call(self.now, number, call);
        let took = spent() - began;
        let framed = self.perform(at, out);
        if leads {
            if is_beat {
                add(&mut self.costs.beats, took);
            }
            self.costs.longest_s = self.costs.longest_s.max(took + framed);
        }
        number
    }

    /// Messages between control machines, until there are none.
    fn pass(&mut self) {
        while let Some((from, to, message)) = self.queue.pop_front() {
            let Some(at) = self.at(to) else { continue };
            let leads = self.leader() == Some(at);
            let members = matches!(message, PeerMessage::Members { .. });
            let began = spent();
            let out = self.controllers[at].1.peer(self.now, founder(from), message);
            let took = spent() - began;
            let framed = self.perform(at, out);
            if leads {
                if members {
                    add(&mut self.costs.beats, took);
                }
                self.costs.longest_s = self.costs.longest_s.max(took + framed);
            }
        }
    }

    /// Sends a configuration; whether it was acknowledged within so many steps.
    pub fn configure(&mut self, plan: &Plan, epoch: u64, steps: usize) -> bool {
        let body = plan.configuration(epoch).into_bytes();
        let Some(leader) = self.leader() else { return false };
        let number = self.call(leader, Call::Replace { base: epoch - 1, epoch, body: body.into() });
        for _ in 0..steps {
            if self.replies.get(&number) == Some(&200) {
                return true;
            }
            self.step();
        }
        false
    }

    /// The leader is gone: the others go on without it.
    pub fn end_leader(&mut self) {
        if let Some(leader) = self.leader() {
            let (gone, _) = self.controllers.remove(leader);
            self.queue.retain(|(_, to, _)| *to != gone);
            for router in &mut self.routers {
                router.holds = false;
            }
        }
    }
}

/// Plays the start, so many calm seconds, one configuration and the end of the leader; tells a line for each.
pub fn run(plan: &Plan, evidence: usize, seconds: f64, tell: &mut dyn FnMut(String)) -> Result<(), String> {
    let mut play = Decisions::new(plan, evidence);
    let (routers, services) = (plan.routers, plan.services);
    let head = format!("routers={routers} services={services} evidence={evidence}");
    let until = |play: &mut Decisions, what: &str, epoch: u64| {
        for _ in 0..3000 {
            play.step();
            if play.ready(epoch) == routers && play.granted() == services {
                return Ok(());
            }
        }
        Err(format!(
            "{what}: {} of {routers} routers, {} of {services} services",
            play.ready(epoch),
            play.granted()
        ))
    };
    until(&mut play, "start", 0)?;
    if !play.configure(plan, 1, 500) {
        return Err("the first configuration was not taken".to_owned());
    }
    until(&mut play, "first configuration", 1)?;
    play.forget();
    let began = play.now;
    while play.now < began + seconds {
        play.step();
    }
    let c = play.costs;
    let took = play.now - began;
    let share = |of: (u64, f64)| 100.0 * of.1 / took;
    tell(format!(
        "what=decisions {head} seconds={took:.1} tick_us={:.1} renewal_us={:.2} beat_us={:.2} answer_us={:.2} frame_us={:.2} \
         ticks_core_pct={:.3} renewals_core_pct={:.3} beats_core_pct={:.3} answers_core_pct={:.3} frames_core_pct={:.3} \
         session_out_bytes_s={:.0} session_in_bytes_s={:.0} leader_peer_bytes_s={:.0}",
        each_us(c.ticks),
        each_us(c.renewals),
        each_us(c.beats),
        each_us(c.answers),
        each_us(c.frames),
        share(c.ticks),
        share(c.renewals),
        share(c.beats),
        share(c.answers),
        share(c.frames),
        c.renewal_bytes as f64 / took / routers as f64,
        c.frame_bytes as f64 / took / routers as f64,
        c.peer_bytes as f64 / took,
    ));
    play.forget();
    if !play.configure(plan, 2, 500) {
        return Err("the second configuration was not taken".to_owned());
    }
    until(&mut play, "second configuration", 2)?;
    let c = play.costs;
    tell(format!(
        "what=decisions_change {head} longest_ms={:.2} frame_bytes={} a_router_bytes={:.0}",
        c.longest_s * 1000.0,
        c.frame_bytes,
        c.frame_bytes as f64 / routers as f64
    ));
    play.forget();
    play.end_leader();
    let began = play.now;
    until(&mut play, "next leader", 2)?;
    let c = play.costs;
    tell(format!(
        "what=decisions_next_leader {head} after_s={:.2} frame_bytes={} a_router_bytes={:.0} longest_ms={:.2}",
        play.now - began,
        c.frame_bytes,
        c.frame_bytes as f64 / routers as f64,
        c.longest_s * 1000.0
    ));
    Ok(())
}
