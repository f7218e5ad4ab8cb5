//! All of badgerstream's decisions. A front builds one [`Instance`] per router, tells it what happened by the input
//! methods (`listing`, `arrived`, `executed`, `probed`, ...), then calls `settle`, which goes through the rules and
//! sends what they conclude through an `Outbox`. The types of both directions are in `lib.rs`; docs/design.md says
//! where the mechanism comes from. Inputs record facts only; every send passes `permitted`, every answer `conclude`.

use crate::{
    Allowance, ColdStart, Currency, Drain, Ending, Outbox, Quota, Repeat, Replication, Role, Standing,
    Within, Workload,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The design's figures: how long a touch of the primary marks a session, and how long a node may go unheard.
const MARK_S: f64 = 3.0;
const IDLE_S: f64 = 1.0;
/// Health is looked over this often, also when nothing comes in; a group without a primary is probed at this pace.
const BEAT_S: f64 = 0.05;
const SEARCH_S: f64 = 0.1;
/// A write that no member took is held for this share of its statement timeout.
const HOLD_SHARE: f64 = 0.05;
/// A node is silent once it owes this many answers by its own pace: e^-8 is one false alarm in 3,000 looks.
const OWED_ANSWERS: f64 = 8.0;
/// Unhealthy answers in a row after which a node is a suspect; not reaching it at all counts for all of them.
const FAULTS: u32 = 3;
/// A suspect gets its first trial after the one, and never waits longer than the other.
const TRIAL_S: f64 = 0.5;
const TRIAL_MAX_S: f64 = 4.0;
/// Executions out at one node before its room is learnt, and the weight of one answer in a node's pace.
const ROOM: f64 = 8.0;
const PACE_GAIN: f64 = 0.1;
/// Of what a cold node is sure to bear, the part that this router dares to send: the front's split is uneven.
const COLD_CARE: f64 = 0.7;
/// Positions and ages come in rounded milliseconds.
const ROUNDING_S: f64 = 0.001;

/// Lives for one send.
pub struct Execution {
    pub node: u32,
    pub sent: f64,
    pub ended: Option<Ending>,
    pub cancelled: bool,
}

/// Lives until the final answer.
pub struct Statement {
    pub workload: usize,
    pub group: u16,
    pub session: u64,
    pub arrived: f64,
    pub due: f64,
    pub slo_end: f64,
    /// A read is answered only from data at or past this.
    pub owed: f64,
    /// The session wrote, or was marked elsewhere, within the mark's time.
    pub fresh_age: bool,
    pub worth: f64,
    pub executions: Vec<Execution>,
    pub held_until: f64,
    pub over: bool,
    pub streaming: bool,
}

/// Lives as long as the router knows the node's id.
pub struct Node {
    pub group: u16,
    pub zone: u8,
    pub standing: Standing,
    pub told: f64,
    pub drained: bool,
    pub since: f64,
    pub listed_primary: bool,
    roll: u64,
    /// Lower bound of its position: it only grows, also across a restart.
    pub lsn: f64,
    pub heard: f64,
    /// When it was primary and when it said it was none, by the latest word of each.
    pub claimed: f64,
    pub denied: f64,
    pub out: usize,
    /// When the present run of unanswered executions began: the last answer, or the first send after none were out.
    pub waiting_since: f64,
    pub pace: f64,
    pub room: f64,
    cut: f64,
    /// Completions a second, counted in `IDLE_S` steps.
    pub rate: f64,
    completions: f64,
    counted: f64,
    pub faults: u32,
    pub suspected: Option<f64>,
    trials: u32,
    trial_at: f64,
    sends: VecDeque<f64>,
    probed: f64,
    probing: bool,
}

/// Lives as long as the router does.
#[derive(Default)]
pub struct Group {
    pub members: Vec<u32>,
    pub primary: Option<u32>,
    pub counter: usize,
    pub waiting: BTreeSet<u32>,
}

/// Lives from one start of the router to the next; knows only what its own inputs told it.
pub struct Instance {
    pub workloads: Vec<Workload>,
    pub replication: Replication,
    pub cold: ColdStart,
    pub drain: Drain,
    pub allowance: Allowance,
    quotas: Vec<Quota>,
    routers: f64,
    usage: Vec<(f64, f64)>,
    chance: fastrand::Rng,
    pub nodes: BTreeMap<u32, Node>,
    pub groups: BTreeMap<u16, Group>,
    pub statements: BTreeMap<u32, Statement>,
    /// When a session last touched the primary here, and the commit of its last write answered here.
    pub sessions: BTreeMap<u64, (f64, f64)>,
    timers: BTreeSet<(u64, u32)>,
    touched: BTreeSet<u32>,
    touched_groups: BTreeSet<u16>,
    roll: u64,
    beat: f64,
    swept: f64,
    cancels: Vec<(u32, u8)>,
}

type StatementRule = fn(&mut Instance, u32, f64, &mut dyn Outbox) -> bool;
type NodeRule = fn(&mut Instance, u32, f64, &mut dyn Outbox) -> bool;

/// Gone through in this order for each touched statement until none fires.
const STATEMENT_RULES: [StatementRule; 6] = [
    Instance::close_over,
    Instance::answer_last_moment,
    Instance::give_up_worthless,
    Instance::give_up_spent,
    Instance::send_next,
    Instance::copy_from_suspect,
];

/// Gone through for every node at each beat.
const NODE_RULES: [NodeRule; 4] = [
    Instance::suspect_silent,
    Instance::suspect_faulty,
    Instance::probe_unheard,
    Instance::probe_search,
];

impl Statement {
    fn live(&self) -> impl Iterator<Item = &Execution> {
        self.executions.iter().filter(|e| e.ended.is_none())
    }

    fn may_have_run(&self) -> impl Iterator<Item = &Execution> {
        self.executions
            .iter()
            .filter(|e| !e.ended.is_some_and(Ending::proves_unrun))
    }

    /// The moment from which an answer earns nothing.
    fn last_use(&self, workload: &Workload) -> f64 {
        if workload.late_worth > 0.0 {
            self.due
        } else {
            self.slo_end.min(self.due)
        }
    }
}

impl Node {
    fn new(group: u16, zone: u8) -> Node {
        Node {
            group,
            zone,
            standing: Standing::Ready,
            told: 0.0,
            drained: false,
            since: 0.0,
            listed_primary: false,
            roll: 0,
            lsn: f64::NEG_INFINITY,
            heard: f64::NEG_INFINITY,
            claimed: f64::NEG_INFINITY,
            denied: f64::NEG_INFINITY,
            out: 0,
            waiting_since: 0.0,
            pace: 0.0,
            room: ROOM,
            cut: f64::NEG_INFINITY,
            rate: 0.0,
            completions: 0.0,
            counted: 0.0,
            faults: 0,
            suspected: None,
            trials: 0,
            trial_at: f64::NEG_INFINITY,
            sends: VecDeque::new(),
            probed: f64::NEG_INFINITY,
            probing: false,
        }
    }

    /// The share of its capacity that a node is sure to have by now, had it warmed as slowly as is allowed.
    pub fn warmth(&self, cold: &ColdStart, now: f64) -> f64 {
        if self.since <= 0.0 || now - self.since >= cold.lasts {
            return 1.0;
        }
        cold.share + (1.0 - cold.share) * ((now - self.since) / cold.lasts).max(0.0)
    }

    /// Guards rule 3: nothing new once told that the node drains or is gone. A draining primary may still take what
    /// no other member can for a part of the grace, as it hands over only at its end.
    pub fn closed(&self, drain: &Drain, last_resort: bool, now: f64) -> bool {
        match self.standing {
            Standing::Ready => false,
            Standing::Draining => !last_resort || now - self.told > drain.grace / 2.0,
            Standing::Gone => !(drain.only_draining && !self.drained && last_resort),
        }
    }

    /// A suspect is tried by one execution at a time, each trial later than the one before.
    fn on_trial(&self, now: f64) -> bool {
        let Some(since) = self.suspected else { return true };
        let wait = (TRIAL_S * f64::from(1 << self.trials.min(8))).min(TRIAL_MAX_S);
        now - self.trial_at.max(since) >= wait
    }

    fn suspect(&mut self, now: f64) {
        self.suspected = Some(now);
        self.trials = 0;
        self.trial_at = now;
    }

    fn is_primary(&self) -> bool {
        self.claimed > self.denied
    }
}

/// Inputs: they record facts and note what they touch.
impl Instance {
    #[allow(clippy::too_many_arguments)] // each part takes its own few settings; no record holds them all
    pub fn new(
        seed: u64,
        routers: usize,
        workloads: Vec<Workload>,
        quotas: Vec<Quota>,
        replication: Replication,
        cold: ColdStart,
        drain: Drain,
        allowance: Allowance,
    ) -> Instance {
        Instance {
            usage: vec![(f64::NEG_INFINITY, 0.0); quotas.len()],
            workloads,
            replication,
            cold,
            drain,
            allowance,
            quotas,
            routers: routers.max(1) as f64,
            chance: fastrand::Rng::with_seed(seed),
            nodes: BTreeMap::new(),
            groups: BTreeMap::new(),
            statements: BTreeMap::new(),
            sessions: BTreeMap::new(),
            timers: BTreeSet::new(),
            touched: BTreeSet::new(),
            touched_groups: BTreeSet::new(),
            roll: 0,
            beat: f64::NEG_INFINITY,
            swept: f64::NEG_INFINITY,
            cancels: Vec::new(),
        }
    }

    /// A list begins; `member` follows for each entry, then `listed`.
    pub fn listing(&mut self) {
        self.roll += 1;
    }

    #[allow(clippy::too_many_arguments)] // the fields of a list's entry, straight from the wire
    pub fn member(
        &mut self,
        now: f64,
        id: u32,
        group: u16,
        zone: u8,
        at: Standing,
        since: f64,
        primary: bool,
    ) {
        let members = &mut self.groups.entry(group).or_default().members;
        if !members.contains(&id) {
            // Routers that all began their rotation at one member would meet there.
            members.insert(self.chance.usize(0..=members.len()), id);
        }
        let node = self.nodes.entry(id).or_insert_with(|| Node::new(group, zone));
        node.roll = self.roll;
        if at != node.standing {
            // A node that goes from draining to gone was told of before: the grace runs from the first word.
            if at == Standing::Ready || node.standing == Standing::Ready {
                node.told = now;
            }
            node.standing = at;
        }
        node.drained |= at == Standing::Draining;
        if since > node.since + ROUNDING_S {
            node.since = since;
            node.drained = at == Standing::Draining;
            if at == Standing::Ready {
                node.suspected = None;
                node.faults = 0;
            }
        }
        node.listed_primary = primary;
        self.touched_groups.insert(group);
    }

    /// The list is over: a node that a whole one leaves out is gone.
    pub fn listed(&mut self, now: f64, whole: bool) {
        for node in self.nodes.values_mut().filter(|n| whole && n.roll != self.roll) {
            if node.standing == Standing::Ready {
                node.told = now;
            }
            node.standing = Standing::Gone;
            self.touched_groups.insert(node.group);
        }
    }

    #[allow(clippy::too_many_arguments)] // the fields of a statement, straight from the wire
    pub fn arrived(
        &mut self,
        now: f64,
        stmt: u32,
        workload: usize,
        group: u16,
        session: u64,
        customer: usize,
        work: f64,
        due: f64,
        write_age: f64,
    ) {
        let kind = self.workloads[workload];
        let known = self
            .sessions
            .get(&session)
            .filter(|_| session != 0)
            .map_or(f64::NEG_INFINITY, |s| s.1);
        let carried = if write_age > 0.0 {
            now - write_age + ROUNDING_S
        } else {
            f64::NEG_INFINITY
        };
        let owed = match kind.currency {
            Currency::Latest => now,
            Currency::OwnWrites if self.replication.carried => carried.max(known),
            Currency::OwnWrites => known,
            _ => f64::NEG_INFINITY,
        };
        let share = self.within_quota(now, customer);
        let slo_end = now + (kind.slo + kind.slo_stretch * work).min(kind.timeout);
        self.statements.insert(
            stmt,
            Statement {
                workload,
                group,
                session,
                arrived: now,
                due,
                slo_end,
                owed,
                fresh_age: write_age > 0.0 && write_age < MARK_S,
                worth: kind.importance * share,
                executions: Vec::new(),
                held_until: now,
                over: false,
                streaming: false,
            },
        );
        self.groups.entry(group).or_default().waiting.insert(stmt);
        self.schedule(due - 2.0 * self.allowance.step, stmt);
        self.schedule(slo_end, stmt);
        self.touched_groups.insert(group);
    }

    /// What a customer sends beyond its quota is worth less; each router sees about its share of the traffic.
    fn within_quota(&mut self, now: f64, customer: usize) -> f64 {
        let (Some(quota), Some(usage)) = (self.quotas.get(customer), self.usage.get_mut(customer)) else {
            return 1.0;
        };
        let kept = (-(now - usage.0).max(0.0) / IDLE_S).exp();
        *usage = (now, usage.1 * kept + 1.0 / IDLE_S);
        if usage.1 * self.routers > quota.per_s {
            quota.beyond
        } else {
            1.0
        }
    }

    /// A stream began: its statement is the client's and no longer has a deadline.
    pub fn started(&mut self, stmt: u32) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            s.streaming = true;
        }
    }

    /// An execution ended. `lsn` is 0 where the answer told no position.
    #[allow(clippy::too_many_arguments)] // the fields of an outcome, straight from the wire
    pub fn executed(
        &mut self,
        now: f64,
        stmt: u32,
        execution: u8,
        id: u32,
        ending: Ending,
        took: f64,
        over: bool,
        role: Option<Role>,
        lsn: f64,
    ) {
        let slo = self.statements.get(&stmt).map(|s| self.workloads[s.workload].slo);
        let write = self
            .statements
            .get(&stmt)
            .is_some_and(|s| self.workloads[s.workload].currency == Currency::Primary);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.out = node.out.saturating_sub(1);
            let position = if write && ending == Ending::Completed {
                lsn - ROUNDING_S
            } else {
                lsn
            };
            node.lsn = if lsn > 0.0 {
                node.lsn.max(position)
            } else {
                node.lsn
            };
            node.executed(now, ending, took, slo);
            self.touched_groups.insert(node.group);
            match role {
                Some(Role::Primary) if now > node.denied => node.claimed = node.claimed.max(now),
                Some(Role::Replica) => node.denied = now,
                _ => {}
            }
        }
        if let Some(s) = self.statements.get_mut(&stmt) {
            if let Some(e) = s.executions.get_mut(usize::from(execution)) {
                e.ended = Some(ending);
            }
            s.over |= over;
            if write && ending == Ending::Completed && s.session != 0 {
                let session = self.sessions.entry(s.session).or_insert((now, lsn));
                session.1 = session.1.max(lsn);
            }
            self.touched.insert(stmt);
        }
    }

    pub fn probed(&mut self, now: f64, id: u32, answered: bool, primary: Option<bool>, lsn: f64) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.probing = false;
        if !answered {
            node.faults += 1;
            return;
        }
        node.heard = now;
        self.reported(now, id, primary, lsn);
    }

    /// A load report, some time old: its position still holds.
    pub fn reported(&mut self, now: f64, id: u32, primary: Option<bool>, lsn: f64) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        // A position ahead of the clock is a broken report, not a fresher copy.
        let lsn = if lsn <= now { lsn } else { f64::NEG_INFINITY };
        node.lsn = node.lsn.max(lsn);
        match primary {
            // A primary stands at the present, so its own position dates the claim, however late the report.
            Some(true) if lsn > node.denied => node.claimed = node.claimed.max(lsn),
            Some(false) if lsn > node.claimed => node.denied = node.denied.max(lsn),
            _ => {}
        }
        self.touched_groups.insert(node.group);
    }

    /// The client left, or its time was up.
    pub fn abandoned(&mut self, stmt: u32) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            s.over = true;
            self.touched.insert(stmt);
        }
    }

    fn schedule(&mut self, at: f64, stmt: u32) {
        self.timers.insert(((at.max(0.0) * 1e6) as u64, stmt));
    }
}

