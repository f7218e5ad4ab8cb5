//! The records that an instance keeps, from the shortest-lived to the longest-lived, and how they are updated. The
//! instance itself is in `instance.rs`; the decisions are in `policy`.

use crate::{
    Consistency, ExecutionOutcome, Instance, NodeStatus, PRIMARY_AFFINITY_S, PrimaryAffinity,
    Rotation, Workload,
};
use std::collections::{BTreeSet, VecDeque};

/// Time of an event that has not happened, and position of a node that has reported none.
pub const NEVER: f64 = f64::NEG_INFINITY;
/// Positions and ages are rounded to milliseconds.
pub const ROUNDING_S: f64 = 0.001;

/// A node is removed this long after it was listed as gone: by then its executions have ended. Where only a drain
/// closes a node, one that was never listed as draining is kept ten times as long, as the list may be wrong.
const FORGET_GONE_S: f64 = 60.0;

/// One execution of a statement: a send to a node.
pub struct Execution {
    /// Id of the node.
    pub node: u32,
    /// When it was sent.
    pub sent_at: f64,
    /// How it ended; none while it is in flight.
    pub outcome: Option<ExecutionOutcome>,
    /// Expected duration, relative to the average over all workloads.
    pub length: f64,
    /// Term of the group's primary when it was sent; 0 if terms are not counted.
    pub term: u64,
    /// It does not run the statement but asks for the outcome of an earlier execution.
    pub is_inquiry: bool,
    /// A later primary answered that this execution never ran and never will.
    pub fenced: bool,
}

/// A statement, from its arrival to its final answer.
#[derive(Default)]
pub struct Statement {
    /// Its class.
    pub workload: Workload,
    /// Index of its workload and of its tenant, in this order.
    pub share_indices: [usize; 2],
    /// Id of the replication group that has its data.
    pub group: u16,
    /// Id of its session; 0 if it has none.
    pub session: u64,
    /// When it arrived.
    pub arrived_at: f64,
    /// When its client stops waiting.
    pub deadline: f64,
    /// When its SLO time ends.
    pub slo_deadline: f64,
    /// When half of the time until its deadline is over.
    pub halfway_at: f64,
    /// Position that a node must have reached to answer it, if it is a read.
    pub required_lsn: f64,
    /// Position of its session's last write that was answered by this router.
    pub session_write_lsn: f64,
    /// It carries the age of a write of its session that is recent enough for primary affinity.
    pub wrote_recently: bool,
    /// Value of an answer within the SLO time: the importance, reduced if its tenant is over its quota.
    pub value: f64,
    /// Random number from 0 to 1, lower for more important workloads. Where only a part of the statements may go,
    /// those with the lowest numbers go.
    pub admission_rank: f64,
    /// Number of probes that it has asked for.
    pub probe_count: f64,
    /// When it last asked for a probe.
    pub last_probe_at: f64,
    /// All its executions, in the order of their sends.
    pub executions: Vec<Execution>,
    /// It is not sent again before this time.
    pub held_until: f64,
    /// It has its final answer, or its client has left.
    pub finished: bool,
    /// It must not be sent to a primary now, because its group is changing the primary.
    pub waits_for_primary: bool,
    /// Retry-after advice for its client if it is rejected, in seconds.
    pub retry_after_s: f64,
    /// Its size.
    pub bytes: usize,
    /// It carries a mark by which a node can be asked for its outcome.
    pub carries_mark: bool,
}

