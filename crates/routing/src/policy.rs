//! All of badgerstream's decisions. A front builds one [`Instance`] a router, tells it what happened by the
//! input methods (`listing`, `arrived`, `executed`, `probed`, ...), then calls `settle`, which goes through
//! the rules and sends what they conclude through an `Outbox`. The types of both directions are in `lib.rs`;
//! docs/design.md tells the mechanism. Inputs record facts; sends pass `permitted`, answers `conclude`.

use crate::state::*;
use crate::succession::{Evidence, Next, Succession, Verdict};
use crate::{Allowance, ColdStart, Currency, Drain, Ending, Fairness, Outbox, Quota};
use crate::{Repeat, Replication, Role, Standing, Within, Workload};
use crate::{fleet::Fleet, recovery::Recovery, tally::Tally};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// The design's figure: how long a node may go unheard; the other, a session's mark, is `MARK_S`.
const IDLE_S: f64 = 1.0;
/// Health is looked over this often, also when nothing comes in; a lost primary is looked for at this pace.
const BEAT_S: f64 = 0.05;
const SEARCH_S: f64 = 0.1;
/// A statement spends at most this share of an average one's worth on probes.
const PROBE_SHARE: f64 = 0.1;
/// A write that no member took is held for this share of its statement timeout.
const HOLD_SHARE: f64 = 0.05;
/// A node is silent once it owes this many answers by its own pace: with less, uneven work gives alarms.
const OWED_ANSWERS: f64 = 12.0;
/// Faults of a suspect, less two a good answer: a broken connection is one, out of reach all, the rest two.
const FAULTS: u32 = 6;
/// An execution is overdue after so many times the pace: of answers that come at random, one in twenty is.
const OVERDUE: f64 = 3.0;
/// The part of a cold budget under one send that is used: rooms do not see there that a machine is shared.
const COLD_PART: f64 = 0.5;
/// Copies of late executions begin when more than this share of them was never answered.
const IN_VAIN: f64 = 0.65;
/// Strain that no further answer confirms fades over this.
const FADE_S: f64 = 10.0;
/// So many errors show that a statement errs by itself, whoever executes it.
const ERRORS: usize = 2;
/// A suspect's first trial comes after this, and none after more than eight times as long.
const TRIAL_S: f64 = 0.5;
/// Executions out at a node, from all routers, before its room is learnt, and the least it is left with.
const ROOM: f64 = 16.0;
const LEAST_ROOM: f64 = 4.0;
/// Room grows while answers take less than this share of their SLO time, and shrinks beyond; where work is long
/// against it, less than so many times what answers take at their best, up to a second share.
const STRAIN: f64 = 0.22;
const EASE: f64 = 1.8;
const MOST_STRAIN: f64 = 0.3;
const EASE_ANSWERS: f64 = 50.0;
/// The weight of one answer in a node's pace and strain, and of how many its first guess stands.
const GAIN: f64 = 0.1;
const PRIOR: f64 = 4.0;

/// Lives from one start of the router to the next; knows only what its own inputs told it.
#[derive(Default)]
pub struct Instance {
    workloads: Vec<Workload>,
    quotas: Vec<Quota>,
    replication: Replication,
    pub cold: ColdStart,
    pub drain: Drain,
    pub allowance: Allowance,
    pub routers: f64,
    /// When each customer was last heard, and its statements a second.
    usage: Vec<(f64, f64)>,
    /// Completions a second over all nodes, and how many warm nodes bear them.
    pub borne: (f64, f64),
    pub warm: f64,
    /// The share of late executions that were never answered, lately.
    pub in_vain: f64,
    /// What answers took lately, over all and by workload, and the least share that all have taken.
    pub taken: Taken,
    pub takes: Vec<Taken>,
    pub least: f64,
    pub fairness: Fairness,
    /// Importance asked for and met in time, by workload and by customer.
    pub shares: [Vec<(f64, f64)>; 2],
    chance: fastrand::Rng,
    pub nodes: BTreeMap<u32, Node>,
    pub groups: BTreeMap<u16, Group>,
    pub statements: FxHashMap<u32, Statement>,
    /// When a session last touched the primary here, and the commit of its last write answered here.
    pub sessions: BTreeMap<u64, (f64, f64)>,
    pub timers: BTreeSet<(u64, u32)>,
    /// Who leads while primaries change, and who waits; without it each statement sees to itself.
    pub succession: Option<Succession>,
    /// What is held back while many routers come back at once; without it nothing is.
    pub recovery: Option<Recovery>,
    /// What is decided as one of many routers; without it each does as it alone would.
    pub fleet: Option<Fleet>,
    pub tally: Tally,
    touched: BTreeSet<u32>,
    touched_groups: BTreeSet<u16>,
    roll: u64,
    beat: Option<f64>,
}

/// A condition and an effect on one statement or node: true when it fired.
type Rule = fn(&mut Instance, u32, f64, &mut dyn Outbox) -> bool;

/// Gone through in this order for each touched statement until none fires.
const STATEMENT_RULES: [Rule; 8] = [
    Instance::close_over,
    Instance::answer_last_moment,
    Instance::wait_for_primary,
    Instance::give_up,
    Instance::inquire,
    Instance::send_next,
    Instance::ask,
    Instance::copy_overdue,
];

/// Gone through for every node at each beat.
const NODE_RULES: [Rule; 2] = [Instance::suspect, Instance::probe_unheard];

/// Inputs: they record facts and note what they touch.
impl Instance {
    pub fn new(
        seed: u64, routers: usize, workloads: Vec<Workload>, quotas: Vec<Quota>, fairness: Fairness,
        replication: Replication, cold: ColdStart, drain: Drain, allowance: Allowance,
    ) -> Instance {
        let mut born = Instance::default();
        (born.chance, born.routers) = (fastrand::Rng::with_seed(seed), routers.max(1) as f64);
        born.usage = vec![(NEVER, 0.0); quotas.len()];
        born.takes = vec![Taken::default(); workloads.len()];
        born.shares = [vec![(0.0, 0.0); workloads.len()], vec![(0.0, 0.0); quotas.len()]];
        (born.workloads, born.quotas, born.replication, born.cold) = (workloads, quotas, replication, cold);
        (born.fairness, born.drain, born.allowance) = (fairness, drain, allowance);
        born
    }