impl Node {
    fn executed(&mut self, now: f64, ending: Ending, took: f64, slo: Option<f64>) {
        if ending == Ending::Moot {
            return;
        }
        let spoke = matches!(
            ending,
            Ending::Completed | Ending::Missed | Ending::TurnedAway | Ending::Errored
        );
        if spoke {
            self.heard = now;
            self.waiting_since = now;
        }
        match ending {
            Ending::Completed => {
                self.completions += 1.0;
                self.pace += (took - self.pace) * if self.pace == 0.0 { 1.0 } else { PACE_GAIN };
                self.suspected = None;
                self.faults = 0;
                let slo = slo.unwrap_or(f64::INFINITY);
                if took <= slo / 2.0 && self.out as f64 + 2.0 >= self.room {
                    self.room += 1.0 / self.room;
                } else if took > slo {
                    self.shrink(now, took);
                }
            }
            Ending::Missed => self.faults = 0,
            Ending::TurnedAway => self.shrink(now, took.max(self.pace)),
            Ending::TimedOut => self.shrink(now, took),
            Ending::Errored | Ending::Dropped => self.faults += 1,
            Ending::Unconnected => self.faults += FAULTS,
            Ending::Cancelled | Ending::Moot => {}
        }
    }

    /// Once for all that was sent before the last time: one jam is one sign, however many statements met it.
    fn shrink(&mut self, now: f64, took: f64) {
        if now - took >= self.cut {
            self.room = (self.room * 0.8).max(2.0);
            self.cut = now;
        }
    }
}

