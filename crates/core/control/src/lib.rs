//! The control plane's decisions: consensus, membership of servers, leases of routers, failover.
//!
//! No I/O and no clock, so that a simulation can run the same code. [`Controller`] is the entry
//! point; the pooler process (`badgerstream-pooler`) owns one on each control machine and passes in
//! messages, results and the seconds of the machine's steady clock. It gets a list of [`Output`]s
//! to carry out in their order: a write to disk stands before all that relies on it.
//!
//! - `consensus`, `voter_set`, `term`: agreement on one [`State`], and who leads
//! - `state`, `text_delta`, `change_history`, `digest`: the agreed state, its changes, and deltas
//!   of it
//! - `members`: the database servers by their heartbeats
//! - `leases`: the leases of routers, which cover the grants of primaries
//! - `failover`, `promotion`: the change of a service's primary
//! - `controller`: what joins them
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
    ConfigUpdate, HealthReport, LeaderRequest, LeaseRequest, MemberInfo, PeerMessage, PrimaryGrant,
    RequestId, RouterMessage,
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
