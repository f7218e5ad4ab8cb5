//! Graceful shutdown: the process ends once no work is in flight, or shortly before the platform's
//! grace period ends.

use super::Roles;
use crate::{clock, net};

/// Minimum drain time of a machine with a router, as a share of the grace period. The platform
/// still directs connections to the router for a moment.
const MIN_ROUTER_DRAIN_SHARE: f64 = 0.4;
/// Minimum drain time of a machine without a router, in seconds. Callers of the control machine
/// still receive their responses in this time.
const MIN_CONTROL_DRAIN_S: f64 = 0.3;
/// Maximum drain time, as a share of the grace period. The data plane sends its last answers a
/// little earlier.
const MAX_DRAIN_SHARE: f64 = 0.94;
/// Maximum time for which a control machine waits to be removed from the voters, in seconds.
const LEAVE_VOTERS_TIMEOUT_S: f64 = 1.2;
/// Interval between two checks for work in flight, in seconds.
const CHECK_INTERVAL_S: f64 = 0.025;

/// Waits until no work is in flight and the control machine has left the voters, for at most
/// [`MAX_DRAIN_SHARE`] of the grace period. The grace period began at `started_at` (seconds of the
/// monotonic clock).
pub(super) async fn drain(started_at: f64, grace_s: f64, roles: &Roles) {
    let min_drain_s = if roles.router.is_some() {
        MIN_ROUTER_DRAIN_SHARE * grace_s
    } else {
        MIN_CONTROL_DRAIN_S
    };
    loop {
        net::sleep(CHECK_INTERVAL_S).await;
        let elapsed_s = clock::now() - started_at;
        let in_flight = in_flight(roles);
        let is_drained =
            elapsed_s > min_drain_s && may_end_as_voter(roles, elapsed_s) && in_flight == 0;
        if is_drained || elapsed_s > MAX_DRAIN_SHARE * grace_s {
            log::info!("event=shutdown_completed open={in_flight} after_s={elapsed_s:.2}");
            return;
        }
    }
}

/// Returns the number of statements, open transactions and HTTP requests in flight.
fn in_flight(roles: &Roles) -> usize {
    let statements = roles
        .router
        .as_ref()
        .map_or(0, |router| router.data_plane.open_work());
    let requests = roles
        .control
        .as_ref()
        .map_or(0, |control| control.in_flight_requests());
    statements + requests
}

/// Returns whether the shutdown need not wait (any longer) for the control machine, if there is
/// one, to be removed from the voters.
fn may_end_as_voter(roles: &Roles, elapsed_s: f64) -> bool {
    elapsed_s > LEAVE_VOTERS_TIMEOUT_S
        || roles
            .control
            .as_ref()
            .is_none_or(|control| control.may_shut_down())
}
