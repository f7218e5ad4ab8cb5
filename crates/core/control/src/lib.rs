//! The decisions of the control plane: consensus among the control machines, membership of database
//! servers, leases of routers, and failover.
//!
//! This crate does no I/O and reads no clock, so a simulation can run the same code as production.
//! [`Controller`] is the entry point. The pooler process (`badgerstream-pooler`) owns one on each
//! control machine. It passes in messages, results, and the time in seconds of the machine's steady
//! (monotonic) clock, and gets back a list of [`Output`]s to carry out in order. A write to disk
//! always precedes the outputs that rely on it.
//!
//! - `consensus`, `voter_set`, `term`: agreement on one [`State`], and election of the leader
//! - `state`, `text_delta`, `change_history`, `digest`: the replicated state, its changes, and how
//!   they are sent as deltas
//! - `members`: the database servers, known from their heartbeats
//! - `leases`: the leases of routers, which cover the grants of primaries
//! - `failover`, `promotion`: replacement of a service's primary
//! - `controller`: combines the modules above into one control machine
//! - `message`: the messages between processes

mod change_history;
mod consensus;
mod controller;
mod digest;
mod failover;
mod leases;
mod members;
mod message;
mod promotion;
mod state;
mod term;
mod text_delta;
mod voter_set;

pub use change_history::ChangeHistory;
pub use consensus::{
    Consensus, ConsensusConfig, ConsensusMessage, ConsensusOutput, HardState, Recipient, StateId,
    StatePayload,
};
pub use controller::{
    ControlConfig, ControlRequest, ControlResponse, Controller, FailoverStatus,
    MAX_PRIMARY_CHANGE_DURATIONS, Output,
};
pub use digest::Digest;
pub use failover::{CommandOutcome, FailoverConfig, Position, ServerCommand, ServerStatus};
pub use leases::Leases;
pub use members::{Heartbeat, Member, MemberPhase, MemberRegistry};
pub use message::{
    ACKNOWLEDGED_POSITIONS, AcknowledgedPosition, ConfigUpdate, HealthReport, LeaderRequest,
    LeaseRequest, MemberInfo, PeerMessage, PrimaryGrant, ReportingLeaseRequest, RequestId,
    RouterMessage,
};
pub use promotion::PromotionOutcome;
pub use state::{
    AppliedConfig, ConfigPayload, MAX_APPLIED_CONFIGS, PrimaryRecord, ReplaceVerdict, State,
    StateChange,
};
pub use term::Term;
pub use text_delta::TextDelta;
pub use voter_set::{FOUNDING_INCARNATION, NodeId, Voter, VoterSet};

#[cfg(test)]
mod tests;
