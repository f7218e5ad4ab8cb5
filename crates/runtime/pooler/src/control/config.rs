//! Derives the controller's configuration from the settings of the process. All functions are pure.

use badgerstream_control::{ControlConfig, FailoverConfig, NodeId};
use badgerstream_pooler_config::settings::Settings;
use std::net::IpAddr;

/// Interval between two status commands to a primary, in seconds.
const PRIMARY_POLL_INTERVAL_S: f64 = 0.2;
/// Interval between two status commands to a replica, in seconds.
const REPLICA_POLL_INTERVAL_S: f64 = 1.0;
/// How much longer than the election timeout a machine counts as in contact after a majority has
/// answered, in seconds.
const CONTACT_MARGIN_S: f64 = 0.4;
/// Timeout of a call to the platform, in seconds.
pub(super) const PLATFORM_CALL_TIMEOUT_S: f64 = 1.0;
/// Timeout of an HTTP request from a server or an operator, in seconds.
const REQUEST_TIMEOUT_S: f64 = 0.9;
/// Number of missed heartbeats after which a server counts as departed.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;

/// Converts milliseconds, the unit of the settings, to seconds.
fn seconds(milliseconds: f64) -> f64 {
    milliseconds / 1000.0
}

/// Returns the controller's intervals and timeouts.
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
        member_timeout: MAX_MISSED_HEARTBEATS * heartbeat_interval,
        failover,
    }
}

/// Returns the node ids of the control machines that the settings name as seeds. A node id is an
/// IPv4 address, so IPv6 seeds are left out.
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

/// Returns how many control machines may be lost at once: the largest of the numbers of machines,
/// zones and sites that may be lost. A zone or a site counts as one machine, even if it contains
/// several.
pub(super) fn fault_budget(settings: &Settings) -> usize {
    let budget = &settings.fault_budget;
    budget.machine_loss.max(budget.zones).max(budget.sites) as usize
}

/// Returns for how long servers that were draining when this process started are assumed to have
/// been draining already, in seconds.
///
/// It isn't known how long the process was down. Until `quiet_ms` after this start, no machine
/// knows that it is in contact, so the controller doesn't act on this value earlier; by then these
/// servers have drained.
pub(super) fn drained_before_start_s(settings: &Settings) -> f64 {
    seconds((settings.bounds.drain_ms - settings.bounds.quiet_ms).max(0.0))
}
