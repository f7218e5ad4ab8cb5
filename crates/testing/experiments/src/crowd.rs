//! A plain model of a store and its clients in simulated time, around real `routing::Instance`s: as many routers as
//! one likes, seconds of theirs in less than seconds of ours. Nodes have slots, a queue, a price for handshakes, a
//! bound on connections, and are cold behind a start; lists run late; links can be cut. What it leaves out stands
//! in docs/design/choices-that-add-up.md. Equal seeds give equal runs.

use badgerstream_process_harness::router::{Told, WORKLOADS};
use badgerstream_router_config::{RouterSettings, StartConfig};
use badgerstream_routing::{ExecutionOutcome, Instance, NodeStatus, Outbox, Role};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Simulated time begins here, in seconds.
const START: f64 = 1000.0;
/// From a router to a node and back.
const TRIP_S: f64 = 0.0005;
/// A connection that is not up within this is given up.
const DIAL_S: f64 = 0.25;
/// An idle connection is closed after this.
const IDLE_S: f64 = 15.0;
/// Discovery is asked by a router that starts, and answers within this.
const LISTED_S: f64 = 0.005;

#[derive(Clone, Debug)]
pub struct Shape {
    pub routers: usize,
    /// How many routers each is told of.
    pub told: usize,
    pub groups: usize,
    pub members: usize,
    pub slots: usize,
    pub service_s: f64,
    pub handshake_s: f64,
    pub connections: usize,
    pub cold_from: f64,
    pub cold_s: f64,
    pub factor: f64,
    pub window_s: f64,
    /// Lists reach each router late by so much at most.
    pub late_s: f64,
    pub lag_s: f64,
    pub per_s: f64,
    pub writes: f64,
    pub patience_s: f64,
    pub slo_s: f64,
    pub retries: u32,
    pub length_s: f64,
}