/// A node (database server), for as long as the router knows its id.
#[derive(Default)]
pub struct Node {
    /// Id of its replication group.
    pub group: u16,
    /// Its zone.
    pub zone: u8,
    /// Its status in the list.
    pub status: NodeStatus,
    /// When a list first had it as draining or gone.
    pub unavailable_since: f64,
    /// It was listed as draining since its last start.
    pub listed_draining: bool,
    /// When it started, according to the list.
    pub started_at: f64,
    /// When a connection to it last failed to open.
    pub unreachable_at: f64,
    /// When a connection to it last broke; 0 if an answer has since shown that the node kept running.
    pub connection_lost_at: f64,
    /// The last list has it as its group's primary.
    pub listed_primary: bool,
    /// Number of the last list that has it.
    pub list_number: u64,
    /// Lower bound of its position. A position only grows, also across a restart.
    pub lsn: f64,
    /// When it last answered anything.
    pub last_heard_at: f64,
    /// Upper bound of its replication lag at `lag_known_at`, in seconds.
    pub lag: f64,
    /// When its lag was last known.
    pub lag_known_at: f64,
    /// When it was primary, by its own latest report.
    pub claimed_primary_at: f64,
    /// When it was not primary, by its own latest report.
    pub denied_primary_at: f64,
    /// Number of this router's executions in flight at the node.
    pub in_flight: usize,
    /// Waiting time since the node's last answer, added up over the executions in flight and weighted by their
    /// speed, in seconds.
    pub waited_s: f64,
    /// Time up to which `waited_s` is added up.
    pub waited_until: f64,
    /// Mean of 1/length over the executions in flight.
    pub mean_speed: f64,
    /// Number of completed executions, plus the weight of the initial latency estimate.
    pub answers: f64,
    /// Latency estimate in seconds for an execution of length 1: a moving average.
    pub latency_s: f64,
    /// Moving average of latency as a share of the SLO time: how congested the node is.
    pub congestion: f64,
    /// Executions that ended without an answer since the last one that completed.
    pub unanswered_in_a_row: u32,
    /// When `congestion` was last updated.
    pub congestion_at: f64,
    /// Maximum number of this router's executions in flight. A limit below 1 admits only a part of the statements.
    pub concurrency_limit: f64,
    /// Lower bound of `concurrency_limit`.
    pub min_concurrency_limit: f64,
    /// When `concurrency_limit` was last reduced.
    pub limit_cut_at: f64,
    /// Score of recent failures. The node becomes a suspect when the score is too high.
    pub faults: u32,
    /// Since when it is suspected to have failed.
    pub suspected_at: Option<f64>,
    /// Number of trial executions since it became a suspect, or last answered.
    pub trials: i32,
    /// When the last trial execution was sent.
    pub last_trial_at: f64,
    /// Times of the sends within the cold-start window.
    pub recent_sends: VecDeque<f64>,
    /// When it was last probed.
    pub last_probe_at: f64,
    /// A probe is in flight.
    pub probe_in_flight: bool,
}

/// A replication group, for as long as the router runs.
#[derive(Default)]
pub struct Group {
    /// Ids of its nodes.
    pub members: Vec<u32>,
    /// The node that is believed to be the primary.
    pub primary: Option<u32>,
    /// Rotation over the members.
    pub rotation: Rotation,
    /// Ids of the statements that wait for a node.
    pub waiting: BTreeSet<u32>,
    /// Arrivals of statements.
    pub arrivals: Rate,
}

/// A session that used the primary through this router.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    /// Whether its reads prefer the primary.
    pub affinity: PrimaryAffinity,
    /// Position of its last write that was answered by this router.
    pub last_write_lsn: f64,
}

/// Events per second, averaged over about [`PRIMARY_AFFINITY_S`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// When the last event was counted.
    pub updated_at: f64,
    /// Events per second at that time.
    pub per_s: f64,
}

/// Value of the statements of one workload or tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedValue {
    /// Value of all statements that arrived.
    pub requested: f64,
    /// Value of those that completed within their SLO time.
    pub in_time: f64,
}

/// Average answer time as a share of the SLO time.
#[derive(Clone, Copy, Default)]
pub struct AnswerTimes {
    /// Number of answers that the average covers.
    pub answers: f64,
    /// Average share of the SLO time.
    pub share: f64,
}

/// What the outcome of an execution is judged by, beside the outcome itself.
#[derive(Clone, Copy)]
pub struct AnswerContext {
    /// Average number of executions in flight at the node.
    pub mean_in_flight: f64,
    /// Congestion above which the concurrency limit is reduced.
    pub max_congestion: f64,
    /// Relative length of the execution, if known.
    pub length: Option<f64>,
    /// Most late executions are never answered.
    pub answers_get_lost: bool,
}

