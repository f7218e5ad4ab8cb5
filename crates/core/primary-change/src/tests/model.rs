//! The decisions beside an abstract synchronous store, checked over every order of events within small budgets:
//! two marked writes, three nodes, kills, cuts, slow nodes, promotions, late words, lists that name the old
//! primary, answers that get lost at any point, marks that are forgotten.

use super::G;
use crate::{
    Evidence, NEVER, Next, Phase, Repeat, Room, Settings, Succession, Verdict, Wish, next,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use test_case::test_case;

const NODES: usize = 3;
const WRITES: usize = 2;
/// Longer than anything in the decisions that depends on a length of time.
const STEP_S: f64 = 20.0;

/// A rule taken out, to see that the checker would notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// What may have run is repeated though its mark is forgotten.
    Repeats,
    /// What may have run is rejected as if it had not.
    Rejects,
    /// The held are forgotten: no statement is asked about again.
    Forgets,
    /// Any word that names a leader is believed, however old.
    Believes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Fresh,
    /// `sent`: the latest term in which it was sent and may have run.
    Waiting {
        sent: Option<u64>,
    },
    Out {
        node: usize,
        term: u64,
        sent: Option<u64>,
    },
    Asking {
        node: usize,
        sent: u64,
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
        done: bool,
    },
    Refused {
        write: usize,
        node: usize,
    },
    Broke {
        write: usize,
        node: usize,
    },
    /// What a node said of itself, and in which step.
    Word {
        node: usize,
        leads: bool,
        at: u32,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    alive: bool,
    cut: bool,
    leads: bool,
    term: u64,
    epoch: u32,
    log: Vec<usize>,
}

/// How often each may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budgets {
    kills: u8,
    cuts: u8,
    promotions: u8,
    slow: u8,
    timeouts: u8,
    lists: u8,
    words: u8,
    inquiries: u8,
    forgets: u8,
    leaves: u8,
    /// A second write comes.
    second: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    term: u64,
    forgotten: bool,
    stages: Vec<Stage>,
    answers: Vec<u8>,
    network: Vec<Message>,
    left: Budgets,
    /// An inquiry found that its write had run.
    told: bool,
    /// A word changed who leads that was older than the last one that was believed.
    regressed: bool,
}

#[derive(Clone, Debug)]
struct State {
    world: World,
    of: Succession,
    step: u32,
    /// The step in which the last word was spoken that was believed.
    believed: u32,
}

impl State {
    /// Dates only count by their order.
    fn canon(&self) -> (Vec<usize>, Vec<u64>) {
        let group = &self.of.groups[&G];
        let term = &group.term;
        let mut dates = vec![
            term.claimed,
            term.doubted,
            f64::from(self.believed) * STEP_S,
        ];
        dates.extend((0..NODES as u32).map(|n| term.denied.get(&n).copied().unwrap_or(NEVER)));
        dates.extend(
            self.world
                .network
                .iter()
                .filter_map(|message| match message {
                    Message::Word { at, .. } => Some(f64::from(*at) * STEP_S),
                    _ => None,
                }),
        );
        dates.extend((0..NODES as u32).map(|n| term.deposed.get(&n).copied().unwrap_or(NEVER)));
        let mut order = dates.clone();
        order.sort_by(f64::total_cmp);
        order.dedup();
        let ranks = dates
            .iter()
            .map(|date| order.iter().position(|o| o == date).unwrap())
            .collect();
        let mut rest = vec![
            term.number,
            term.phase as u64,
            term.leader.map_or(9, u64::from),
        ];
        rest.push(term.candidate.map_or(9, u64::from));
        rest.extend([u64::from(term.leaving), u64::from(term.lost)]);
        rest.extend((0..NODES as u32).map(|n| u64::from(term.deposed.contains_key(&n))));
        rest.extend((0..WRITES as u32).map(|w| u64::from(self.of.holds(w))));
        (ranks, rest)
    }