    /// A list begins: `member` for each entry, then `listed`.
    pub fn listing(&mut self) {
        self.roll += 1;
    }

    pub fn member(
        &mut self, now: f64, id: u32, (group, zone): (u16, u8), at: Standing, since: f64, leads: bool,
    ) {
        let members = &mut self.groups.entry(group).or_default().members;
        if !members.contains(&id) {
            // Routers that all began their rotation at one member would meet there.
            members.insert(self.chance.usize(0..=members.len()), id);
        }
        let node = self.nodes.entry(id).or_insert_with(|| {
            let rooms = [ROOM, LEAST_ROOM].map(|room| room / self.routers);
            // Until a node's own answers tell its pace, half of the shortest SLO time stands in.
            let pace = self.workloads.iter().map(|w| w.slo).fold(f64::INFINITY, f64::min) / 2.0;
            Node::new(group, zone, rooms.into(), (pace, PRIOR))
        });
        (node.roll, node.listed_primary) = (self.roll, leads);
        node.stands(at, now);
        if since > node.since + ROUNDING_S {
            (node.since, node.drained) = (since, at == Standing::Draining);
            (node.suspected, node.faults, node.strain, node.missing) = (None, 0, 0.0, 0);
        }
        self.touched_groups.insert(group);
        self.witness_list(now, id, at, leads);
    }

    /// The list is over: a node that a whole one leaves out is gone.
    pub fn listed(&mut self, now: f64, whole: bool) {
        let left = self.nodes.iter_mut().filter(|n| whole && n.1.roll != self.roll);
        let left = left.map(|(id, node)| {
            node.stands(Standing::Gone, now);
            self.touched_groups.insert(node.group);
            *id
        });
        left.collect::<Vec<u32>>().iter().for_each(|id| self.witness(now, *id, Evidence::Leaving));
    }

    pub fn arrived(
        &mut self, now: f64, stmt: u32, workload: usize, group: u16, session: u64, customer: usize,
        work: f64, due: f64, write_age: f64,
    ) {
        let (mut s, kind) = (Statement::default(), self.workloads[workload]);
        (s.kind, s.group, s.session) = (kind, group, session);
        (s.arrived, s.held_until, s.due, s.probed) = (now, now, due, NEVER);
        s.slo_end = now + (kind.slo + kind.slo_stretch * work).min(kind.timeout);
        (s.served_as, s.worth) = ([workload, customer], kind.importance * self.within_quota(now, customer));
        shares_of(&mut self.shares, &s).for_each(|share| share.0 += s.worth);
        // The carried age may be older than the last write answered here: the later one is owed.
        let known = self.sessions.get(&session).map_or(NEVER, |s| s.1);
        s.known = known;
        s.owed = match kind.currency {
            Currency::Latest => now,
            _ if write_age > 0.0 => known.max(now - write_age + ROUNDING_S),
            _ => known,
        };
        s.fresh_age = write_age > 0.0 && write_age < MARK_S;
        s.halfway = (now + due) / 2.0 - 2.0 * self.allowance.step;
        self.timers.extend(s.timers(stmt, self.allowance.step));
        (s.lot, s.advice) = (self.lot(workload), self.come_back());
        let asked = self.groups.entry(group).or_default();
        asked.waiting.insert(stmt);
        count(&mut asked.asked, now);
        self.statements.insert(stmt, s);
        self.touched_groups.insert(group);
    }

    /// From 0 to 1, even over all statements: the worthier a workload, the lower its lots.
    fn lot(&mut self, workload: usize) -> f64 {
        let (own, chance) = (self.workloads[workload].importance, self.chance.f64());
        let (mut before, mut all) = (0.0, 0.0);
        for (share, kind) in self.shares[0].iter().zip(&self.workloads) {
            let count = share.0 / kind.importance.max(1e-9);
            before +=
                count * if kind.importance == own { chance } else { (kind.importance > own) as u8 as f64 };
            all += count;
        }
        before / all
    }

    /// What a customer sends beyond its quota is worth less; each router sees about its share of the traffic.
    fn within_quota(&mut self, now: f64, customer: usize) -> f64 {
        let Some((quota, usage)) = self.quotas.get(customer).zip(self.usage.get_mut(customer)) else {
            return 1.0;
        };
        count(usage, now);
        if usage.1 * self.routers > quota.per_s { quota.beyond } else { 1.0 }
    }

