//! Graceful shutdown: the process ends once nothing is in flight, within the grace period that the
//! platform gives.

use super::Parts;
use crate::{clock, net};

/// The part of the grace period for which a router stays at least: the platform passes connections
/// on for a moment longer.
const MIN_ROUTER_DRAIN_OF_GRACE: f64 = 0.4;
/// A machine without a router stays for so many seconds at least: callers of control still get
/// their responses.
const MIN_CONTROL_DRAIN_S: f64 = 0.3;
/// The part of the grace period after which a process ends in any case. The data plane sends its
/// last answers a little earlier.
const MAX_DRAIN_OF_GRACE: f64 = 0.94;
/// For so many seconds a control machine waits to be left out of the voters.
const LEAVE_VOTERS_TIMEOUT_S: f64 = 1.2;
/// Between two looks at what is in flight, in seconds.
const CHECK_INTERVAL_S: f64 = 0.025;

/// Waits until nothing is in flight, within the grace period (seconds) that began at `started_at`
/// of the monotonic clock.
pub(super) async fn drain(started_at: f64, grace_s: f64, parts: &Parts) {
    let min_drain_s = if parts.router.is_some() {
        MIN_ROUTER_DRAIN_OF_GRACE * grace_s
    } else {
        MIN_CONTROL_DRAIN_S
    };
    loop {
        net::sleep(CHECK_INTERVAL_S).await;
        let elapsed_s = clock::now() - started_at;
        let in_flight = in_flight(parts);
        let is_drained = elapsed_s > min_drain_s && has_left(parts, elapsed_s) && in_flight == 0;
        if is_drained || elapsed_s > MAX_DRAIN_OF_GRACE * grace_s {
            log::info!("event=shutdown_completed open={in_flight} after_s={elapsed_s:.2}");
            return;
        }
    }
}

/// Statements and HTTP requests that are not answered yet.
fn in_flight(parts: &Parts) -> usize {
    let statements = parts
        .router
        .as_ref()
        .map_or(0, |router| router.data_plane.open_work());
    let requests = parts
        .control
        .as_ref()
        .map_or(0, |control| control.in_flight_requests());
    statements + requests
}

/// Whether the control machine, if there is one, need not stay on as a voter.
fn has_left(parts: &Parts, elapsed_s: f64) -> bool {
    elapsed_s > LEAVE_VOTERS_TIMEOUT_S
        || parts
            .control
            .as_ref()
            .is_none_or(|control| control.may_shut_down())
}
