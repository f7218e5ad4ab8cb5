//! Terms: the numbers that order the leaders of the control machines.

use crate::voter_set::NodeId;
use bincode::{Decode, Encode};

/// Position of the counter within a term, in bits. The bits below hold the leader's address.
const COUNTER_SHIFT: u32 = 32;

/// The number under which one machine leads. A higher term supersedes all lower ones.
///
/// The upper 32 bits are a counter. The lower 32 bits are the IPv4 address of the only machine that
/// may lead in this term, as in a Paxos ballot. So two machines never lead in the same term, and a
/// vote for a term is a vote for its leader. Calls to the platform carry the term as their fencing
/// token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Term(pub u64);

impl Term {
    /// Returns the lowest term above this one in which `node` may lead.
    pub fn next_for(self, node: NodeId) -> Term {
        let counter = (self.0 >> COUNTER_SHIFT) + 1;
        Term(counter << COUNTER_SHIFT | u64::from(node))
    }

    /// Returns the address of the only machine that may lead in this term.
    pub fn leader(self) -> NodeId {
        self.0 as u32
    }
}