    /// Words by all but their dates, which are in `canon`.
    fn plain(&self) -> World {
        let mut world = self.world.clone();
        for message in &mut world.network {
            if let Message::Word { at, .. } = message {
                *at = 0;
            }
        }
        world
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.canon() == other.canon() && self.plain() == other.plain()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.canon().hash(hasher);
        self.plain().hash(hasher);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Arrive(usize),
    Leave(usize),
    Deliver(Message),
    Kill(usize),
    Restart(usize),
    Cut(usize),
    Join(usize),
    Promote(usize),
    Speak(usize),
    Slow(usize),
    Timeout(usize),
    List(usize),
    Forget,
}

struct Change {
    broken: Broken,
    budgets: Budgets,
}

impl World {
    fn primary(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.leads && n.term == self.term)
    }

    fn able(&self) -> Vec<usize> {
        (0..NODES)
            .filter(|n| self.nodes[*n].alive && !self.nodes[*n].cut)
            .collect()
    }

    /// The primary can commit.
    fn works(&self) -> Option<usize> {
        let able = self.able();
        self.primary()
            .filter(|p| able.contains(p) && able.len() * 2 > NODES)
    }

    /// Who is not cut off follows the primary.
    fn follow(&mut self) {
        let able = self.able();
        let Some(primary) = self.primary().filter(|p| able.contains(p)) else {
            return;
        };
        let log = self.nodes[primary].log.clone();
        for n in able.into_iter().filter(|n| *n != primary) {
            let (term, node) = (self.term, &mut self.nodes[n]);
            if node.leads {
                (node.leads, node.epoch) = (false, node.epoch + 1);
            }
            (node.term, node.log) = (term, log.clone());
        }
    }

    fn send(&mut self, message: Message) {
        self.network.push(message);
        self.network.sort();
    }

    /// What was under way at a node that died: nobody can tell how far it came.
    fn break_off(&mut self, dead: usize) {
        for message in &mut self.network {
            match *message {
                Message::Request { write, node, .. }
                | Message::Inquiry { write, node }
                | Message::Answer { write, node, .. }
                    if node == dead =>
                {
                    *message = Message::Broke { write, node }
                }
                _ => {}
            }
        }
        // A request that was given up has nobody to tell.
        let stages = self.stages.clone();
        self.network.retain(|message| match message {
            Message::Broke { write, node } => matches!(stages[*write], Stage::Out { node: to, .. } | Stage::Asking { node: to, .. } if to == *node),
            _ => true,
        });
        self.network.sort();
        self.network.dedup();
    }

    fn done(&mut self, write: usize, stage: Stage) {
        self.stages[write] = stage;
        self.answers[write] += 1;
    }
}

impl Change {
    fn later(&self, sent: Option<u64>, term: u64) -> Option<u64> {
        Some(sent.map_or(term, |sent| sent.max(term)))
    }

    /// What the router does with what it knows now, at this moment and a little later.
    fn drive(&self, state: &mut State) {
        for now in [
            f64::from(state.step) * STEP_S,
            f64::from(state.step) * STEP_S + 1.0,
        ] {
            state.of.settle(now);
            for write in 0..WRITES {
                if let Stage::Waiting { sent } = state.world.stages[write]
                    && !(self.broken == Broken::Forgets && state.of.holds(write as u32))
                {
                    self.ask(state, now, write, sent);
                }
            }
        }
        state.of.lines();
    }