impl AnswerTimes {
    /// Adds an answer to the average, which covers about the last `max_answers`. An infinite share, from an SLO
    /// time of zero, is ignored.
    pub fn add(&mut self, share: f64, max_answers: f64) {
        if !share.is_finite() {
            return;
        }
        self.answers = f64::min(self.answers + 1.0, max_answers);
        self.share += (share - self.share) / self.answers;
    }

    /// Returns the average, blended with a guess that counts as `weight` answers.
    pub fn expected(&self, guess: f64, weight: f64) -> f64 {
        (weight * guess + self.answers * self.share) / (weight + self.answers)
    }
}

impl Rate {
    /// Counts one more event. Earlier events fade over [`PRIMARY_AFFINITY_S`].
    pub fn count_event(&mut self, now: f64) {
        *self = Rate {
            updated_at: now,
            per_s: self.per_s * (-(now - self.updated_at) / PRIMARY_AFFINITY_S).exp()
                + 1.0 / PRIMARY_AFFINITY_S,
        };
    }
}

impl Group {
    /// Returns the statements per second that arrive for the group, as of now.
    pub fn arrivals_per_s(&self, now: f64) -> f64 {
        self.arrivals.per_s
            * (-(now - self.arrivals.updated_at).max(0.0) / PRIMARY_AFFINITY_S).exp()
    }
}

impl Execution {
    /// Creates an execution that is in flight since `sent_at`, of length 1 and without a term.
    pub fn new(node: u32, sent_at: f64) -> Execution {
        Execution {
            node,
            sent_at,
            outcome: None,
            length: 1.0,
            term: 0,
            is_inquiry: false,
            fenced: false,
        }
    }
}

impl Statement {
    /// Returns whether only the primary may execute it.
    pub fn is_write(&self) -> bool {
        self.workload.consistency == Consistency::Primary
    }

    /// Returns its executions that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Execution> {
        self.executions.iter().filter(|e| e.outcome.is_none())
    }

    /// Returns the timers of the statement: the times at which it has to be looked at whatever else happens. They
    /// are removed with it.
    pub fn timers(&self, stmt: u32, clock_step_s: f64) -> [(u64, u32); 3] {
        let moments = [
            self.deadline - 2.0 * clock_step_s,
            self.slo_deadline,
            self.halfway_at,
        ];
        moments.map(|at| ((at.max(0.0) * 1e6) as u64, stmt))
    }

    /// Returns whether no node ever had the whole statement.
    pub fn reached_no_node(&self) -> bool {
        let not_received = |e: &Execution| {
            matches!(
                e.outcome,
                Some(
                    ExecutionOutcome::ConnectFailed
                        | ExecutionOutcome::SendInterrupted
                        | ExecutionOutcome::NeverIssued
                )
            )
        };
        self.executions.iter().all(not_received)
    }

    /// Returns the position that a node must have reached to execute the read at `at`.
    pub fn required_position(&self, at: f64) -> f64 {
        match self.workload.consistency {
            Consistency::Primary | Consistency::Loose => NEVER,
            Consistency::Recent { max_age_s } => at - max_age_s + ROUNDING_S,
            Consistency::Latest | Consistency::OwnWrites => self.required_lsn,
        }
    }

    /// Returns the position that the node of an execution must have reached, if any is required.
    pub fn position_required_by(&self, execution: usize) -> Option<f64> {
        let required = self
            .executions
            .get(execution)
            .map(|e| self.required_position(e.sent_at));
        required.filter(|required| *required > NEVER)
    }

    /// Returns the executions by which the statement may have run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Execution> {
        let may_have = |e: &&Execution| {
            !e.is_inquiry && !e.fenced && !e.outcome.is_some_and(ExecutionOutcome::proves_unrun)
        };
        self.executions.iter().filter(may_have)
    }
}

