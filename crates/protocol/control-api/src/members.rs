//! What database servers send: heartbeats ([`Heartbeat`]), and that they depart.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use std::net::SocketAddr;
use std::str::Chars;

use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, DeJsonErr, DeJsonState, SerJson, SerJsonState};

use crate::response::ResponseBody;

/// The path of a heartbeat, up to the server's id.
pub const HEARTBEAT_PATH: &str = "/api/Members.Heartbeat/";

/// The path by which a server departs, up to its id.
pub const DEPART_PATH: &str = "/api/Members.Depart/";

/// The most bytes that a server reads of the response to its heartbeat.
pub const MAX_HEARTBEAT_RESPONSE_BYTES: usize = 4096;

/// The longest id of a server, in bytes.
const MAX_SERVER_ID_BYTES: usize = 128;

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DeJson, SerJson)]
pub enum Phase {
    /// It is in service.
    #[nserde(rename = "ready")]
    Ready,
    /// It ends `drain_ms` after this was acknowledged, or a little later; nothing new is sent to
    /// it.
    #[nserde(rename = "draining")]
    Draining,
}

/// The role that a server reports of itself, in the words of the users' page.
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
    /// Its address, for example `10.128.0.9:8080`; see [`Heartbeat::address`].
    pub endpoint: String,
    /// Its zone; empty if it doesn't say.
    #[nserde(default)]
    pub zone: String,
    /// The version of its software; empty if it doesn't say.
    #[nserde(default)]
    pub epoch: String,
    /// How many statements it runs at a time; 0 if it doesn't say.
    #[nserde(default, proxy = "Number")]
    pub capacity: u32,
    /// Whether it is draining.
    pub phase: Phase,
    /// For how much longer it is warming up, in milliseconds.
    #[nserde(default, proxy = "Number")]
    pub cold_left_ms: u64,
    /// Its role; `None` if it doesn't say.
    pub db_role: Option<DbRole>,
    /// Rises with every request of this server: one with a lower number is late.
    pub call_seq: u64,
}

impl Heartbeat {
    /// Parses the body of a heartbeat.
    ///
    /// # Errors
    ///
    /// [`JsonError`], with the place in the text.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, JsonError> {
        json::read(body)
    }

    /// The address in `endpoint`; `None` if it isn't one, in a heartbeat that
    /// [`dispatch`](crate::dispatch::dispatch) rejects.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.parse().ok()
    }
}

/// The body of the response to a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, DeJson, SerJson)]
pub struct HeartbeatResponse {
    /// The address to which this server is to send its later heartbeats, until one fails there;
    /// `None` leaves it to the server's list.
    pub beat_endpoint: Option<String>,
}

impl ResponseBody for HeartbeatResponse {
    fn body(&self) -> Vec<u8> {
        // Not the derived encoding, which has a null for an absent field.
        match &self.beat_endpoint {
            Some(address) => {
                format!("{{\"beat_endpoint\":{}}}", address.serialize_json()).into_bytes()
            }
            None => b"{}".to_vec(),
        }
    }
}

/// The server's id in the path of a heartbeat; `None` if there is no valid one.
pub fn heartbeat_server_id(path: &str) -> Option<&str> {
    server_id(path, HEARTBEAT_PATH)
}

/// The server's id in the path of a departure; `None` if there is no valid one.
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

/// A number that may have a fraction where an integer is meant: no heartbeat is rejected for that.
#[derive(Debug, Clone, Copy)]
struct Number(f64);

impl DeJson for Number {
    fn de_json(state: &mut DeJsonState, input: &mut Chars<'_>) -> Result<Number, DeJsonErr> {
        f64::de_json(state, input).map(Number)
    }
}

impl SerJson for Number {
    fn ser_json(&self, depth: usize, state: &mut SerJsonState) {
        (self.0 as u64).ser_json(depth, state);
    }
}

// `as` saturates: a number out of range becomes the nearest one in range.
impl From<&Number> for u32 {
    fn from(number: &Number) -> u32 {
        number.0 as u32
    }
}

impl From<&Number> for u64 {
    fn from(number: &Number) -> u64 {
        number.0 as u64
    }
}

impl From<&u32> for Number {
    fn from(number: &u32) -> Number {
        Number(f64::from(*number))
    }
}

impl From<&u64> for Number {
    fn from(number: &u64) -> Number {
        Number(*number as f64)
    }
}
