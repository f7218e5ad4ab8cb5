//! The status of the system as one control machine sees it: the operators' request and its
//! response.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use badgerstream_http_codec::Request;
use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, SerJson};

use crate::dispatch::Operation;
use crate::error::ApiError;
use crate::request::ApiRequest;
use crate::response::ResponseBody;

/// The operator reads the status of a control machine. Every machine reports its own view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatusRequest;

impl<'a> ApiRequest<'a> for ReadStatusRequest {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/System.Status";
    type Response = Status;

    fn parse(_: &'a Request) -> Result<ReadStatusRequest, ApiError> {
        Ok(ReadStatusRequest)
    }

    /// Returns [`Operation::Unknown`]: the process that receives the request responds to it
    /// without the controller.
    fn operation(self) -> Operation<'a> {
        Operation::Unknown
    }
}

/// The system as one control machine sees it.
///
/// Only the leader knows the primaries and how many routers hold a lease; the other machines report
/// none.
#[derive(Debug, Clone, PartialEq, Default, SerJson, DeJson)]
#[nserde(default, serialize_none_as_null)]
pub struct Status {
    /// The name of this machine.
    pub node: String,
    /// Whether this machine is the leader.
    pub leads: bool,
    /// Whether this machine is out of contact with a majority of the control machines; the other
    /// fields may then be out of date.
    pub out_of_contact: bool,
    /// How long this machine has been out of contact, in seconds. 0 while it is in contact;
    /// negative if it has never been in contact since its process started.
    pub out_of_contact_s: f64,
    /// Whether a write to this machine's disk has failed. The machine does not participate in the
    /// control cluster until the disk accepts writes again.
    pub disk_failed: bool,
    /// Whether this machine is not in the voter set.
    pub no_voter: bool,
    /// The IPv4 address of the leader; `None` if this machine doesn't know it.
    pub leader: Option<String>,
    /// The IPv4 addresses of the machines in the voter set.
    pub voters: Vec<String>,
    /// The epoch of the configuration in force; 0 before the first configuration.
    pub epoch: u64,
    /// How many routers hold a lease.
    pub routers: u64,
    /// The duration of a router lease, in seconds.
    pub lease_s: f64,
    /// The primary of each service.
    pub primaries: Vec<PrimaryStatus>,
    /// The database servers that are in service or draining.
    pub members: Vec<MemberStatus>,
}

/// The primary of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerJson, DeJson)]
#[nserde(default)]
pub struct PrimaryStatus {
    /// The name of the service.
    pub service: String,
    /// The phase of the service's failover; `steady` if none is in progress.
    pub phase: String,
    /// The server id of the primary; empty if no primary is known.
    pub id: String,
    /// The term of the primary.
    pub term: u64,
    /// Whether the primary is granted to routers.
    pub in_use: bool,
}

/// A database server.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerJson, DeJson)]
#[nserde(default)]
pub struct MemberStatus {
    /// The id of the server.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The server's address and port.
    pub endpoint: String,
    /// The server's zone.
    pub zone: String,
    /// How many statements the server runs concurrently.
    pub slots: u32,
    /// Whether the server is draining.
    pub draining: bool,
}

impl Status {
    /// Parses the body of the response. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`JsonError`], with the position in the body.
    pub fn parse(body: &[u8]) -> Result<Status, JsonError> {
        json::parse(body)
    }
}

impl ResponseBody for Status {
    fn body(&self) -> Vec<u8> {
        self.serialize_json().into_bytes()
    }
}
