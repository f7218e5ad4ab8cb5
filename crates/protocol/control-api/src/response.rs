//! The responses to requests.

use std::net::SocketAddr;

use badgerstream_http_codec::encode_response as encode_http_response;
use badgerstream_pooler_config::config::ConfigError;
use nanoserde::SerJson;

use crate::error::ApiError;

/// The body of a successful response.
pub trait ResponseBody {
    /// Returns the encoded body: JSON, or no bytes.
    fn body(&self) -> Vec<u8>;
}

/// A response without a body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EmptyResponse;

/// A configuration, byte for byte as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigResponse(pub Vec<u8>);

impl ResponseBody for EmptyResponse {
    fn body(&self) -> Vec<u8> {
        Vec::new()
    }
}

impl ResponseBody for ConfigResponse {
    fn body(&self) -> Vec<u8> {
        self.0.clone()
    }
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiResponse<B> {
    /// 200: the request succeeded, with this body.
    Success(B),
    /// 307: the caller should send the request to the control machine at this address.
    Redirect(SocketAddr),
    /// 400: the request is invalid, for this reason. The caller does not retry it.
    Invalid(String),
    /// 404: the requested resource does not exist.
    NotFound,
    /// 412: the configuration is not based on the current epoch, which is given here. The caller
    /// does not retry it.
    BaseEpochMismatch(u64),
    /// 503: this machine can't process the request now, for this reason. The caller tries another
    /// machine.
    Unavailable(String),
}

impl<B> From<ApiError> for ApiResponse<B> {
    fn from(error: ApiError) -> ApiResponse<B> {
        ApiResponse::Invalid(error.to_string())
    }
}

impl<B> From<ConfigError> for ApiResponse<B> {
    fn from(error: ConfigError) -> ApiResponse<B> {
        ApiResponse::Invalid(error.to_string())
    }
}

/// Encodes an HTTP response. `path` is the path of the request, which a redirect repeats.
pub fn encode_response<B: ResponseBody>(
    response: &ApiResponse<B>,
    path: &str,
    keep_alive: bool,
) -> Vec<u8> {
    let encode = |status, body: &[u8]| encode_http_response(status, &[], body, keep_alive);
    match response {
        ApiResponse::Success(body) => encode(200, &body.body()),
        ApiResponse::Redirect(address) => {
            let location = format!("http://{address}{path}");
            encode_http_response(307, &[("Location", &location)], b"", keep_alive)
        }
        ApiResponse::Invalid(reason) => encode(400, &error_body(reason)),
        ApiResponse::NotFound => encode(404, b""),
        ApiResponse::BaseEpochMismatch(current) => {
            encode(412, &error_body(&format!("version {current} is in place")))
        }
        ApiResponse::Unavailable(reason) => encode(503, &error_body(reason)),
    }
}

fn error_body(reason: &str) -> Vec<u8> {
    format!("{{\"error\":{}}}", reason.serialize_json()).into_bytes()
}
