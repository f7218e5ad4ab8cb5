//! The messages among control machines, and between control machines and routers.
//!
//! They are encoded with bincode: the order of variants and fields is part of the format and must
//! not change. The messages of the consensus protocol are in [`crate::ConsensusMessage`].

use crate::consensus::ConsensusMessage;
use crate::failover::Position;
use crate::state::ConfigPayload;
use crate::term::Term;
use crate::text_delta::TextDelta;
use crate::voter_set::NodeId;
use bincode::{Decode, Encode};
use std::rc::Rc;

/// Identifies a request that one control machine forwards to another. Ids are unique across the
/// incarnations of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestId {
    /// Incarnation of the process that forwards the request.
    pub process_incarnation: u64,
    /// Sequence number of the request in that incarnation.
    pub sequence: u64,
}

/// A request of the HTTP API that only the leader can answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum LeaderRequest {
    /// Replaces the configuration (`PUT`).
    ReplaceConfig {
        /// Epoch of the configuration to be replaced.
        base_epoch: u64,
        /// Epoch of the new configuration.
        epoch: u64,
        /// Text of the new configuration, complete or as a delta to the configuration that the
        /// sender has.
        config: ConfigPayload,
    },
    /// Reads the current configuration (`GET`).
    ReadConfig,
}

/// A message between control machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    Consensus(ConsensusMessage),
    /// What the sender has learned about database servers.
    MembersUpdate {
        /// Id with which the update is acknowledged in [`PeerMessage::MembersUpdateAck`]; `None` if
        /// no acknowledgement is needed.
        update_id: Option<u64>,
        /// The database servers.
        members: Vec<MemberInfo>,
    },
    /// Acknowledges that the sender knows the servers of a [`PeerMessage::MembersUpdate`].
    MembersUpdateAck {
        /// Id of the update.
        update_id: u64,
    },
    /// A new leader requests all members that the recipient knows.
    MembersSnapshotRequest {
        /// The term of the leader.
        term: Term,
    },
    /// Answer to [`PeerMessage::MembersSnapshotRequest`]: all members that the sender knows.
    MembersSnapshot {
        /// The term of the leader that requested it.
        term: Term,
        /// The database servers.
        members: Vec<MemberInfo>,
    },
    /// A request that the sender received from a client, for the leader to answer.
    ForwardedRequest {
        /// The id of the request.
        id: RequestId,
        /// The request.
        request: LeaderRequest,
    },
    /// The delta in a forwarded request is based on a configuration that the sender doesn't have.
    /// The recipient is to forward the request again with the complete text.
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
    /// The server's id; never reused for another server.
    pub id: String,
    /// The server's service.
    pub service: String,
    /// Address and port to which routers connect. Empty for a departed server whose log is
    /// superseded, that is, whose writes enough other servers have.
    pub endpoint: String,
    /// The server's zone (failure domain).
    pub zone: String,
    /// Number of statements that the server runs at once.
    pub slots: u32,
    /// Whether the server is shutting down gracefully; it is to get no new statements.
    pub draining: bool,
    /// Whether the server has left or timed out.
    pub departed: bool,
    /// Number of the server's call that reported this; a higher number is newer.
    pub call_seq: u64,
}

impl MemberInfo {
    /// Returns the description of this departed server as one whose log is superseded: so many
    /// other servers have everything that it may have had that nobody waits for it any more.
    ///
    /// It has no endpoint and the same call number. Control machines of earlier releases ignore it
    /// for a server that they know, since the call number isn't higher; at a message variant that
    /// they don't know, they would close the connection.
    pub(crate) fn superseded(&self) -> MemberInfo {
        MemberInfo {
            endpoint: String::new(),
            departed: true,
            ..self.clone()
        }
    }

    /// Returns whether the log of the server is superseded.
    pub(crate) fn is_superseded(&self) -> bool {
        self.departed && self.endpoint.is_empty()
    }

    /// Returns this description with the endpoint of the `known` one, if it has none itself.
    pub(crate) fn with_known_endpoint(self, known: &MemberInfo) -> MemberInfo {
        if self.endpoint.is_empty() {
            MemberInfo {
                endpoint: known.endpoint.clone(),
                ..self
            }
        } else {
            self
        }
    }
}