    /// A stream began: it is the client's, and its statement no longer has a deadline.
    pub fn started(&mut self, stmt: u32) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            (s.due, s.slo_end) = (f64::INFINITY, f64::INFINITY);
        }
    }

    /// An execution ended. `lsn` is minus infinity where the answer told no position.
    pub fn executed(
        &mut self, now: f64, stmt: u32, execution: u8, id: u32, ending: Ending, took: f64, over: bool,
        role: Option<Role>, lsn: f64,
    ) {
        let (done, index) = (ending == Ending::Completed, usize::from(execution));
        let open = self.statements.get(&stmt);
        let late = open.and_then(|s| s.executions.get(index)).is_some_and(|e| self.late(e, now));
        let committed = done && open.is_some_and(Statement::writes);
        let ended = done || ending == Ending::TimedOut;
        let share = open.filter(|_| ended).map(|s| (s.served_as[0], took / s.kind.slo));
        let needed = open.and_then(|s| s.needed_by(index)).filter(|_| self.replication.checked);
        let length = open.and_then(|s| s.executions.get(index)).map(|e| e.length);
        self.learn(late && ended, !done);
        if done {
            count(&mut self.borne, now);
        }
        share.into_iter().for_each(|(workload, share)| self.eases(workload, share));
        let usual = self.nodes.get(&id).map_or(0.0, |n| self.asked(n.group, id) * n.pace);
        self.witness_end(now, stmt, id, ending, role, Some(lsn).filter(|_| committed));
        self.recovered(id, ending);
        let position = self.position(id, lsn);
        let (strain, lossy) = (self.most_strain(), self.in_vain > IN_VAIN);
        let mut statement = self.statements.get_mut(&stmt);
        if let Some(node) = self.nodes.get_mut(&id) {
            let slo = statement.as_ref().map(|s| s.kind.slo);
            let signs = Signs { usual, strain, length, lossy };
            node.executed(now, ending, took, slo, signs);
            // A commit is rounded up: the node is sure to stand only at what lies before, never ahead of now.
            let lsn = if position <= now + ROUNDING_S { position - ROUNDING_S } else { NEVER };
            node.stood_at(now, lsn);
            // Who checks what it answers stood there, also where answers tell no position.
            let told = needed.filter(|_| done || ending == Ending::Missed && lsn == NEVER);
            told.into_iter().for_each(|needed| node.showed(now, needed, done));
            match role {
                Some(Role::Primary) => node.claimed = node.claimed.max(now),
                Some(Role::Replica) => node.denied = now,
                None => {}
            }
            self.touched_groups.insert(node.group);
        }
        if let Some(s) = &mut statement {
            if let Some(e) = s.executions.get_mut(index) {
                e.ended = Some(ending);
                // A later primary has not got it, and who was sent it no longer leads.
                let (unrun, term) = (e.asks && ending == Ending::Missed, e.term);
                let earlier = s.executions.iter_mut().filter(|e| unrun && !e.asks && e.term < term);
                earlier.for_each(|e| e.barred = true);
            }
            if s.writes() && matches!(ending, Ending::TurnedAway | Ending::Unconnected | Ending::Errored) {
                s.held_until = now + s.hold();
            }
            // An error may be the statement's own fault: it is the node's once another completes the same.
            let blamed = |e: &&Execution| done && e.node != id && e.ended == Some(Ending::Errored);
            for e in s.executions.iter().filter(blamed) {
                self.nodes.get_mut(&e.node).expect("listed").faults += 2;
            }
            s.over |= over;
            let met = if done && now <= s.slo_end { s.worth } else { 0.0 };
            shares_of(&mut self.shares, s).for_each(|share| share.1 += met);
            if committed && s.session != 0 {
                let session = self.sessions.entry(s.session).or_insert((now, lsn));
                session.1 = session.1.max(lsn);
            }
            self.touched.insert(stmt);
        }
    }

    pub fn probed(&mut self, now: f64, id: u32, answered: bool, primary: Option<bool>, lsn: f64) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        (node.probing, node.faults) = (false, node.faults + 2 * u32::from(!answered));
        if answered {
            (node.heard, node.trials) = (now, 0);
            self.reported(now, id, primary, lsn);
        }
    }

    pub fn reported(&mut self, now: f64, id: u32, primary: Option<bool>, lsn: f64) {
        let lsn = if lsn <= now { lsn } else { NEVER }; // Ahead of the clock it is broken; an old one holds.
        let role = primary.map(|leads| if leads { Role::Primary } else { Role::Replica });
        self.witness_role(now, id, role, lsn);
        let position = self.position(id, lsn);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.reached(now, position);
        match primary {
            // A primary stands at the present, so its own position dates the claim, however late the report.
            Some(true) => node.claimed = node.claimed.max(lsn),
            Some(false) if lsn > node.claimed => node.denied = node.denied.max(lsn),
            _ => {}
        }
        self.touched_groups.insert(node.group);
    }

    pub(crate) fn touch(&mut self, stmt: u32) {
        self.touched.insert(stmt);
    }

    pub(crate) fn touch_group(&mut self, group: u16) {
        self.touched_groups.insert(group);
    }

    pub(crate) fn touch_all(&mut self) {
        self.touched_groups.extend(self.groups.keys());
    }

    pub fn abandoned(&mut self, stmt: u32) {
        let Some(s) = self.statements.get_mut(&stmt) else { return };
        (s.over, _) = (true, self.touched.insert(stmt));
    }
}

impl Statement {
    fn hold(&self) -> f64 {
        HOLD_SHARE * self.kind.timeout
    }

    pub(crate) fn last_use(&self) -> f64 {
        if self.kind.late_worth > 0.0 { self.due } else { self.slo_end.min(self.due) }
    }
}

impl Node {
    fn executed(&mut self, now: f64, ending: Ending, took: f64, slo: Option<f64>, signs: Signs) {
        self.leaves(now, signs.length);
        if ending.spoken() {
            (self.heard, self.awaited) = (now, 0.0);
        }
        match ending {
            Ending::Completed => {
                // One good answer in three must not clear a node that fails the other two at once.
                self.faults = self.faults.min(2 * FAULTS).saturating_sub(2);
                // What is back shows it at once: the next trial need not wait for its turn.
                let bad = self.suspected.filter(|_| self.faults >= FAULTS);
                (self.suspected, self.trials, self.trial_at, self.missing) = (bad, 0, NEVER, 0);
                self.broke = if now - took < self.broke + SEARCH_S { 0.0 } else { self.broke };
                self.answers += 1.0;
                let took = took / signs.length.unwrap_or(1.0);
                self.pace += (took - self.pace) * f64::max(GAIN, 1.0 / self.answers);
                self.strained(now, slo.map_or(self.strain, |slo| took / slo), signs);
            }
            // Who turns work away for want of room would have taken longer than anybody waits.
            Ending::TurnedAway => self.strained(now, 1.0, signs),
            Ending::Spoilt => self.faults += 1, // It runs, and is as warm as before.
            // Who is out of reach may be starting anew, whatever the list tells: it counts as cold from now,
            // unless it answers what was sent before or right behind: then only a connection broke.
            Ending::Dropped | Ending::Cut => (self.faults, self.broke) = (self.faults + 1, now),
            Ending::Unconnected => (self.faults, self.fell) = (self.faults + FAULTS, now),
            Ending::TimedOut => self.unanswered(now, slo.map_or(0.0, |slo| took / slo), signs),
            Ending::Errored | Ending::Missed | Ending::Cancelled | Ending::Moot => {}
        }
    }

    /// What one more answer tells of the queue; where they come seldom each counts for more. Room grows only
    /// where it is used (`usual` are out on average), and is cut once a jam, however many statements met it.
    fn strained(&mut self, now: f64, share: f64, signs: Signs) {
        let gain = f64::max(GAIN, 1.0 - (-(now - self.strained_at) / MARK_S).exp());
        (self.strain, self.strained_at) = (self.strain + (share - self.strain) * gain, now);
        let used = if self.room < 1.0 { self.room < signs.usual } else { self.out as f64 + 2.0 >= self.room };
        if self.strain <= signs.strain && used {
            self.room += f64::min(1.0 / self.room, self.room);
        } else if self.strain > signs.strain && now - self.cut >= self.pace {
            (self.room, self.cut) = ((self.room * (1.0 - gain.min(0.5))).max(self.least_room), now);
        }
    }

