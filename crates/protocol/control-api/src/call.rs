//! Calls and their answers as pairs of types, behind one generic handler.
//!
//! A [`Call`] says at which method and path it comes, how it is read, and which type answers it.
//! [`dispatch`] reads a request into the one it is; [`reply`] makes the bytes of the answer.

use crate::members::{self, DEPART, HEARTBEAT, Heartbeat, HeartbeatAnswer};
use badgerstream_http_codec::{Request, encode_response};
use badgerstream_pooler_config::config::ConfigError;
use quick_error::quick_error;
use std::net::SocketAddr;

/// The header that tells the version which a configuration builds on.
pub const BASE_VERSION: &str = "X-Base-Version";

quick_error! {
    /// Why a call can't be read, told to the caller in one line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The path's last part isn't an id.
        Id(path: String) {
            display("no id of a server in {:?}", path)
        }
        /// The body isn't what this call carries.
        Body(what: String) {
            display("body: {}", what)
        }
        /// A header isn't what this call carries.
        Header(name: &'static str, value: String) {
            display("{}: {:?} is no whole number", name, value)
        }
    }
}

impl CallError {
    /// The status with which it is answered.
    pub fn status(&self) -> u16 {
        400
    }
}

/// A kind of call.
pub trait Call<'a>: Sized {
    /// The method at which it comes.
    const METHOD: &'static str;
    /// The path at which it comes, whole, or up to an id where it ends with a slash.
    const PATH: &'static str;
    /// What answers it when all is well.
    type Answer: Answer;

    /// Reads a request that came at this method and path.
    fn read(request: &'a Request) -> Result<Self, CallError>;

    /// What the program is asked to do.
    fn operation(self) -> Operation<'a>;
}

/// What answers a call when all is well; always a 200.
pub trait Answer {
    /// The body, JSON or nothing.
    fn body(&self) -> Vec<u8>;
}

/// A database server says that it is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatCall {
    /// The server's id.
    pub id: String,
    /// What it tells; its endpoint is an address.
    pub beat: Heartbeat,
}

/// A database server says that it ends now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Depart {
    /// The server's id.
    pub id: String,
}

/// The operator sends a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replace<'a> {
    /// The version it builds on, 0 for the first; none if the caller doesn't tell.
    pub base: Option<u64>,
    /// The configuration, unread: kept and given back as it came.
    pub body: &'a [u8],
}

/// The operator asks for the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read;

/// The platform asks whether the router is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness;

/// Answers without content.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Done;

/// A configuration, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored(pub Vec<u8>);

impl Answer for Done {
    fn body(&self) -> Vec<u8> {
        Vec::new()
    }
}

impl Answer for Stored {
    fn body(&self) -> Vec<u8> {
        self.0.clone()
    }
}

impl Answer for HeartbeatAnswer {
    fn body(&self) -> Vec<u8> {
        HeartbeatAnswer::body(self)
    }
}

impl<'a> Call<'a> for HeartbeatCall {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = HEARTBEAT;
    type Answer = HeartbeatAnswer;

    fn read(request: &'a Request) -> Result<HeartbeatCall, CallError> {
        let id = members::heartbeat_id(&request.path)
            .ok_or_else(|| CallError::Id(request.path.clone()))?;
        let beat =
            Heartbeat::read(&request.body).map_err(|error| CallError::Body(error.to_string()))?;
        if beat.address().is_none() {
            return Err(CallError::Body(format!(
                "endpoint {:?} is no address with a port",
                beat.endpoint
            )));
        }
        Ok(HeartbeatCall {
            id: id.to_owned(),
            beat,
        })
    }

    fn operation(self) -> Operation<'a> {
        Operation::Heartbeat {
            id: self.id,
            beat: self.beat,
        }
    }
}

impl<'a> Call<'a> for Depart {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = DEPART;
    type Answer = Done;

    fn read(request: &'a Request) -> Result<Depart, CallError> {
        // Whatever the body says: that it ends is all there is to know.
        let id =
            members::depart_id(&request.path).ok_or_else(|| CallError::Id(request.path.clone()))?;
        Ok(Depart { id: id.to_owned() })
    }

    fn operation(self) -> Operation<'a> {
        Operation::Depart { id: self.id }
    }
}

impl<'a> Call<'a> for Replace<'a> {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/api/Config.Replace";
    type Answer = Done;

    fn read(request: &'a Request) -> Result<Replace<'a>, CallError> {
        let base =
            match request.header(BASE_VERSION).map(str::trim) {
                Some(text) => Some(text.parse().map_err(|_| {
                    CallError::Header(BASE_VERSION, text.chars().take(40).collect())
                })?),
                None => None,
            };
        Ok(Replace {
            base,
            body: &request.body,
        })
    }

    fn operation(self) -> Operation<'a> {
        Operation::Replace {
            base: self.base,
            body: self.body,
        }
    }
}

