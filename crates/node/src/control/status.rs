//! How this machine sees the system, for operators.

use super::*;

impl Control {
    /// How this machine sees the system, for operators.
    pub(super) fn status(&self) -> Status {
        let controller = self.controller.borrow();
        let node = |n: &Node| Ipv4Addr::from(*n).to_string();
        let primary = |(service, phase, grant): (String, &str, GrantNews)| PrimaryStatus {
            service,
            phase: phase.to_owned(),
            id: grant.id,
            term: grant.term,
            in_use: !grant.closing,
        };
        let member = |news: &MemberNews| MemberStatus {
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
            leads: controller.leads(),
            leader: controller.leader().as_ref().map(node),
            voters: controller.voters().iter().map(node).collect(),
            epoch: controller.config().0,
            routers: controller.routers(now) as u64,
            lease_s: self.lease,
            primaries: controller.primaries().into_iter().map(primary).collect(),
            members: controller.members().all().map(|m| &m.news).filter(|n| !n.gone).map(member).collect(),
        }
    }
}
