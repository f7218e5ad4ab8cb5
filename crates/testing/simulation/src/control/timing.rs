//! The timing configuration of the controllers under test.

use badgerstream_control::{ControlConfig, FailoverConfig};

/// Returns the pooler's default timing configuration, with server heartbeats every 1.2 s.
pub fn timing() -> ControlConfig {
    let failover = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: 0.6,
        query_timeout: 0.6,
        heartbeat_interval: 1.2,
        drain_timeout: 7.0,
    };
    ControlConfig {
        lease_duration: 1.0,
        election_timeout: 0.6,
        contact_timeout: 1.0,
        platform_call_timeout: 1.0,
        platform_handover_delay: 0.0,
        request_timeout: 0.9,
        member_timeout: 4.8,
        failover,
    }
}
