//! What the database servers call: that they are there ([`Heartbeat`]), and that they go.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use badgerstream_pooler_config::json::{self, JsonError};
use nanoserde::{DeJson, DeJsonErr, DeJsonState, SerJson, SerJsonState};
use std::net::SocketAddr;
use std::str::Chars;

/// The path of a beat, up to the server's id.
pub const HEARTBEAT: &str = "/api/Members.Heartbeat/";

/// The path of the last call of a server, up to its id.
pub const DEPART: &str = "/api/Members.Depart/";

/// The most bytes a server reads of an answer to its beat.
pub const ANSWER_BYTES: usize = 4096;

/// The longest id that is taken, in bytes.
const ID_BYTES: usize = 128;

/// How far a server is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, DeJson, SerJson)]
pub enum Phase {
    /// It serves.
    #[nserde(rename = "ready")]
    Ready,
    /// It will end `drain_ms` after this was acknowledged, or a little later; nothing new is sent there.
    #[nserde(rename = "draining")]
    Draining,
}

/// What a server takes itself for.
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
    /// Where it is reached, `10.128.0.9:8080` say; see [`Heartbeat::address`].
    pub endpoint: String,
    /// The zone it stands in.
    #[nserde(default)]
    pub zone: String,
    /// The version of its software.
    #[nserde(default)]
    pub epoch: String,
    /// How many statements it runs at a time; 0 if it doesn't tell.
    #[nserde(default, proxy = "Number")]
    pub capacity: u32,
    /// How far it is in its life.
    pub phase: Phase,
    /// How much longer it stays slow from its start, in milliseconds.
    #[nserde(default, proxy = "Number")]
    pub cold_left_ms: u64,
    /// What it takes itself for; none where it doesn't tell.
    pub db_role: Option<DbRole>,
    /// Rises with every call of this server: a call with a lower one is late.
    pub call_seq: u64,
}

impl Heartbeat {
    /// Reads the body of a beat.
    pub fn read(body: &[u8]) -> Result<Heartbeat, JsonError> {
        json::read(body)
    }

    /// The address in `endpoint`, none if it isn't one; [`crate::call::dispatch`] refuses such a beat.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.parse().ok()
    }
}

/// What answers a beat.
#[derive(Debug, Clone, Default, PartialEq, Eq, DeJson, SerJson)]
pub struct HeartbeatAnswer {
    /// Where this server's later beats go, as an address with its port, until one fails there; none leaves
    /// the server its list.
    pub beat_endpoint: Option<String>,
}

impl HeartbeatAnswer {
    /// The answer's body.
    pub fn body(&self) -> Vec<u8> {
        // Written by hand: the derived one tells an absent field as null.
        match &self.beat_endpoint {
            Some(at) => format!("{{\"beat_endpoint\":{}}}", at.serialize_json()).into_bytes(),
            None => b"{}".to_vec(),
        }
    }
}

/// The server's id in the path of a beat.
pub fn heartbeat_id(path: &str) -> Option<&str> {
    id(path, HEARTBEAT)
}

/// The server's id in the path of its last call.
pub fn depart_id(path: &str) -> Option<&str> {
    id(path, DEPART)
}

fn id<'a>(path: &'a str, before: &str) -> Option<&'a str> {
    let id = path.strip_prefix(before)?;
    let id = id.split_once('?').map_or(id, |(id, _)| id);
    let fits = !id.is_empty()
        && id.len() <= ID_BYTES
        && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    fits.then_some(id)
}

/// A number that may come with a fraction where a whole one is meant; a beat isn't lost for that.
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

// Rust's `as` keeps what doesn't fit at the nearest that does.
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
