//! The decisions of control: agreement, members, leases, failover; no I/O, no clock.
//!
//! Seconds are handed in, of the steady clock of the machine on which this runs. What is to be done comes out as a list
//! of [`Output`] in the order in which it must happen: whatever is to be on disk stands before what relies on it.

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
    ControlConfig, ControlRequest, ControlResponse, Controller, FailoverStatus, Output,
    PRIMARY_CHANGES_KEPT,
};
pub use digest::Digest;
pub use failover::{CommandOutcome, FailoverConfig, ServerCommand, ServerStatus};
pub use leases::Leases;
pub use members::{Heartbeat, Member, MemberPhase, MemberRegistry};
pub use message::{
    ConfigUpdate, HealthReport, LeaderRequest, LeaseRequest, MemberInfo, PeerMessage, PrimaryGrant,
    RequestId, RouterMessage,
};
pub use promotion::PromotionOutcome;
pub use state::{
    APPLIED_CONFIGS_KEPT, AppliedConfig, ConfigPayload, PrimaryRecord, ReplaceVerdict, State,
    StateChange,
};
pub use term::Term;
pub use text_delta::TextDelta;
pub use voter_set::{FOUNDING_INCARNATION, NodeId, Voter, VoterSet};

#[cfg(test)]
mod tests;