    /// Nothing came back in this share of the SLO time. One by itself may be a lost answer, where late ones
    /// mostly stay out; two in a row are a jam.
    fn unanswered(&mut self, now: f64, share: f64, signs: Signs) {
        self.missing += 1;
        if share > self.strain && (self.missing > 1 || !signs.lossy) {
            self.strained(now, share.min(1.0), signs);
        }
    }

    /// The share of its capacity that a node is sure to have by now, had it warmed as slowly as is allowed.
    pub fn warmth(&self, cold: &ColdStart, now: f64) -> f64 {
        // A node that lives answers something soon: held back at once, it would never show that it does.
        let broke = if now - self.broke > SEARCH_S { self.broke } else { 0.0 };
        let since = self.since.max(self.fell).max(broke);
        let warmed = ((now - since) / cold.lasts).clamp(0.0, 1.0);
        if since > 0.0 { cold.share + (1.0 - cold.share) * warmed } else { 1.0 }
    }

    /// Guards rule 3: nothing new once told that the node drains or is gone. A draining primary may still
    /// take what no other member can for half of the grace, as it hands over only at its end.
    pub fn closed(&self, drain: &Drain, last_resort: bool, now: f64) -> bool {
        let fails = self.suspected.is_some() && !last_resort;
        match self.standing {
            Standing::Ready => false,
            Standing::Draining => !last_resort || now - self.told > drain.grace / 2.0,
            Standing::Gone => self.drained || fails || !drain.only_draining,
        }
    }

    /// Guards against a list that is wrong: where a drain alone binds, a node that is called gone without one
    /// counts as in service until it fails itself. Harm: one failed connection more at a node that is gone.
    fn in_service(&self, drain: &Drain) -> bool {
        !self.closed(drain, false, f64::INFINITY)
    }
}

/// What serving one more of the worst-served adds: else the least important gets nothing in a jam.
fn lift(shares: &[(f64, f64)], index: usize) -> f64 {
    let served = |s: &(f64, f64)| if s.0 > 0.0 { s.1 / s.0 } else { 1.0 };
    let worst = shares.iter().map(served).fold(f64::INFINITY, f64::min);
    let all: f64 = shares.iter().map(|s| s.0).sum();
    shares.get(index).filter(|s| served(s) <= worst).map_or(0.0, |s| all / s.0)
}

impl Instance {
    /// Goes through the rules for all that was touched or has come due, until none fires.
    pub fn settle(&mut self, now: f64, out: &mut dyn Outbox) {
        let due = ((now * 1e6) as u64, u32::MAX);
        while let Some(timer) = self.timers.first().copied().filter(|t| *t <= due) {
            _ = (self.timers.remove(&timer), self.touched.insert(timer.1));
        }
        let beat = self.beat.is_none_or(|last| now - last >= BEAT_S - ROUNDING_S);
        if beat {
            self.beat = Some(now);
            self.look_over(now, out);
            out.wake(BEAT_S);
        }
        self.settle_recovery(now, out);
        self.believe(now, out);
        self.settle_succession(now, out);
        let (touched, mut full) = (std::mem::take(&mut self.touched), BTreeSet::new());
        let groups = std::mem::take(&mut self.touched_groups);
        let waiting = groups.iter().flat_map(|group| &self.groups[group].waiting);
        let mut queue: Vec<u32> = touched.iter().chain(waiting).copied().collect();
        queue.sort_by_cached_key(|id| self.statements.get(id).map_or((0, 0), |s| self.rank(s, now)));
        for stmt in queue {
            if !beat && !touched.contains(&stmt) && self.stuck(stmt, now, &mut full) {
                continue;
            }
            let mut fires = |r: &Rule| self.statements.contains_key(&stmt) && r(self, stmt, now, out);
            while STATEMENT_RULES.iter().any(&mut fires) {}
        }
        if let Some(first) = self.timers.first() {
            out.wake((first.0 as f64 / 1e6 - now).clamp(0.0, BEAT_S));
        }
    }

    /// Between beats a statement that nothing happened to need not be looked at while its group is full: with
    /// hundreds that wait, looking costs more than serving. Harm: what is asked for them comes a beat later.
    fn stuck(&self, stmt: u32, now: f64, full: &mut BTreeSet<u16>) -> bool {
        let Some(s) = self.statements.get(&stmt) else { return true };
        let taken = |m: (u32, &Node)| m.1.suspected.is_some() || m.1.out as f64 >= m.1.room.max(1.0);
        let full = full.contains(&s.group) || self.members(s.group).all(taken) && full.insert(s.group);
        full && self.succession.is_none() && now + self.needed(s) < s.last_use()
    }

    /// The worthiest first, and of these the youngest: in a jam the oldest would all be too late.
    fn rank(&self, s: &Statement, now: f64) -> (i64, i64) {
        let late = now + self.needed(s) > s.slo_end;
        let left = if late { s.kind.late_worth } else { 1.0 };
        let [workload, customer] = [0, 1].map(|i| lift(&self.shares[i], s.served_as[i]));
        let lifted = workload * self.fairness.worst_workload + customer * self.fairness.worst_customer;
        (-(s.worth * left * (self.fairness.whole + lifted) * 1e3) as i64, -(s.arrived * 1e6) as i64)
    }

    fn look_over(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in self.nodes.keys().copied().collect::<Vec<u32>>() {
            while NODE_RULES.iter().any(|r| r(self, id, now, out)) {}
        }
        let ready = self.nodes.values().filter(|n| n.in_service(&self.drain));
        self.warm = ready.map(|n| n.warmth(&self.cold, now)).sum();
        self.touched_groups.extend(self.groups.keys());
        let sent = self.statements.iter().filter(|s| s.1.live().next().is_some());
        self.touched.extend(sent.map(|s| s.0));
        if self.replication.carried {
            // Past the mark, the carried age tells as much.
            self.sessions.retain(|_, s| now - s.0 < MARK_S);
        }
    }