impl Instance {
    /// Removes the nodes that have been gone for long, unless an open statement or a group still refers to them,
    /// and returns their ids. A node that is listed again later counts as a new one.
    pub fn forget_gone(&mut self, now: f64) -> Vec<u32> {
        let executions = self.statements.values().flat_map(|s| &s.executions);
        let referenced: BTreeSet<u32> = executions
            .map(|e| e.node)
            .chain(self.groups.values().filter_map(|g| g.primary))
            .collect();
        let is_forgotten = |(id, node): &(&u32, &Node)| {
            let kept_s = if self.drain.only_draining_binds && !node.listed_draining {
                10.0 * FORGET_GONE_S
            } else {
                FORGET_GONE_S
            };
            node.status == NodeStatus::Gone
                && now - node.unavailable_since > kept_s
                && node.in_flight == 0
                && !referenced.contains(id)
        };
        let gone: Vec<u32> = self
            .nodes
            .iter()
            .filter(is_forgotten)
            .map(|n| *n.0)
            .collect();
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
    /// Sets the listed status. The grace runs from the first list that does not have the node as ready: a change
    /// from draining to gone does not restart it.
    pub fn set_status(&mut self, status: NodeStatus, now: f64) {
        if self.status == NodeStatus::Ready && status != NodeStatus::Ready {
            self.unavailable_since = now;
        }
        self.status = status;
        self.listed_draining |= status == NodeStatus::Draining;
    }

    /// Records the position that the node reports as its present one.
    pub fn set_position(&mut self, now: f64, lsn: f64) {
        if lsn > NEVER {
            self.lag = now - lsn;
            self.lag_known_at = now;
            self.lsn = self.lsn.max(lsn);
        }
    }

    /// Records that the node has reached a position. It may be further already, as the report may be old.
    pub fn raise_position(&mut self, now: f64, lsn: f64) {
        if lsn > NEVER {
            self.lsn = self.lsn.max(lsn);
            self.lag = self.lag.min(now - self.lsn);
            self.lag_known_at = now;
        }
    }

    /// Records that the node answered a read that required this position (`reached`), or declined it as too far
    /// behind.
    pub fn record_freshness(&mut self, now: f64, lsn: f64, reached: bool) {
        if reached {
            self.raise_position(now, lsn);
        } else {
            self.lag = self.lag.max(now - lsn);
            self.lag_known_at = now;
        }
    }

    /// Adds up the waiting time of the executions in flight until now.
    pub fn accrue_wait(&mut self, now: f64) {
        self.waited_s += self.in_flight as f64 * self.mean_speed * (now - self.waited_until);
        self.waited_until = now;
    }

    /// Adds an execution of this relative length to those in flight.
    pub fn add_in_flight(&mut self, now: f64, length: f64) {
        self.accrue_wait(now);
        let speed = self.in_flight as f64 * self.mean_speed + 1.0 / length;
        self.in_flight += 1;
        self.mean_speed = speed / self.in_flight as f64;
    }

    /// Removes an execution from those in flight. One of unknown length counts as average.
    pub fn remove_in_flight(&mut self, now: f64, length: Option<f64>) {
        self.accrue_wait(now);
        let speed = self.in_flight as f64 * self.mean_speed
            - length.map_or(self.mean_speed, |length| 1.0 / length);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.mean_speed = if self.in_flight > 0 {
            (speed / self.in_flight as f64).max(0.0)
        } else {
            1.0
        };
    }

    /// Creates a node that has not answered yet. The initial latency estimate counts as `prior_answers` answers.
    pub fn new(
        group: u16,
        zone: u8,
        concurrency_limit: f64,
        min_concurrency_limit: f64,
        latency_s: f64,
        prior_answers: f64,
    ) -> Node {
        Node {
            group,
            zone,
            concurrency_limit,
            min_concurrency_limit,
            latency_s,
            answers: prior_answers,
            lsn: NEVER,
            last_heard_at: NEVER,
            lag: f64::INFINITY,
            lag_known_at: NEVER,
            mean_speed: 1.0,
            last_probe_at: NEVER,
            limit_cut_at: NEVER,
            claimed_primary_at: NEVER,
            denied_primary_at: NEVER,
            ..Node::default()
        }
    }
}

/// Returns the served value of a statement's workload and of its tenant.
pub fn served_value_of<'a>(
    served_value: &'a mut [Vec<ServedValue>; 2],
    s: &Statement,
) -> impl Iterator<Item = &'a mut ServedValue> {
    let share_indices = s.share_indices;
    served_value
        .iter_mut()
        .zip(share_indices)
        .filter_map(|(all, i)| all.get_mut(i))
}
