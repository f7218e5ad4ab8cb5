//! The voters, and the joint sets through which one set of voters replaces another.
//!
//! While a change is under way, quorums need majorities of the outgoing and of the incoming voters:
//! joint consensus (Raft thesis, 4.3). A voter that no longer answers is replaced in one such
//! change, so nothing ever waits for it.

use bincode::{Decode, Encode};

/// The address of a control machine: IPv4, the first byte of the address as the highest.
pub type NodeId = u32;

/// A control machine in one incarnation of its disk.
///
/// A machine that lost its disk comes back as another voter. It no longer knows what it voted for
/// and accepted, so the vote of its former incarnation is lost; it must not be given a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    /// The machine's address.
    pub node: NodeId,
    /// A random number drawn when the disk was first used; [`FOUNDING_INCARNATION`] if that was at
    /// the first start of the whole system.
    pub incarnation: u64,
}

/// The incarnation of the disks with which the system starts for the first time: the founding
/// voters must know each other's incarnations before they have met.
pub const FOUNDING_INCARNATION: u64 = 0;

impl std::fmt::Display for Voter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}/{:x}",
            std::net::Ipv4Addr::from(self.node),
            self.incarnation
        )
    }
}

/// The voters, and while a change is under way also those before it (the joint voter set).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VoterSet {
    /// The voters, in order; while a change is under way the incoming ones.
    voters: Vec<Voter>,
    /// The voters before the change that is under way, in order; empty if none is.
    outgoing: Vec<Voter>,
}

impl VoterSet {
    /// The voters of a system that starts for the first time, on empty disks.
    pub fn founding(nodes: impl IntoIterator<Item = NodeId>) -> VoterSet {
        let founder = |node| Voter {
            node,
            incarnation: FOUNDING_INCARNATION,
        };
        VoterSet {
            voters: sorted(nodes.into_iter().map(founder).collect()),
            outgoing: Vec::new(),
        }
    }

    /// The voters, in order; while a change is under way the incoming ones.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// All whose votes may count: the voters, then those that are only outgoing.
    pub fn all(&self) -> impl Iterator<Item = Voter> {
        let only_outgoing = self
            .outgoing
            .iter()
            .filter(|voter| !self.voters.contains(voter));
        self.voters.iter().chain(only_outgoing).copied()
    }

    /// Whether the vote of `voter` may count.
    pub fn contains(&self, voter: Voter) -> bool {
        self.voters.contains(&voter) || self.outgoing.contains(&voter)
    }

    /// Whether the voters for which `holds` is true are a quorum: a majority of the voters, and
    /// while a change is under way also of the outgoing ones.
    pub fn is_quorum(&self, holds: impl Fn(Voter) -> bool) -> bool {
        let has_majority = |voters: &[Voter]| {
            voters.iter().filter(|voter| holds(**voter)).count() > voters.len() / 2
        };
        !self.voters.is_empty()
            && has_majority(&self.voters)
            && (self.outgoing.is_empty() || has_majority(&self.outgoing))
    }

    /// The latest time at which or after which each voter of some quorum was seen, given when each
    /// was last seen. Minus infinity without voters.
    pub fn quorum_time(&self, last_seen: impl Fn(Voter) -> f64) -> f64 {
        let majority_time = |voters: &[Voter]| {
            let mut times: Vec<f64> = voters.iter().map(|voter| last_seen(*voter)).collect();
            times.sort_by(|a, b| b.total_cmp(a));
            times.get(voters.len() / 2).copied()
        };
        let incoming = majority_time(&self.voters).unwrap_or(f64::NEG_INFINITY);
        let outgoing = majority_time(&self.outgoing).unwrap_or(f64::INFINITY);
        incoming.min(outgoing)
    }

    /// The joint set on the way to `voters`; none while another change is under way, or if nothing
    /// would change.
    pub fn joint_with(&self, voters: Vec<Voter>) -> Option<VoterSet> {
        let voters = sorted(voters);
        let is_change = !voters.is_empty() && voters != self.voters;
        (!self.is_joint() && is_change).then(|| VoterSet {
            voters,
            outgoing: self.voters.clone(),
        })
    }

    /// The set once the change under way is complete.
    pub fn finalized(&self) -> VoterSet {
        VoterSet {
            voters: self.voters.clone(),
            outgoing: Vec::new(),
        }
    }

    /// The voters without `removed` and with `added`.
    pub fn replacing(&self, added: Option<Voter>, removed: Option<Voter>) -> Vec<Voter> {
        let remaining = self
            .voters
            .iter()
            .copied()
            .filter(|voter| Some(*voter) != removed);
        remaining.chain(added).collect()
    }
}

fn sorted(mut voters: Vec<Voter>) -> Vec<Voter> {
    voters.sort_unstable();
    voters.dedup();
    voters
}