/// Settling.
impl Instance {
    /// Goes through the rules for all that was touched or has come due, until none fires.
    pub fn settle(&mut self, now: f64, out: &mut dyn Outbox) {
        let due = ((now * 1e6) as u64, u32::MAX);
        while let Some(&timer) = self.timers.first().filter(|t| **t <= due) {
            self.timers.remove(&timer);
            self.touched.insert(timer.1);
        }
        if now - self.beat >= BEAT_S - 1e-6 {
            self.beat = now;
            self.look_over(now, out);
            out.wake(BEAT_S);
        }
        self.believe(now, out);
        let mut queue: Vec<u32> = std::mem::take(&mut self.touched).into_iter().collect();
        for group in std::mem::take(&mut self.touched_groups) {
            queue.extend(self.groups[&group].waiting.iter().copied());
        }
        let late = |s: &Statement, w: &Workload| if now > s.slo_end { w.late_worth } else { 1.0 };
        let rank = |id: &u32| {
            self.statements.get(id).map_or((0, 0, 0), |s| {
                let worth = s.worth * late(s, &self.workloads[s.workload]);
                (-(worth * 1e3) as i64, -(s.arrived * 1e6) as i64, *id)
            })
        };
        queue.sort_by_cached_key(rank);
        for stmt in queue {
            while self.statements.contains_key(&stmt)
                && STATEMENT_RULES.iter().any(|r| r(self, stmt, now, out))
            {}
        }
        for (stmt, execution) in std::mem::take(&mut self.cancels) {
            out.cancel(stmt, execution);
        }
        if let Some(first) = self.timers.first() {
            out.wake((first.0 as f64 / 1e6 - now).clamp(0.0, BEAT_S));
        }
    }

