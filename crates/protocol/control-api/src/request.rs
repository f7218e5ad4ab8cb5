//! The requests of servers, operators and the platform, each with the type of its response.

use badgerstream_http_codec::Request;

use crate::dispatch::Operation;
use crate::error::ApiError;
use crate::members::{self, DEPART_PATH, HEARTBEAT_PATH, Heartbeat, HeartbeatResponse};
use crate::response::{ConfigResponse, EmptyResponse, ResponseBody};

/// The header with the epoch of the configuration that a new one builds on.
pub const BASE_VERSION_HEADER: &str = "X-Base-Version";

/// The most characters of an invalid header that an error repeats.
const MAX_QUOTED_CHARS: usize = 40;

/// A kind of request.
pub trait ApiRequest<'a>: Sized {
    /// The HTTP method.
    const METHOD: &'static str;
    /// The complete path, or the path up to an id where it ends with a slash.
    const PATH: &'static str;
    /// The body of a successful response.
    type Response: ResponseBody;

    /// Parses an HTTP request of this method and path.
    ///
    /// # Errors
    ///
    /// [`ApiError`], for the caller.
    fn parse(request: &'a Request) -> Result<Self, ApiError>;

    /// What the control machine is to do.
    fn operation(self) -> Operation<'a>;

    /// Whether the HTTP request has this method and path, whatever its query.
    fn matches(request: &Request) -> bool {
        let path = request.path.split('?').next().unwrap_or_default();
        let path_matches = if Self::PATH.ends_with('/') {
            path.starts_with(Self::PATH)
        } else {
            path == Self::PATH
        };
        path_matches && request.method == Self::METHOD
    }
}

/// The heartbeat of a database server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatRequest {
    /// The server's id.
    pub server_id: String,
    /// What it reports; its endpoint is a valid address.
    pub heartbeat: Heartbeat,
}

/// A database server says that it ends now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartRequest {
    /// The server's id.
    pub server_id: String,
}

/// The operator sends a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplaceConfigRequest<'a> {
    /// The epoch that it builds on, 0 for the first; `None` if the caller doesn't say.
    pub base_epoch: Option<u64>,
    /// The configuration, not parsed: stored and returned as it came.
    pub body: &'a [u8],
}

/// The operator reads the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadConfigRequest;

/// The platform checks whether the process is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessRequest;

impl<'a> ApiRequest<'a> for HeartbeatRequest {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = HEARTBEAT_PATH;
    type Response = HeartbeatResponse;

    fn parse(request: &'a Request) -> Result<HeartbeatRequest, ApiError> {
        let server_id = members::heartbeat_server_id(&request.path)
            .ok_or_else(|| ApiError::InvalidServerId(request.path.clone()))?;
        let heartbeat = Heartbeat::parse(&request.body)
            .map_err(|error| ApiError::InvalidBody(error.to_string()))?;
        if heartbeat.address().is_none() {
            return Err(ApiError::InvalidBody(format!(
                "endpoint {:?} is no address with a port",
                heartbeat.endpoint
            )));
        }
        Ok(HeartbeatRequest {
            server_id: server_id.to_owned(),
            heartbeat,
        })
    }

    fn operation(self) -> Operation<'a> {
        Operation::Heartbeat(self)
    }
}

impl<'a> ApiRequest<'a> for DepartRequest {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = DEPART_PATH;
    type Response = EmptyResponse;

    fn parse(request: &'a Request) -> Result<DepartRequest, ApiError> {
        // The body doesn't matter, not even if it is invalid: the server ends in any case.
        let server_id = members::depart_server_id(&request.path)
            .ok_or_else(|| ApiError::InvalidServerId(request.path.clone()))?;
        Ok(DepartRequest {
            server_id: server_id.to_owned(),
        })
    }

    fn operation(self) -> Operation<'a> {
        Operation::Depart(self)
    }
}

impl<'a> ApiRequest<'a> for ReplaceConfigRequest<'a> {
    const METHOD: &'static str = "POST";
    const PATH: &'static str = "/api/Config.Replace";
    type Response = EmptyResponse;

    fn parse(request: &'a Request) -> Result<ReplaceConfigRequest<'a>, ApiError> {
        let base_epoch = match request.header(BASE_VERSION_HEADER).map(str::trim) {
            Some(value) => Some(value.parse().map_err(|_| ApiError::InvalidHeader {
                name: BASE_VERSION_HEADER,
                value: value.chars().take(MAX_QUOTED_CHARS).collect(),
            })?),
            None => None,
        };
        Ok(ReplaceConfigRequest {
            base_epoch,
            body: &request.body,
        })
    }

    fn operation(self) -> Operation<'a> {
        Operation::ReplaceConfig(self)
    }
}

impl<'a> ApiRequest<'a> for ReadConfigRequest {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/Config.Read";
    type Response = ConfigResponse;

    fn parse(_: &'a Request) -> Result<ReadConfigRequest, ApiError> {
        Ok(ReadConfigRequest)
    }

    fn operation(self) -> Operation<'a> {
        Operation::ReadConfig
    }
}

impl<'a> ApiRequest<'a> for ReadinessRequest {
    const METHOD: &'static str = "GET";
    const PATH: &'static str = "/api/readiness";
    type Response = EmptyResponse;

    fn parse(_: &'a Request) -> Result<ReadinessRequest, ApiError> {
        Ok(ReadinessRequest)
    }

    fn operation(self) -> Operation<'a> {
        Operation::Readiness
    }
}
