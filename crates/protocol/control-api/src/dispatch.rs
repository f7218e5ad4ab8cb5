//! Parses an HTTP request into the operation that a control machine performs for it.

use badgerstream_http_codec::Request;

use crate::error::ApiError;
use crate::request::{
    ApiRequest, DepartRequest, HeartbeatRequest, ReadConfigRequest, ReadinessRequest,
    ReplaceConfigRequest,
};

/// The operation that a request asks a control machine to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation<'a> {
    /// Record the heartbeat of a database server.
    Heartbeat(HeartbeatRequest),
    /// Remove a database server that is shutting down now.
    Depart(DepartRequest),
    /// Replace the configuration.
    ReplaceConfig(ReplaceConfigRequest<'a>),
    /// Return the newest configuration.
    ReadConfig,
    /// Report that the process is ready.
    Readiness,
    /// None of the above. The caller responds with 404, unless the request is a
    /// [`ReadStatusRequest`](crate::status::ReadStatusRequest).
    Unknown,
}

/// Parses a request into its operation.
///
/// # Errors
///
/// [`ApiError`] if the method and path are known but the request is invalid.
pub fn dispatch(request: &Request) -> Result<Operation<'_>, ApiError> {
    parse_as::<HeartbeatRequest>(request)
        .or_else(|| parse_as::<ReadinessRequest>(request))
        .or_else(|| parse_as::<DepartRequest>(request))
        .or_else(|| parse_as::<ReplaceConfigRequest<'_>>(request))
        .or_else(|| parse_as::<ReadConfigRequest>(request))
        .unwrap_or(Ok(Operation::Unknown))
}

/// Parses the request as one of type `R`; `None` if `R` has another method or path.
fn parse_as<'a, R: ApiRequest<'a>>(
    request: &'a Request,
) -> Option<Result<Operation<'a>, ApiError>> {
    R::matches(request).then(|| R::parse(request).map(R::operation))
}