    fn look_over(&mut self, now: f64, out: &mut dyn Outbox) {
        let ids: Vec<u32> = self.nodes.keys().copied().collect();
        for id in ids {
            let node = self.nodes.get_mut(&id).expect("listed");
            if now - node.counted >= IDLE_S {
                node.rate += (node.completions / IDLE_S - node.rate) * 0.3;
                (node.completions, node.counted) = (0.0, now);
            }
            while NODE_RULES.iter().any(|r| r(self, id, now, out)) {}
        }
        self.touched_groups.extend(self.groups.keys().copied());
        self.touched.extend(
            self.statements
                .iter()
                .filter(|s| s.1.live().next().is_some())
                .map(|s| *s.0),
        );
        if now - self.swept > MARK_S {
            self.swept = now;
            // A commit that old is on the carried age, or behind every replica that a check would not catch.
            let keep = if self.replication.carried {
                MARK_S
            } else {
                f64::INFINITY
            };
            self.sessions.retain(|_, s| now - s.0 < keep);
        }
    }

    /// The primary is the last member to answer as primary, until it answers otherwise.
    fn believe(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in &self.touched_groups {
            let Some(group) = self.groups.get_mut(id) else {
                continue;
            };
            let claims = group.members.iter().filter(|m| self.nodes[m].is_primary());
            let last = claims
                .max_by(|a, b| self.nodes[a].claimed.total_cmp(&self.nodes[b].claimed))
                .copied();
            if last != group.primary {
                out.log(&format!(
                    "{now:.3} group {id}: primary {:?} -> {last:?}",
                    group.primary
                ));
                group.primary = last;
            }
        }
    }
}

