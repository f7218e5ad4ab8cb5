//! What an instance remembers, grouped by how long it lives: records and how they are kept. The instance itself is
//! in `instance.rs`, the rest in `policy`.

use crate::{Currency, Ending, Instance, MARK_S, Rotation, Standing, Workload};
use std::collections::{BTreeSet, VecDeque};

/// The time of what has not happened, and the position of what told none.
pub const NEVER: f64 = f64::NEG_INFINITY;
/// Positions and ages come in rounded milliseconds.
pub const ROUNDING_S: f64 = 0.001;

/// A node that is gone is remembered for this long, and one that may only be called so for ten times as long:
/// what is still out there has ended by then, and its drain is no question any more.
const GONE_S: f64 = 60.0;

/// Lives for one send.
pub struct Execution {
    pub node: u32,
    pub sent: f64,
    pub ended: Option<Ending>,
    /// How long it takes against all others.
    pub length: f64,
    /// The term of its group in which it was sent.
    pub term: u64,
    /// It only asks how an earlier one ended.
    pub asks: bool,
    /// A later primary told that it never ran, and never will.
    pub barred: bool,
}

/// Lives until the final answer.
#[derive(Default)]
pub struct Statement {
    pub kind: Workload,
    /// Its workload's and its customer's place in their lists.
    pub served_as: [usize; 2],
    pub group: u16,
    pub session: u64,
    pub arrived: f64,
    pub due: f64,
    pub slo_end: f64,
    /// When half of its client's time is over.
    pub halfway: f64,
    /// A read is answered only from data at or past this.
    pub owed: f64,
    /// The commit of its session's last write that was answered here.
    pub known: f64,
    /// Its session wrote within the mark's time, here or elsewhere.
    pub fresh_age: bool,
    pub worth: f64,
    /// Drawn by chance from 0 to 1: which statements go first where only a part of them may.
    pub lot: f64,
    /// How many probes it asked for, and when it did last.
    pub probes: f64,
    pub probed: f64,
    pub executions: Vec<Execution>,
    pub held_until: f64,
    pub over: bool,
    /// Nothing of it may go to a primary now: its group's changes.
    pub waits: bool,
    /// When its client should come back, if it is rejected; seconds.
    pub advice: f64,
    /// Its size, and whether its outcome can be asked for.
    pub bytes: usize,
    pub marked: bool,
}

/// Lives as long as the router knows the node's id.
#[derive(Default)]
pub struct Node {
    pub group: u16,
    pub zone: u8,
    pub standing: Standing,
    pub told: f64,
    pub drained: bool,
    pub since: f64,
    /// When it was last out of reach.
    pub fell: f64,
    /// When a connection to it last broke, unless it was seen to run on.
    pub broke: f64,
    pub listed_primary: bool,
    pub roll: u64,
    /// Lower bound of its position: it only grows, also across a restart.
    pub lsn: f64,
    pub heard: f64,
    /// How far it was behind at most, by the last word on that, and when that came.
    pub lag: f64,
    pub placed: f64,
    /// When it was primary and when it was none, by its own latest word on each.
    pub claimed: f64,
    pub denied: f64,
    pub out: usize,
    /// Time waited for executions that are out, added up over them since the last answer.
    pub awaited: f64,
    pub awaited_until: f64,
    /// How many answers an execution that is out owes in the time of an average one.
    pub quickness: f64,
    pub answers: f64,
    pub pace: f64,
    pub strain: f64,
    /// Executions that ended without an answer since the last one that completed.
    pub missing: u32,
    pub strained_at: f64,
    pub room: f64,
    pub least_room: f64,
    pub cut: f64,
    pub faults: u32,
    pub suspected: Option<f64>,
    pub trials: i32,
    pub trial_at: f64,
    pub sends: VecDeque<f64>,
    pub probed: f64,
    pub probing: bool,
}

/// Lives as long as the router does.
#[derive(Default)]
pub struct Group {
    pub members: Vec<u32>,
    pub primary: Option<u32>,
    pub rotation: Rotation,
    pub waiting: BTreeSet<u32>,
    /// When a statement last arrived for it, and how many do a second.
    pub asked: (f64, f64),
}

