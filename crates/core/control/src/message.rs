//! What the system's processes tell each other.

use crate::consensus::ConsensusMessage;
use crate::state::ConfigPayload;
use crate::term::Term;
use crate::text_delta::TextDelta;
use crate::voter_set::NodeId;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// Names a call that one control machine passes on to another: no two lives of a process make the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestId {
    /// The life of the process that passes it on.
    pub process_incarnation: u64,
    /// Counts its calls.
    pub sequence: u64,
}

/// A call that only the leader can settle.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum LeaderRequest {
    /// A configuration of this epoch, building on that version.
    ReplaceConfig {
        /// The version on which it builds.
        base_epoch: u64,
        /// Its epoch.
        epoch: u64,
        /// Its text, against the configuration that the sender holds.
        config: ConfigPayload,
    },
    /// The newest configuration.
    ReadConfig,
}

/// Between control machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// To agree.
    Consensus(ConsensusMessage),
    /// What is known of database servers; the sender may wait to hear that it is kept.
    MembersUpdate {
        /// To be answered with [`PeerMessage::MembersUpdateAck`]; none if nobody waits.
        update_id: Option<u64>,
        /// The servers.
        members: Vec<MemberInfo>,
    },
    /// The servers of that round are known here now.
    MembersUpdateAck {
        /// The round.
        update_id: u64,
    },
    /// A new leader asks for all that is known of database servers.
    MembersSnapshotRequest {
        /// Its ballot.
        term: Term,
    },
    /// All that is known here.
    MembersSnapshot {
        /// The ballot of the leader that asked.
        term: Term,
        /// The servers.
        members: Vec<MemberInfo>,
    },
    /// A call that this machine can't settle.
    ForwardedRequest {
        /// Its number.
        id: RequestId,
        /// The call.
        request: LeaderRequest,
    },
    /// The text of a call can't be read here: it is to be sent whole.
    FullConfigRequest {
        /// The number of the call.
        id: RequestId,
    },
    /// The answer to a call.
    ForwardedResponse {
        /// The number of the call.
        id: RequestId,
        /// As in HTTP.
        status: u16,
        /// The body.
        body: Rc<[u8]>,
    },
}

/// A database server as the control machines tell it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberInfo {
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
    pub departed: bool,
    /// The number of the call that told it: higher ones are newer.
    pub call_seq: u64,
}

/// Which server may be used as primary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryGrant {
    /// The service.
    pub service: String,
    /// The server's id; empty while none is known.
    pub server_id: String,
    /// The term that it leads.
    pub primary_term: u64,
    /// Not to be used: a change is under way.
    pub revoking: bool,
}

/// What a router saw of a primary.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct HealthReport {
    /// The service.
    pub service: String,
    /// The server's id.
    pub server_id: String,
    /// Seconds since its last answer.
    pub answered_seconds_ago: f64,
}

/// From a router to control: asks for the lease again, and tells up to where it knows the news.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The router's name.
    pub router: String,
    /// Drawn at its start: a new one means that all the old one held is gone.
    pub process_incarnation: u64,
    /// When this was sent, in seconds of the router's clock.
    pub sent_at: f64,
    /// The leader whose news it knows, and up to which number.
    pub update_watermark: (Term, u64),
    /// The configuration it goes by.
    pub config_epoch: u64,
    /// What it saw of the servers of services that control asked about.
    pub health_reports: Vec<HealthReport>,
}

/// A newer configuration, for a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigUpdate {
    /// All of it.
    Full(Rc<[u8]>),
    /// What has changed since the one that the router goes by, one change after the other.
    Deltas(Vec<Rc<TextDelta>>),
}

impl ConfigUpdate {
    /// The text, for a router that goes by `held`; none if the changes were not made for that.
    pub fn resolve(&self, held: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigUpdate::Full(text) => Some(text.clone()),
            ConfigUpdate::Deltas(changes) => {
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
pub enum RouterMessage {
    /// Another machine leads.
    NotLeader {
        leader: Option<NodeId>,
        voters: Vec<NodeId>,
    },
    /// News, or the answer to a renewal: an answer carries the lease and no news.
    Update {
        /// Who tells it, and up to which number the router knows the news once it has taken this; it may know more already.
        update_watermark: (Term, u64),
        /// The call that this answers, as it was sent; none for news.
        request_sent_at: Option<f64>,
        /// The lease on all grants that the router was told of runs for so many seconds from when the call was sent; 0 for
        /// none.
        lease_duration: f64,
        /// All before is to be forgotten: these are all there are.
        is_snapshot: bool,
        /// Grants that changed.
        grants: Vec<PrimaryGrant>,
        /// Servers that changed.
        members: Vec<MemberInfo>,
        /// A newer configuration.
        config: Option<ConfigUpdate>,
        /// The machines that decide.
        voters: Vec<NodeId>,
        /// How many routers share the servers; 0 while the leader doesn't know yet.
        router_count: u32,
        /// Services of whose primary the leader had no answer for a while: the router tells what it saw of these.
        health_reports_wanted: Vec<String>,
    },
}
