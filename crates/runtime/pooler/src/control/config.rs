//! What the settings of the process mean for the controller. Pure functions.

use badgerstream_control::{ControlConfig, FailoverConfig, NodeId};
use badgerstream_pooler_config::settings::Settings;
use std::net::IpAddr;

/// Between two status commands to a primary, in seconds.
const PRIMARY_POLL_INTERVAL_S: f64 = 0.2;
/// Between two status commands to a replica, in seconds.
const REPLICA_POLL_INTERVAL_S: f64 = 1.0;
/// How much longer than the election time-out the knowledge lasts that a majority answered, in
/// seconds.
const CONTACT_MARGIN_S: f64 = 0.4;
/// Time-out of a call to the platform, in seconds.
pub(super) const PLATFORM_CALL_TIMEOUT_S: f64 = 1.0;
/// Time-out of an HTTP request of a server or an operator, in seconds.
const REQUEST_TIMEOUT_S: f64 = 0.9;
/// A server that misses so many heartbeats has departed.
const MISSED_HEARTBEATS: f64 = 4.0;

/// Milliseconds of a setting in seconds.
fn seconds(milliseconds: f64) -> f64 {
    milliseconds / 1000.0
}

/// The controller's intervals and time-outs.
pub(super) fn control_config(settings: &Settings) -> ControlConfig {
    let suspect = seconds(settings.tuning.suspect_ms as f64);
    let heartbeat_interval = seconds(settings.heartbeat_ms as f64);
    let failover = FailoverConfig {
        primary_poll_interval: PRIMARY_POLL_INTERVAL_S,
        replica_poll_interval: REPLICA_POLL_INTERVAL_S,
        primary_timeout: suspect,
        query_timeout: suspect,
        heartbeat_interval,
        drain_timeout: seconds(settings.bounds.drain_ms),
    };
    ControlConfig {
        lease_duration: seconds(settings.tuning.lease_ms as f64),
        election_timeout: suspect,
        contact_timeout: suspect + CONTACT_MARGIN_S,
        platform_call_timeout: PLATFORM_CALL_TIMEOUT_S,
        platform_handover_delay: seconds(settings.bounds.lease_ms),
        request_timeout: REQUEST_TIMEOUT_S,
        member_timeout: MISSED_HEARTBEATS * heartbeat_interval,
        failover,
    }
}

/// The control machines that the settings name as seeds. Only IPv4 addresses are node ids.
pub(super) fn seed_nodes(settings: &Settings) -> Vec<NodeId> {
    settings
        .seeds
        .iter()
        .filter_map(|seed| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        })
        .collect()
}

/// How many control machines may be lost at once. A zone or a site may hold one or more of them;
/// one is what is counted.
pub(super) fn fault_budget(settings: &Settings) -> usize {
    let budget = &settings.fault_budget;
    budget.machine_loss.max(budget.zones).max(budget.sites) as usize
}

/// For how long servers that were draining when this process started count as having drained, in
/// seconds.
///
/// How long the process was down isn't known. Until `quiet_ms` after this start no machine knows
/// that it is in contact, so the controller doesn't act on this earlier; by then these servers have
/// drained.
pub(super) fn drained_before_start_s(settings: &Settings) -> f64 {
    seconds((settings.bounds.drain_ms - settings.bounds.quiet_ms).max(0.0))
}
