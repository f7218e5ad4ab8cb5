//! How a control machine sees the system: the call that operators read it with, and its answer.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use crate::call::{Answer, Call, CallError, Operation};
use badgerstream_http_codec::Request;
use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, SerJson};

/// The operator asks how a control machine sees the system; any of them answers for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadStatus;

impl ReadStatus {
    /// Whether the request is this call.
    pub fn asked(request: &Request) -> bool {
        let path = request.path.split('?').next().unwrap_or_default();
        path == ReadStatus::PATH && request.method == ReadStatus::METHOD
    }
}

impl<'a> Call<'a> for ReadStatus {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/System.Status";
    type Answer = Status;

    fn read(_: &'a Request) -> Result<ReadStatus, CallError> {
        Ok(ReadStatus)
    }

    /// The decisions have no part in it: it is answered where it arrives.
    fn operation(self) -> Operation<'a> {
        Operation::Other
    }
}

/// How a control machine sees the system.
///
/// Only the machine that leads knows the primaries and how many routers hold a lease; the others tell none.
#[derive(Debug, Clone, PartialEq, Default, SerJson, DeJson)]
#[nserde(default, serialize_none_as_null)]
pub struct Status {
    /// The name of the machine that answers.
    pub node: String,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it is out of contact with a majority of the control machines: what it shows may be old.
    pub out_of_contact: bool,
    /// For how many seconds it has been; 0 in contact, and below 0 if it never was in this life of its process.
    pub out_of_contact_s: f64,
    /// Whether its disk has refused what had to be saved, and it takes no part until the disk takes bytes again.
    pub disk_failed: bool,
    /// Whether it isn't one of those that decide.
    pub no_voter: bool,
    /// The IPv4 address of the machine that leads, as far as is known there.
    pub leader: Option<String>,
    /// The IPv4 addresses of the machines whose word counts.
    pub voters: Vec<String>,
    /// The version of the configuration in force; 0 before the first.
    pub epoch: u64,
    /// How many routers hold a lease.
    pub routers: u64,
    /// How long a lease lasts, in seconds.
    pub lease_s: f64,
    /// The primary of each service.
    pub primaries: Vec<PrimaryStatus>,
    /// The database servers that are there.
    pub members: Vec<MemberStatus>,
}

/// The primary of one service.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerJson, DeJson)]
#[nserde(default)]
pub struct PrimaryStatus {
    /// The service.
    pub service: String,
    /// How far a change of the primary is: `steady` where there is none under way.
    pub phase: String,
    /// The primary's id; empty while none is known.
    pub id: String,
    /// Its term.
    pub term: u64,
    /// Whether routers may use it.
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
    /// Whether it is about to end.
    pub draining: bool,
}

impl Status {
    /// Reads the answer's body. Fields that aren't known are passed over.
    pub fn read(body: &[u8]) -> Result<Status, JsonError> {
        json::read(body)
    }
}

impl Answer for Status {
    fn body(&self) -> Vec<u8> {
        self.serialize_json().into_bytes()
    }
}
