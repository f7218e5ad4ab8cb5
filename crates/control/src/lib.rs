//! The decisions of control: agreement, members, leases, failover; no I/O, no clock.
//!
//! Seconds are handed in, of the steady clock of the machine on which this runs. What is to be done comes out as a list
//! of [`Out`] in the order in which it must happen: whatever is to be on disk stands before what relies on it.

mod failover;
mod members;
mod message;
mod register;
mod sessions;
mod state;
mod steward;

pub use failover::{Asked, Row, Statement, Timing};
pub use members::{Beat, Member, Members, Phase};
pub use message::{Evidence, GrantNews, MemberNews, Node, Peer, ToControl, ToRouter};
pub use register::{Ballot, Record, Register, RegisterOut};
pub use sessions::Sessions;
pub use state::{Primary, State, Taken};
pub use steward::{Answer, Call, Out, Steward, StewardTiming};

#[cfg(test)]
mod tests;
