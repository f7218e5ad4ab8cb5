//! What the system's processes tell each other.

use crate::consensus::Ballot;
use crate::state::State;
use bincode::{Decode, Encode};

/// A control machine: its IPv4 address.
pub type Node = u32;

/// Between control machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Asks for the promise to take part in nothing below this ballot.
    Prepare { ballot: Ballot },
    /// The promise, with what was accepted last and under which ballot.
    Promise { ballot: Ballot, accepted: Ballot, state: State },
    /// No: a higher ballot was promised, or another one leads.
    Refuse { promised: Ballot, ballot: Ballot },
    /// Asks to accept this state; `new` tells that the machine was not among those that decide before it.
    Accept { ballot: Ballot, state: State, new: bool },
    /// It is accepted and on disk.
    Accepted { ballot: Ballot, seq: u64 },
    /// The leader is there; sent at this second of its own clock.
    Lead { ballot: Ballot, sent: f64 },
    /// It was heard.
    Led { ballot: Ballot, sent: f64 },
    /// A machine that lost its disk asks what it may have promised.
    Recall,
    /// The highest promise of this machine, and who decides.
    Recalled { promised: Ballot, voters: Vec<Node> },
    /// The leader under this ballot ends, and acts no longer.
    Resign { ballot: Ballot },
    /// Asks to be one of those that decide.
    Join,
    /// What is known of database servers.
    Members(Vec<MemberNews>),
    /// A call that this machine can't settle: a configuration, or without a body the newest one is asked for.
    Call { id: u64, base: u64, epoch: u64, body: Option<Vec<u8>> },
    /// Its answer.
    Answer { id: u64, status: u16, body: Vec<u8> },
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
    /// What it saw of the primaries that control asked about.
    pub evidence: Vec<Evidence>,
}

/// From control to a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToRouter {
    /// Another machine leads.
    Elsewhere { leader: Option<Node>, voters: Vec<Node> },
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
        config: Option<Vec<u8>>,
        /// The machines that decide.
        voters: Vec<Node>,
        /// How many routers share the servers; 0 while the leader doesn't know yet.
        routers: u32,
        /// Services of whose primary the leader had no answer for a while: the router tells what it saw of these.
        evidence_wanted: Vec<String>,
    },
}
