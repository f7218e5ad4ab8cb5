//! What a front needs to ask for routing decisions: plain types of the trade and the trait [`Outbox`].
//!
//! A front owns the clock, the sockets and the lists. It turns what it hears into calls on [`Instance`],
//! calls [`Instance::settle`] once all that arrived at one reading of its clock has been told, and carries
//! out what comes through its [`Outbox`]. All times are seconds on the front's clock; positions (lsn) are
//! times on it too: the moment up to which a node has applied every commit. Ids are whatever the front uses.
//!
//! Every decision is in [`policy`]; nothing here decides.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]
// Decoded fields go straight into a call, and each part takes its own few settings.
#![allow(clippy::too_many_arguments)]

mod fleet_sharing;
mod instance;
pub mod policy;
mod restart_pacing;
pub mod state;
mod succeed;
pub mod tally;
pub use badgerstream_fleet_sharing as fleet;
pub use badgerstream_primary_change as succession;
pub use badgerstream_restart_pacing as recovery;
pub use instance::Instance;
pub use policy::mark::{MARK_S, Mark};
pub use policy::rotation::Rotation;

#[cfg(test)]
mod tests;

/// How far a statement may be executed again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Repeat {
    Idempotent,
    /// Repeats are dropped by the nodes of `within`, for `memory` seconds after the first send that may have
    /// run.
    Deduplicated {
        within: Within,
        memory: f64,
    },
    #[default]
    NonIdempotent,
}

/// The nodes that know a deduplicated statement's repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Within {
    Anywhere,
    Zone,
    Group,
}

/// What a statement must see.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Currency {
    /// Only the primary takes it: a write.
    #[default]
    Primary,
    /// All commits from before its arrival.
    Latest,
    /// All that its session has written.
    OwnWrites,
    /// Data at most this old when it is executed.
    Recent {
        bound: f64,
    },
    Loose,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// SLO time: an answer within it earns the full importance.
    pub slo: f64,
    /// The SLO time grows by this many times the statement's own work.
    pub slo_stretch: f64,
    /// Statement timeout.
    pub timeout: f64,
    pub importance: f64,
    /// What an answer after the SLO time is worth, as a share of the importance.
    pub late_worth: f64,
    pub repeat: Repeat,
    pub currency: Currency,
}

impl Workload {
    /// How old the data may be that its statements are answered from, where that is told as an age.
    pub fn bound(&self) -> Option<f64> {
        if let Currency::Recent { bound } = self.currency {
            Some(bound)
        } else {
            None
        }
    }
}

/// A customer's agreed rate, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub per_s: f64,
    /// What a statement beyond the rate is worth, as a share of its importance.
    pub beyond: f64,
}

/// How much the whole service counts against its worst-served workload and its worst-served customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fairness {
    pub whole: f64,
    pub worst_workload: f64,
    pub worst_customer: f64,
}

/// How the store's copies behave towards reads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Replication {
    /// Nodes turn away a read for which they are too far behind.
    pub checked: bool,
    /// Session reads carry the age of their session's last write; else this router's own answers count.
    pub carried: bool,
}

/// What a node that has just started can bear.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// The least share of its capacity that it starts with, and the longest time until it has all of it.
    pub share: f64,
    pub lasts: f64,
    /// Sent more than this many times its present capacity, over this long, it falls over.
    pub factor: f64,
    pub window: f64,
}

/// How long a node may still be sent work once this router was told that it drains or is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    pub grace: f64,
    /// Only a listed drain binds, a node that is merely gone does not.
    pub only_draining: bool,
}

/// What a router may do for one statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    pub executions: usize,
    pub second_copies: bool,
    pub cancelling: bool,
    pub probes: bool,
    /// What a probe costs, as a share of what an average statement is worth.
    pub probe_price: f64,
    /// The longest advice to come back later that clients follow; 0 where none is passed on.
    pub retry_after: f64,
    /// The front's clock moves in steps of this.
    pub step: f64,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Completed,
    /// Turned away untouched: not the primary, or too far behind.
    Missed,
    /// Turned away unseen: full, or draining.
    TurnedAway,
    Errored,
    TimedOut,
    Unconnected,
    /// Its connection broke before the node had all of it.
    Cut,
    Dropped,
    /// The node answered with what is no answer: it may have run.
    Spoilt,
    Cancelled,
    /// Never issued.
    Moot,
}

impl Ending {
    /// The node itself answered.
    pub fn spoken(self) -> bool {
        matches!(
            self,
            Ending::Completed | Ending::Missed | Ending::TurnedAway | Ending::Errored
        )
    }

    pub fn proves_unrun(self) -> bool {
        matches!(
            self,
            Ending::Missed | Ending::TurnedAway | Ending::Unconnected | Ending::Cut | Ending::Moot
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// Where decisions go. Whatever is asked for takes effect at the front's present clock reading.
pub trait Outbox {
    fn execute(&mut self, stmt: u32, node: u32, limit: f64);
    /// Asks a node how an earlier execution of a write ended, by its mark. Counts as an execution: completed with
    /// the write's own answer where it ran, missed where it never did and never will, an error else.
    fn inquire(&mut self, stmt: u32, node: u32, limit: f64);
    fn cancel(&mut self, stmt: u32, execution: u8);
    fn reject(&mut self, stmt: u32, retry_after: f64);
    fn abort(&mut self, stmt: u32);
    fn probe(&mut self, node: u32);
    /// Asks for a call of [`Instance::settle`] after this many seconds.
    fn wake(&mut self, after: f64);
    fn log(&mut self, line: &str);
}
