//! The state of the system as this machine sees it: the status that operators read, and the values
//! for metrics. This module changes nothing.

use super::ControlNode;
use crate::clock;
use crate::counters::ControlCounts;
use badgerstream_control::{Consensus, FailoverStatus, MemberInfo, NodeId};
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, Status};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Value of `out_of_contact_s` for a machine that was never in contact with a majority.
const NEVER_IN_CONTACT_S: f64 = -1.0;

/// The state of a control machine as values for metrics.
pub struct ControlSnapshot {
    /// Whether this machine is the leader.
    pub is_leader: bool,
    /// Whether this machine is in contact with a majority, directly or through the leader.
    pub in_contact: bool,
    /// The highest term in which this machine voted.
    pub voted_term: u64,
    /// The version of the newest state on this machine's disk.
    pub state_version: u64,
    /// The epoch of the configuration that this machine knows.
    pub config_epoch: u64,
    /// The number of voters.
    pub voter_count: usize,
    /// Whether this machine is a voter.
    pub is_voter: bool,
    /// Whether this machine's disk accepts no writes.
    pub disk_failed: bool,
    /// Number of routers that hold a lease from this machine; 0 unless it is the leader.
    pub leased_routers: usize,
    /// Number of services by the phase of their failover; empty unless this machine is the leader.
    pub primaries_by_phase: BTreeMap<&'static str, usize>,
    /// Number of database servers by phase: `ready` or `draining`.
    pub servers_by_phase: BTreeMap<&'static str, usize>,
}

impl ControlNode {
    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> &ControlCounts {
        &self.counts
    }

    /// Returns the state of this machine at `now` (seconds of the monotonic clock) as values for
    /// metrics.
    pub fn snapshot(&self, now: f64) -> ControlSnapshot {
        let controller = self.controller.borrow();
        let consensus = controller.consensus();
        let hard_state = consensus.hard_state();
        let mut primaries_by_phase = BTreeMap::new();
        for primary in controller.primaries() {
            *primaries_by_phase.entry(primary.phase).or_default() += 1;
        }
        let mut servers_by_phase = BTreeMap::from([("ready", 0), ("draining", 0)]);
        let present = controller
            .members()
            .all()
            .filter(|member| !member.info.departed);
        for member in present {
            let phase = if member.info.draining {
                "draining"
            } else {
                "ready"
            };
            *servers_by_phase.entry(phase).or_default() += 1;
        }
        ControlSnapshot {
            is_leader: controller.is_leader(),
            in_contact: consensus.in_contact(now),
            voted_term: hard_state.voted_term.0,
            state_version: hard_state.state.version,
            config_epoch: controller.config().0,
            voter_count: consensus.voters().len(),
            is_voter: consensus.voters().contains(&consensus.me()),
            disk_failed: consensus.disk_failed(),
            leased_routers: controller.leased_routers(now),
            primaries_by_phase,
            servers_by_phase,
        }
    }

    /// Returns the status for operators (`control-api`).
    pub(super) fn status(&self) -> Status {
        let controller = self.controller.borrow();
        let consensus = controller.consensus();
        let now = clock::now();
        let address = |node: &NodeId| Ipv4Addr::from(*node).to_string();
        Status {
            out_of_contact: !consensus.in_contact(now),
            out_of_contact_s: out_of_contact_s(consensus, now),
            disk_failed: consensus.disk_failed(),
            no_voter: !consensus.voters().contains(&consensus.me()),
            node: self.settings.node_name.clone(),
            leads: controller.is_leader(),
            leader: controller.leader().as_ref().map(address),
            voters: controller.voters().iter().map(address).collect(),
            epoch: controller.config().0,
            routers: controller.leased_routers(now) as u64,
            lease_s: self.lease_duration_s,
            primaries: controller
                .primaries()
                .into_iter()
                .map(primary_status)
                .collect(),
            members: controller
                .members()
                .all()
                .map(|member| &member.info)
                .filter(|info| !info.departed)
                .map(member_status)
                .collect(),
        }
    }
}

/// Returns for how long this machine has been out of contact with a majority, in seconds, or
/// [`NEVER_IN_CONTACT_S`].
fn out_of_contact_s(consensus: &Consensus, now: f64) -> f64 {
    if consensus.in_contact(now) {
        return 0.0;
    }
    let until = consensus.contact_until();
    if until.is_finite() {
        (now - until).max(0.0)
    } else {
        NEVER_IN_CONTACT_S
    }
}

fn primary_status(FailoverStatus { phase, grant }: FailoverStatus) -> PrimaryStatus {
    PrimaryStatus {
        service: grant.service,
        phase: phase.to_owned(),
        id: grant.server_id,
        term: grant.primary_term,
        in_use: !grant.revoking,
    }
}

fn member_status(member: &MemberInfo) -> MemberStatus {
    MemberStatus {
        id: member.id.clone(),
        service: member.service.clone(),
        endpoint: member.endpoint.clone(),
        zone: member.zone.clone(),
        slots: member.slots,
        draining: member.draining,
    }
}
