//! The messages between the processes of the system: among control machines, and between them and
//! routers.
//!
//! They are encoded with bincode: the order of variants and fields is part of the format and must
//! not change. The messages of the consensus protocol are in [`crate::ConsensusMessage`].

use crate::consensus::ConsensusMessage;
use crate::state::ConfigPayload;
use crate::term::Term;
use crate::text_delta::TextDelta;
use crate::voter_set::NodeId;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// Names a request that one control machine forwards to another; unique also among the incarnations
/// of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestId {
    /// The incarnation of the process that forwards it.
    pub process_incarnation: u64,
    /// The number of the request in that incarnation.
    pub sequence: u64,
}

/// A request of the HTTP API that only the leader can answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum LeaderRequest {
    /// `PUT` of a configuration.
    ReplaceConfig {
        /// The epoch of the configuration that it builds on.
        base_epoch: u64,
        /// The epoch of the new configuration.
        epoch: u64,
        /// The text, complete or as a delta to the configuration that the sender has.
        config: ConfigPayload,
    },
    /// `GET` of the present configuration.
    ReadConfig,
}

/// A message between control machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    Consensus(ConsensusMessage),
    /// What the sender learnt of database servers.
    MembersUpdate {
        /// To be acknowledged with [`PeerMessage::MembersUpdateAck`]; none if no acknowledgement is
        /// needed.
        update_id: Option<u64>,
        /// The database servers.
        members: Vec<MemberInfo>,
    },
    /// The sender knows the servers of a [`PeerMessage::MembersUpdate`].
    MembersUpdateAck {
        /// The number of the update.
        update_id: u64,
    },
    /// A new leader requests all that the receiver knows of database servers.
    MembersSnapshotRequest {
        /// The term of the leader.
        term: Term,
    },
    /// Answer to [`PeerMessage::MembersSnapshotRequest`]: all that the sender knows.
    MembersSnapshot {
        /// The term of the leader that requested it.
        term: Term,
        /// The database servers.
        members: Vec<MemberInfo>,
    },
    /// A request of a client of the sender, for the leader to answer.
    ForwardedRequest {
        /// The id of the request.
        id: RequestId,
        /// The request.
        request: LeaderRequest,
    },
    /// The delta in a forwarded request applies to a configuration that the sender doesn't have:
    /// the request is to be forwarded again with the complete text.
    FullConfigRequest {
        /// The id of the request.
        id: RequestId,
    },
    /// Answer to a [`PeerMessage::ForwardedRequest`].
    ForwardedResponse {
        /// The id of the request.
        id: RequestId,
        /// The HTTP status.
        status: u16,
        /// The HTTP body.
        body: Rc<[u8]>,
    },
}

/// A database server, as control machines describe it to each other and to routers.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberInfo {
    /// The server's id; never used again for another server.
    pub id: String,
    /// The service to which it belongs.
    pub service: String,
    /// Address and port, for connections of routers.
    pub endpoint: String,
    /// Its zone (failure domain).
    pub zone: String,
    /// The number of statements that it runs at once.
    pub slots: u32,
    /// It shuts down gracefully, and is to get no new statements.
    pub draining: bool,
    /// It has left, or its heartbeats timed out.
    pub departed: bool,
    /// The number of the heartbeat call that brought this; a higher one is newer.
    pub call_seq: u64,
}

/// Which server routers may use as the primary of a service, while they have a lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryGrant {
    /// The name of the service.
    pub service: String,
    /// The server's id; empty while none is known.
    pub server_id: String,
    /// The primary term that it leads.
    pub primary_term: u64,
    /// The grant is being taken back: the primary must no longer be used.
    pub revoking: bool,
}

/// What a router saw of a primary. The leader asks for it when it has no answers of the primary
/// itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct HealthReport {
    /// The name of the service.
    pub service: String,
    /// The server's id.
    pub server_id: String,
    /// Seconds since the router last had an answer of the server.
    pub answered_seconds_ago: f64,
}

/// Router to control machine: requests a new lease, and acknowledges updates.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The router's name.
    pub router: String,
    /// A random number drawn at the router's start: a router with a new one has lost its lease and
    /// all updates.
    pub process_incarnation: u64,
    /// When this was sent, in seconds of the router's clock.
    pub sent_at: f64,
    /// The newest update that it has: the term of the leader that sent it, and its number.
    pub update_watermark: (Term, u64),
    /// The epoch of the configuration that it uses.
    pub config_epoch: u64,
    /// What it saw of the primaries of the services that [`RouterMessage::Update`] asked about.
    pub health_reports: Vec<HealthReport>,
}

/// A newer configuration for a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigUpdate {
    /// The complete text.
    Full(Rc<[u8]>),
    /// The deltas from the one that the router uses, to be applied in order.
    Deltas(Vec<Rc<TextDelta>>),
}

impl ConfigUpdate {
    /// The complete text, for a router that uses `current`; none if the deltas are from another
    /// configuration.
    pub fn resolve(&self, current: &[u8]) -> Option<Rc<[u8]>> {
        match self {
            ConfigUpdate::Full(text) => Some(text.clone()),
            ConfigUpdate::Deltas(deltas) => deltas
                .iter()
                .try_fold(current.to_vec(), |text, delta| delta.apply(&text))
                .map(Rc::from),
        }
    }
}

/// Control machine to router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RouterMessage {
    /// The sender doesn't lead, so it can give no lease.
    NotLeader {
        /// The leader, if the sender knows it.
        leader: Option<NodeId>,
        /// The voters as far as the sender knows them.
        voters: Vec<NodeId>,
    },
    /// Changes that the router needs, or the answer to a [`LeaseRequest`]; an answer carries the
    /// lease and no changes.
    Update {
        /// The term of the leader, and the number of the newest update that the router has once it
        /// has applied this one. It may have a newer one already.
        update_watermark: (Term, u64),
        /// `sent_at` of the request that this answers, in seconds of the router's clock; none if it
        /// answers none.
        request_sent_at: Option<f64>,
        /// Seconds from `request_sent_at` for which the router has a lease on all grants it knows
        /// of; 0 for no lease.
        lease_duration: f64,
        /// Whether this replaces all that the router knows, and isn't added to it.
        is_snapshot: bool,
        /// Grants that changed.
        grants: Vec<PrimaryGrant>,
        /// Servers that changed.
        members: Vec<MemberInfo>,
        /// A newer configuration.
        config: Option<ConfigUpdate>,
        /// The voters.
        voters: Vec<NodeId>,
        /// The number of routers that share the servers; 0 while the leader doesn't know it yet.
        router_count: u32,
        /// Services of whose primaries the leader had no answers for a while: the router is to
        /// report what it saw of them.
        health_reports_wanted: Vec<String>,
    },
}
