//! Terms: the numbers under which control machines lead.

use crate::voter_set::NodeId;
use bincode::{Decode, Encode};

/// How far the counter of a term is shifted: the address of its leader stands in the bits below.
const COUNTER_SHIFT: u32 = 32;

/// The number of a leader's reign; a higher term supersedes all lower ones.
///
/// The upper 32 bits count, the lower 32 bits are the IPv4 address of the only machine that may
/// lead under the term (a Paxos ballot). So no two machines ever lead under one term, and a vote
/// for a term is a vote for its leader. Calls to the platform carry the term as their fencing
/// token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Term(pub u64);

impl Term {
    /// The lowest term above this one that `node` may lead.
    pub fn next_for(self, node: NodeId) -> Term {
        let counter = (self.0 >> COUNTER_SHIFT) + 1;
        Term(counter << COUNTER_SHIFT | u64::from(node))
    }

    /// The machine that may lead under this term.
    pub fn leader(self) -> NodeId {
        self.0 as u32
    }
}
