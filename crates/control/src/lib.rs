//! The decisions of control: agreement, members, leases, failover; no I/O, no clock.
//!
//! Seconds are handed in, of the steady clock of the machine on which this runs. What is to be done comes out as a list
//! of [`Output`] in the order in which it must happen: whatever is to be on disk stands before what relies on it.

mod consensus;
mod controller;
mod failover;
mod leases;
mod members;
mod message;
mod promotion;
mod state;

pub use consensus::{Ballot, Consensus, ConsensusOutput, Record};
pub use controller::{Answer, Call, ControlTiming, Controller, Output};
pub use failover::{Asked, Row, Statement, Timing};
pub use leases::Leases;
pub use members::{Beat, Member, Members, Phase};
pub use message::{Evidence, GrantNews, MemberNews, Node, PeerMessage, ToControl, ToRouter};
pub use promotion::PromotionOutcome;
pub use state::{Primary, State, Taken};

#[cfg(test)]
mod tests;
