//! The call to the platform that makes another server the primary, and what its answer proves.

use crate::http;
use nanoserde::SerJson;

/// The path at the platform.
pub const PROMOTIONS: &str = "/promotions";

/// The bytes of `POST /promotions`: of `service`, the server `id` shall be the primary. `holder` names the
/// router that holds the duty, under the fence `fence`, which goes up whenever the holder changes. `host`
/// is the platform's address.
pub fn promotion(service: &str, id: &str, holder: &str, fence: u64, host: &str) -> Vec<u8> {
    let body = format!("{{\"backend\":{},\"id\":{}}}", service.serialize_json(), id.serialize_json());
    let fence = fence.to_string();
    let headers = [("X-Duty-Holder", holder), ("X-Fence-Token", fence.as_str())];
    http::request("POST", PROMOTIONS, host, &headers, body.as_bytes())
}

/// What is known after a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// 2xx: the named server is the primary, or will be within some hundred milliseconds.
    Done,
    /// 409: nothing was changed, since a newer holder has called or the named server isn't running.
    Refused,
    /// 429: nothing was changed, too many calls; later.
    Busy,
    /// Another 4xx: nothing was changed, and the same call will fare no better.
    Wrong,
    /// A 5xx, or no answer: it may have happened, or may yet. Servers tell it by their `STATUS`.
    Unknown,
}

/// What the status of the platform's answer proves; none where no answer came.
pub fn outcome(status: Option<u16>) -> Outcome {
    match status {
        Some(200..300) => Outcome::Done,
        Some(409) => Outcome::Refused,
        Some(429) => Outcome::Busy,
        // A 408 comes of waiting, which proves nothing.
        Some(408) | None => Outcome::Unknown,
        Some(400..500) => Outcome::Wrong,
        Some(_) => Outcome::Unknown,
    }
}
