//! Routing policy of the router: which node executes which statement, when, and how often. It has no clock, no
//! sockets and no I/O of its own.
//!
//! The caller (the router, or a test program) owns the clock, the connections and the list of nodes. It reports
//! events by calls on [`Instance`], calls [`Instance::settle`] once all events of one clock reading are
//! reported, and carries out the actions that it receives through its [`Outbox`].
//!
//! All times are seconds on the caller's clock. Positions in the replication log (`lsn`) are times on the same
//! clock: a node at position `t` has applied every commit up to `t`. The ids of statements, nodes, groups and
//! sessions are whatever the caller uses.
//!
//! This file defines the types of the interface; every decision is made in [`policy`].

// Decoded fields go straight into a call, and each part takes only the settings that it needs.
#![allow(clippy::too_many_arguments)]

mod fleet_sharing;
mod instance;
pub mod policy;
mod primary_change;
mod restart_pacing;
pub mod state;
pub mod tally;
pub use badgerstream_fleet_sharing as fleet;
pub use badgerstream_primary_change as succession;
pub use badgerstream_restart_pacing as recovery;
pub use instance::Instance;
pub use policy::primary_affinity::{PRIMARY_AFFINITY_S, PrimaryAffinity};
pub use policy::rotation::Rotation;

#[cfg(test)]
mod tests;

/// Whether a statement may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Repeat {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// The nodes of `scope` drop repeats for `memory_s` seconds after the first send that may have run.
    Deduplicated {
        /// The nodes that recognize a repeat.
        scope: DedupScope,
        /// How long they recognize it, in seconds.
        memory_s: f64,
    },
    /// A statement that may have run is never sent again.
    #[default]
    NonIdempotent,
}

/// The nodes that recognize the repeat of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DedupScope {
    /// All nodes.
    Anywhere,
    /// The nodes of the same group and zone as the first execution.
    Zone,
    /// The nodes of the same group as the first execution.
    Group,
}

/// Which data a statement must see.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Consistency {
    /// Only the primary may execute it: a write.
    #[default]
    Primary,
    /// All commits from before the statement's arrival.
    Latest,
    /// All writes of its session.
    OwnWrites,
    /// Data of limited age.
    Recent {
        /// Maximum age of the data at the time of the execution, in seconds.
        max_age_s: f64,
    },
    /// Data of any age.
    Loose,
}

/// A class of statements, with the service level that they are promised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// SLO time in seconds: an answer within it is worth the full importance.
    pub slo: f64,
    /// Factor by which the statement's own work (seconds) extends the SLO time.
    pub slo_stretch: f64,
    /// Statement timeout in seconds.
    pub timeout: f64,
    /// Value of an answer within the SLO time, relative to other workloads.
    pub importance: f64,
    /// Value of an answer after the SLO time, as a share of the importance.
    pub late_value: f64,
    /// Whether its statements may be executed more than once.
    pub repeat: Repeat,
    /// Which data its statements must see.
    pub consistency: Consistency,
}

impl Workload {
    /// Returns the maximum age of the data in seconds, if the workload has one.
    pub fn max_age_s(&self) -> Option<f64> {
        if let Consistency::Recent { max_age_s } = self.consistency {
            Some(max_age_s)
        } else {
            None
        }
    }
}

/// The agreed rate of a tenant, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Agreed statements per second.
    pub per_s: f64,
    /// Value of a statement beyond the rate, as a share of its importance.
    pub excess_value: f64,
}

/// Weights of the three parts of the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fairness {
    /// Weight of the service as a whole.
    pub overall: f64,
    /// Weight of the workload that is served worst.
    pub worst_workload: f64,
    /// Weight of the tenant that is served worst.
    pub worst_tenant: f64,
}

/// How nodes and sessions track the freshness of reads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Replication {
    /// Nodes decline a read if they are too far behind for it.
    pub nodes_check_freshness: bool,
    /// Reads of a session carry the age of its last write. Otherwise only the writes that this router answered
    /// are known.
    pub sessions_carry_write_age: bool,
}

