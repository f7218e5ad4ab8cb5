//! The inputs and outputs of a [`Controller`](super::Controller): its settings, the requests of
//! operators and servers with their responses, and the outputs that its driver carries out.

use crate::consensus::Recipient;
use crate::failover::{FailoverConfig, ServerCommand};
use crate::members::Heartbeat;
use crate::message::{PeerMessage, PrimaryGrant, RouterMessage};
use std::rc::Rc;

/// The settings of a control machine; all durations are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ControlConfig {
    /// Duration of a router's lease.
    pub lease_duration: f64,
    /// A follower that receives nothing from a leader for this long starts an election.
    pub election_timeout: f64,
    /// A follower acknowledges servers' heartbeats for this long after its last contact with a
    /// majority.
    pub contact_timeout: f64,
    /// Maximum duration of a request to the platform.
    pub platform_call_timeout: f64,
    /// Minimum time between the platform requests of two leaders: for this long after it began to
    /// lead, a new leader changes nothing. 0 if there is no platform.
    pub platform_handover_delay: f64,
    /// An operator's request that waits longer than this is answered with status 503.
    pub request_timeout: f64,
    /// A server that isn't seen alive for this long counts as departed.
    pub member_timeout: f64,
    /// The settings of each service's failover.
    pub failover: FailoverConfig,
}

/// A request of a server or an operator to the control machines.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// A server sends a heartbeat.
    Heartbeat {
        /// The server's id.
        server_id: String,
        /// The server's report.
        heartbeat: Heartbeat,
    },
    /// A server reports that it departs.
    Depart {
        /// The server's id.
        server_id: String,
    },
    /// An operator replaces the configuration. The driver has validated the new one.
    ReplaceConfig {
        /// Epoch of the configuration to be replaced.
        base_epoch: u64,
        /// Epoch of the new configuration.
        epoch: u64,
        /// Text of the new configuration.
        body: Rc<[u8]>,
    },
    /// An operator reads the newest configuration.
    ReadConfig,
}

/// The response to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ControlResponse {
    /// HTTP status.
    pub status: u16,
    /// The body; for an error, one line of text.
    pub body: Rc<[u8]>,
    /// The response is valid only if it is sent before this time, since it relies on contact with a
    /// majority. Infinite if it stays valid.
    pub valid_until: f64,
}

impl ControlResponse {
    /// Creates a response that stays valid.
    pub(super) fn permanent(status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse::until(f64::INFINITY, status, body)
    }

    /// Creates a response that is valid if it is sent before the time `valid_until`.
    pub(super) fn until(valid_until: f64, status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse {
            status,
            body,
            valid_until,
        }
    }

    /// Creates an error response, with the reason in one line.
    pub fn error(status: u16, reason: &str) -> ControlResponse {
        ControlResponse::permanent(status, format!("{reason}\n").into_bytes().into())
    }
}

/// The status of a service's failover, for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverStatus {
    /// The documented name of the phase (see `Failover::phase`).
    pub phase: &'static str,
    /// The newest grant. Before the first, a revoked grant without a server.
    pub grant: PrimaryGrant,
}

/// What the driver of a [`Controller`](super::Controller) is to do. The driver carries out outputs
/// in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Persist the hard state, and call [`Controller::persisted`](super::Controller::persisted) or
    /// [`Controller::persist_failed`](super::Controller::persist_failed) before anything else.
    Persist,
    /// Persist the members ([`MemberRegistry::to_persist`](crate::MemberRegistry::to_persist)),
    /// and carry out the contained outputs if that succeeds.
    PersistMembers(Vec<Output>),
    /// Send a message to another control machine.
    SendToPeer(Recipient, PeerMessage),
    /// Send a message to the router on the session with this id.
    SendToRouter(u64, RouterMessage),
    /// Send an update to the router on the session with this id, after everything that was sent
    /// there before. All sessions that lack the same changes share one message.
    SendUpdate(u64, Rc<RouterMessage>),
    /// Send a command to a database server. A command that changes the server may be sent only
    /// while [`Controller::may_act_with`](super::Controller::may_act_with) returns true for this
    /// fencing token.
    SendCommand {
        /// The server's id.
        server_id: String,
        /// The server's address and port.
        endpoint: String,
        /// The server's service.
        service: String,
        /// The command.
        command: ServerCommand,
        /// The term of this leader.
        fencing_token: u64,
    },
    /// Request the platform to promote a server, if the request can be sent before the deadline.
    Promote {
        /// The service.
        service: String,
        /// The server's id.
        server_id: String,
        /// The term of this leader; the platform refuses requests with lower tokens.
        fencing_token: u64,
        /// Deadline for sending the request, in seconds of this machine's steady clock.
        deadline: f64,
    },
    /// Respond to the request with this id.
    Respond(u64, ControlResponse),
}