    /// The primary is the last member to answer as primary, until it answers otherwise.
    fn believe(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in &self.touched_groups {
            let group = self.groups.get_mut(id).expect("known");
            let members = group.members.iter().map(|m| (&self.nodes[m], *m));
            let claims = members.filter(|(n, _)| n.claimed > n.denied);
            let last = claims.max_by(|a, b| a.0.claimed.total_cmp(&b.0.claimed)).map(|c| c.1);
            // Where terms are counted, they decide between claimants.
            let last = self.succession.as_ref().map_or(last, |succession| succession.leader(*id));
            if last != group.primary {
                out.log(&format!("{now:.3} group {id}: primary {:?} -> {last:?}", group.primary));
                group.primary = last;
                let held = group.waiting.iter().filter(|_| last.is_some());
                held.for_each(|w| self.statements.get_mut(w).expect("open").held_until = now);
            }
        }
    }
}

/// Rules for a node, then for a statement.
impl Instance {
    /// A node that answers nothing looks idle, one that fails fast looks free: both would draw more work. Its
    /// pace says what it owes, once unheard for longer than this router may stand still. Harm: slow ones too.
    fn suspect(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let usual = self.pace(self.nodes[&id].group);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.await_until(now);
        let silent = now - node.heard > SEARCH_S;
        let awaited = if silent { node.awaited } else { 0.0 };
        let owed = awaited * node.warmth(&self.cold, now) / node.pace.max(usual);
        let fires = node.suspected.is_none() && (owed > OWED_ANSWERS || node.faults >= FAULTS);
        if fires {
            out.log(&format!("{now:.3} node {id}: suspect, {owed:.0} answers owed, {} faults", node.faults));
            (node.suspected, node.trials, node.trial_at) = (Some(now), 0, now);
            // Who speaks, if only to probes, is not lost: what refused a connection has told that by itself.
            if silent {
                self.witness(now, id, Evidence::Lost);
            }
        }
        fires
    }

    /// A member unheard for a second, where that is cheap against what this router takes in; else `ask` does.
    fn probe_unheard(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let unheard = now - self.nodes[&id].heard.max(self.nodes[&id].probed) >= IDLE_S;
        let asked = || self.groups.values().map(|g| g.asked.1).sum::<f64>() * PROBE_SHARE * 0.1;
        let cheap = unheard && self.nodes.len() as f64 * self.allowance.probe_price <= asked();
        // Who waits for a primary to be known waits in a hold: one question serves all of them.
        let (node, idle) = (&self.nodes[&id], now - self.nodes[&id].probed >= SEARCH_S);
        let search = idle && !node.probing && self.searched(node.group, now);
        (cheap || search) && self.probe(id, now, out)
    }

    pub(crate) fn probe(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let allowed = self.allowance.probes && self.may_probe(id, now);
        let node = self.nodes.get_mut(&id).expect("listed");
        let fires = allowed && !node.probing && node.in_service(&self.drain);
        if fires {
            (node.probed, node.probing) = (now, true);
            out.probe(id);
            self.probing(id, now);
        }
        fires
    }

    fn close_over(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.statements[&stmt].over && self.forget(stmt, now, out)
    }

    /// Guards rule 1: whatever else is going on, the answer is out before the client's time is up.
    fn answer_last_moment(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        now >= s.due - 2.0 * self.allowance.step - ROUNDING_S && self.conclude(stmt, now, out)
    }

    /// While its group changes its primary, who needs one waits in order, or hears at once that it is vain.
    fn wait_for_primary(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        matches!(self.verdict(stmt, now), Verdict::Refuse { .. }) && self.conclude(stmt, now, out)
    }

    /// Its repeat is no longer sure to be dropped: the new primary is asked how it ended.
    fn inquire(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let due = !s.waits && s.may_have_run().next().is_some() && s.live().all(|e| self.overdue(e, now));
        if !due || self.next(s, now) != Next::Inquire || !self.inquirable(s, now) {
            return false;
        }
        let leader = self.groups[&s.group].primary.filter(|p| self.open_for(s, *p, now, true));
        leader.is_some_and(|id| self.execute_for(stmt, id, now, true, out))
    }

    /// Nothing it could still get is worth anything, is back in time or may be sent, or it errs everywhere.
    fn give_up(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let sent = s.live().next().is_some();
        let errors = s.executions.iter().filter(|e| e.ended == Some(Ending::Errored)).count();
        let spent = s.executions.len() >= self.allowance.executions || errors >= ERRORS;
        let spent = spent || !self.repeatable(s, None, now) && !self.inquirable(s, now);
        let late = now + if sent { 0.0 } else { self.needed(s) } >= s.last_use();
        let vain = late || spent && !sent || self.held_too_long(s, now) || self.owes_lost(s);
        vain && self.conclude(stmt, now, out)
    }

    /// Half of its time is gone and no node had a byte of it: hopeless where who leads is out of reach, or an
    /// answer would be late. Its client can still try elsewhere. Harm: some late answers are never given.
    pub fn held_too_long(&self, s: &Statement, now: f64) -> bool {
        let led = self.groups[&s.group].primary.is_some_and(|p| self.nodes[&p].suspected.is_none());
        let late = now + self.needed(s) >= s.slo_end;
        let alone = self.succession.as_ref().is_none_or(|succession| succession.settled(s.group));
        alone && (late || !led) && s.unwritten() && now >= s.halfway - ROUNDING_S
    }

    fn send_next(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let (live, held) = (s.live().next().is_some(), s.held_until > now + ROUNDING_S);
        if held && !live {
            // Who is held looks again at each beat: else nothing would until half of its time is over.
            self.groups.get_mut(&s.group).expect("known").waiting.insert(stmt);
        }
        if live || held {
            return false;
        }
        if let Some(node) = self.choose(stmt, now).filter(|_| self.may_repeat(stmt, now)) {
            return self.execute(stmt, node, now, out);
        }
        let s = self.statements.get_mut(&stmt).expect("open");
        let group = self.groups.get_mut(&s.group).expect("known");
        group.waiting.insert(stmt);
        if s.writes() && group.primary.is_none() {
            s.held_until = now + s.hold();
        }
        false
    }

