//! The request to the platform that makes another server the primary of a service. What its
//! response proves is decided by `PromotionOutcome` of the control crate.

use badgerstream_http_codec::encode_request;
use nanoserde::SerJson;

/// The path at the platform.
pub const PROMOTIONS_PATH: &str = "/promotions";

/// The bytes of `POST /promotions`: the server `server_id` is to be the primary of `service`.
///
/// `holder` is the name of the control machine that leads, under `fencing_token`, which rises with
/// every change of the leader. `host` is the platform's address.
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