/// Rules for a node.
impl Instance {
    /// A node that takes work and answers nothing looks idle and fast; its own pace says what it owes.
    fn suspect_silent(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let usual = self.pace(self.nodes[&id].group);
        let node = self.nodes.get_mut(&id).expect("listed");
        let pace = node.pace.max(usual).max(BEAT_S) / node.warmth(&self.cold, now);
        let owed = node.out as f64 * (now - node.waiting_since) / pace;
        let fires = node.suspected.is_none() && node.out > 0 && owed > OWED_ANSWERS;
        if fires {
            out.log(&format!(
                "{now:.3} node {id}: silent, {} out, {owed:.0} answers owed",
                node.out
            ));
            node.suspect(now);
        }
        fires
    }

    /// Errors, drops and failed connections come back fast and free a slot: without this they draw more work.
    fn suspect_faulty(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let node = self.nodes.get_mut(&id).expect("listed");
        let fires = node.suspected.is_none() && node.faults >= FAULTS;
        if fires {
            out.log(&format!("{now:.3} node {id}: {} faults in a row", node.faults));
            node.suspect(now);
        }
        fires
    }

    fn probe_unheard(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let node = &self.nodes[&id];
        now - node.heard.max(node.probed) >= IDLE_S && self.probe(id, now, out)
    }

