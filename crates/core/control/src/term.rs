//! Ballots: the terms under which control machines lead.

use crate::voter_set::NodeId;
use bincode::{Decode, Encode};

/// Round and address of the machine that leads it; higher ones go before lower ones. Its number serves as the fence of
/// calls to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Term(pub u64);

impl Term {
    /// The lowest ballot of this machine above that one.
    pub fn next_for(self, node: NodeId) -> Term {
        Term(((self.0 >> 32) + 1) << 32 | u64::from(node))
    }

    /// The machine that leads it.
    pub fn leader(self) -> NodeId {
        self.0 as u32
    }
}
