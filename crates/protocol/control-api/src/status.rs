//! The status of the system as one control machine sees it: the request of operators, and its
//! response.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use badgerstream_http_codec::Request;
use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, SerJson};

use crate::dispatch::Operation;
use crate::error::ApiError;
use crate::request::ApiRequest;
use crate::response::ResponseBody;

/// The operator reads the status of a control machine; any of them responds for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatusRequest;

impl<'a> ApiRequest<'a> for ReadStatusRequest {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/System.Status";
    type Response = Status;

    fn parse(_: &'a Request) -> Result<ReadStatusRequest, ApiError> {
        Ok(ReadStatusRequest)
    }

    /// No operation of the controller: the process that gets the request responds.
    fn operation(self) -> Operation<'a> {
        Operation::Unknown
    }
}

/// How a control machine sees the system.
///
/// Only the leader knows the primaries and how many routers hold a lease; the others report none.
#[derive(Debug, Clone, PartialEq, Default, SerJson, DeJson)]
#[nserde(default, serialize_none_as_null)]
pub struct Status {
    /// The name of this machine.
    pub node: String,
    /// Whether it is the leader.
    pub leads: bool,
    /// Whether it is out of contact with a majority of the control machines: the rest may be old.
    pub out_of_contact: bool,
    /// For how many seconds it has been; 0 in contact, and below 0 if it never was in contact in
    /// this incarnation of its process.
    pub out_of_contact_s: f64,
    /// Whether its disk has refused what had to be persisted: it takes no part until the disk takes
    /// bytes again.
    pub disk_failed: bool,
    /// Whether it isn't in the voter set.
    pub no_voter: bool,
    /// The IPv4 address of the leader, as far as this machine knows it.
    pub leader: Option<String>,
    /// The IPv4 addresses of the voter set.
    pub voters: Vec<String>,
    /// The epoch of the configuration in force; 0 before the first.
    pub epoch: u64,
    /// How many routers hold a lease.
    pub routers: u64,
    /// How long a lease lasts, in seconds.
    pub lease_s: f64,
    /// The primary of each service.
    pub primaries: Vec<PrimaryStatus>,
    /// The database servers in service, and those that are draining.
    pub members: Vec<MemberStatus>,
}

/// The primary of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerJson, DeJson)]
#[nserde(default)]
pub struct PrimaryStatus {
    /// The service.
    pub service: String,
    /// The phase of its failover: `steady` where none is under way.
    pub phase: String,
    /// The primary's id; empty while none is known.
    pub id: String,
    /// Its primary term.
    pub term: u64,
    /// Whether routers have it granted.
    pub in_use: bool,
}

/// A database server.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerJson, DeJson)]
#[nserde(default)]
pub struct MemberStatus {
    /// Its id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Address and port.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// How many statements it runs at a time.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
}

impl Status {
    /// Parses the body of the response. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`JsonError`], with the place in the text.
    pub fn parse(body: &[u8]) -> Result<Status, JsonError> {
        json::read(body)
    }
}

impl ResponseBody for Status {
    fn body(&self) -> Vec<u8> {
        self.serialize_json().into_bytes()
    }
}