    /// Without a primary all writes of the group wait: its members are asked more often.
    fn probe_search(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let node = &self.nodes[&id];
        let lost = self.groups[&node.group].primary.is_none_or(|p| self.troubled(p));
        lost && now - node.probed >= SEARCH_S && self.probe(id, now, out)
    }

    fn probe(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let node = self.nodes.get_mut(&id).expect("listed");
        if !self.allowance.probes || node.probing || node.standing != Standing::Ready {
            return false;
        }
        (node.probed, node.probing) = (now, true);
        out.probe(id);
        true
    }

    fn troubled(&self, id: u32) -> bool {
        let node = &self.nodes[&id];
        node.suspected.is_some() || node.standing != Standing::Ready
    }
}

/// Rules for a statement.
impl Instance {
    /// The client has its answer: what is still out would be work for nobody.
    fn close_over(&mut self, stmt: u32, _now: f64, _out: &mut dyn Outbox) -> bool {
        let over = self.statements[&stmt].over;
        if over {
            self.forget(stmt);
        }
        over
    }

    /// Guards rule 1: whatever else is going on, the answer is out before the client's time is up.
    fn answer_last_moment(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let fires = !s.streaming && now >= s.due - 2.0 * self.allowance.step - 1e-6;
        if fires {
            self.conclude(stmt, out);
        }
        fires
    }

    /// Nothing it could still get is worth anything, or nothing sent now would be back in time.
    fn give_up_worthless(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let last = s.last_use(&self.workloads[s.workload]);
        let unsent = s.live().next().is_none() && now + self.pace(s.group) / 2.0 >= last;
        let fires = !s.streaming && (now >= last || unsent);
        if fires {
            self.conclude(stmt, out);
        }
        fires
    }

    /// Nothing is out and nothing more may be sent.
    fn give_up_spent(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let spent = s.executions.len() >= self.allowance.executions || !self.repeatable(s, None, now);
        let fires = spent && s.live().next().is_none();
        if fires {
            self.conclude(stmt, out);
        }
        fires
    }

    fn send_next(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        if s.live().next().is_some() || s.held_until > now + 1e-6 {
            return false;
        }
        if let Some(node) = self.choose(stmt, now) {
            return self.execute(stmt, node, now, out);
        }
        let s = &self.statements[&stmt];
        let (group, hold) = (s.group, HOLD_SHARE * self.workloads[s.workload].timeout);
        self.groups.get_mut(&group).expect("known").waiting.insert(stmt);
        let s = &self.statements[&stmt];
        if self.workloads[s.workload].currency == Currency::Primary && self.round_missed(s, now) {
            let until = (now + hold).min(s.due);
            self.statements.get_mut(&stmt).expect("open").held_until = until;
            self.schedule(until, stmt);
        }
        false
    }

    /// What a suspect holds may never be answered. Harm: a node only slow for a moment does the work twice.
    fn copy_from_suspect(&mut self, stmt: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        let live: Vec<&Execution> = s.live().collect();
        let [only] = live[..] else { return false };
        let (from, node) = (only.node, &self.nodes[&only.node]);
        let stuck = node
            .suspected
            .is_some_and(|at| only.sent <= at || now - only.sent > 2.0 * self.pace(s.group));
        if !stuck || !self.allowance.second_copies {
            return false;
        }
        match self.choose(stmt, now) {
            Some(other) if other != from => self.execute(stmt, other, now, out),
            _ => false,
        }
    }
}

