//! The request that asks the platform to promote another server to primary of a service. The
//! `PromotionOutcome` of the control crate interprets the response.

use badgerstream_http_codec::encode_request;
use nanoserde::SerJson;

/// The path of promotion requests at the platform.
pub const PROMOTIONS_PATH: &str = "/promotions";

/// Encodes `POST /promotions`, which asks the platform to make the server `server_id` the primary
/// of `service`.
///
/// `holder` is the name of the leading control machine. `fencing_token` increases with every change
/// of the leader. `host` is the platform's address.
pub fn encode_promotion_request(
    service: &str,
    server_id: &str,
    holder: &str,
    fencing_token: u64,
    host: &str,
) -> Vec<u8> {
    let body = format!(
        "{{\"backend\":{},\"id\":{}}}",
        service.serialize_json(),
        server_id.serialize_json()
    );
    let fencing_token = fencing_token.to_string();
    let headers = [
        ("X-Duty-Holder", holder),
        ("X-Fence-Token", fencing_token.as_str()),
    ];
    encode_request("POST", PROMOTIONS_PATH, host, &headers, body.as_bytes())
}