    fn ask(&self, state: &mut State, now: f64, write: usize, sent: Option<u64>) {
        let remembered = !state.world.forgotten || self.broken == Broken::Repeats;
        let repeat = Repeat::Dropped {
            until: if remembered { f64::INFINITY } else { NEVER },
        };
        let present = state.of.term(G);
        let told = sent.map_or(Next::Again, |sent| {
            next(repeat, now, true, true, sent, present)
        });
        let settling = matches!(state.of.phase(G), Phase::Settled | Phase::Settling);
        if told == Next::Abort && settling
            || told == Next::Inquire && state.world.left.inquiries == 0
        {
            state.world.done(write, Stage::Aborted);
            state.of.leave(G, write as u32);
            return;
        }
        let wish = Wish {
            group: G,
            session: write as u64 + 1,
            bytes: 1,
            worth: 1.0,
            arrived: write as f64,
            due: f64::INFINITY,
            doubtful: sent.is_some(),
            ..Wish::default()
        };
        let goes = state.of.admit(now, write as u32, &wish) == Verdict::Go;
        let Some(node) = state
            .of
            .leader(G)
            .filter(|_| goes && told != Next::Abort)
            .map(|n| n as usize)
        else {
            return;
        };
        state.of.sent(write as u32);
        let alive = state.world.nodes[node].alive;
        if told == Next::Inquire {
            state.world.left.inquiries -= 1;
            state.world.stages[write] = Stage::Asking {
                node,
                sent: sent.unwrap_or(present),
            };
            state.world.send(if alive {
                Message::Inquiry { write, node }
            } else {
                Message::Refused { write, node }
            });
        } else {
            state.world.stages[write] = Stage::Out {
                node,
                term: present,
                sent,
            };
            let epoch = state.world.nodes[node].epoch;
            state.world.send(if alive {
                Message::Request { write, node, epoch }
            } else {
                Message::Refused { write, node }
            });
        }
    }

    /// The network brings a message; false where it can't be taken now.
    fn deliver(&self, state: &mut State, message: Message) -> bool {
        let now = f64::from(state.step) * STEP_S;
        let (world, of) = (&mut state.world, &mut state.of);
        match message {
            Message::Request { write, node, epoch } => {
                let n = &world.nodes[node];
                let stale = !n.leads || n.epoch != epoch;
                if !stale && world.works() != Some(node) {
                    return false;
                }
                if !stale && (world.forgotten || !n.log.contains(&write)) {
                    world.nodes[node].log.push(write);
                    world.follow();
                }
                // Nobody listens any more to what was given up.
                if matches!(world.stages[write], Stage::Out { node: to, .. } if to == node) {
                    world.send(Message::Answer {
                        write,
                        node,
                        done: !stale,
                    });
                }
            }
            Message::Inquiry { write, node } => {
                let Stage::Asking { sent, .. } = world.stages[write] else {
                    return true;
                };
                if world.works() != Some(node) {
                    world.stages[write] = Stage::Waiting { sent: Some(sent) };
                } else if world.nodes[node].log.contains(&write) {
                    world.told = true;
                    world.done(write, Stage::Completed);
                    of.leave(G, write as u32);
                } else {
                    world.stages[write] = Stage::Waiting { sent: None };
                }
            }
            Message::Answer { write, node, done } => {
                let Stage::Out { sent, .. } = world.stages[write] else {
                    return true;
                };
                let role = if done {
                    Evidence::Leads { at: now }
                } else {
                    Evidence::Follows { at: now }
                };
                of.hear(now, G, node as u32, role);
                of.executed(now, G, write as u32, node as u32, done, !done);
                if done {
                    if of.leader(G) == Some(node as u32) {
                        state.believed = state.step;
                    }
                    world.done(write, Stage::Completed);
                    of.leave(G, write as u32);
                } else {
                    world.stages[write] = Stage::Waiting { sent };
                }
            }
            Message::Refused { write, node } => {
                of.hear(now, G, node as u32, Evidence::Lost);
                of.executed(now, G, write as u32, node as u32, false, true);
                world.stages[write] = match world.stages[write] {
                    Stage::Out { sent, .. } => Stage::Waiting { sent },
                    Stage::Asking { sent, .. } => Stage::Waiting { sent: Some(sent) },
                    other => other,
                };
            }
            Message::Broke { write, node } => {
                of.executed(now, G, write as u32, node as u32, false, true);
                world.stages[write] = match world.stages[write] {
                    Stage::Out { sent, term, .. } => Stage::Waiting {
                        sent: self.later(sent, term),
                    },
                    Stage::Asking { sent, .. } => Stage::Waiting { sent: Some(sent) },
                    other => other,
                };
            }
            Message::Word { node, leads, at } => {
                let at = if self.broken == Broken::Believes {
                    now
                } else {
                    f64::from(at) * STEP_S
                };
                let told = if leads {
                    Evidence::Leads { at }
                } else {
                    Evidence::Follows { at }
                };
                let before = of.leader(G);
                of.hear(now, G, node as u32, told);
                if let (true, Message::Word { at, .. }) =
                    (leads && of.leader(G) == Some(node as u32), message)
                {
                    world.regressed |= before != of.leader(G) && at <= state.believed;
                    state.believed = state.believed.max(at);
                }
            }
        }
        let place = world
            .network
            .iter()
            .position(|m| *m == message)
            .expect("it is under way");
        world.network.remove(place);
        true
    }
}