/// Limits for a node that has just started and does not have its full capacity yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// Minimum share of its capacity that the node has at its start.
    pub initial_share: f64,
    /// Maximum time until it has its full capacity, in seconds.
    pub duration_s: f64,
    /// The node fails if it is sent more than this many times its present capacity over the window.
    pub overload_factor: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

/// Until when a node may be sent work after it was listed as draining or gone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    /// Time from the first such list until sending must have stopped, in seconds.
    pub grace_s: f64,
    /// Only nodes that were listed as draining are closed; a node that is merely listed as gone is not.
    pub only_draining_binds: bool,
}

/// What the policy may do for one statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PolicyLimits {
    /// Maximum number of executions.
    pub max_executions: usize,
    /// A second execution may start while the first is in flight.
    pub hedging: bool,
    /// Executions may be cancelled.
    pub cancellation: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Cost of a probe, as a share of the value of an average statement.
    pub probe_cost_share: f64,
    /// Longest retry-after advice that clients follow, in seconds; 0 if none is passed on.
    pub max_retry_after_s: f64,
    /// Step of the caller's clock, in seconds.
    pub clock_step_s: f64,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The node answered.
    Completed,
    /// The node declined without executing it: it is not the primary, or too far behind.
    NotEligible,
    /// The node declined without reading it: it is full, or draining.
    Rejected,
    /// The node answered with an error.
    Errored,
    /// No answer came within the time limit.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the node had the whole statement.
    SendInterrupted,
    /// The connection broke after the node had the whole statement.
    ConnectionLost,
    /// The node sent something that is not a valid answer; the statement may have run.
    InvalidAnswer,
    /// The router stopped it itself, which tells nothing about the node.
    Cancelled,
    /// It was never sent.
    NeverIssued,
}

impl ExecutionOutcome {
    /// Returns whether the node itself answered.
    pub fn node_answered(self) -> bool {
        matches!(
            self,
            ExecutionOutcome::Completed
                | ExecutionOutcome::NotEligible
                | ExecutionOutcome::Rejected
                | ExecutionOutcome::Errored
        )
    }

    /// Returns whether the outcome proves that the statement did not run.
    pub fn proves_unrun(self) -> bool {
        matches!(
            self,
            ExecutionOutcome::NotEligible
                | ExecutionOutcome::Rejected
                | ExecutionOutcome::ConnectFailed
                | ExecutionOutcome::SendInterrupted
                | ExecutionOutcome::NeverIssued
        )
    }
}

/// Role of a node in its replication group, as the node itself reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes the group's writes.
    Primary,
    /// Applies the primary's log.
    Replica,
}

/// Status of a node in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeStatus {
    /// In service.
    #[default]
    Ready,
    /// About to end: it must get no new work.
    Draining,
    /// Ended, or no longer listed.
    Gone,
}

/// Receives the actions of the policy. Each takes effect at the caller's present clock reading.
pub trait Outbox {
    /// Sends a statement to a node. The answer is of no use after `limit` seconds.
    fn execute(&mut self, stmt: u32, node: u32, limit: f64);
    /// Asks a node for the outcome of an earlier execution of a write, by the mark that the write carries. Counts
    /// as an execution itself: it completes with the write's own answer if the write ran, ends as
    /// [`ExecutionOutcome::NotEligible`] if the write never ran and never will, and as an error otherwise.
    fn inquire(&mut self, stmt: u32, node: u32, limit: f64);
    /// Cancels an execution of a statement, by its number.
    fn cancel(&mut self, stmt: u32, execution: u8);
    /// Answers a statement with a rejection: its client may retry, and should wait `retry_after` seconds first.
    fn reject(&mut self, stmt: u32, retry_after: f64);
    /// Answers a statement with an abort: it may have run, so its client must not simply retry.
    fn abort(&mut self, stmt: u32);
    /// Asks a node for its role and position.
    fn probe(&mut self, node: u32);
    /// Requests a call of [`Instance::settle`] after this many seconds.
    fn wake(&mut self, after: f64);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