/// What is done to the model, and when.
#[derive(Clone, Debug)]
pub enum Do {
    KillRouters(Vec<usize>),
    StartRouters(Vec<usize>),
    KillNodes(Vec<usize>),
    /// Started again, cold; primaries among them lead again if nobody else does.
    StartNodes(Vec<usize>),
    /// Their work takes so many times as long.
    Slow(Vec<usize>, f64),
    /// Links between these routers and nodes are silent, or are healed.
    Cut(Vec<usize>, Vec<usize>),
    Heal,
    /// The demand at each router against all others.
    Weights(Vec<f64>),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Of {
    pub demand: f64,
    pub served: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Second {
    pub due: f64,
    pub served: f64,
    pub asked: usize,
    pub refused: usize,
    pub probes: usize,
    pub opened: usize,
    pub by_router: Vec<Of>,
}

#[derive(Clone, Debug, Default)]
pub struct Ran {
    pub seconds: Vec<Second>,
    pub executions: usize,
    pub copies: usize,
    pub turned_away: usize,
    /// The most that a cold node was sent against what it bears.
    pub cold_most: f64,
    pub stale: usize,
    /// Statements of routers that were killed under them.
    pub lost: usize,
    /// Executions at each node in the calm.
    pub by_node: Vec<usize>,
    /// Pairs of a router and a node with a connection, at the end.
    pub pairs: usize,
    /// Final answers of ours, by what all members of the group were at that moment.
    pub refusals: BTreeMap<&'static str, usize>,
}

#[derive(Clone, Copy)]
struct Asked {
    due: f64,
    until: f64,
    workload: usize,
    group: u16,
    session: u64,
    /// When its session's last write was committed; 0 for none.
    wrote: f64,
    tries: u32,
    home: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Dialing,
    Out,
    Over,
}

#[derive(Clone, Copy)]
struct Execution {
    router: usize,
    life: u32,
    /// None for a probe.
    stmt: Option<(u32, u8)>,
    node: usize,
    sent: f64,
    phase: Phase,
}

enum Event {
    Arrive,
    Due(Asked),
    Wake(usize, u64),
    /// Work at a node came to its end: which life of it, and the execution; true for a handshake.
    Done(usize, u32, usize, bool),
    Heard(usize, ExecutionOutcome),
    Expire(usize),
    DialOver(usize),
    List(usize, u32),
    Deed(usize),
    Sweep,
}

struct Router {
    instance: Instance,
    life: u32,
    up: bool,
    numbered: u32,
    open: HashMap<u32, (Asked, u8)>,
    running: HashMap<(u32, u8), usize>,
    idle: HashMap<usize, Vec<f64>>,
    /// Connections that are up, by node.
    held: HashMap<usize, usize>,
    wake: u64,
}

struct Node {
    up: bool,
    life: u32,
    since: f64,
    leads: bool,
    slower: f64,
    busy: usize,
    queue: VecDeque<(usize, bool)>,
    held: usize,
    sent: VecDeque<f64>,
}

#[derive(Default)]
struct Orders(Vec<Order>);

enum Order {
    Execute(u32, usize, f64),
    Cancel(u32, u8),
    Reject(u32, f64),
    Abort(u32),
    Probe(usize),
    Wake(f64),
}

impl Outbox for Orders {
    fn execute(&mut self, stmt: u32, node: u32, limit: f64) {
        self.0.push(Order::Execute(stmt, node as usize, limit));
    }
    fn inquire(&mut self, stmt: u32, node: u32, limit: f64) {
        self.execute(stmt, node, limit);
    }
    fn cancel(&mut self, stmt: u32, execution: u8) {
        self.0.push(Order::Cancel(stmt, execution));
    }
    fn reject(&mut self, stmt: u32, after: f64) {
        self.0.push(Order::Reject(stmt, after));
    }
    fn abort(&mut self, stmt: u32) {
        self.0.push(Order::Abort(stmt));
    }
    fn probe(&mut self, node: u32) {
        self.0.push(Order::Probe(node as usize));
    }
    fn wake(&mut self, after: f64) {
        self.0.push(Order::Wake(after));
    }
    fn log(&mut self, _line: &str) {}
}

pub struct Crowd<'a> {
    shape: &'a Shape,
    own: &'a RouterSettings,
    seed: u64,
    deeds: &'a [(f64, Do)],
    chance: fastrand::Rng,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Events by number; what has happened leaves its place to others.
    waiting: Vec<Option<Event>>,
    free: Vec<usize>,
    order: u64,
    routers: Vec<Router>,
    nodes: Vec<Node>,
    executions: Vec<Execution>,
    weights: Vec<f64>,
    cut: Vec<(Vec<usize>, Vec<usize>)>,
    wrote: HashMap<u64, f64>,
    ran: Ran,
}

/// Plays all of it.
///
/// # Errors
/// Settings that can't be served.
pub fn play(
    shape: &Shape,
    deeds: &[(f64, Do)],
    own: &RouterSettings,
    up: usize,
    seed: u64,
) -> Result<Ran, String> {
    let mut crowd = Crowd {
        shape,
        own,
        seed,
        deeds,
        chance: fastrand::Rng::with_seed(seed),
        now: START,
        events: BinaryHeap::new(),
        waiting: Vec::new(),
        free: Vec::new(),
        order: 0,
        routers: Vec::new(),
        nodes: Vec::new(),
        executions: Vec::new(),
        weights: vec![1.0; shape.routers],
        cut: Vec::new(),
        wrote: HashMap::new(),
        ran: Ran::default(),
    };
    crowd.build(up)?;
    crowd.run();
    Ok(crowd.ran)
}

impl Crowd<'_> {
    fn build(&mut self, up: usize) -> Result<(), String> {
        let count = self.shape.groups * self.shape.members;
        for node in 0..count {
            let leads = node % self.shape.members == 0;
            let (queue, sent) = Default::default();
            self.nodes.push(Node {
                up: true,
                life: 0,
                since: 0.0,
                leads,
                slower: 1.0,
                busy: 0,
                queue,
                held: 0,
                sent,
            });
        }
        self.ran.by_node = vec![0; count];
        for router in 0..self.shape.routers {
            let instance = self.born(router, 0)?;
            let (open, running, idle, held) = Default::default();
            let (life, numbered, wake) = (0, 0, 0);
            self.routers.push(Router {
                instance,
                life,
                up: router < up,
                numbered,
                open,
                running,
                idle,
                held,
                wake,
            });
            if router < up {
                self.list(router);
                self.settle(router);
            }
        }
        let seconds = self.shape.length_s.ceil() as usize;
        let second = Second {
            by_router: vec![Of::default(); self.shape.routers],
            ..Second::default()
        };
        self.ran.seconds = vec![second; seconds];
        let deeds: Vec<f64> = self.deeds.iter().map(|deed| deed.0).collect();
        deeds
            .iter()
            .enumerate()
            .for_each(|(i, at)| self.at(START + at, Event::Deed(i)));
        self.at(START, Event::Arrive);
        self.at(START + 1.0, Event::Sweep);
        Ok(())
    }

