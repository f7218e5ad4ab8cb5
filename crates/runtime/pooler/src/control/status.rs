//! How this machine sees the system: the status that operators read, and the figures for metrics.
//! Reads only.

use super::ControlNode;
use crate::clock;
use crate::counters::ControlCounts;
use badgerstream_control::{Consensus, FailoverStatus, MemberInfo, NodeId};
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, Status};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// In a status: the machine was never in contact with a majority.
const NEVER_IN_CONTACT_S: f64 = -1.0;

/// The state of a control machine in numbers, for metrics.
pub struct ControlSnapshot {
    /// It is the leader.
    pub is_leader: bool,
    /// A majority answers, as far as it knows through its leader.
    pub in_contact: bool,
    /// The highest term that it voted in.
    pub voted_term: u64,
    /// Version of the newest state on its disk.
    pub state_version: u64,
    /// Epoch of the configuration that it knows.
    pub config_epoch: u64,
    /// How many voters there are.
    pub voter_count: usize,
    /// It is a voter.
    pub is_voter: bool,
    /// Its disk takes no writes.
    pub disk_failed: bool,
    /// Routers that hold a lease from it; 0 where it doesn't lead.
    pub leased_routers: usize,
    /// Services by the phase of their failover; none where it doesn't lead.
    pub primaries_by_phase: BTreeMap<&'static str, usize>,
    /// Database servers that are ready and that drain.
    pub servers_by_phase: BTreeMap<&'static str, usize>,
}

impl ControlNode {
    /// Counters since the start of the process.
    pub fn counts(&self) -> &ControlCounts {
        &self.counts
    }

    /// The state of this machine in numbers.
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

    /// The status for operators (`control-api`).
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
            lease_s: self.lease_duration,
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

/// For how long no majority has answered, in seconds.
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
