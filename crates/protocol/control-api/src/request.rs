//! The requests of database servers, operators and the platform, each with the type of its
//! response.

use badgerstream_http_codec::Request;

use crate::dispatch::Operation;
use crate::error::ApiError;
use crate::members::{self, DEPART_PATH, HEARTBEAT_PATH, Heartbeat, HeartbeatResponse};
use crate::response::{ConfigResponse, EmptyResponse, ResponseBody};

/// The header with the epoch of the configuration that a new configuration is based on.
pub const BASE_VERSION_HEADER: &str = "X-Base-Version";

/// Maximum number of characters of an invalid header value that an error text quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// A type of request.
pub trait ApiRequest<'a>: Sized {
    /// The HTTP method.
    const METHOD: &'static str;
    /// The complete path. If it ends with a slash, an id follows in the request.
    const PATH: &'static str;
    /// The body of a successful response.
    type Response: ResponseBody;

    /// Parses an HTTP request of this method and path.
    ///
    /// # Errors
    ///
    /// [`ApiError`] if the request is invalid; its text is meant for the caller.
    fn parse(request: &'a Request) -> Result<Self, ApiError>;

    /// Returns the operation that the control machine performs.
    fn operation(self) -> Operation<'a>;

    /// Returns whether the HTTP request has this method and path; a query string is ignored.
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
    /// The body; its endpoint is a valid address.
    pub heartbeat: Heartbeat,
}

/// A database server reports that it is shutting down now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartRequest {
    /// The server's id.
    pub server_id: String,
}

/// The operator replaces the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplaceConfigRequest<'a> {
    /// The epoch of the configuration that this one is based on, 0 for the first configuration;
    /// `None` if the header is missing.
    pub base_epoch: Option<u64>,
    /// The unparsed configuration, which is stored and returned byte for byte.
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
                "endpoint {:?} is not an IP address with a port",
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
        // The body is ignored, even if it is invalid: the server shuts down in any case.
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