    /// What waits to know who leads, or a replica's position, asks for it at a small part of its worth: many
    /// routers that probed by the clock would cost more than they serve. Harm: who asks nothing hears late.
    fn ask(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let Some(id) = self.unknown(s, now) else { return false };
        let s = self.statements.get_mut(&stmt).expect("open");
        (s.probes, s.probed) = (s.probes + 1.0, now);
        self.probe(id, now, out)
    }

    /// All that is out is overdue: a second copy where a repeat is harmless or dropped, whether answers got
    /// lost or the node hangs or slows. Harm: a node only slow for a moment does the work twice.
    fn copy_overdue(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let fires = s.live().next().is_some() && s.live().all(|e| self.overdue(e, now));
        let useful = fires && self.may_copy(now) && now + self.needed(s) < s.last_use();
        useful && self.choose(stmt, now).is_some_and(|node| self.execute(stmt, node, now, out))
    }
}

/// Choosing a node.
impl Instance {
    /// The best that members of a group show; what is quicker than the front's clock can't be told apart.
    fn pace(&self, group: u16) -> f64 {
        self.members(group).map(|m| m.1.pace).fold(f64::INFINITY, f64::min).max(self.allowance.step)
    }

    /// Within two paces, six in seven answers that come at random are back. Never more than half of its time:
    /// nodes that are slow, or of no known pace, are tried still, and for clients that soon lose patience.
    fn needed(&self, s: &Statement) -> f64 {
        (2.0 * self.pace(s.group)).min(s.kind.slo.min(s.last_use() - s.arrived) / 2.0)
    }

    /// The design's steps 1 to 5.
    pub fn choose(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let believed = self.groups[&s.group].primary;
        let primary = believed.filter(|p| !s.waits && self.open(s, *p, now));
        match s.kind.currency {
            Currency::Primary if believed.is_none() => self.next_asked(s, now).filter(|_| !s.waits),
            Currency::Primary => primary,
            // The design's relief: a replica known past the write, when the primary is full or its peers
            // answer in half the time.
            _ if self.pinned(s, now) => {
                let spare = primary.filter(|p| self.nodes[p].pace <= 2.0 * self.pace(s.group));
                spare.or_else(|| self.rotate(stmt, now)).or(primary)
            }
            _ => self.spread(stmt, primary, now),
        }
    }

    /// Some replica will do for a read now.
    pub(crate) fn read_elsewhere(&self, s: &Statement, now: f64) -> bool {
        let primary = self.groups[&s.group].primary;
        self.members(s.group).any(|m| Some(m.0) != primary && self.open(s, m.0, now))
    }

    pub(crate) fn pinned(&self, s: &Statement, now: f64) -> bool {
        match s.kind.currency {
            Currency::Primary | Currency::Latest => true,
            Currency::OwnWrites => {
                s.fresh_age || self.sessions.get(&s.session).is_some_and(|t| now - t.0 < MARK_S)
            }
            Currency::Recent { .. } | Currency::Loose => false,
        }
    }

    /// A replica; the primary only when no probe may still tell of one.
    fn spread(&mut self, stmt: u32, primary: Option<u32>, now: f64) -> Option<u32> {
        let (replica, s) = (self.rotate(stmt, now), &self.statements[&stmt]);
        let asked = || now - s.probed < BEAT_S && self.members(s.group).any(|m| m.1.probing);
        replica.or_else(|| primary.filter(|_| !asked() && self.unknown(s, now).is_none()))
    }

    /// Where replicas are too far behind for the rest, a third of them, the same at every router, takes the reads
    /// of any age: long ones can keep a replica from applying, and spread evenly they hold back all. Harm: less
    /// room for them.
    fn gathers(&self, s: &Statement, now: f64) -> Vec<u32> {
        let most = self.workloads.iter().filter_map(Workload::bound).fold(MARK_S, f64::min) / 2.0;
        let late = |n: &Node| n.lag > most && now - n.placed < n.lag;
        let (loose, primary) = (s.kind.currency == Currency::Loose, self.groups[&s.group].primary);
        let replica = |m: &(u32, &Node)| loose && Some(m.0) != primary && m.1.in_service(&self.drain);
        let mut replicas: Vec<(u32, &Node)> = self.members(s.group).filter(replica).collect();
        let third = if replicas.iter().any(|m| late(m.1)) { replicas.len().div_ceil(3) } else { 0 };
        replicas.sort_unstable_by_key(|m| m.0);
        replicas[..third].iter().map(|m| m.0).collect()
    }

    fn members(&self, group: u16) -> impl Iterator<Item = (u32, &Node)> {
        self.groups[&group].members.iter().map(|m| (*m, &self.nodes[m]))
    }

    /// The member to probe next for what a statement waits to know, if its worth bears the price.
    fn unknown(&self, s: &Statement, now: f64) -> Option<u32> {
        let dear = (s.probes + 1.0) * self.allowance.probe_price > PROBE_SHARE;
        if dear || now - s.probed < SEARCH_S || s.live().next().is_some() {
            return None;
        }
        let trusted = |n: &Node| n.suspected.is_none() && n.in_service(&self.drain);
        let led = self.groups[&s.group].primary.filter(|p| trusted(&self.nodes[p]));
        let (pinned, loose) = (self.pinned(s, now), s.kind.currency == Currency::Loose);
        let known = if pinned { led.is_some() } else { self.replication.checked || loose };
        let idle = if pinned { SEARCH_S } else { IDLE_S };
        let asks = |(id, n): &(u32, &Node)| {
            let tells = pinned || Some(*id) != led && trusted(n) && !self.current(s, *id, now);
            !known && tells && n.in_service(&self.drain) && !n.probing && now - n.probed >= idle
        };
        let unasked = |n: &Node| (n.probed.max(n.denied), !n.listed_primary);
        let members = self.members(s.group).filter(asks);
        members.min_by(|a, b| unasked(a.1).partial_cmp(&unasked(b.1)).expect("no NaN")).map(|m| m.0)
    }

