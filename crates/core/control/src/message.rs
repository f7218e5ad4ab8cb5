//! What the system's processes tell each other.

use crate::ballot::Ballot;
use crate::consensus::ConsensusMessage;
use crate::difference::Difference;
use crate::membership::Node;
use crate::state::Text;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// Names a call that one control machine passes on to another: no two lives of a process make the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CallId {
    /// The life of the process that passes it on.
    pub life: u64,
    /// Counts its calls.
    pub number: u64,
}

/// A call that only the leader can settle.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum LeaderCall {
    /// A configuration of this epoch, building on that version.
    Replace {
        /// The version on which it builds.
        base: u64,
        /// Its epoch.
        epoch: u64,
        /// Its text, against the configuration that the sender holds.
        text: Text,
    },
    /// The newest configuration.
    Read,
}

/// Between control machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// To agree.
    Consensus(ConsensusMessage),
    /// What is known of database servers; the sender may wait to hear that it is kept.
    Members {
        /// To be answered with [`PeerMessage::MembersKept`]; none if nobody waits.
        round: Option<u64>,
        /// The servers.
        news: Vec<MemberNews>,
    },
    /// The servers of that round are known here now.
    MembersKept {
        /// The round.
        round: u64,
    },
    /// A new leader asks for all that is known of database servers.
    RosterWanted {
        /// Its ballot.
        ballot: Ballot,
    },
    /// All that is known here.
    Roster {
        /// The ballot of the leader that asked.
        ballot: Ballot,
        /// The servers.
        news: Vec<MemberNews>,
    },
    /// A call that this machine can't settle.
    Call {
        /// Its number.
        id: CallId,
        /// The call.
        call: LeaderCall,
    },
    /// The text of a call can't be read here: it is to be sent whole.
    SendWhole {
        /// The number of the call.
        id: CallId,
    },
    /// The answer to a call.
    Answer {
        /// The number of the call.
        id: CallId,
        /// As in HTTP.
        status: u16,
        /// The body.
        body: Rc<[u8]>,
    },
}

/// A database server as the control machines tell it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberNews {
    /// Its id, unique for good.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address and port.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// How much it works on at once.
    pub slots: u32,
    /// It leaves.
    pub draining: bool,
    /// It has left, or fell silent.
    pub gone: bool,
    /// The number of the call that told it: higher ones are newer.
    pub call_seq: u64,
}

/// Which server may be used as primary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GrantNews {
    /// The service.
    pub service: String,
    /// The server's id; empty while none is known.
    pub id: String,
    /// The term that it leads.
    pub term: u64,
    /// Not to be used: a change is under way.
    pub closing: bool,
}

/// What a router saw of a primary.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Evidence {
    /// The service.
    pub service: String,
    /// The server's id.
    pub id: String,
    /// Seconds since its last answer.
    pub answered: f64,
}

/// From a router to control: asks for the lease again, and tells up to where it knows the news.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ToControl {
    /// The router's name.
    pub router: String,
    /// Drawn at its start: a new one means that all the old one held is gone.
    pub life: u64,
    /// When this was sent, in seconds of the router's clock.
    pub sent: f64,
    /// The leader whose news it knows, and up to which number.
    pub known: (Ballot, u64),
    /// The configuration it goes by.
    pub epoch: u64,
    /// What it saw of the servers of services that control asked about.
    pub evidence: Vec<Evidence>,
}

/// A newer configuration, for a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigNews {
    /// All of it.
    Whole(Rc<[u8]>),
    /// What has changed since the one that the router goes by, one change after the other.
    Changes(Vec<Rc<Difference>>),
}

impl ConfigNews {
    /// The text, for a router that goes by `held`; none if the changes were not made for that.
    pub fn resolve(&self, held: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigNews::Whole(text) => Some(text.clone()),
            ConfigNews::Changes(changes) => {
                let mut text = held.to_vec();
                for change in changes {
                    text = change.apply(&text)?;
                }
                Some(text.into())
            }
        }
    }
}

/// From control to a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToRouter {
    /// Another machine leads.
    Elsewhere {
        leader: Option<Node>,
        voters: Vec<Node>,
    },
    /// News, or the answer to a renewal: an answer carries the lease and no news.
    News {
        /// Who tells it, and up to which number the router knows the news once it has taken this; it may know more already.
        known: (Ballot, u64),
        /// The call that this answers, as it was sent; none for news.
        sent: Option<f64>,
        /// The lease on all grants that the router was told of runs for so many seconds from when the call was sent; 0 for
        /// none.
        lease: f64,
        /// All before is to be forgotten: these are all there are.
        whole: bool,
        /// Grants that changed.
        grants: Vec<GrantNews>,
        /// Servers that changed.
        members: Vec<MemberNews>,
        /// A newer configuration.
        config: Option<ConfigNews>,
        /// The machines that decide.
        voters: Vec<Node>,
        /// How many routers share the servers; 0 while the leader doesn't know yet.
        routers: u32,
        /// Services of whose primary the leader had no answer for a while: the router tells what it saw of these.
        evidence_wanted: Vec<String>,
    },
}