impl Model for Change {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let settings = Settings {
            hold: Room {
                statements: 9,
                bytes: 9,
            },
            hold_group: Room {
                statements: 9,
                bytes: 9,
            },
            longest_hold_ms: 3_600_000.0,
            least_chance: 0.0,
            release_spread_ms: 0.0,
            outcomes: true,
            ..Settings::default()
        };
        let mut of = Succession::new(settings, 1, 1.0);
        of.hear(0.0, G, 0, Evidence::Leads { at: 0.0 });
        of.settle(STEP_S);
        let node = |n| Node {
            alive: true,
            leads: n == 0,
            term: 1,
            ..Node::default()
        };
        let world = World {
            nodes: (0..NODES).map(node).collect(),
            term: 1,
            forgotten: false,
            stages: vec![Stage::Fresh; WRITES],
            answers: vec![0; WRITES],
            network: Vec::new(),
            left: self.budgets.clone(),
            told: false,
            regressed: false,
        };
        vec![State {
            world,
            of,
            step: 1,
            believed: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let (world, left) = (&state.world, &state.world.left);
        for write in 0..WRITES {
            match world.stages[write] {
                Stage::Fresh if write == 0 || left.second && world.stages[0] != Stage::Fresh => {
                    actions.push(Action::Arrive(write));
                }
                Stage::Waiting { .. } if left.leaves > 0 => actions.push(Action::Leave(write)),
                Stage::Out { .. } if left.timeouts > 0 => actions.push(Action::Timeout(write)),
                _ => {}
            }
        }
        let mut messages = world.network.clone();
        messages.dedup();
        actions.extend(messages.into_iter().map(Action::Deliver));
        for n in 0..NODES {
            let node = &world.nodes[n];
            let leads = world.primary() == Some(n);
            if node.alive && leads && left.kills > 0 {
                actions.push(Action::Kill(n));
            }
            if !node.alive {
                actions.push(Action::Restart(n));
            }
            if node.alive && leads && left.cuts > 0 {
                actions.push(Action::Cut(n));
            }
            if node.cut {
                actions.push(Action::Join(n));
            }
            let speaks = world
                .network
                .iter()
                .any(|m| matches!(m, Message::Word { node, .. } if *node == n));
            if node.alive && !speaks && left.words > 0 {
                actions.push(Action::Speak(n));
            }
            let able = world.able();
            let most = able
                .iter()
                .map(|n| world.nodes[*n].log.len())
                .max()
                .unwrap_or(0);
            let fits = able.contains(&n) && able.len() * 2 > NODES && node.log.len() == most;
            if fits
                && left.promotions > 0
                && !leads
                && !world.primary().is_some_and(|p| able.contains(&p))
            {
                actions.push(Action::Promote(n));
            }
            if left.lists > 0 && n == 0 {
                actions.push(Action::List(n));
            }
            if left.slow > 0 && state.of.leader(G) == Some(n as u32) {
                actions.push(Action::Slow(n));
            }
        }
        // A repeat is only sent while there is time for it to arrive: a quarter of the memory is kept for that.
        let repeats = |m: &Message| match m {
            Message::Request { write, .. } => {
                matches!(world.stages[*write], Stage::Out { sent: Some(_), .. })
            }
            _ => false,
        };
        if left.forgets > 0 && !world.network.iter().any(repeats) {
            actions.push(Action::Forget);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        state.step += 1;
        let now = f64::from(state.step) * STEP_S;
        let world = &mut state.world;
        match action {
            Action::Arrive(write) => world.stages[write] = Stage::Waiting { sent: None },
            Action::Leave(write) => {
                world.left.leaves -= 1;
                let Stage::Waiting { sent } = world.stages[write] else {
                    return None;
                };
                let unrun = sent.is_none() || self.broken == Broken::Rejects;
                world.done(
                    write,
                    if unrun {
                        Stage::Rejected
                    } else {
                        Stage::Aborted
                    },
                );
                state.of.leave(G, write as u32);
            }
            Action::Deliver(message) => {
                if !self.deliver(&mut state, message) {
                    return None;
                }
            }
            Action::Kill(n) => {
                world.left.kills -= 1;
                (world.nodes[n].alive, world.nodes[n].epoch) = (false, world.nodes[n].epoch + 1);
                world.break_off(n);
            }
            Action::Restart(n) => {
                (world.nodes[n].alive, world.nodes[n].epoch) = (true, world.nodes[n].epoch + 1);
                world.follow();
            }
            Action::Cut(n) => {
                world.left.cuts -= 1;
                world.nodes[n].cut = true;
            }
            Action::Join(n) => {
                world.nodes[n].cut = false;
                world.follow();
            }
            Action::Promote(n) => {
                world.left.promotions -= 1;
                world.term += 1;
                (world.nodes[n].leads, world.nodes[n].term) = (true, world.term);
                world.follow();
            }
            Action::Speak(n) => {
                world.left.words -= 1;
                let (leads, at) = (world.nodes[n].leads, state.step);
                world.send(Message::Word { node: n, leads, at });
            }
            Action::Slow(n) => {
                world.left.slow -= 1;
                state.of.hear(now, G, n as u32, Evidence::Lost);
            }
            Action::Timeout(write) => {
                world.left.timeouts -= 1;
                let Stage::Out { node, term, sent } = world.stages[write] else {
                    return None;
                };
                // The connection is closed: an answer that is under way goes nowhere, the request may yet run.
                world.network.retain(|m| {
                    !matches!(m, Message::Answer { write: w, node: n, .. } | Message::Broke { write: w, node: n }
                        | Message::Refused { write: w, node: n } if (*w, *n) == (write, node))
                });
                world.stages[write] = Stage::Waiting {
                    sent: self.later(sent, term),
                };
                state
                    .of
                    .executed(now, G, write as u32, node as u32, false, true);
            }
            Action::List(n) => {
                world.left.lists -= 1;
                state.of.hear(now, G, n as u32, Evidence::Listed);
            }
            Action::Forget => {
                world.left.forgets -= 1;
                world.forgotten = true;
            }
        }
        self.drive(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one effect a mark", |_, s: &State| {
                let once = |log: &Vec<usize>| {
                    (0..WRITES).all(|w| log.iter().filter(|e| **e == w).count() <= 1)
                };
                s.world.nodes.iter().all(|n| once(&n.log))
            }),
            Property::always("one answer a statement", |_, s: &State| {
                s.world.answers.iter().all(|n| *n <= 1)
            }),
            Property::always("no answered write is lost", |_, s: &State| {
                let kept = |w: usize| {
                    s.world
                        .primary()
                        .is_none_or(|p| s.world.nodes[p].log.contains(&w))
                };
                (0..WRITES).all(|w| s.world.stages[w] != Stage::Completed || kept(w))
            }),
            Property::always("no rejected write is applied", |_, s: &State| {
                let applied = |w: &usize| s.world.nodes.iter().any(|n| n.log.contains(w));
                !(0..WRITES).any(|w| s.world.stages[w] == Stage::Rejected && applied(&w))
            }),
            Property::always("nobody waits behind a leader that works", |_, s: &State| {
                let led =
                    s.of.leader(G)
                        .map(|n| n as usize)
                        .filter(|_| !s.of.log_in_doubt(G));
                let open = matches!(s.of.phase(G), Phase::Settled | Phase::Settling);
                let calm = s
                    .world
                    .network
                    .iter()
                    .all(|m| matches!(m, Message::Word { .. }));
                let working = open && calm && led.is_some() && led == s.world.works();
                !working
                    || s.world
                        .stages
                        .iter()
                        .all(|stage| !matches!(stage, Stage::Waiting { .. }))
            }),
            Property::always(
                "what is believed is never undone by an older word",
                |_, s: &State| !s.world.regressed,
            ),
            Property::sometimes("all complete over two changes", |_, s: &State| {
                s.world.term >= 3 && s.world.stages[0] == Stage::Completed
            }),
            Property::sometimes("an inquiry finds that it ran", |_, s: &State| s.world.told),
        ]
    }
}