    /// The next eligible replica from the group's counter, which wraps.
    fn rotate(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let group = &self.groups[&s.group];
        let size = group.members.len();
        let order = (0..size).map(|i| (group.counter + i) % size);
        let replicas = order.filter(|i| Some(group.members[*i]) != group.primary);
        let gathers = self.gathers(s, now);
        let within = |id: u32| gathers.is_empty() || gathers.contains(&id);
        let able = |i: &usize| within(group.members[*i]) && self.open(s, group.members[*i], now);
        // Who keeps to some replicas takes any other where none of these will do.
        let kept = |i: &usize| self.keeps(s.group, group.members[*i]) && able(i);
        let next = replicas.clone().find(kept).or_else(|| { replicas }.find(able))?;
        let chosen = group.members[next];
        self.groups.get_mut(&s.group).expect("known").counter = (next + 1) % size;
        Some(chosen)
    }

    /// No primary is known: the listed one first, then who has most of the log, for a round at most.
    fn next_asked(&self, s: &Statement, now: f64) -> Option<u32> {
        let early = s.executions.len() * 2 < self.allowance.executions;
        let able = |(id, n): &(u32, &Node)| early && now - n.denied >= s.hold() && self.open(s, *id, now);
        let rank = |n: &Node| (n.listed_primary && n.denied == NEVER, n.lsn);
        let best = self.members(s.group).filter(able);
        best.max_by(|a, b| rank(a.1).partial_cmp(&rank(b.1)).expect("no NaN")).map(|m| m.0)
    }

    /// Whether a node may be chosen now: in health or on trial, with room, and not met in vain.
    fn open(&self, s: &Statement, id: u32, now: f64) -> bool {
        self.open_for(s, id, now, false)
    }

    fn open_for(&self, s: &Statement, id: u32, now: f64, asks: bool) -> bool {
        let (node, leads) = (&self.nodes[&id], self.groups[&s.group].primary == Some(id));
        let again = |e: &Execution| match e.ended {
            // Only the primary will do for some: what it answered may have got lost on the way.
            None => leads && self.overdue(e, now),
            Some(Ending::Missed) => s.writes() || now - e.sent > s.hold(),
            Some(_) => s.writes(),
        };
        let met = s.executions.iter().any(|e| e.node == id && !again(e));
        // A suspect is tried by one execution at a time, each trial later than the one before.
        let due = now - node.trial_at >= TRIAL_S * 2f64.powi(node.trials.min(3));
        let trial = due && s.kind.repeat != Repeat::NonIdempotent && self.may_try(id, now);
        // A whole group that looks bad shares one trouble: suspicion alone never leaves it without a member.
        let bad = |m: (u32, &Node)| m.1.suspected.is_some() || !m.1.in_service(&self.drain);
        let trusted = node.suspected.is_none() || trial || self.members(s.group).all(bad);
        !met && trusted
            && self.let_through(id, now)
            && self.has_room(s, id, now)
            && self.permitted(s, id, now, asks)
    }

    /// It may never be answered: sent to what is a suspect now, or late while what is late mostly stays out.
    pub(crate) fn overdue(&self, e: &Execution, now: f64) -> bool {
        let (node, usual) = (&self.nodes[&e.node], self.pace(self.nodes[&e.node].group));
        let stuck = node.suspected.is_some_and(|at| e.sent <= at || now - e.sent > 2.0 * usual * e.length);
        stuck || self.in_vain > IN_VAIN && self.late(e, now)
    }

    /// How long this workload's statements take against all: a pace is that of one of length 1. Until their own
    /// answers tell, workloads are thought to take like shares of their SLO times.
    pub fn length(&self, workload: usize) -> f64 {
        let usual = if self.taken.answers > 0.0 { self.taken.share.max(1e-6) } else { 1.0 };
        let takes = |i: usize| self.workloads[i].slo * self.takes[i].expected(usual, PRIOR);
        let count = |i: usize| self.shares[0][i].0 / self.workloads[i].importance.max(1e-9);
        let sum = |of: &dyn Fn(usize) -> f64| (0..self.workloads.len()).map(of).sum::<f64>();
        let mean = sum(&|i| count(i) * takes(i)) / sum(&count);
        if mean > 0.0 { takes(workload) / mean } else { 1.0 }
    }

    /// What answers take at their best is learnt from what they took in the calmest while so far.
    fn eases(&mut self, workload: usize, share: f64) {
        [&mut self.takes[workload], &mut self.taken].into_iter().for_each(|t| t.add(share, EASE_ANSWERS));
        let (mean, new) = (self.taken.share, self.taken.answers < EASE_ANSWERS / 2.0);
        let risen = self.least + (mean - self.least) / (100.0 * EASE_ANSWERS);
        self.least = if new { mean } else { mean.min(risen) };
    }

    fn most_strain(&self) -> f64 {
        STRAIN.max((EASE * self.least).min(MOST_STRAIN))
    }

    fn learn(&mut self, late: bool, in_vain: bool) {
        self.in_vain += f64::from(late) * (f64::from(in_vain) - self.in_vain) * 2.0 * GAIN;
    }

    /// Out for several times the pace of a node without strain: in a jam all is late. Work is the statement's
    /// own: what is only long beats its copy, a lost answer never comes. `in_vain` counts which it is.
    fn late(&self, e: &Execution, now: f64) -> bool {
        let node = &self.nodes[&e.node];
        let strained = node.strain > 2.0 * self.most_strain() || node.suspected.is_some();
        !strained && now - e.sent > OVERDUE * e.length * node.pace.max(self.pace(node.group))
    }
}

/// Guards: every send passes `permitted`, every final answer of ours `conclude`.
impl Instance {
    /// `asks`: it is no repeat, but asks how an earlier execution ended.
    fn permitted(&self, s: &Statement, id: u32, now: f64, asks: bool) -> bool {
        let node = &self.nodes[&id];
        let last_resort = s.writes() || self.groups[&s.group].primary == Some(id);
        !s.over
            && now < s.due
            && node.group == s.group
            && s.executions.len() < self.allowance.executions
            && (self.allowance.second_copies || s.live().next().is_none())
            && (asks || self.repeatable(s, Some(id), now))
            && !node.closed(&self.drain, last_resort, now)
            && self.bearable(node, id, s, now)
            && self.current(s, id, now)
    }

