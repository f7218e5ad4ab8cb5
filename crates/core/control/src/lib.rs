//! The decisions of control: agreement, members, leases, failover; no I/O, no clock.
//!
//! Seconds are handed in, of the steady clock of the machine on which this runs. What is to be done comes out as a list
//! of [`Output`] in the order in which it must happen: whatever is to be on disk stands before what relies on it.

mod ballot;
mod consensus;
mod controller;
mod difference;
mod digest;
mod failover;
mod history;
mod leases;
mod members;
mod membership;
mod message;
mod promotion;
mod state;

pub use ballot::Ballot;
pub use consensus::{
    Consensus, ConsensusMessage, ConsensusOutput, ConsensusTiming, Content, Holds, Recipient,
    Record,
};
pub use controller::{Answer, Call, ControlTiming, Controller, Output, PRIMARY_CHANGES_KEPT};
pub use difference::Difference;
pub use digest::Digest;
pub use failover::{Asked, Row, Statement, Timing};
pub use history::History;
pub use leases::Leases;
pub use members::{Beat, Member, Members, Phase};
pub use membership::{FOUNDING, Membership, Node, Voter};
pub use message::{
    CallId, ConfigNews, Evidence, GrantNews, LeaderCall, MemberNews, PeerMessage, ToControl,
    ToRouter,
};
pub use promotion::PromotionOutcome;
pub use state::{Change, Order, Primary, REMEMBERED_ORDERS, State, Text, Verdict};

#[cfg(test)]
mod tests;
