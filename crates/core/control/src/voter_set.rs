//! Who decides: the set of voters, and how one set takes the place of another.
//!
//! A change goes through a joint set in which majorities of the old and of the new voters are needed, as in Raft's joint
//! consensus. A voter that is gone is replaced by another in one such change, so nothing ever waits for it.

use bincode::{Decode, Encode};

/// A control machine: its IPv4 address.
pub type NodeId = u32;

/// A machine together with one life of its disk. A machine that lost its disk comes back as another voter: it knows
/// nothing of what it promised before, and isn't asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Voter {
    /// The machine's address.
    pub node: NodeId,
    /// Drawn when its disk was first used; [`FOUNDING_INCARNATION`] on disks that were empty when the whole system first started.
    pub incarnation: u64,
}

/// The incarnation of the disks with which the system started: the founders can name each other without having met.
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

/// The voters, and while a change is under way those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VoterSet {
    voters: Vec<Voter>,
    /// The voters before the change that is under way; empty if there is none.
    outgoing: Vec<Voter>,
}

impl VoterSet {
    /// Those who decide when the system starts for the first time.
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

    /// The voters; while a change is under way those to come.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Everybody whose word may count, each once.
    pub fn all(&self) -> impl Iterator<Item = Voter> {
        let leaving = self
            .outgoing
            .iter()
            .filter(|voter| !self.voters.contains(voter));
        self.voters.iter().chain(leaving).copied()
    }

    /// Whether this one's word may count.
    pub fn contains(&self, voter: Voter) -> bool {
        self.voters.contains(&voter) || self.outgoing.contains(&voter)
    }

    /// Whether those for whom this holds are a majority, of the old voters as well while a change is under way.
    pub fn is_quorum(&self, holds: impl Fn(Voter) -> bool) -> bool {
        let most =
            |set: &[Voter]| set.iter().filter(|voter| holds(**voter)).count() > set.len() / 2;
        !self.voters.is_empty()
            && most(&self.voters)
            && (self.outgoing.is_empty() || most(&self.outgoing))
    }

    /// The latest second up to which a quorum was heard, given when each was last heard.
    pub fn quorum_time(&self, heard: impl Fn(Voter) -> f64) -> f64 {
        let of = |set: &[Voter]| {
            let mut times: Vec<f64> = set.iter().map(|voter| heard(*voter)).collect();
            times.sort_by(|a, b| b.total_cmp(a));
            times.get(set.len() / 2).copied()
        };
        let voters = of(&self.voters).unwrap_or(f64::NEG_INFINITY);
        voters.min(of(&self.outgoing).unwrap_or(f64::INFINITY))
    }

    /// The joint set on the way to these voters; none while another change is under way.
    pub fn joint_with(&self, voters: Vec<Voter>) -> Option<VoterSet> {
        let voters = sorted(voters);
        (!self.is_joint() && !voters.is_empty() && voters != self.voters).then(|| VoterSet {
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

    /// The voters with `added` in, in place of `removed`.
    pub fn replacing(&self, added: Option<Voter>, removed: Option<Voter>) -> Vec<Voter> {
        let kept = self
            .voters
            .iter()
            .copied()
            .filter(|voter| Some(*voter) != removed);
        kept.chain(added).collect()
    }
}

fn sorted(mut voters: Vec<Voter>) -> Vec<Voter> {
    voters.sort_unstable();
    voters.dedup();
    voters
}
