//! The requests of database servers: heartbeats ([`Heartbeat`]) and departures.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use std::net::SocketAddr;
use std::str::Chars;

use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, DeJsonErr, DeJsonState, SerJson, SerJsonState};

use crate::response::ResponseBody;

/// The path of a heartbeat; the server's id follows.
pub const HEARTBEAT_PATH: &str = "/api/Members.Heartbeat/";

/// The path of a departure; the server's id follows.
pub const DEPART_PATH: &str = "/api/Members.Depart/";

/// Maximum number of bytes of a heartbeat response that a server reads.
pub const MAX_HEARTBEAT_RESPONSE_BYTES: usize = 4096;

/// Maximum length of a server id, in bytes.
pub(crate) const MAX_SERVER_ID_BYTES: usize = 128;

/// Whether a server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DeJson, SerJson)]
pub enum Phase {
    /// The server is in service.
    #[nserde(rename = "ready")]
    Ready,
    /// The server shuts down `drain_ms` after this phase was acknowledged, or shortly after that.
    /// It gets no new work.
    #[nserde(rename = "draining")]
    Draining,
}

/// The role that a server reports for itself. The JSON values are those of the user documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DeJson, SerJson)]
pub enum DbRole {
    /// The primary.
    #[nserde(rename = "leader")]
    Leader,
    /// A replica.
    #[nserde(rename = "follower")]
    Follower,
}

/// The body of `POST /api/Members.Heartbeat/ID`.
#[derive(Debug, Clone, PartialEq, Eq, DeJson, SerJson)]
pub struct Heartbeat {
    /// The service that the server belongs to.
    pub backend: String,
    /// The server's address, for example `10.128.0.9:8080`; see [`Heartbeat::address`].
    pub endpoint: String,
    /// The server's zone; empty if the field is missing.
    #[nserde(default)]
    pub zone: String,
    /// The version of the server's software; empty if the field is missing.
    #[nserde(default)]
    pub epoch: String,
    /// How many statements the server runs concurrently; 0 if the field is missing.
    #[nserde(default, proxy = "LenientInteger")]
    pub capacity: u32,
    /// Whether the server accepts new work or is draining.
    pub phase: Phase,
    /// The remaining warm-up time, in milliseconds.
    #[nserde(default, proxy = "LenientInteger")]
    pub cold_left_ms: u64,
    /// The server's role; `None` if the field is missing.
    pub db_role: Option<DbRole>,
    /// Increases with every request of this server: a request with a lower number than an earlier
    /// one was delayed.
    pub call_seq: u64,
}

impl Heartbeat {
    /// Parses the body of a heartbeat.
    ///
    /// # Errors
    ///
    /// [`JsonError`], with the position in the body.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, JsonError> {
        json::parse(body)
    }

    /// Returns the address in `endpoint`, or `None` if it isn't an IP address with a port;
    /// [`dispatch`](crate::dispatch::dispatch) rejects such a heartbeat.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.parse().ok()
    }
}

/// The body of the response to a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, DeJson, SerJson)]
pub struct HeartbeatResponse {
    /// The address to which the server should send its next heartbeats until one of them fails. If
    /// `None`, the server chooses from its own list.
    pub beat_endpoint: Option<String>,
}

impl ResponseBody for HeartbeatResponse {
    fn body(&self) -> Vec<u8> {
        // The derived encoding would write `null` for an absent field.
        match &self.beat_endpoint {
            Some(address) => {
                format!("{{\"beat_endpoint\":{}}}", address.serialize_json()).into_bytes()
            }
            None => b"{}".to_vec(),
        }
    }
}

/// Returns the server id in the path of a heartbeat, or `None` if it has no valid one.
pub fn heartbeat_server_id(path: &str) -> Option<&str> {
    server_id(path, HEARTBEAT_PATH)
}

/// Returns the server id in the path of a departure, or `None` if it has no valid one.
pub fn depart_server_id(path: &str) -> Option<&str> {
    server_id(path, DEPART_PATH)
}

fn server_id<'a>(path: &'a str, prefix: &str) -> Option<&'a str> {
    let id = path.strip_prefix(prefix)?;
    let id = id.split_once('?').map_or(id, |(id, _)| id);
    let is_valid = !id.is_empty()
        && id.len() <= MAX_SERVER_ID_BYTES
        && id
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    is_valid.then_some(id)
}

/// An integer field that also accepts numbers with a fraction, which is cut off, so that no
/// heartbeat is rejected for one.
#[derive(Debug, Clone, Copy)]
struct LenientInteger(f64);

impl DeJson for LenientInteger {
    fn de_json(
        state: &mut DeJsonState,
        input: &mut Chars<'_>,
    ) -> Result<LenientInteger, DeJsonErr> {
        f64::de_json(state, input).map(LenientInteger)
    }
}

impl SerJson for LenientInteger {
    fn ser_json(&self, depth: usize, state: &mut SerJsonState) {
        (self.0 as u64).ser_json(depth, state);
    }
}

// `as` saturates: a number out of range becomes the nearest number in range.
impl From<&LenientInteger> for u32 {
    fn from(number: &LenientInteger) -> u32 {
        number.0 as u32
    }
}

impl From<&LenientInteger> for u64 {
    fn from(number: &LenientInteger) -> u64 {
        number.0 as u64
    }
}

impl From<&u32> for LenientInteger {
    fn from(number: &u32) -> LenientInteger {
        LenientInteger(f64::from(*number))
    }
}

impl From<&u64> for LenientInteger {
    fn from(number: &u64) -> LenientInteger {
        LenientInteger(*number as f64)
    }
}
