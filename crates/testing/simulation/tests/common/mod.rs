//! What several test files share.

#![allow(dead_code, reason = "each test file uses some of it")]

use badgerstream_control::{ControlRequest, NodeId};
use badgerstream_simulation::{Response, Simulation};

/// The step in which [`response_within`] looks for a response, in seconds.
const RESPONSE_CHECK_INTERVAL_S: f64 = 0.005;

/// Milliseconds for a random test; the environment variable gives more for long runs.
pub(crate) fn arbtest_budget_ms() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(1500)
}

/// Control machines, routers and servers, with the primary a in steady use.
pub(crate) fn steady_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.run_until(6.0, "a primary in use at the start", |simulation| {
        simulation.primary_in_use().as_deref() == Some("a")
    });
    simulation.run(4.0);
    assert!(simulation.acknowledges_writes());
    simulation
}

/// A request to replace a configuration.
pub(crate) fn replace_config(base_epoch: u64, epoch: u64, text: &str) -> ControlRequest {
    ControlRequest::ReplaceConfig {
        base_epoch,
        epoch,
        body: text.as_bytes().into(),
    }
}

/// The response to a request that is sent now; `None` if there is none within so many steps of
/// [`RESPONSE_CHECK_INTERVAL_S`].
pub(crate) fn response_within(
    simulation: &mut Simulation,
    steps: u32,
    node: NodeId,
    request_id: u64,
    request: ControlRequest,
) -> Option<Response> {
    simulation.submit_request(node, request_id, request);
    for _ in 0..steps {
        simulation.run(RESPONSE_CHECK_INTERVAL_S);
        if let Some(response) = simulation.responses.get(&request_id) {
            return Some(response.clone());
        }
    }
    None
}

/// A successful response with this body.
pub(crate) fn ok(body: &[u8]) -> Response {
    Response {
        status: 200,
        body: body.to_vec(),
    }
}