    fn born(&self, router: usize, life: u32) -> Result<Instance, String> {
        let name = format!("router-{router}");
        let address = ([127, 0, 0, 1], 1).into();
        let s = self.shape;
        let lot = self.seed ^ ((router as u64) << 20) ^ u64::from(life);
        let told = Told {
            name: &name,
            listen: address,
            discovery: address,
            seed: fastrand::Rng::with_seed(lot).u64(..),
            memory_mb: 64,
            descriptors: 512,
            known: serde_json::json!({}),
            routers: s.told,
            slo_ms: s.slo_s * 1e3,
            timeout_ms: s.patience_s * 1e3,
            mark_memory_ms: 60_000.0,
            cold: (s.cold_from, (s.cold_s * 1e3) as u64),
            fall: ((s.window_s * 1e3) as u64, s.factor),
        };
        let provision = StartConfig::parse(&told.config().to_string())?;
        let (mut instance, _) =
            badgerstream_router_config::instance(provision.seed, &provision.settings)?;
        instance.set_fleet_sharing(self.own.fleet.clone(), provision.seed, &name);
        Ok(instance)
    }

    fn at(&mut self, when: f64, event: Event) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.waiting.push(None);
            self.waiting.len() - 1
        });
        self.waiting[place] = Some(event);
        self.order += 1;
        self.events
            .push(Reverse(((when * 1e6) as u64, self.order, place)));
    }

    fn run(&mut self) {
        let end = START + self.shape.length_s;
        while let Some(Reverse((at, _, place))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > end {
                break;
            }
            self.free.push(place);
            if let Some(event) = self.waiting[place].take() {
                self.happen(event);
            }
        }
        self.ran.pairs = self
            .routers
            .iter()
            .filter(|r| r.up)
            .map(|r| r.held.values().filter(|h| **h > 0).count())
            .sum();
    }

    fn second(&mut self, at: f64) -> Option<&mut Second> {
        self.ran.seconds.get_mut((at - START).max(0.0) as usize)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Due(asked) => self.due(asked),
            Event::Wake(router, number) => {
                if self.routers[router].wake == number && self.routers[router].up {
                    self.settle(router);
                }
            }
            Event::Done(node, life, execution, shake) => {
                if self.nodes[node].life == life {
                    self.done(node, execution, shake);
                }
            }
            Event::Heard(execution, ending) => self.heard(execution, ending),
            Event::Expire(execution) => self.end(execution, ExecutionOutcome::TimedOut, true),
            Event::DialOver(execution) => {
                if self.executions[execution].phase == Phase::Dialing {
                    self.end(execution, ExecutionOutcome::ConnectFailed, true);
                }
            }
            Event::List(router, life) => {
                if self.routers[router].up && self.routers[router].life == life {
                    self.list(router);
                    self.settle(router);
                }
            }
            Event::Deed(number) => {
                let deed = self.deeds[number].1.clone();
                self.deed(deed);
            }
            Event::Sweep => self.sweep(),
        }
    }

    /// The next statement, and the one behind it: a Poisson process.
    fn arrive(&mut self) {
        let shape = self.shape;
        let gap = -(1.0 - self.chance.f64()).ln() / shape.per_s;
        let writes = self.chance.f64() < shape.writes;
        let workload = if !writes {
            0
        } else if self.chance.f64() < 0.75 {
            2
        } else {
            3
        };
        let group = self.chance.usize(0..shape.groups) as u16;
        let session = self.chance.u64(1..=4000 * shape.groups as u64);
        let home = self.home();
        let due = self.now;
        let asked = Asked {
            due,
            until: due + shape.patience_s,
            workload,
            group,
            session,
            wrote: 0.0,
            tries: 0,
            home,
        };
        self.due(asked);
        self.at(due + gap, Event::Arrive);
    }

    /// A router by its weight, of those that are up.
    fn home(&mut self) -> usize {
        let weight = |(router, weight): (&Router, &f64)| if router.up { *weight } else { 0.0 };
        let all: f64 = self.routers.iter().zip(&self.weights).map(weight).sum();
        let mut lot = self.chance.f64() * all;
        let found = self.routers.iter().zip(&self.weights).position(|pair| {
            lot -= weight(pair);
            lot < 0.0
        });
        found.unwrap_or(0)
    }

    fn due(&mut self, mut asked: Asked) {
        if !self.routers[asked.home].up {
            asked.home = self.home();
        }
        let (router, worth, now) = (asked.home, WORKLOADS[asked.workload].1, self.now);
        if let Some(second) = self.second(asked.due).filter(|_| asked.tries == 0) {
            second.due += worth;
            second.asked += 1;
            second.by_router[router].demand += worth;
        }
        let age = if asked.wrote > 0.0 {
            (now - asked.wrote).max(1e-6)
        } else {
            0.0
        };
        let left = asked.until - now;
        let of = &mut self.routers[router];
        if left <= 0.0 || !of.up {
            return;
        }
        of.numbered += 1;
        let stmt = of.numbered;
        of.open.insert(stmt, (asked, 0));
        let session = if asked.workload == 0 {
            0
        } else {
            asked.session
        };
        of.instance.arrived(
            now,
            stmt,
            asked.workload,
            asked.group,
            session,
            usize::MAX,
            0.0,
            now + left,
            age,
        );
        self.settle(router);
    }

    fn settle(&mut self, router: usize) {
        let mut orders = Orders::default();
        self.routers[router].instance.settle(self.now, &mut orders);
        let mut soonest = f64::INFINITY;
        for order in orders.0 {
            match order {
                Order::Execute(stmt, node, limit) => self.execute(router, stmt, node, limit),
                Order::Cancel(stmt, execution) => {
                    if let Some(of) = self.routers[router]
                        .running
                        .get(&(stmt, execution))
                        .copied()
                    {
                        self.end(of, ExecutionOutcome::Cancelled, false);
                    }
                }
                Order::Reject(stmt, after) => self.refused(router, stmt, Some(after)),
                Order::Abort(stmt) => self.refused(router, stmt, None),
                Order::Probe(node) => {
                    let at = self.now;
                    self.second(at)
                        .into_iter()
                        .for_each(|second| second.probes += 1);
                    self.dial(router, None, node, DIAL_S);
                }
                Order::Wake(after) => soonest = soonest.min(after.max(1e-4)),
            }
        }
        if soonest.is_finite() {
            let of = &mut self.routers[router];
            of.wake += 1;
            let number = of.wake;
            self.at(self.now + soonest, Event::Wake(router, number));
        }
    }

    fn refused(&mut self, router: usize, stmt: u32, after: Option<f64>) {
        let Some((mut asked, _)) = self.routers[router].open.remove(&stmt) else {
            return;
        };
        let why = self.why(router, asked.group, asked.workload);
        *self.ran.refusals.entry(why).or_default() += 1;
        self.second(asked.due)
            .into_iter()
            .for_each(|second| second.refused += 1);
        let again = after
            .filter(|_| asked.tries < self.shape.retries)
            .map(|after| self.now + after.max(0.001));
        if let Some(at) = again.filter(|at| *at < asked.until) {
            asked.tries += 1;
            self.at(at, Event::Due(asked));
        }
    }

    /// What truly stood in its group's way when it was given up.
    fn why(&self, router: usize, group: u16, workload: usize) -> &'static str {
        let members = self.shape.members;
        let all = usize::from(group) * members..(usize::from(group) + 1) * members;
        let takes = |node: &usize| workload < 2 || self.nodes[*node].leads;
        let able: Vec<usize> = all
            .filter(takes)
            .filter(|node| self.nodes[*node].up)
            .collect();
        if able.is_empty() {
            return "no member lives";
        }
        let able: Vec<usize> = able
            .into_iter()
            .filter(|node| !self.is_cut(router, *node))
            .collect();
        if able.is_empty() {
            return "cut off";
        }
        let room = |node: &usize| self.nodes[*node].busy < self.shape.slots;
        let cold = |node: &usize| self.warmth(*node) < 1.0;
        match (able.iter().any(room), able.iter().all(cold)) {
            (true, true) => "cold, with true room",
            (false, true) => "cold, without room",
            (true, false) => "true room was free",
            (false, false) => "no room",
        }
    }

    fn execute(&mut self, router: usize, stmt: u32, node: usize, limit: f64) {
        let Some(open) = self.routers[router].open.get_mut(&stmt) else {
            return;
        };
        let execution = open.1;
        open.1 += 1;
        self.ran.executions += 1;
        self.ran.copies += usize::from(
            self.routers[router]
                .running
                .contains_key(&(stmt, execution.wrapping_sub(1))),
        );
        self.dial(router, Some((stmt, execution)), node, limit);
    }

    fn is_cut(&self, router: usize, node: usize) -> bool {
        self.cut
            .iter()
            .any(|(routers, nodes)| routers.contains(&router) && nodes.contains(&node))
    }

    /// Sends on an idle connection, or opens one.
    fn dial(&mut self, router: usize, stmt: Option<(u32, u8)>, node: usize, limit: f64) {
        let (now, cut) = (self.now, self.is_cut(router, node));
        let of = &mut self.routers[router];
        let reused = of.idle.get_mut(&node).and_then(Vec::pop).is_some();
        let phase = if reused { Phase::Out } else { Phase::Dialing };
        let execution = Execution {
            router,
            life: of.life,
            stmt,
            node,
            sent: now,
            phase,
        };
        // Numbers are never used again: what is still to happen to an old one finds it over.
        let number = self.executions.len();
        self.executions.push(execution);
        stmt.into_iter()
            .for_each(|key| _ = self.routers[router].running.insert(key, number));
        self.at(now + limit, Event::Expire(number));
        if reused {
            if !cut {
                self.enqueue(node, number, false);
            }
            return;
        }
        self.second(now)
            .into_iter()
            .for_each(|second| second.opened += 1);
        if cut {
            self.at(now + DIAL_S, Event::DialOver(number));
        } else if !self.nodes[node].up {
            self.at(
                now + TRIP_S,
                Event::Heard(number, ExecutionOutcome::ConnectFailed),
            );
        } else if self.nodes[node].held >= self.shape.connections {
            self.ran.turned_away += 1;
            self.at(
                now + TRIP_S,
                Event::Heard(number, ExecutionOutcome::Rejected),
            );
        } else {
            self.nodes[node].held += 1;
            *self.routers[router].held.entry(node).or_default() += 1;
            self.at(now + DIAL_S, Event::DialOver(number));
            self.enqueue(node, number, true);
        }
    }

    fn enqueue(&mut self, node: usize, execution: usize, shake: bool) {
        if !shake && self.executions[execution].stmt.is_some() {
            self.arrived(node);
        }
        self.nodes[node].queue.push_back((execution, shake));
        self.work(node);
    }

    /// The share of its capacity that a node has now.
    fn warmth(&self, node: usize) -> f64 {
        let since = self.nodes[node].since;
        if since <= 0.0 {
            return 1.0;
        }
        let warmed = ((self.now - since) / self.shape.cold_s).clamp(0.0, 1.0);
        self.shape.cold_from + (1.0 - self.shape.cold_from) * warmed
    }

    /// A statement reached a node: a cold one is watched.
    fn arrived(&mut self, node: usize) {
        let (now, warmth, s) = (self.now, self.warmth(node), self.shape);
        self.ran.by_node[node] += 1;
        if warmth >= 1.0 {
            return;
        }
        let sent = &mut self.nodes[node].sent;
        sent.push_back(now);
        while sent.pop_front_if(|at| now - *at >= s.window_s).is_some() {}
        let bears = s.factor * warmth * s.slots as f64 / s.service_s * s.window_s;
        self.ran.cold_most = self.ran.cold_most.max(sent.len() as f64 / bears);
    }

    /// Takes what waits at a node into its slots.
    fn work(&mut self, node: usize) {
        while self.nodes[node].busy < self.shape.slots {
            let Some((execution, shake)) = self.nodes[node].queue.pop_front() else {
                return;
            };
            let of = self.executions[execution];
            let wanted = of.phase != Phase::Over && of.node == node;
            if !wanted && !shake {
                continue;
            }
            let s = self.shape;
            // What is turned away or only asked about costs nothing.
            let free = !shake && (of.stmt.is_none() || self.misses(&of));
            let takes = if shake { s.handshake_s } else { s.service_s };
            let takes = if free {
                0.0
            } else {
                takes * self.nodes[node].slower / self.warmth(node)
            };
            self.nodes[node].busy += 1;
            let life = self.nodes[node].life;
            self.at(self.now + takes, Event::Done(node, life, execution, shake));
        }
    }

    fn misses(&self, of: &Execution) -> bool {
        let open = of
            .stmt
            .and_then(|(stmt, _)| self.routers[of.router].open.get(&stmt));
        open.is_some_and(|(asked, _)| asked.workload >= 2) && !self.nodes[of.node].leads
    }

    fn done(&mut self, node: usize, execution: usize, shake: bool) {
        self.nodes[node].busy -= 1;
        let of = self.executions[execution];
        if of.node == node && of.phase == Phase::Dialing && shake {
            self.executions[execution].phase = Phase::Out;
            self.enqueue(node, execution, false);
        } else if of.node == node
            && of.phase == Phase::Out
            && !shake
            && !self.is_cut(of.router, node)
        {
            let ending = if self.misses(&of) {
                ExecutionOutcome::NotEligible
            } else {
                ExecutionOutcome::Completed
            };
            self.at(self.now + TRIP_S, Event::Heard(execution, ending));
        }
        self.work(node);
    }

    /// An answer has come to its router.
    fn heard(&mut self, number: usize, ending: ExecutionOutcome) {
        let of = self.executions[number];
        if of.phase == Phase::Over {
            return;
        }
        let good = matches!(
            ending,
            ExecutionOutcome::Completed | ExecutionOutcome::NotEligible
        ) && of.phase == Phase::Out;
        let (now, leads) = (self.now, self.nodes[of.node].leads);
        if good && of.life == self.routers[of.router].life {
            self.routers[of.router]
                .idle
                .entry(of.node)
                .or_default()
                .push(now);
        }
        self.executions[number].phase = Phase::Over;
        if of.life != self.routers[of.router].life || !self.routers[of.router].up {
            return;
        }
        let id = of.node as u32;
        let lsn = if leads { now } else { now - self.shape.lag_s };
        let role = if leads { Role::Primary } else { Role::Replica };
        let held = self.nodes[of.node].held as f64;
        let own = self.routers[of.router]
            .held
            .get(&of.node)
            .copied()
            .unwrap_or(0) as f64;
        match of.stmt {
            None => {
                let answered = ending == ExecutionOutcome::Completed;
                self.routers[of.router].instance.probed(
                    now,
                    id,
                    answered,
                    answered.then_some(leads),
                    lsn,
                );
            }
            Some(key) => {
                self.routers[of.router].running.remove(&key);
                let over =
                    ending == ExecutionOutcome::Completed && self.answer(of.router, key.0, lsn);
                let over = over || !self.routers[of.router].open.contains_key(&key.0);
                let told = good.then_some(role);
                let lsn = if good { lsn } else { f64::NEG_INFINITY };
                let took = now - of.sent;
                self.routers[of.router]
                    .instance
                    .executed(now, key.0, key.1, id, ending, took, over, told, lsn);
            }
        }
        if good {
            let instance = &mut self.routers[of.router].instance;
            instance.reported(now, id, Some(leads), lsn);
            instance.connections_reported(now, id, held, own);
        }
        self.settle(of.router);
    }

    /// The final answer to a client; true if it was open still.
    fn answer(&mut self, router: usize, stmt: u32, lsn: f64) -> bool {
        let Some((asked, _)) = self.routers[router].open.remove(&stmt) else {
            return false;
        };
        let now = self.now;
        self.ran.stale += usize::from(asked.wrote > 0.0 && lsn < asked.wrote - 0.002);
        if asked.workload >= 2 {
            self.wrote.insert(asked.session, now);
            // Half of the sessions read what they wrote.
            if self.chance.bool() {
                let due = now + 0.2;
                let until = due + self.shape.patience_s;
                let home = self.home();
                let read = Asked {
                    due,
                    until,
                    workload: 1,
                    wrote: now,
                    tries: 0,
                    home,
                    ..asked
                };
                self.at(due, Event::Due(read));
            }
        }
        if now - asked.due <= self.shape.slo_s {
            let worth = WORKLOADS[asked.workload].1;
            if let Some(second) = self.second(asked.due) {
                second.served += worth;
                second.by_router[asked.home].served += worth;
            }
        }
        true
    }

    /// An execution ends at its router without an answer: its connection closes. `tells`: the instance does not know.
    fn end(&mut self, number: usize, ending: ExecutionOutcome, tells: bool) {
        let of = self.executions[number];
        if of.phase == Phase::Over {
            return;
        }
        self.executions[number].phase = Phase::Over;
        if of.life != self.routers[of.router].life || !self.routers[of.router].up {
            return;
        }
        self.close(of.router, of.node, 1);
        let ending = match (ending, of.phase) {
            (ExecutionOutcome::TimedOut | ExecutionOutcome::Cancelled, Phase::Dialing) => {
                ExecutionOutcome::NeverIssued
            }
            (ending, _) => ending,
        };
        let (now, id) = (self.now, of.node as u32);
        match of.stmt {
            None => {
                self.routers[of.router]
                    .instance
                    .probed(now, id, false, None, f64::NEG_INFINITY);
                self.settle(of.router);
            }
            Some(key) => {
                self.routers[of.router].running.remove(&key);
                let over = !self.routers[of.router].open.contains_key(&key.0);
                let (took, none) = (now - of.sent, f64::NEG_INFINITY);
                self.routers[of.router]
                    .instance
                    .executed(now, key.0, key.1, id, ending, took, over, None, none);
                // Who cancels is in the midst of settling.
                if tells {
                    self.settle(of.router);
                }
            }
        }
    }

    fn close(&mut self, router: usize, node: usize, count: usize) {
        let held = self.routers[router].held.entry(node).or_default();
        let closed = count.min(*held);
        *held -= closed;
        self.nodes[node].held = self.nodes[node].held.saturating_sub(closed);
    }

    /// The list as it is now, at one router.
    fn list(&mut self, router: usize) {
        let (now, members) = (self.now, self.shape.members);
        let instance = &mut self.routers[router].instance;
        instance.list_begins();
        for (id, node) in self.nodes.iter().enumerate() {
            let standing = if node.up {
                NodeStatus::Ready
            } else {
                NodeStatus::Gone
            };
            instance.node_named(id as u32, &format!("node-{id}"));
            let place = ((id / members) as u16, 0);
            instance.list_member(now, id as u32, place, standing, node.since, node.leads);
        }
        instance.list_ends(now, true);
        instance.discovery_answered(now);
    }

    /// Each router hears of a change late, by a lot of its own.
    fn publish(&mut self) {
        for router in 0..self.routers.len() {
            let late = self.chance.f64() * self.shape.late_s;
            let life = self.routers[router].life;
            self.at(self.now + late, Event::List(router, life));
        }
    }

    fn deed(&mut self, deed: Do) {
        match deed {
            Do::KillRouters(these) => these
                .into_iter()
                .for_each(|router| self.kill_router(router)),
            Do::StartRouters(these) => {
                for router in these {
                    let life = self.routers[router].life + 1;
                    // It was served once: so it can be again.
                    let Ok(instance) = self.born(router, life) else {
                        continue;
                    };
                    let of = &mut self.routers[router];
                    (of.instance, of.life, of.up) = (instance, life, true);
                    self.at(self.now + LISTED_S, Event::List(router, life));
                }
            }
            Do::KillNodes(these) => {
                these.iter().for_each(|node| self.kill_node(*node));
                for group in 0..self.shape.groups {
                    self.lead(group);
                }
                self.publish();
            }
            Do::StartNodes(these) => {
                for node in these {
                    let since = self.now;
                    let of = &mut self.nodes[node];
                    (of.up, of.since, of.slower) = (true, since, 1.0);
                    self.lead(node / self.shape.members);
                }
                self.publish();
            }
            Do::Slow(these, times) => these
                .iter()
                .for_each(|node| self.nodes[*node].slower = times),
            Do::Cut(routers, nodes) => self.cut.push((routers, nodes)),
            Do::Heal => self.cut.clear(),
            Do::Weights(weights) => self.weights = weights,
        }
    }

    /// A group that nobody leads is led by its first member that lives.
    fn lead(&mut self, group: usize) {
        let members = self.shape.members;
        let all = group * members..(group + 1) * members;
        if !all
            .clone()
            .any(|node| self.nodes[node].leads && self.nodes[node].up)
        {
            let first = all.clone().find(|node| self.nodes[*node].up);
            all.for_each(|node| self.nodes[node].leads = Some(node) == first);
        }
    }

    fn kill_router(&mut self, router: usize) {
        let of = &mut self.routers[router];
        self.ran.lost += of.open.len();
        (of.up, of.life) = (false, of.life + 1);
        (of.open, of.running, of.idle) = Default::default();
        let held: Vec<(usize, usize)> = of.held.drain().collect();
        for (node, count) in held {
            self.nodes[node].held = self.nodes[node].held.saturating_sub(count);
        }
    }

    fn kill_node(&mut self, node: usize) {
        let of = &mut self.nodes[node];
        (of.up, of.life, of.busy, of.held) = (false, of.life + 1, 0, 0);
        of.queue.clear();
        of.sent.clear();
        for router in &mut self.routers {
            router.idle.remove(&node);
            router.held.remove(&node);
        }
        let there = self
            .executions
            .iter()
            .enumerate()
            .filter(|e| e.1.node == node && e.1.phase != Phase::Over);
        let there: Vec<(usize, Phase)> = there.map(|(number, of)| (number, of.phase)).collect();
        for (number, phase) in there {
            let ending = if phase == Phase::Out {
                ExecutionOutcome::ConnectionLost
            } else {
                ExecutionOutcome::ConnectFailed
            };
            self.at(self.now + TRIP_S, Event::Heard(number, ending));
        }
    }

    /// What stood idle for long is closed.
    fn sweep(&mut self) {
        for router in 0..self.routers.len() {
            let (now, mut closed) = (self.now, Vec::new());
            for (node, idle) in &mut self.routers[router].idle {
                let before = idle.len();
                idle.retain(|since| now - since < IDLE_S);
                closed.push((*node, before - idle.len()));
            }
            closed.sort_unstable();
            closed
                .into_iter()
                .for_each(|(node, count)| self.close(router, node, count));
        }
        self.at(self.now + 1.0, Event::Sweep);
    }
}