/// The server that routers may use as the primary of a service while they hold a lease.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PrimaryGrant {
    /// The name of the service.
    pub service: String,
    /// The server's id; empty while no primary is known.
    pub server_id: String,
    /// The primary term in which the server is the primary.
    pub primary_term: u64,
    /// Whether the grant is revoked: the primary must no longer be used.
    pub revoking: bool,
}

/// A router's report on a server. The leader requests such reports for services with a server that
/// doesn't answer the leader itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct HealthReport {
    /// The name of the service.
    pub service: String,
    /// The server's id.
    pub server_id: String,
    /// Seconds since the router last received an answer from the server.
    pub answered_seconds_ago: f64,
}

/// A router's message to a control machine: requests a new lease, and acknowledges updates.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The router's name.
    pub router: String,
    /// Random number drawn when the router starts. A router with a new number has lost its lease
    /// and all updates.
    pub process_incarnation: u64,
    /// Time at which the request was sent, in seconds of the router's clock.
    pub sent_at: f64,
    /// The newest update that the router has: the term of the leader that sent it, and the update's
    /// number.
    pub update_watermark: (Term, u64),
    /// Epoch of the configuration that the router uses.
    pub config_epoch: u64,
    /// Reports on servers of the services that [`RouterMessage::Update`] requested.
    pub health_reports: Vec<HealthReport>,
}

/// A name that stands among the services in `health_reports_wanted` of a [`RouterMessage::Update`]
/// while the grant of any service is revoked. A router that knows it answers with
/// [`ReportingLeaseRequest`]s on this connection. Routers of earlier releases know no service of
/// this name and pass it over; a leader of an earlier release would close the connection at such a
/// request, so a router sends none unless asked.
pub const ACKNOWLEDGED_POSITIONS: &str = ":acknowledged-positions";

/// Up to which position of a service's log a router has passed successes of commits on to clients.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcknowledgedPosition {
    /// The name of the service.
    pub service: String,
    /// The highest position in an answer of a primary to a write or commit whose success the router
    /// has passed on, or may still pass on; (0, 0) for none.
    pub position: Position,
    /// A commit whose success the router has passed on certainly lies beyond this position; (0, 0)
    /// if none is known.
    pub surpassed: Position,
}

/// A lease request that also says what the router has passed on.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ReportingLeaseRequest {
    /// The lease request.
    pub request: LeaseRequest,
    /// A position for each service whose grant is revoked in the update that the request
    /// acknowledges. The router passes on no success of these services any more. A service whose
    /// position the router can't tell is missing.
    pub acknowledged_positions: Vec<AcknowledgedPosition>,
}

/// A newer configuration for a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigUpdate {
    /// The complete text.
    Full(Rc<[u8]>),
    /// The deltas from the configuration that the router uses, to be applied in order.
    Deltas(Vec<Rc<TextDelta>>),
}

impl ConfigUpdate {
    /// Returns the complete text for a router that uses `current`; `None` if the deltas are based
    /// on another configuration.
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

/// A control machine's message to a router.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RouterMessage {
    /// The sender doesn't lead, so it can't grant a lease.
    NotLeader {
        /// The leader, if the sender knows it.
        leader: Option<NodeId>,
        /// The voters that the sender knows.
        voters: Vec<NodeId>,
    },
    /// Changes that the router lacks, or the answer to a [`LeaseRequest`]. An answer carries the
    /// lease and no changes.
    Update {
        /// The term of the leader, and the number of the newest update that the router has after it
        /// has applied this one. The router may already have a newer update.
        update_watermark: (Term, u64),
        /// The `sent_at` of the request that this answers, in seconds of the router's clock; `None`
        /// if this isn't an answer.
        request_sent_at: Option<f64>,
        /// Seconds, counted from `request_sent_at`, for which the router has a lease on all grants
        /// that it knows; 0 for no lease.
        lease_duration: f64,
        /// Whether this replaces everything that the router knows, instead of being added to it.
        is_snapshot: bool,
        /// Grants that changed.
        grants: Vec<PrimaryGrant>,
        /// Servers that changed.
        members: Vec<MemberInfo>,
        /// A newer configuration.
        config: Option<ConfigUpdate>,
        /// The voters.
        voters: Vec<NodeId>,
        /// Number of routers that share the servers; 0 while the leader doesn't know it yet.
        router_count: u32,
        /// Services with a server that hasn't answered the leader for a while. The router is to
        /// report on their servers.
        health_reports_wanted: Vec<String>,
    },
}
