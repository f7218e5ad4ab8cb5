//! What goes into and comes out of a [`Controller`](super::Controller): its settings, the requests
//! of operators and servers with their responses, and the outputs that its driver carries out.

use crate::consensus::Recipient;
use crate::failover::{FailoverConfig, ServerCommand};
use crate::members::Heartbeat;
use crate::message::{PeerMessage, PrimaryGrant, RouterMessage};
use std::rc::Rc;

/// The settings of a control machine; all spans in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ControlConfig {
    /// The length of a router's lease.
    pub lease_duration: f64,
    /// A follower that hears no leader for this long seeks election.
    pub election_timeout: f64,
    /// For how long after its last contact with a majority a follower acknowledges heartbeats.
    pub contact_timeout: f64,
    /// The longest time that a request to the platform may take.
    pub platform_call_timeout: f64,
    /// The shortest time between the requests of two leaders to the platform; 0 if there is no
    /// platform.
    pub duty_handover_delay: f64,
    /// How long an operator's request may wait before it is answered with status 503.
    pub request_timeout: f64,
    /// A server that sends no heartbeat for this long counts as departed.
    pub member_timeout: f64,
    /// The settings of each service's failover.
    pub failover: FailoverConfig,
}

/// A request from outside the control machines.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// A server's heartbeat.
    Heartbeat {
        /// The server's id.
        server_id: String,
        /// What it reports.
        heartbeat: Heartbeat,
    },
    /// A server leaves.
    Depart {
        /// The server's id.
        server_id: String,
    },
    /// An operator replaces the configuration. The driver has validated it.
    ReplaceConfig {
        /// The epoch of the configuration that it replaces.
        base_epoch: u64,
        /// Its own epoch.
        epoch: u64,
        /// Its text.
        body: Rc<[u8]>,
    },
    /// An operator reads the newest configuration.
    ReadConfig,
}

/// The response to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ControlResponse {
    /// The status, as in HTTP.
    pub status: u16,
    /// The body; for an error one line of text.
    pub body: Rc<[u8]>,
    /// The response holds only if it is sent before this second, since it relies on contact with
    /// a majority; infinite if it holds for good.
    pub valid_until: f64,
}

impl ControlResponse {
    /// A response that holds for good.
    pub(super) fn permanent(status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse::until(f64::INFINITY, status, body)
    }

    /// A response that holds if it is sent before this second.
    pub(super) fn until(valid_until: f64, status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse {
            status,
            body,
            valid_until,
        }
    }

    /// An error, with its reason in one line.
    pub fn error(status: u16, reason: &str) -> ControlResponse {
        ControlResponse::permanent(status, format!("{reason}\n").into_bytes().into())
    }
}

/// Where the failover of a service stands, for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverStatus {
    /// The phase of the failover, in the words of the users' pages (`Failover::phase`).
    pub phase: &'static str,
    /// The newest grant; without a server, and revoking, before the first.
    pub grant: PrimaryGrant,
}

/// What the driver of a [`Controller`](super::Controller) is to do. Outputs are carried out in the
/// order in which they come.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Persist the hard state, and call [`Controller::persisted`](super::Controller::persisted) or
    /// [`Controller::persist_failed`](super::Controller::persist_failed) before anything else.
    Persist,
    /// Persist the members ([`MemberRegistry::to_persist`](crate::MemberRegistry::to_persist)),
    /// and carry out these outputs if that succeeds.
    PersistMembers(Vec<Output>),
    /// Send a message to another control machine.
    SendToPeer(Recipient, PeerMessage),
    /// Send a response to the router on this session.
    SendToRouter(u64, RouterMessage),
    /// Send an update to the router on this session, behind everything sent there before. All
    /// sessions that lack the same changes share one message.
    SendUpdate(u64, Rc<RouterMessage>),
    /// Send a command to a database server. One that changes the server may be sent only while
    /// [`Controller::may_act_with`](super::Controller::may_act_with) this fencing token.
    SendCommand {
        /// The server's id.
        server_id: String,
        /// Its address and port.
        endpoint: String,
        /// Its service.
        service: String,
        /// The command.
        command: ServerCommand,
        /// The term of this leader.
        fencing_token: u64,
    },
    /// Request the platform to promote a server, if that can be sent before the deadline.
    Promote {
        /// The service.
        service: String,
        /// The server's id.
        server_id: String,
        /// The term of this leader; the platform refuses requests of leaders before it.
        fencing_token: u64,
        /// In seconds of this machine's clock.
        deadline: f64,
    },
    /// Respond to the request with this number.
    Respond(u64, ControlResponse),
}
