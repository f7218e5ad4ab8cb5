//! The call to the platform that makes another server the primary. What its end proves is the decision of the control
//! crate, as `PromotionOutcome`.

use nanoserde::SerJson;

/// The path at the platform.
pub const PROMOTIONS: &str = "/promotions";

/// The bytes of `POST /promotions`: of `service`, the server `id` shall be the primary. `holder` names the
/// router that holds the duty, under the fence `fence`, which goes up whenever the holder changes. `host`
/// is the platform's address.
pub fn promotion(service: &str, id: &str, holder: &str, fence: u64, host: &str) -> Vec<u8> {
    let body = format!(
        "{{\"backend\":{},\"id\":{}}}",
        service.serialize_json(),
        id.serialize_json()
    );
    let fence = fence.to_string();
    let headers = [("X-Duty-Holder", holder), ("X-Fence-Token", fence.as_str())];
    badgerstream_http_codec::encode_request("POST", PROMOTIONS, host, &headers, body.as_bytes())
}
