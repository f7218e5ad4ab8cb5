//! The set of voters, and the joint sets used to change it.
//!
//! While a change is in progress, a quorum needs a majority of the outgoing voters and a majority
//! of the incoming ones: joint consensus (Raft thesis, 4.3). A voter that no longer answers is
//! replaced in a single change, which does not need its answer.

use bincode::{Decode, Encode};

/// The IPv4 address of a control machine, with the first octet in the highest byte.
pub type NodeId = u32;

/// A control machine together with the incarnation of its disk.
///
/// A machine that lost its disk comes back as a different voter. It no longer knows which terms it
/// voted for and which state it accepted, so the new incarnation must not vote in place of the
/// former one: that could be a second vote in the same term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    /// The machine's address.
    pub node: NodeId,
    /// A random number drawn when the disk was first used, or [`FOUNDING_INCARNATION`] if that was
    /// at the first start of the whole system.
    pub incarnation: u64,
}

/// The incarnation of all disks at the first start of the whole system. It is a fixed number
/// because the founding voters must know each other's incarnations before they can communicate.
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

/// The voters. While a change is in progress, this is a joint set that also holds the voters from
/// before the change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VoterSet {
    /// The voters in ascending order. While a change is in progress, these are the incoming ones.
    voters: Vec<Voter>,
    /// The voters from before the change in progress, in ascending order. Empty if no change is in
    /// progress.
    outgoing: Vec<Voter>,
}

impl VoterSet {
    /// Returns the voters of a system that starts for the first time, with empty disks.
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

    /// Returns the voters in ascending order. While a change is in progress, these are the incoming
    /// ones.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Returns whether a change is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns every voter whose vote may count: first the voters, then those that are only in the
    /// outgoing set.
    pub fn all(&self) -> impl Iterator<Item = Voter> {
        let only_outgoing = self
            .outgoing
            .iter()
            .filter(|voter| !self.voters.contains(voter));
        self.voters.iter().chain(only_outgoing).copied()
    }

    /// Returns whether the vote of `voter` may count.
    pub fn contains(&self, voter: Voter) -> bool {
        self.voters.contains(&voter) || self.outgoing.contains(&voter)
    }

    /// Returns whether the voters for which `holds` is true form a quorum: a majority of the voters
    /// and, while a change is in progress, also a majority of the outgoing ones.
    pub fn is_quorum(&self, holds: impl Fn(Voter) -> bool) -> bool {
        let has_majority = |voters: &[Voter]| {
            voters.iter().filter(|voter| holds(**voter)).count() > voters.len() / 2
        };
        !self.voters.is_empty()
            && has_majority(&self.voters)
            && (self.outgoing.is_empty() || has_majority(&self.outgoing))
    }

    /// Returns the latest time `t` such that every voter of some quorum was last seen at `t` or
    /// later. `last_seen` returns when a voter was last seen. The result is minus infinity if there
    /// are no voters.
    pub fn quorum_seen_at(&self, last_seen: impl Fn(Voter) -> f64) -> f64 {
        let majority_time = |voters: &[Voter]| {
            let mut times: Vec<f64> = voters.iter().map(|voter| last_seen(*voter)).collect();
            times.sort_by(|a, b| b.total_cmp(a));
            times.get(voters.len() / 2).copied()
        };
        let incoming = majority_time(&self.voters).unwrap_or(f64::NEG_INFINITY);
        let outgoing = majority_time(&self.outgoing).unwrap_or(f64::INFINITY);
        incoming.min(outgoing)
    }

    /// Returns the joint set that begins a change to `voters`, or `None` if another change is in
    /// progress, if `voters` is empty, or if nothing would change.
    pub fn joint_with(&self, voters: Vec<Voter>) -> Option<VoterSet> {
        let voters = sorted(voters);
        let is_change = !voters.is_empty() && voters != self.voters;
        (!self.is_joint() && is_change).then(|| VoterSet {
            voters,
            outgoing: self.voters.clone(),
        })
    }

    /// Returns the set that completes the change in progress.
    pub fn finalized(&self) -> VoterSet {
        VoterSet {
            voters: self.voters.clone(),
            outgoing: Vec::new(),
        }
    }

    /// Returns the voters with `added` and without `removed`.
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