/// Answers counted, and the share of their SLO time that they took on average of late.
#[derive(Clone, Copy, Default)]
pub struct Taken {
    pub answers: f64,
    pub share: f64,
}

/// What an ending is weighed with.
#[derive(Clone, Copy)]
pub struct Signs {
    /// How many are out at the node on average.
    pub usual: f64,
    /// The strain that is borne.
    pub strain: f64,
    pub length: Option<f64>,
    /// Most of what is late is never answered.
    pub lossy: bool,
}

impl Taken {
    /// An SLO time of zero has no shares.
    pub fn add(&mut self, share: f64, most: f64) {
        if !share.is_finite() {
            return;
        }
        self.answers = f64::min(self.answers + 1.0, most);
        self.share += (share - self.share) / self.answers;
    }

    /// The mean with a first guess that stands for so many answers.
    pub fn expected(&self, guess: f64, weight: f64) -> f64 {
        (weight * guess + self.answers * self.share) / (weight + self.answers)
    }
}

impl Group {
    /// Statements a second that came for it, as of now.
    pub fn asked_lately(&self, now: f64) -> f64 {
        self.asked.1 * (-(now - self.asked.0).max(0.0) / MARK_S).exp()
    }
}

impl Execution {
    pub fn new(node: u32, sent: f64) -> Execution {
        Execution {
            node,
            sent,
            ended: None,
            length: 1.0,
            term: 0,
            asks: false,
            barred: false,
        }
    }
}

impl Statement {
    pub fn writes(&self) -> bool {
        self.kind.currency == Currency::Primary
    }

    pub fn live(&self) -> impl Iterator<Item = &Execution> {
        self.executions.iter().filter(|e| e.ended.is_none())
    }

    /// When it has to be looked at, whatever else happens: timers end with it.
    pub fn timers(&self, stmt: u32, step: f64) -> [(u64, u32); 3] {
        let moments = [self.due - 2.0 * step, self.slo_end, self.halfway];
        moments.map(|at| ((at.max(0.0) * 1e6) as u64, stmt))
    }

    /// No node was ever sent a byte of it.
    pub fn unwritten(&self) -> bool {
        let never = |e: &Execution| {
            matches!(
                e.ended,
                Some(Ending::Unconnected | Ending::Cut | Ending::Moot)
            )
        };
        self.executions.iter().all(never)
    }

    /// The position that a read executed at `at` must see.
    pub fn needs(&self, at: f64) -> f64 {
        match self.kind.currency {
            Currency::Primary | Currency::Loose => NEVER,
            Currency::Recent { bound } => at - bound + ROUNDING_S,
            Currency::Latest | Currency::OwnWrites => self.owed,
        }
    }

    /// The position that an execution of a read had to see, if any.
    pub fn needed_by(&self, execution: usize) -> Option<f64> {
        let needed = self.executions.get(execution).map(|e| self.needs(e.sent));
        needed.filter(|needed| *needed > NEVER)
    }

    pub fn may_have_run(&self) -> impl Iterator<Item = &Execution> {
        let ran =
            |e: &&Execution| !e.asks && !e.barred && !e.ended.is_some_and(Ending::proves_unrun);
        self.executions.iter().filter(ran)
    }
}

impl Instance {
    /// Nodes that are long gone leave, unless something open refers to them; tells which. One that the list
    /// names again is a new one.
    pub fn forget_gone(&mut self, now: f64) -> Vec<u32> {
        let sent = self.statements.values().flat_map(|s| &s.executions);
        let named: BTreeSet<u32> = sent
            .map(|e| e.node)
            .chain(self.groups.values().filter_map(|g| g.primary))
            .collect();
        let left = |(id, node): &(&u32, &Node)| {
            let kept = if self.drain.only_draining && !node.drained {
                10.0 * GONE_S
            } else {
                GONE_S
            };
            node.standing == Standing::Gone
                && now - node.told > kept
                && node.out == 0
                && !named.contains(id)
        };
        let gone: Vec<u32> = self.nodes.iter().filter(left).map(|n| *n.0).collect();
        for id in &gone {
            self.recovery
                .iter_mut()
                .for_each(|recovery| recovery.forget(*id));
            self.fleet.iter_mut().for_each(|fleet| fleet.forget(*id));
            if let (Some(succession), Some(node)) = (&mut self.succession, self.nodes.get(id)) {
                succession.forget_node(node.group, *id);
            }
            let group = self
                .nodes
                .remove(id)
                .and_then(|node| self.groups.get_mut(&node.group));
            group
                .into_iter()
                .for_each(|group| group.members.retain(|member| member != id));
        }
        gone
    }
}

