//! Model check of the decisions against an abstract store with synchronous replication, over every order of events
//! within small budgets: two marked writes, three nodes, crashes, partitions, slow nodes, promotions, late role
//! reports, lists that name the old primary, answers lost at any point, marks that the store has forgotten.

use super::G;
use crate::{
    Admission, AdmissionRequest, Evidence, HoldSize, NEVER, Phase, RepeatEffect, Resolution,
    Settings, Succession, resolve_doubt,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use test_case::test_case;

const NODES: usize = 3;
const WRITES: usize = 2;
/// Time between two events; longer than every duration on which the decisions depend.
const STEP_S: f64 = 20.0;

/// A fault put into the decisions or their caller, to show that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A write that may have run is sent again although its mark is forgotten.
    ResendsForgotten,
    /// A write that may have run is rejected as if it had not.
    RejectsInDoubt,
    /// No admission is requested again for a held statement.
    ForgetsHeld,
    /// Every role report is believed, however old.
    BelievesOldReports,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WriteState {
    New,
    /// `sent_term`: the latest term in which the write was sent and may have run.
    Waiting {
        sent_term: Option<u64>,
    },
    InFlight {
        node: usize,
        term: u64,
        sent_term: Option<u64>,
    },
    Inquiring {
        node: usize,
        sent_term: u64,
    },
    Completed,
    Rejected,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request {
        write: usize,
        node: usize,
        epoch: u32,
    },
    Inquiry {
        write: usize,
        node: usize,
    },
    Answer {
        write: usize,
        node: usize,
        completed: bool,
    },
    Refused {
        write: usize,
        node: usize,
    },
    ConnectionBroke {
        write: usize,
        node: usize,
    },
    /// What a node said of its role, and in which step.
    RoleReport {
        node: usize,
        leads: bool,
        at: u32,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    alive: bool,
    partitioned: bool,
    leads: bool,
    term: u64,
    /// Changes when the node crashes, restarts or stops leading: requests sent before are stale.
    epoch: u32,
    /// Writes in the order of their commits.
    log: Vec<usize>,
}

/// Number of times that each event may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budgets {
    crashes: u8,
    partitions: u8,
    promotions: u8,
    /// The leader is taken for unreachable although it is only slow.
    slow: u8,
    timeouts: u8,
    /// The list names a primary.
    lists: u8,
    role_reports: u8,
    inquiries: u8,
    /// The store forgets its marks.
    forgets: u8,
    /// A client leaves.
    leaves: u8,
    /// A second write may arrive.
    second_write: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    term: u64,
    /// The store has forgotten its marks.
    marks_forgotten: bool,
    writes: Vec<WriteState>,
    /// Number of answers that each write got.
    answers: Vec<u8>,
    network: Vec<Message>,
    budgets: Budgets,
    /// An inquiry found that its write had run.
    inquiry_found_write: bool,
    /// A role report changed the leader although it was older than the last accepted one.
    regressed: bool,
}

#[derive(Clone, Debug)]
struct State {
    world: World,
    succession: Succession,
    step: u32,
    /// The step of the last accepted evidence that the leader leads.
    accepted_step: u32,
}

impl State {
    /// Returns the state of the decisions in a canonical form: of times only the order counts.
    fn canonical(&self) -> (Vec<usize>, Vec<u64>) {
        let group = &self.succession.groups[&G];
        let term = &group.term;
        let mut times = vec![
            term.claimed_at,
            term.suspected_at,
            f64::from(self.accepted_step) * STEP_S,
        ];
        times.extend((0..NODES as u32).map(|n| term.denied_at.get(&n).copied().unwrap_or(NEVER)));
        times.extend(
            self.world
                .network
                .iter()
                .filter_map(|message| match message {
                    Message::RoleReport { at, .. } => Some(f64::from(*at) * STEP_S),
                    _ => None,
                }),
        );
        times.extend((0..NODES as u32).map(|n| term.deposed.get(&n).copied().unwrap_or(NEVER)));
        let mut order = times.clone();
        order.sort_by(f64::total_cmp);
        order.dedup();
        let ranks = times
            .iter()
            .map(|time| order.iter().position(|other| other == time).unwrap())
            .collect();
        let mut rest = vec![
            term.number,
            term.phase as u64,
            term.leader.map_or(9, u64::from),
        ];
        rest.push(term.candidate.map_or(9, u64::from));
        rest.extend([
            u64::from(term.leader_leaving),
            u64::from(term.leader_unreachable),
        ]);
        rest.extend((0..NODES as u32).map(|n| u64::from(term.deposed.contains_key(&n))));
        rest.extend((0..WRITES as u32).map(|w| u64::from(self.succession.is_held(w))));
        (ranks, rest)
    }

    /// Returns the world without the times of role reports, which are in `canonical`.
    fn world_without_times(&self) -> World {
        let mut world = self.world.clone();
        for message in &mut world.network {
            if let Message::RoleReport { at, .. } = message {
                *at = 0;
            }
        }
        world
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.canonical() == other.canonical()
            && self.world_without_times() == other.world_without_times()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.canonical().hash(hasher);
        self.world_without_times().hash(hasher);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Arrive(usize),
    /// The client of a write leaves.
    Leave(usize),
    Deliver(Message),
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal(usize),
    Promote(usize),
    /// A node reports its role.
    ReportRole(usize),
    /// The leader is slow and taken for unreachable.
    Slow(usize),
    Timeout(usize),
    /// The list names a node as the primary.
    List(usize),
    /// The store forgets its marks.
    ForgetMarks,
}

struct ChangeModel {
    fault: Fault,
    budgets: Budgets,
}

impl World {
    fn primary(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.leads && n.term == self.term)
    }

    /// Nodes that run and are not partitioned.
    fn reachable(&self) -> Vec<usize> {
        (0..NODES)
            .filter(|n| self.nodes[*n].alive && !self.nodes[*n].partitioned)
            .collect()
    }

    /// Returns the primary, if it reaches a majority and so can commit.
    fn working_primary(&self) -> Option<usize> {
        let reachable = self.reachable();
        self.primary()
            .filter(|p| reachable.contains(p) && reachable.len() * 2 > NODES)
    }

    /// Makes all reachable nodes follow the primary, if it is reachable.
    fn replicate(&mut self) {
        let reachable = self.reachable();
        let Some(primary) = self.primary().filter(|p| reachable.contains(p)) else {
            return;
        };
        let log = self.nodes[primary].log.clone();
        for n in reachable.into_iter().filter(|n| *n != primary) {
            let term = self.term;
            let node = &mut self.nodes[n];
            if node.leads {
                node.leads = false;
                node.epoch += 1;
            }
            node.term = term;
            node.log = log.clone();
        }
    }

    fn send(&mut self, message: Message) {
        self.network.push(message);
        self.network.sort();
    }

    /// Breaks the connections to a crashed node: how far a request came there is unknown.
    fn break_connections(&mut self, crashed: usize) {
        for message in &mut self.network {
            match *message {
                Message::Request { write, node, .. }
                | Message::Inquiry { write, node }
                | Message::Answer { write, node, .. }
                    if node == crashed =>
                {
                    *message = Message::ConnectionBroke { write, node }
                }
                _ => {}
            }
        }
        // Nobody waits to hear that the connection of a request that timed out broke.
        let writes = self.writes.clone();
        self.network.retain(|message| match message {
            Message::ConnectionBroke { write, node } => matches!(writes[*write], WriteState::InFlight { node: to, .. } | WriteState::Inquiring { node: to, .. } if to == *node),
            _ => true,
        });
        self.network.sort();
        self.network.dedup();
    }

    fn answer(&mut self, write: usize, write_state: WriteState) {
        self.writes[write] = write_state;
        self.answers[write] += 1;
    }
}

impl ChangeModel {
    /// Returns the later of the two terms.
    fn later_term(&self, sent_term: Option<u64>, term: u64) -> Option<u64> {
        Some(sent_term.map_or(term, |sent_term| sent_term.max(term)))
    }

    /// Does what the router does, with what it knows, at the time of this step and one second later.
    fn run_router(&self, state: &mut State) {
        for now in [
            f64::from(state.step) * STEP_S,
            f64::from(state.step) * STEP_S + 1.0,
        ] {
            state.succession.settle(now);
            for write in 0..WRITES {
                if let WriteState::Waiting { sent_term } = state.world.writes[write]
                    && !(self.fault == Fault::ForgetsHeld && state.succession.is_held(write as u32))
                {
                    self.request_admission(state, now, write, sent_term);
                }
            }
        }
        state.succession.take_log_lines();
    }

    /// Resolves a write in doubt, then asks for its admission and sends it if it is admitted.
    fn request_admission(&self, state: &mut State, now: f64, write: usize, sent_term: Option<u64>) {
        let remembered = !state.world.marks_forgotten || self.fault == Fault::ResendsForgotten;
        let repeat = RepeatEffect::Dropped {
            until: if remembered { f64::INFINITY } else { NEVER },
        };
        let current_term = state.succession.term(G);
        let resolution = sent_term.map_or(Resolution::Resend, |sent_term| {
            resolve_doubt(repeat, now, true, true, sent_term, current_term)
        });
        let has_leader = matches!(state.succession.phase(G), Phase::Settled | Phase::Settling);
        if resolution == Resolution::Abort && has_leader
            || resolution == Resolution::Inquire && state.world.budgets.inquiries == 0
        {
            state.world.answer(write, WriteState::Aborted);
            state.succession.forget_statement(G, write as u32);
            return;
        }
        let request = AdmissionRequest {
            group: G,
            session: write as u64 + 1,
            bytes: 1,
            worth: 1.0,
            arrived: write as f64,
            deadline: f64::INFINITY,
            may_have_run: sent_term.is_some(),
            ..AdmissionRequest::default()
        };
        let admitted = state.succession.admit(now, write as u32, &request) == Admission::Send;
        let Some(node) = state
            .succession
            .leader(G)
            .filter(|_| admitted && resolution != Resolution::Abort)
            .map(|n| n as usize)
        else {
            return;
        };
        state.succession.record_sent(write as u32);
        let alive = state.world.nodes[node].alive;
        if resolution == Resolution::Inquire {
            state.world.budgets.inquiries -= 1;
            state.world.writes[write] = WriteState::Inquiring {
                node,
                sent_term: sent_term.unwrap_or(current_term),
            };
            state.world.send(if alive {
                Message::Inquiry { write, node }
            } else {
                Message::Refused { write, node }
            });
        } else {
            state.world.writes[write] = WriteState::InFlight {
                node,
                term: current_term,
                sent_term,
            };
            let epoch = state.world.nodes[node].epoch;
            state.world.send(if alive {
                Message::Request { write, node, epoch }
            } else {
                Message::Refused { write, node }
            });
        }
    }

    /// Delivers a message; returns false where it can't be processed now.
    fn deliver(&self, state: &mut State, message: Message) -> bool {
        let now = f64::from(state.step) * STEP_S;
        let (world, succession) = (&mut state.world, &mut state.succession);
        match message {
            Message::Request { write, node, epoch } => {
                let n = &world.nodes[node];
                let stale = !n.leads || n.epoch != epoch;
                if !stale && world.working_primary() != Some(node) {
                    return false;
                }
                if !stale && (world.marks_forgotten || !n.log.contains(&write)) {
                    world.nodes[node].log.push(write);
                    world.replicate();
                }
                // Nobody waits for the answer to a request that timed out.
                if matches!(world.writes[write], WriteState::InFlight { node: to, .. } if to == node)
                {
                    world.send(Message::Answer {
                        write,
                        node,
                        completed: !stale,
                    });
                }
            }
            Message::Inquiry { write, node } => {
                let WriteState::Inquiring { sent_term, .. } = world.writes[write] else {
                    return true;
                };
                if world.working_primary() != Some(node) {
                    world.writes[write] = WriteState::Waiting {
                        sent_term: Some(sent_term),
                    };
                } else if world.nodes[node].log.contains(&write) {
                    world.inquiry_found_write = true;
                    world.answer(write, WriteState::Completed);
                    succession.forget_statement(G, write as u32);
                } else {
                    world.writes[write] = WriteState::Waiting { sent_term: None };
                }
            }
            Message::Answer {
                write,
                node,
                completed,
            } => {
                let WriteState::InFlight { sent_term, .. } = world.writes[write] else {
                    return true;
                };
                let evidence = if completed {
                    Evidence::Leads { at: now }
                } else {
                    Evidence::Follows { at: now }
                };
                succession.observe(now, G, node as u32, evidence);
                succession.record_execution_end(
                    now,
                    G,
                    write as u32,
                    node as u32,
                    completed,
                    !completed,
                );
                if completed {
                    if succession.leader(G) == Some(node as u32) {
                        state.accepted_step = state.step;
                    }
                    world.answer(write, WriteState::Completed);
                    succession.forget_statement(G, write as u32);
                } else {
                    world.writes[write] = WriteState::Waiting { sent_term };
                }
            }
            Message::Refused { write, node } => {
                succession.observe(now, G, node as u32, Evidence::Unreachable);
                succession.record_execution_end(now, G, write as u32, node as u32, false, true);
                world.writes[write] = match world.writes[write] {
                    WriteState::InFlight { sent_term, .. } => WriteState::Waiting { sent_term },
                    WriteState::Inquiring { sent_term, .. } => WriteState::Waiting {
                        sent_term: Some(sent_term),
                    },
                    other => other,
                };
            }
            Message::ConnectionBroke { write, node } => {
                succession.record_execution_end(now, G, write as u32, node as u32, false, true);
                world.writes[write] = match world.writes[write] {
                    WriteState::InFlight {
                        sent_term, term, ..
                    } => WriteState::Waiting {
                        sent_term: self.later_term(sent_term, term),
                    },
                    WriteState::Inquiring { sent_term, .. } => WriteState::Waiting {
                        sent_term: Some(sent_term),
                    },
                    other => other,
                };
            }
            Message::RoleReport { node, leads, at } => {
                let at = if self.fault == Fault::BelievesOldReports {
                    now
                } else {
                    f64::from(at) * STEP_S
                };
                let evidence = if leads {
                    Evidence::Leads { at }
                } else {
                    Evidence::Follows { at }
                };
                let leader_before = succession.leader(G);
                succession.observe(now, G, node as u32, evidence);
                if let (true, Message::RoleReport { at, .. }) =
                    (leads && succession.leader(G) == Some(node as u32), message)
                {
                    world.regressed |=
                        leader_before != succession.leader(G) && at <= state.accepted_step;
                    state.accepted_step = state.accepted_step.max(at);
                }
            }
        }
        let index = world
            .network
            .iter()
            .position(|m| *m == message)
            .expect("the message is in the network");
        world.network.remove(index);
        true
    }
}

impl Model for ChangeModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let settings = Settings {
            hold: HoldSize {
                statements: 9,
                bytes: 9,
            },
            hold_group: HoldSize {
                statements: 9,
                bytes: 9,
            },
            longest_hold_ms: 3_600_000.0,
            least_chance: 0.0,
            release_spread_ms: 0.0,
            outcomes: true,
            ..Settings::default()
        };
        let mut succession = Succession::new(settings, 1, 1.0);
        succession.observe(0.0, G, 0, Evidence::Leads { at: 0.0 });
        succession.settle(STEP_S);
        let node = |n| Node {
            alive: true,
            leads: n == 0,
            term: 1,
            ..Node::default()
        };
        let world = World {
            nodes: (0..NODES).map(node).collect(),
            term: 1,
            marks_forgotten: false,
            writes: vec![WriteState::New; WRITES],
            answers: vec![0; WRITES],
            network: Vec::new(),
            budgets: self.budgets.clone(),
            inquiry_found_write: false,
            regressed: false,
        };
        vec![State {
            world,
            succession,
            step: 1,
            accepted_step: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let world = &state.world;
        let budgets = &state.world.budgets;
        for write in 0..WRITES {
            match world.writes[write] {
                WriteState::New
                    if write == 0 || budgets.second_write && world.writes[0] != WriteState::New =>
                {
                    actions.push(Action::Arrive(write));
                }
                WriteState::Waiting { .. } if budgets.leaves > 0 => {
                    actions.push(Action::Leave(write));
                }
                WriteState::InFlight { .. } if budgets.timeouts > 0 => {
                    actions.push(Action::Timeout(write));
                }
                _ => {}
            }
        }
        let mut messages = world.network.clone();
        messages.dedup();
        actions.extend(messages.into_iter().map(Action::Deliver));
        for n in 0..NODES {
            let node = &world.nodes[n];
            let leads = world.primary() == Some(n);
            if node.alive && leads && budgets.crashes > 0 {
                actions.push(Action::Crash(n));
            }
            if !node.alive {
                actions.push(Action::Restart(n));
            }
            if node.alive && leads && budgets.partitions > 0 {
                actions.push(Action::Partition(n));
            }
            if node.partitioned {
                actions.push(Action::Heal(n));
            }
            let report_in_flight = world
                .network
                .iter()
                .any(|m| matches!(m, Message::RoleReport { node, .. } if *node == n));
            if node.alive && !report_in_flight && budgets.role_reports > 0 {
                actions.push(Action::ReportRole(n));
            }
            let reachable = world.reachable();
            let longest_log = reachable
                .iter()
                .map(|n| world.nodes[*n].log.len())
                .max()
                .unwrap_or(0);
            let promotable = reachable.contains(&n)
                && reachable.len() * 2 > NODES
                && node.log.len() == longest_log;
            if promotable
                && budgets.promotions > 0
                && !leads
                && !world.primary().is_some_and(|p| reachable.contains(&p))
            {
                actions.push(Action::Promote(n));
            }
            if budgets.lists > 0 && n == 0 {
                actions.push(Action::List(n));
            }
            if budgets.slow > 0 && state.succession.leader(G) == Some(n as u32) {
                actions.push(Action::Slow(n));
            }
        }
        // A repeat is sent only while it can still arrive in time: a quarter of the time for which marks are remembered
        // is kept for that. So marks are not forgotten while a repeat is in the network.
        let is_repeat = |m: &Message| match m {
            Message::Request { write, .. } => {
                matches!(
                    world.writes[*write],
                    WriteState::InFlight {
                        sent_term: Some(_),
                        ..
                    }
                )
            }
            _ => false,
        };
        if budgets.forgets > 0 && !world.network.iter().any(is_repeat) {
            actions.push(Action::ForgetMarks);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state.step += 1;
        let now = f64::from(state.step) * STEP_S;
        let world = &mut state.world;
        match action {
            Action::Arrive(write) => world.writes[write] = WriteState::Waiting { sent_term: None },
            Action::Leave(write) => {
                world.budgets.leaves -= 1;
                let WriteState::Waiting { sent_term } = world.writes[write] else {
                    return None;
                };
                let never_ran = sent_term.is_none() || self.fault == Fault::RejectsInDoubt;
                world.answer(
                    write,
                    if never_ran {
                        WriteState::Rejected
                    } else {
                        WriteState::Aborted
                    },
                );
                state.succession.forget_statement(G, write as u32);
            }
            Action::Deliver(message) => {
                if !self.deliver(&mut state, message) {
                    return None;
                }
            }
            Action::Crash(n) => {
                world.budgets.crashes -= 1;
                world.nodes[n].alive = false;
                world.nodes[n].epoch += 1;
                world.break_connections(n);
            }
            Action::Restart(n) => {
                world.nodes[n].alive = true;
                world.nodes[n].epoch += 1;
                world.replicate();
            }
            Action::Partition(n) => {
                world.budgets.partitions -= 1;
                world.nodes[n].partitioned = true;
            }
            Action::Heal(n) => {
                world.nodes[n].partitioned = false;
                world.replicate();
            }
            Action::Promote(n) => {
                world.budgets.promotions -= 1;
                world.term += 1;
                world.nodes[n].leads = true;
                world.nodes[n].term = world.term;
                world.replicate();
            }
            Action::ReportRole(n) => {
                world.budgets.role_reports -= 1;
                let leads = world.nodes[n].leads;
                let at = state.step;
                world.send(Message::RoleReport { node: n, leads, at });
            }
            Action::Slow(n) => {
                world.budgets.slow -= 1;
                state
                    .succession
                    .observe(now, G, n as u32, Evidence::Unreachable);
            }
            Action::Timeout(write) => {
                world.budgets.timeouts -= 1;
                let WriteState::InFlight {
                    node,
                    term,
                    sent_term,
                } = world.writes[write]
                else {
                    return None;
                };
                // The router closes the connection: an answer in the network is dropped, the request may still run.
                world.network.retain(|m| {
                    !matches!(m, Message::Answer { write: w, node: n, .. } | Message::ConnectionBroke { write: w, node: n }
                        | Message::Refused { write: w, node: n } if (*w, *n) == (write, node))
                });
                world.writes[write] = WriteState::Waiting {
                    sent_term: self.later_term(sent_term, term),
                };
                state.succession.record_execution_end(
                    now,
                    G,
                    write as u32,
                    node as u32,
                    false,
                    true,
                );
            }
            Action::List(n) => {
                world.budgets.lists -= 1;
                state
                    .succession
                    .observe(now, G, n as u32, Evidence::ListedAsPrimary);
            }
            Action::ForgetMarks => {
                world.budgets.forgets -= 1;
                world.marks_forgotten = true;
            }
        }
        self.run_router(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "each marked write takes effect at most once",
                |_, s: &State| {
                    let once = |log: &Vec<usize>| {
                        (0..WRITES).all(|w| log.iter().filter(|e| **e == w).count() <= 1)
                    };
                    s.world.nodes.iter().all(|n| once(&n.log))
                },
            ),
            Property::always("each write gets at most one answer", |_, s: &State| {
                s.world.answers.iter().all(|n| *n <= 1)
            }),
            Property::always("no acknowledged write is lost", |_, s: &State| {
                let kept = |w: usize| {
                    s.world
                        .primary()
                        .is_none_or(|p| s.world.nodes[p].log.contains(&w))
                };
                (0..WRITES).all(|w| s.world.writes[w] != WriteState::Completed || kept(w))
            }),
            Property::always("no rejected write is applied", |_, s: &State| {
                let applied = |w: &usize| s.world.nodes.iter().any(|n| n.log.contains(w));
                !(0..WRITES).any(|w| s.world.writes[w] == WriteState::Rejected && applied(&w))
            }),
            Property::always("no write waits while the leader works", |_, s: &State| {
                let leader = s
                    .succession
                    .leader(G)
                    .map(|n| n as usize)
                    .filter(|_| !s.succession.positions_uncertain(G));
                let has_leader = matches!(s.succession.phase(G), Phase::Settled | Phase::Settling);
                let quiet = s
                    .world
                    .network
                    .iter()
                    .all(|m| matches!(m, Message::RoleReport { .. }));
                let working =
                    has_leader && quiet && leader.is_some() && leader == s.world.working_primary();
                !working
                    || s.world
                        .writes
                        .iter()
                        .all(|write_state| !matches!(write_state, WriteState::Waiting { .. }))
            }),
            Property::always(
                "an older role report never changes the leader",
                |_, s: &State| !s.world.regressed,
            ),
            Property::sometimes("a write completes over two changes", |_, s: &State| {
                s.world.term >= 3 && s.world.writes[0] == WriteState::Completed
            }),
            Property::sometimes("an inquiry finds that the write ran", |_, s: &State| {
                s.world.inquiry_found_write
            }),
        ]
    }
}

/// No event may happen. Each check adds the events that it allows.
const NO_EVENTS: Budgets = Budgets {
    crashes: 0,
    partitions: 0,
    promotions: 0,
    slow: 0,
    timeouts: 0,
    lists: 0,
    role_reports: 0,
    inquiries: 0,
    forgets: 0,
    leaves: 0,
    second_write: true,
};

const COMPLETES_OVER_TWO_CHANGES: &str = "a write completes over two changes";
const INQUIRY_FINDS_WRITE: &str = "an inquiry finds that the write ran";

fn check(fault: Fault, budgets: Budgets) -> impl Checker<ChangeModel> {
    ChangeModel { fault, budgets }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join()
}

#[test_case(Budgets { crashes: 1, promotions: 1, role_reports: 2, leaves: 1, ..NO_EVENTS }, &[]; "the primary crashes, clients leave")]
#[test_case(Budgets { crashes: 2, promotions: 2, role_reports: 2, second_write: false, ..NO_EVENTS }, &[COMPLETES_OVER_TWO_CHANGES]; "a second primary crashes while the first change settles")]
#[test_case(Budgets { crashes: 1, promotions: 1, role_reports: 1, timeouts: 1, slow: 1, ..NO_EVENTS }, &[]; "the primary is slow, and it crashes")]
#[test_case(Budgets { partitions: 1, promotions: 1, role_reports: 2, timeouts: 1, ..NO_EVENTS }, &[]; "both sides of a partition claim to lead")]
#[test_case(Budgets { crashes: 1, promotions: 1, role_reports: 2, lists: 2, ..NO_EVENTS }, &[]; "the list names the old primary")]
#[test_case(Budgets { crashes: 1, promotions: 1, role_reports: 1, forgets: 1, inquiries: 1, ..NO_EVENTS }, &[INQUIRY_FINDS_WRITE]; "marks are forgotten, outcomes inquired")]
fn properties_hold_in_every_order_of_events(budgets: Budgets, expected: &[&'static str]) {
    let checked = check(Fault::None, budgets);
    for (name, path) in checked.discoveries() {
        assert!(
            [COMPLETES_OVER_TWO_CHANGES, INQUIRY_FINDS_WRITE].contains(&name),
            "{name} does not hold:\n{path:?}"
        );
    }
    expected
        .iter()
        .for_each(|name| _ = checked.assert_any_discovery(name));

    assert!(
        checked.unique_state_count() > 500,
        "only {} states",
        checked.unique_state_count()
    );
}

#[test_case(Fault::ResendsForgotten, Budgets { crashes: 1, promotions: 1, role_reports: 1, forgets: 1, ..NO_EVENTS }, "each marked write takes effect at most once")]
#[test_case(Fault::RejectsInDoubt, Budgets { crashes: 1, promotions: 1, leaves: 1, ..NO_EVENTS }, "no rejected write is applied")]
#[test_case(Fault::ForgetsHeld, Budgets { crashes: 1, promotions: 1, role_reports: 1, ..NO_EVENTS }, "no write waits while the leader works")]
#[test_case(Fault::BelievesOldReports, Budgets { crashes: 1, promotions: 1, role_reports: 2, slow: 2, ..NO_EVENTS }, "an older role report never changes the leader")]
fn a_fault_is_found(fault: Fault, budgets: Budgets, property: &'static str) {
    check(fault, budgets).assert_any_discovery(property);
}
