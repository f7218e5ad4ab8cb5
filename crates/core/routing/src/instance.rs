//! An [`Instance`]: all that the decisions of one router remember, and how it begins. What it is told and what it
//! concludes is in `policy`.

use crate::state::{Group, NEVER, Node, Statement, Taken};
use crate::succession::Succession;
use crate::{Allowance, ColdStart, Drain, Fairness, Mark, Quota, Replication, Workload};
use crate::{fleet::Fleet, recovery::Recovery, tally::Tally};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Lives from one start of the router to the next; knows only what its own inputs told it.
#[derive(Default)]
pub struct Instance {
    pub(crate) workloads: Vec<Workload>,
    pub(crate) quotas: Vec<Quota>,
    pub(crate) replication: Replication,
    pub cold: ColdStart,
    pub drain: Drain,
    pub allowance: Allowance,
    pub routers: f64,
    /// When each customer was last heard, and its statements a second.
    pub(crate) usage: Vec<(f64, f64)>,
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
    pub(crate) chance: fastrand::Rng,
    pub nodes: BTreeMap<u32, Node>,
    pub groups: BTreeMap<u16, Group>,
    pub statements: FxHashMap<u32, Statement>,
    /// When a session last touched the primary here, and the commit of its last write answered here.
    pub sessions: BTreeMap<u64, (Mark, f64)>,
    pub timers: BTreeSet<(u64, u32)>,
    /// Who leads while primaries change, and who waits; without it each statement sees to itself.
    pub succession: Option<Succession>,
    /// What is held back while many routers come back at once; without it nothing is.
    pub recovery: Option<Recovery>,
    /// What is decided as one of many routers; without it each does as it alone would.
    pub fleet: Option<Fleet>,
    pub tally: Tally,
    pub(crate) touched: BTreeSet<u32>,
    pub(crate) touched_groups: BTreeSet<u16>,
    pub(crate) roll: u64,
    pub(crate) beat: Option<f64>,
}

impl Instance {
    pub fn new(
        seed: u64,
        routers: usize,
        workloads: Vec<Workload>,
        quotas: Vec<Quota>,
        fairness: Fairness,
        replication: Replication,
        cold: ColdStart,
        drain: Drain,
        allowance: Allowance,
    ) -> Instance {
        let mut born = Instance::default();
        (born.chance, born.routers) = (fastrand::Rng::with_seed(seed), routers.max(1) as f64);
        born.usage = vec![(NEVER, 0.0); quotas.len()];
        born.takes = vec![Taken::default(); workloads.len()];
        born.shares = [
            vec![(0.0, 0.0); workloads.len()],
            vec![(0.0, 0.0); quotas.len()],
        ];
        (born.workloads, born.quotas, born.replication, born.cold) =
            (workloads, quotas, replication, cold);
        (born.fairness, born.drain, born.allowance) = (fairness, drain, allowance);
        born
    }

    /// A list begins: `member` for each entry, then `listed`.
    pub fn listing(&mut self) {
        self.roll += 1;
    }

    /// A stream began: it is the client's, and its statement no longer has a deadline.
    pub fn started(&mut self, stmt: u32) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            (s.due, s.slo_end) = (f64::INFINITY, f64::INFINITY);
        }
    }

    pub fn abandoned(&mut self, stmt: u32) {
        let Some(s) = self.statements.get_mut(&stmt) else {
            return;
        };
        (s.over, _) = (true, self.touched.insert(stmt));
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

    pub(crate) fn members(&self, group: u16) -> impl Iterator<Item = (u32, &Node)> {
        self.groups[&group]
            .members
            .iter()
            .map(|m| (*m, &self.nodes[m]))
    }
}