impl Node {
    /// From draining to gone is no news: the grace runs from the first word.
    pub fn stands(&mut self, at: Standing, now: f64) {
        if self.standing == Standing::Ready && at != Standing::Ready {
            self.told = now;
        }
        self.standing = at;
        self.drained |= at == Standing::Draining;
    }

    /// Its own word on where it stands now.
    pub fn stood_at(&mut self, now: f64, lsn: f64) {
        if lsn > NEVER {
            (self.lag, self.placed) = (now - lsn, now);
            self.lsn = self.lsn.max(lsn);
        }
    }

    /// It stands there or beyond: it may be further than an old word tells.
    pub fn reached(&mut self, now: f64, lsn: f64) {
        if lsn > NEVER {
            self.lsn = self.lsn.max(lsn);
            (self.lag, self.placed) = (self.lag.min(now - self.lsn), now);
        }
    }

    /// It answered what needed this position, or had not come that far.
    pub fn showed(&mut self, now: f64, lsn: f64, reached: bool) {
        if reached {
            self.reached(now, lsn);
        } else {
            (self.lag, self.placed) = (self.lag.max(now - lsn), now);
        }
    }

    /// Waiting for executions that are out adds up from the last answer on, each from its own send.
    pub fn await_until(&mut self, now: f64) {
        self.awaited += self.out as f64 * self.quickness * (now - self.awaited_until);
        self.awaited_until = now;
    }

    pub fn enters(&mut self, now: f64, length: f64) {
        self.await_until(now);
        let owes = self.out as f64 * self.quickness + 1.0 / length;
        self.out += 1;
        self.quickness = owes / self.out as f64;
    }

    /// Without a length it was as the others.
    pub fn leaves(&mut self, now: f64, length: Option<f64>) {
        self.await_until(now);
        let owes =
            self.out as f64 * self.quickness - length.map_or(self.quickness, |length| 1.0 / length);
        self.out = self.out.saturating_sub(1);
        self.quickness = if self.out > 0 {
            (owes / self.out as f64).max(0.0)
        } else {
            1.0
        };
    }

    pub fn new(group: u16, zone: u8, rooms: (f64, f64), prior: (f64, f64)) -> Node {
        let ((room, least_room), (pace, answers)) = (rooms, prior);
        let (lsn, heard, probed, cut) = (NEVER, NEVER, NEVER, NEVER);
        let (claimed, denied, placed, lag) = (NEVER, NEVER, NEVER, f64::INFINITY);
        Node {
            group,
            zone,
            room,
            least_room,
            pace,
            answers,
            lsn,
            heard,
            lag,
            placed,
            quickness: 1.0,
            probed,
            cut,
            claimed,
            denied,
            ..Node::default()
        }
    }
}

/// The shares of a statement's workload and customer.
pub fn shares_of<'a>(
    shares: &'a mut [Vec<(f64, f64)>; 2],
    s: &Statement,
) -> impl Iterator<Item = &'a mut (f64, f64)> {
    let served_as = s.served_as;
    shares
        .iter_mut()
        .zip(served_as)
        .filter_map(|(all, i)| all.get_mut(i))
}

/// One more: a rate a second, as of the last event. Rates fade over the time for which a session is marked.
pub fn count(rate: &mut (f64, f64), now: f64) {
    *rate = (
        now,
        rate.1 * (-(now - rate.0) / MARK_S).exp() + 1.0 / MARK_S,
    );
}