    /// Guards rule 2: what may have run is repeated only where its repeat is harmless or dropped.
    pub fn repeatable(&self, s: &Statement, to: Option<u32>, now: f64) -> bool {
        let Some(first) = s.may_have_run().next() else { return true };
        match s.kind.repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Deduplicated { within, memory } => {
                let (from, to) = (&self.nodes[&first.node], &self.nodes[&to.unwrap_or(first.node)]);
                let same = from.group == to.group && (within == Within::Group || from.zone == to.zone);
                let known = within == Within::Anywhere || same;
                // The repeat must also get there: a quarter of the memory is left for that.
                known && now - first.sent < memory * 0.75
            }
        }
    }

    /// Guards rule 4: in any window a cold node gets its part of what warm nodes are seen to bear, no more.
    /// Each router sees its own part of that, so the budgets add up, however far under one send they may be.
    pub fn bearable(&self, node: &Node, id: u32, s: &Statement, now: f64) -> bool {
        let warmth = node.warmth(&self.cold, now);
        if warmth >= 1.0 {
            return true;
        }
        let (window, floor) = (self.cold.window, LEAST_ROOM / self.routers);
        let budget = self.cold.factor * warmth * window * self.borne.1 / self.warm.max(1.0);
        let left = budget.max(floor) - node.sends.iter().filter(|at| now - **at < window).count() as f64;
        // What waited would go all at once: it shares with all that came meanwhile.
        let asks = self.asked(s.group, id) * window.max(now - s.arrived);
        (left >= 1.0 || s.lot * asks <= COLD_PART * left) && (node.out as f64) < (node.room * warmth).max(1.0)
    }

    /// Statements a second that would ask for this member if all were as good as another.
    fn asked(&self, group: u16, id: u32) -> f64 {
        let ready = self.members(group).filter(|m| m.1.in_service(&self.drain)).count().max(1);
        let parts = if self.groups[&group].primary == Some(id) { ready.min(2) } else { ready };
        self.groups[&group].asked.1 / parts as f64
    }

    /// Of many routers each has room for a part of an execution: of what it would have out on average at the
    /// node's strain, the worthiest part goes. Guards against queues full of what nobody waits for any more.
    pub fn has_room(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        // No news is no strain: a node that was down must not stay out of use once it is back.
        let strain = node.strain * (-(now - node.strained_at) / FADE_S).exp();
        if node.room >= 1.0 || strain <= self.most_strain() {
            return (node.out as f64) < node.room.max(1.0);
        }
        node.out == 0 && s.lot * self.asked(s.group, id) * strain * s.kind.slo <= node.room
    }

    /// Guards rule 5: a member not believed primary answers a read only from a position known to do.
    pub fn current(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        if matches!(s.kind.currency, Currency::Primary | Currency::Loose) {
            return true;
        }
        let needed = s.needs(now);
        let leads = self.groups[&s.group].primary == Some(id) && node.claimed > node.denied;
        // Where nodes check, a likely position will do, or one untold for a second: a miss is cheap.
        let fresh = s.kind.currency != Currency::Latest && now - node.placed >= IDLE_S;
        let likely = fresh || now - 2.0 * node.lag >= needed;
        !self.log_in_doubt(s) && (leads || node.lsn >= needed || self.replication.checked && likely)
    }

    fn execute(&mut self, stmt: u32, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        self.execute_for(stmt, id, now, false, out)
    }

    fn execute_for(&mut self, stmt: u32, id: u32, now: f64, asks: bool, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        if !self.permitted(s, id, now, asks) {
            return false;
        }
        let (term, length) = (self.term(s.group), self.length(s.served_as[0]));
        let (group, limit) = (self.groups.get_mut(&s.group).expect("known"), s.last_use() - now);
        group.waiting.remove(&stmt);
        if s.session != 0 && group.primary == Some(id) {
            self.sessions.entry(s.session).or_insert((now, NEVER)).0 = now;
        }
        self.succession.iter_mut().for_each(|succession| succession.sent(stmt));
        self.sending(stmt, id, now);
        let sent = Execution { term, asks, length, ..Execution::new(id, now) };
        self.statements.get_mut(&stmt).expect("open").executions.push(sent);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.enters(now, length);
        if node.suspected.is_some() {
            (node.trial_at, node.trials) = (now, node.trials + 1);
        }
        node.sends.push_back(now);
        while node.sends.pop_front_if(|at| now - *at >= self.cold.window).is_some() {}
        if asks {
            out.inquire(stmt, id, limit)
        } else {
            out.execute(stmt, id, limit)
        }
        true
    }

    /// The one way to a final answer of ours: a rejection only where trying again is harmless, else an abort.
    fn conclude(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let known = match s.kind.repeat {
            Repeat::Deduplicated { within, .. } => within == Within::Anywhere,
            repeat => repeat == Repeat::Idempotent,
        };
        let lost = self.owes_lost(s); // To come back for it would be as much in vain.
        if !lost && (known || s.may_have_run().next().is_none()) {
            // A retry comes as a new statement, with an SLO time that its client no longer has.
            out.reject(stmt, s.advised(&self.allowance));
        } else {
            out.abort(stmt);
        }
        self.note(stmt, now);
        self.forget(stmt, now, out)
    }

    fn forget(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let Some(s) = self.statements.remove(&stmt) else { return false };
        s.timers(stmt, self.allowance.step).iter().for_each(|at| _ = self.timers.remove(at));
        self.groups.get_mut(&s.group).expect("known").waiting.remove(&stmt);
        self.succession.iter_mut().for_each(|succession| succession.leave(s.group, stmt));
        for (execution, e) in (0..).zip(&s.executions).filter(|e| e.1.ended.is_none()) {
            self.learn(self.late(e, now), true);
            let usual = self.asked(s.group, e.node) * self.nodes[&e.node].pace;
            let (strain, lossy) = (self.most_strain(), self.in_vain > IN_VAIN);
            let signs = Signs { usual, strain, length: Some(e.length), lossy };
            let node = self.nodes.get_mut(&e.node).expect("listed");
            node.unanswered(now, (now - e.sent) / s.kind.slo, signs);
            if self.allowance.cancelling && s.due.is_finite() {
                out.cancel(stmt, execution);
            }
        }
        true
    }
}