impl<'a> Call<'a> for Read {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/Config.Read";
    type Answer = Stored;

    fn read(_: &'a Request) -> Result<Read, CallError> {
        Ok(Read)
    }

    fn operation(self) -> Operation<'a> {
        Operation::Read
    }
}

impl<'a> Call<'a> for Readiness {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/readiness";
    type Answer = Done;

    fn read(_: &'a Request) -> Result<Readiness, CallError> {
        Ok(Readiness)
    }

    fn operation(self) -> Operation<'a> {
        Operation::Readiness
    }
}

/// What a request asks of the program. See the calls of the same names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation<'a> {
    /// See [`HeartbeatCall`].
    Heartbeat {
        /// The server's id.
        id: String,
        /// What it tells; its endpoint is an address.
        beat: Heartbeat,
    },
    /// See [`Depart`].
    Depart {
        /// The server's id.
        id: String,
    },
    /// See [`Replace`].
    Replace {
        /// The version it builds on, 0 for the first; none if the caller doesn't tell.
        base: Option<u64>,
        /// The configuration, unread.
        body: &'a [u8],
    },
    /// See [`Read`].
    Read,
    /// See [`Readiness`].
    Readiness,
    /// No call of this system; a 404.
    Other,
}

/// Says what a request asks; an error is the caller's fault.
pub fn dispatch(request: &Request) -> Result<Operation<'_>, CallError> {
    let found = attempt::<HeartbeatCall>(request)
        .or_else(|| attempt::<Readiness>(request))
        .or_else(|| attempt::<Depart>(request))
        .or_else(|| attempt::<Replace<'_>>(request))
        .or_else(|| attempt::<Read>(request));
    found.unwrap_or(Ok(Operation::Other))
}

/// The request as this kind of call, none if it came at another method or path.
fn attempt<'a, C: Call<'a>>(request: &'a Request) -> Option<Result<Operation<'a>, CallError>> {
    let path = request
        .path
        .split_once('?')
        .map_or(request.path.as_str(), |(path, _)| path);
    let here = if C::PATH.ends_with('/') {
        path.starts_with(C::PATH)
    } else {
        path == C::PATH
    };
    (here && request.method == C::METHOD).then(|| C::read(request).map(C::operation))
}

/// How a call ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply<A> {
    /// As asked: 200.
    Done(A),
    /// Another router is to be called, at this address: 307.
    Elsewhere(SocketAddr),
    /// The call is invalid, for this reason: 400. It will not be repeated.
    Invalid(String),
    /// There is no such thing: 404.
    Unknown,
    /// The configuration builds on another version than the current, which is this one: 412. It will not be
    /// repeated.
    OtherBase(u64),
    /// It can't be settled here and now, for this reason: 503. The caller moves on to another router.
    Unsettled(String),
}

impl<A> From<CallError> for Reply<A> {
    fn from(error: CallError) -> Reply<A> {
        Reply::Invalid(error.to_string())
    }
}

impl<A> From<ConfigError> for Reply<A> {
    fn from(error: ConfigError) -> Reply<A> {
        Reply::Invalid(error.to_string())
    }
}

/// The bytes that answer a call: to `HeartbeatCall` a `Reply<HeartbeatAnswer>`, say. `path` is the request's, for a
/// caller that is sent elsewhere.
pub fn reply<A: Answer>(reply: &Reply<A>, path: &str, keep_alive: bool) -> Vec<u8> {
    let reason = |why: &str| {
        format!("{{\"error\":{}}}", nanoserde::SerJson::serialize_json(why)).into_bytes()
    };
    match reply {
        Reply::Done(answer) => encode_response(200, &[], &answer.body(), keep_alive),
        Reply::Elsewhere(address) => encode_response(
            307,
            &[("Location", &format!("http://{address}{path}"))],
            b"",
            keep_alive,
        ),
        Reply::Invalid(why) => encode_response(400, &[], &reason(why), keep_alive),
        Reply::Unknown => encode_response(404, &[], b"", keep_alive),
        Reply::OtherBase(current) => encode_response(
            412,
            &[],
            &reason(&format!("version {current} is in place")),
            keep_alive,
        ),
        Reply::Unsettled(why) => encode_response(503, &[], &reason(why), keep_alive),
    }
}
