//! Ballots: the terms under which control machines lead.

use crate::membership::Node;
use bincode::{Decode, Encode};

/// Round and address of the machine that leads it; higher ones go before lower ones. Its number serves as the fence of
/// calls to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot(pub u64);

impl Ballot {
    /// The lowest ballot of this machine above that one.
    pub fn above(self, node: Node) -> Ballot {
        Ballot(((self.0 >> 32) + 1) << 32 | u64::from(node))
    }

    /// The machine that leads it.
    pub fn node(self) -> Node {
        self.0 as u32
    }
}