/// Choosing a node.
impl Instance {
    fn pace(&self, group: u16) -> f64 {
        let paces = self.groups[&group]
            .members
            .iter()
            .map(|m| self.nodes[m].pace)
            .filter(|p| *p > 0.0);
        let least = paces.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// The design's steps 1 to 5.
    pub fn choose(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let group = &self.groups[&s.group];
        let primary = group.primary.filter(|p| self.open(s, *p, now));
        match self.workloads[s.workload].currency {
            Currency::Primary if group.primary.is_none() => self.next_asked(s, now),
            Currency::Primary => primary,
            Currency::Latest => primary.or_else(|| self.rotate(stmt, now)),
            Currency::OwnWrites if self.marked(s, now) => {
                // The design's relief: a replica known past the write, when the primary is full or slow.
                if let Some(p) = primary.filter(|p| !self.strained(*p)) {
                    return Some(p);
                }
                let replica = self.rotate(stmt, now);
                replica.or(primary)
            }
            _ => self.rotate(stmt, now).or(primary),
        }
    }

    pub fn marked(&self, s: &Statement, now: f64) -> bool {
        let touched = self.sessions.get(&s.session).filter(|_| s.session != 0);
        s.fresh_age || touched.is_some_and(|t| now - t.0 < MARK_S)
    }

    /// Full or slow: half its room is kept for what nobody else can take, and replicas answer in half the time.
    pub fn strained(&self, id: u32) -> bool {
        let node = &self.nodes[&id];
        let group = &self.groups[&node.group];
        let others: Vec<&Node> = group
            .members
            .iter()
            .filter(|m| **m != id)
            .map(|m| &self.nodes[m])
            .filter(|n| n.pace > 0.0)
            .collect();
        let mean = others.iter().map(|n| n.pace).sum::<f64>() / others.len().max(1) as f64;
        node.out as f64 >= node.room / 2.0 || (mean > 0.0 && node.out > 0 && node.pace > 2.0 * mean)
    }

    /// The next eligible replica from the group's counter.
    fn rotate(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let group = &self.groups[&s.group];
        let primary = group.primary;
        let fits = |id: &u32| Some(*id) != primary && self.current(s, *id, now) && self.open(s, *id, now);
        let members = group.members.len();
        let next = (0..members)
            .map(|i| group.members[(group.counter + i) % members])
            .find(fits)?;
        let at = group.members.iter().position(|m| *m == next)?;
        self.groups.get_mut(&s.group)?.counter = (at + 1) % members;
        Some(next)
    }

    /// No primary is known: the listed one first, then whoever has most of the log and has not said no of late.
    fn next_asked(&self, s: &Statement, now: f64) -> Option<u32> {
        let half = s.executions.len() * 2 >= self.allowance.executions && now < s.held_until + BEAT_S;
        let asked = self.groups[&s.group].members.iter().copied();
        let open = asked.filter(|m| !half && !self.refused_lately(s, *m, now) && self.open(s, *m, now));
        open.max_by(|a, b| {
            let (a, b) = (&self.nodes[a], &self.nodes[b]);
            (a.listed_primary && a.denied < 0.0)
                .cmp(&(b.listed_primary && b.denied < 0.0))
                .then(a.lsn.total_cmp(&b.lsn))
        })
    }

    /// One round of misses is enough for all statements of a group: they share what the members answered.
    fn refused_lately(&self, s: &Statement, id: u32, now: f64) -> bool {
        now - self.nodes[&id].denied < HOLD_SHARE * self.workloads[s.workload].timeout
    }

    fn round_missed(&self, s: &Statement, now: f64) -> bool {
        self.groups[&s.group]
            .members
            .iter()
            .any(|m| self.refused_lately(s, *m, now))
    }

    /// Whether a node may be chosen now: reachable in health, with room, within its cold budget, not yet met.
    fn open(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        let failed = |e: &Execution| {
            e.node == id && e.ended != Some(Ending::Missed) || e.ended.is_none() && e.node == id
        };
        let read = self.workloads[s.workload].currency != Currency::Primary;
        let tried = read
            && s.executions
                .iter()
                .any(|e| e.node == id && (failed(e) || now - e.sent < IDLE_S));
        let trial = node.suspected.is_none()
            || (node.on_trial(now) && self.workloads[s.workload].repeat != Repeat::NonIdempotent)
            || self.all_suspected(s.group);
        !tried && trial && (node.out as f64) < node.room && self.permitted(s, id, now)
    }

    /// A whole group that looks bad shares one trouble: suspicion alone never leaves it without a member.
    fn all_suspected(&self, group: u16) -> bool {
        let mut ready = self.groups[&group].members.iter().map(|m| &self.nodes[m]);
        ready.all(|n| n.standing != Standing::Ready || n.suspected.is_some())
    }
}

/// Guards: every send passes `permitted`, every final answer of ours `conclude`.
impl Instance {
    fn permitted(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        let write = self.workloads[s.workload].currency == Currency::Primary;
        !s.over
            && now < s.due
            && node.group == s.group
            && s.executions.len() < self.allowance.executions
            && (self.allowance.second_copies || s.live().next().is_none())
            && self.repeatable(s, Some(id), now)
            && !node.closed(
                &self.drain,
                write || self.groups[&s.group].primary == Some(id),
                now,
            )
            && self.bearable(node, now)
            && self.current(s, id, now)
    }

