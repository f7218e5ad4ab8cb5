//! From an HTTP request to what it wants of a control machine.

use badgerstream_http_codec::Request;

use crate::error::ApiError;
use crate::request::{
    ApiRequest, DepartRequest, HeartbeatRequest, ReadConfigRequest, ReadinessRequest,
    ReplaceConfigRequest,
};

/// What a request wants of a control machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation<'a> {
    /// Take the heartbeat of a database server.
    Heartbeat(HeartbeatRequest),
    /// A database server ends now.
    Depart(DepartRequest),
    /// Replace the configuration.
    ReplaceConfig(ReplaceConfigRequest<'a>),
    /// Return the newest configuration.
    ReadConfig,
    /// Say whether the process is ready.
    Readiness,
    /// None of the above: a 404, unless it is a
    /// [`ReadStatusRequest`](crate::status::ReadStatusRequest).
    Unknown,
}

/// Parses a request into its operation.
///
/// # Errors
///
/// [`ApiError`] if a request of a known method and path is invalid.
pub fn dispatch(request: &Request) -> Result<Operation<'_>, ApiError> {
    parse_as::<HeartbeatRequest>(request)
        .or_else(|| parse_as::<ReadinessRequest>(request))
        .or_else(|| parse_as::<DepartRequest>(request))
        .or_else(|| parse_as::<ReplaceConfigRequest<'_>>(request))
        .or_else(|| parse_as::<ReadConfigRequest>(request))
        .unwrap_or(Ok(Operation::Unknown))
}

/// The request as one of this kind; `None` if its method or path is another.
fn parse_as<'a, R: ApiRequest<'a>>(
    request: &'a Request,
) -> Option<Result<Operation<'a>, ApiError>> {
    R::matches(request).then(|| R::parse(request).map(R::operation))
}