/// Nothing may happen but what is allowed by name.
const NONE: Budgets = Budgets {
    kills: 0,
    cuts: 0,
    promotions: 0,
    slow: 0,
    timeouts: 0,
    lists: 0,
    words: 0,
    inquiries: 0,
    forgets: 0,
    leaves: 0,
    second: true,
};

const ALL_COMPLETE: &str = "all complete over two changes";
const TOLD: &str = "an inquiry finds that it ran";

fn check(broken: Broken, budgets: Budgets) -> impl Checker<Change> {
    Change { broken, budgets }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join()
}

#[test_case(Budgets { kills: 1, promotions: 1, words: 2, leaves: 1, ..NONE }, &[]; "a primary dies, clients leave")]
#[test_case(Budgets { kills: 2, promotions: 2, words: 2, second: false, ..NONE }, &[ALL_COMPLETE]; "a second one dies while the first change settles")]
#[test_case(Budgets { kills: 1, promotions: 1, words: 1, timeouts: 1, slow: 1, ..NONE }, &[]; "it is only slow, and it dies")]
#[test_case(Budgets { cuts: 1, promotions: 1, words: 2, timeouts: 1, ..NONE }, &[]; "both halves of a cut claim it")]
#[test_case(Budgets { kills: 1, promotions: 1, words: 2, lists: 2, ..NONE }, &[]; "a list that names the old one")]
#[test_case(Budgets { kills: 1, promotions: 1, words: 1, forgets: 1, inquiries: 1, ..NONE }, &[TOLD]; "marks are forgotten, outcomes told")]
fn what_holds_in_every_order_of_events(budgets: Budgets, sometimes: &[&'static str]) {
    let checked = check(Broken::Nothing, budgets);
    for (name, path) in checked.discoveries() {
        assert!(
            [ALL_COMPLETE, TOLD].contains(&name),
            "{name} does not hold:\n{path:?}"
        );
    }
    sometimes
        .iter()
        .for_each(|name| _ = checked.assert_any_discovery(name));

    assert!(
        checked.unique_state_count() > 500,
        "only {} states",
        checked.unique_state_count()
    );
}

#[test_case(Broken::Repeats, Budgets { kills: 1, promotions: 1, words: 1, forgets: 1, ..NONE }, "at most one effect a mark")]
#[test_case(Broken::Rejects, Budgets { kills: 1, promotions: 1, leaves: 1, ..NONE }, "no rejected write is applied")]
#[test_case(Broken::Forgets, Budgets { kills: 1, promotions: 1, words: 1, ..NONE }, "nobody waits behind a leader that works")]
#[test_case(Broken::Believes, Budgets { kills: 1, promotions: 1, words: 2, slow: 2, ..NONE }, "what is believed is never undone by an older word")]
fn a_broken_rule_is_found(broken: Broken, budgets: Budgets, property: &'static str) {
    check(broken, budgets).assert_any_discovery(property);
}
