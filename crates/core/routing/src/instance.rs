//! [`Instance`]: the state of one router's routing policy, and how it is created. Its inputs and its decisions are
//! in `policy`.

use crate::state::{AnswerTimes, Group, NEVER, Node, Rate, ServedValue, Session, Statement};
use crate::succession::Succession;
use crate::{ColdStart, Drain, Fairness, PolicyLimits, Quota, Replication, Workload};
use crate::{fleet::Fleet, recovery::Recovery, tally::Tally};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// The routing policy of one router. It is created at the router's start and knows only what was reported to it.
#[derive(Default)]
pub struct Instance {
    pub(crate) workloads: Vec<Workload>,
    pub(crate) quotas: Vec<Quota>,
    pub(crate) replication: Replication,
    /// Limits for nodes that have just started.
    pub cold_start: ColdStart,
    /// Limits for nodes that are draining or gone.
    pub drain: Drain,
    /// What may be done for one statement.
    pub limits: PolicyLimits,
    /// Number of routers that share the nodes, this one included.
    pub routers: f64,
    /// Arrivals of each tenant that has a quota.
    pub(crate) tenant_arrivals: Vec<Rate>,
    /// Completed executions over all nodes.
    pub completions: Rate,
    /// Sum of the warm shares of the nodes in service: how many warm nodes produced the completions.
    pub warm_nodes: f64,
    /// Moving average of the share of late executions that are never answered.
    pub unanswered_share: f64,
    /// Answer times of late, over all workloads.
    pub answer_times: AnswerTimes,
    /// Answer times of late, by workload.
    pub workload_answer_times: Vec<AnswerTimes>,
    /// Answer time without queues, as a share of the SLO time: the lowest average over all workloads so far.
    pub best_answer_share: f64,
    /// Weights of the objective.
    pub fairness: Fairness,
    /// Value of the statements that arrived and that were served in time: by workload, and by tenant.
    pub served_value: [Vec<ServedValue>; 2],
    pub(crate) rng: fastrand::Rng,
    /// The known nodes, by id.
    pub nodes: BTreeMap<u32, Node>,
    /// The known replication groups, by id.
    pub groups: BTreeMap<u16, Group>,
    /// The statements without a final answer, by id.
    pub statements: FxHashMap<u32, Statement>,
    /// The sessions that used the primary through this router, by id.
    pub sessions: BTreeMap<u64, Session>,
    /// When statements have to be looked at whatever else happens: microseconds, and the statement's id.
    pub timers: BTreeSet<(u64, u32)>,
    /// Coordinates statements during a change of primary. Without it, each statement is decided on its own.
    pub succession: Option<Succession>,
    /// Paces the traffic while many routers restart at once. Without it, nothing is held back.
    pub recovery: Option<Recovery>,
    /// Shares probes, trials and retries with the other routers. Without it, this router decides as if alone.
    pub fleet: Option<Fleet>,
    /// Counters for the log.
    pub tally: Tally,
    /// Statements to look at in the next `settle`.
    pub(crate) touched: BTreeSet<u32>,
    /// Groups whose primary and waiting statements to look at in the next `settle`.
    pub(crate) touched_groups: BTreeSet<u16>,
    /// Number of the node list that was read last.
    pub(crate) list_number: u64,
    /// When the nodes were last checked.
    pub(crate) last_check: Option<f64>,
}

impl Instance {
    /// Creates the policy of a router that has just started and is one of `routers`.
    pub fn new(
        seed: u64,
        routers: usize,
        workloads: Vec<Workload>,
        quotas: Vec<Quota>,
        fairness: Fairness,
        replication: Replication,
        cold_start: ColdStart,
        drain: Drain,
        limits: PolicyLimits,
    ) -> Instance {
        let no_arrivals = Rate {
            updated_at: NEVER,
            per_s: 0.0,
        };
        Instance {
            rng: fastrand::Rng::with_seed(seed),
            routers: routers.max(1) as f64,
            tenant_arrivals: vec![no_arrivals; quotas.len()],
            workload_answer_times: vec![AnswerTimes::default(); workloads.len()],
            served_value: [
                vec![ServedValue::default(); workloads.len()],
                vec![ServedValue::default(); quotas.len()],
            ],
            workloads,
            quotas,
            replication,
            cold_start,
            fairness,
            drain,
            limits,
            ..Instance::default()
        }
    }

    /// Starts reading a list of nodes: call [`Instance::list_member`] for each entry, then
    /// [`Instance::list_ends`].
    pub fn list_begins(&mut self) {
        self.list_number += 1;
    }

    /// The answer of a statement began to stream: it belongs to the client now, and the deadline is lifted.
    pub fn stream_started(&mut self, stmt: u32) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            s.deadline = f64::INFINITY;
            s.slo_deadline = f64::INFINITY;
        }
    }

    /// The client of a statement went away: the statement needs no answer.
    pub fn abandoned(&mut self, stmt: u32) {
        let Some(s) = self.statements.get_mut(&stmt) else {
            return;
        };
        s.finished = true;
        self.touched.insert(stmt);
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
