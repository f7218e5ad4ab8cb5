//! How this machine sees the system, for operators.

use super::*;
use std::collections::BTreeMap;

/// How this machine stands, in numbers.
pub struct ControlFigures {
    /// It leads.
    pub leads: bool,
    /// A majority is heard, through its leader.
    pub in_contact: bool,
    /// The highest ballot that it promised.
    pub ballot: u64,
    /// Number of the newest state on its disk.
    pub sequence: u64,
    /// Version of the configuration that it knows.
    pub epoch: u64,
    /// How many control machines decide.
    pub voters: usize,
    /// It is one of them.
    pub votes: bool,
    /// Its disk takes no saves.
    pub disk_failed: bool,
    /// Routers that hold a lease from it.
    pub routers: usize,
    /// Services by the phase of their primary; none where it doesn't lead.
    pub primaries: BTreeMap<&'static str, usize>,
    /// Database servers that are ready and that drain.
    pub servers: BTreeMap<&'static str, usize>,
}

impl Control {
    /// What was asked and done since the start of the process.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// How this machine stands, in numbers.
    pub fn figures(&self, now: f64) -> ControlFigures {
        let controller = self.controller.borrow();
        let consensus = controller.consensus();
        let record = consensus.hard_state();
        let mut primaries = BTreeMap::new();
        for primary in controller.primaries() {
            *primaries.entry(primary.phase).or_default() += 1;
        }
        let mut servers = BTreeMap::from([("ready", 0), ("draining", 0)]);
        for member in controller
            .members()
            .all()
            .filter(|member| !member.info.departed)
        {
            *servers
                .entry(if member.info.draining {
                    "draining"
                } else {
                    "ready"
                })
                .or_default() += 1;
        }
        ControlFigures {
            leads: controller.is_leader(),
            in_contact: consensus.in_contact(now),
            ballot: record.voted_term.0,
            sequence: record.state.version,
            epoch: controller.config().0,
            voters: consensus.voters().len(),
            votes: consensus.voters().contains(&consensus.me()),
            disk_failed: consensus.disk_failed(),
            routers: controller.leased_routers(now),
            primaries,
            servers,
        }
    }

    /// How this machine sees the system, for operators.
    pub(super) fn status(&self) -> Status {
        let controller = self.controller.borrow();
        let node = |n: &NodeId| Ipv4Addr::from(*n).to_string();
        let primary = |FailoverStatus { phase, grant }| PrimaryStatus {
            service: grant.service,
            phase: phase.to_owned(),
            id: grant.server_id,
            term: grant.primary_term,
            in_use: !grant.revoking,
        };
        let member = |news: &MemberInfo| MemberStatus {
            id: news.id.clone(),
            service: news.service.clone(),
            endpoint: news.endpoint.clone(),
            zone: news.zone.clone(),
            slots: news.slots,
            draining: news.draining,
        };
        let now = clock::now();
        let consensus = controller.consensus();
        let in_contact = consensus.in_contact(now);
        let since = match consensus.contact_until() {
            _ if in_contact => 0.0,
            until if until.is_finite() => (now - until).max(0.0),
            _ => -1.0,
        };
        Status {
            out_of_contact: !in_contact,
            out_of_contact_s: since,
            disk_failed: consensus.disk_failed(),
            no_voter: !consensus.voters().contains(&consensus.me()),
            node: self.name.clone(),
            leads: controller.is_leader(),
            leader: controller.leader().as_ref().map(node),
            voters: controller.voters().iter().map(node).collect(),
            epoch: controller.config().0,
            routers: controller.leased_routers(now) as u64,
            lease_s: self.lease,
            primaries: controller.primaries().into_iter().map(primary).collect(),
            members: controller
                .members()
                .all()
                .map(|m| &m.info)
                .filter(|n| !n.departed)
                .map(member)
                .collect(),
        }
    }
}