    /// Guards rule 2: what may have run is repeated only where its repeat is harmless or dropped.
    pub fn repeatable(&self, s: &Statement, to: Option<u32>, now: f64) -> bool {
        let Some(first) = s.may_have_run().next() else {
            return true;
        };
        match self.workloads[s.workload].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Deduplicated { within, memory } => {
                let (from, to) = (
                    &self.nodes[&first.node],
                    to.map_or(&self.nodes[&first.node], |t| &self.nodes[&t]),
                );
                let known = match within {
                    Within::Anywhere => true,
                    Within::Zone => from.zone == to.zone,
                    Within::Group => from.group == to.group,
                };
                // The repeat must also get there: a quarter of the memory is left for dialling and the network.
                known && now - first.sent < memory * 0.75
            }
        }
    }

    /// Guards rule 4: in any window a cold node gets no more than its part of what warm nodes are seen to bear. All
    /// routers see their own part of that load, so their parts of the budget add up, however unevenly they are split.
    pub fn bearable(&self, node: &Node, now: f64) -> bool {
        let warmth = node.warmth(&self.cold, now);
        if warmth >= 1.0 {
            return true;
        }
        let (mut rate, mut warm) = (0.0, 0.0);
        for other in self.nodes.values().filter(|n| n.standing == Standing::Ready) {
            rate += other.rate;
            warm += other.warmth(&self.cold, now);
        }
        let budget = COLD_CARE * self.cold.factor * warmth * self.cold.window * rate / f64::max(warm, 1.0);
        let sent = node
            .sends
            .iter()
            .rev()
            .take_while(|at| now - **at < self.cold.window)
            .count() as f64;
        sent + 1.0 <= budget.max(1.0) && (node.out as f64) < (node.room * warmth).max(1.0)
    }

    /// Guards rule 5: a member not believed primary answers a read only from a position known to be new enough.
    pub fn current(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        let needed = match self.workloads[s.workload].currency {
            Currency::Primary | Currency::Loose => return true,
            Currency::Recent { bound } => now - bound + ROUNDING_S,
            Currency::Latest | Currency::OwnWrites => s.owed,
        };
        if self.groups[&s.group].primary == Some(id) && node.is_primary() || node.lsn >= needed {
            return true;
        }
        // Where nodes check for themselves, a likely position will do: as far behind as when it was last heard, twice.
        self.replication.checked && now - 2.0 * (node.heard - node.lsn) >= needed
    }

    fn execute(&mut self, stmt: u32, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let s = &self.statements[&stmt];
        if !self.permitted(s, id, now) {
            return false;
        }
        let group = s.group;
        let limit = s.last_use(&self.workloads[s.workload]) - now;
        let lead = self.groups[&group].primary == Some(id);
        let s = self.statements.get_mut(&stmt).expect("open");
        s.executions.push(Execution {
            node: id,
            sent: now,
            ended: None,
            cancelled: false,
        });
        if s.session != 0 && lead {
            self.sessions
                .entry(s.session)
                .or_insert((now, f64::NEG_INFINITY))
                .0 = now;
        }
        let node = self.nodes.get_mut(&id).expect("listed");
        if node.out == 0 {
            node.waiting_since = now;
        }
        node.out += 1;
        if node.suspected.is_some() {
            node.trial_at = now;
            node.trials += 1;
        }
        node.sends.push_back(now);
        while node.sends.front().is_some_and(|at| now - at > self.cold.window) {
            node.sends.pop_front();
        }
        self.groups.get_mut(&group).expect("known").waiting.remove(&stmt);
        out.execute(stmt, id, limit);
        true
    }

    /// The one way to a final answer of ours: a rejection only where trying again is harmless, else an abort.
    fn conclude(&mut self, stmt: u32, out: &mut dyn Outbox) {
        let s = &self.statements[&stmt];
        let harmless = match self.workloads[s.workload].repeat {
            Repeat::Idempotent
            | Repeat::Deduplicated {
                within: Within::Anywhere,
                ..
            } => true,
            _ => s.may_have_run().next().is_none(),
        };
        if harmless {
            out.reject(
                stmt,
                self.workloads[s.workload].slo.min(self.allowance.retry_after),
            );
        } else {
            out.abort(stmt);
        }
        self.forget(stmt);
    }

    fn forget(&mut self, stmt: u32) {
        let Some(s) = self.statements.remove(&stmt) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&s.group) {
            group.waiting.remove(&stmt);
        }
        for (i, e) in s.executions.iter().enumerate() {
            if self.allowance.cancelling && e.ended.is_none() && !s.streaming {
                self.cancels.push((stmt, i as u8));
            }
        }
    }
}
