//! The primary of a group: which node is believed to be it, which node to try while none is, and which reads prefer
//! it.

use crate::{
    Consistency, Instance, Outbox,
    state::{NEVER, Node, Statement},
};

impl Instance {
    /// Updates the primary of each touched group: the member that was the last to report that it is the primary,
    /// until it reports otherwise. Where terms are counted, they decide between several such members.
    pub(super) fn update_primaries(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in &self.touched_groups {
            let group = self.groups.get_mut(id).expect("known");
            let members = group.members.iter().map(|m| (&self.nodes[m], *m));
            let claimants = members.filter(|(n, _)| n.claimed_primary_at > n.denied_primary_at);
            let last_claimant = claimants
                .max_by(|a, b| a.0.claimed_primary_at.total_cmp(&b.0.claimed_primary_at))
                .map(|c| c.1);
            let primary = self
                .succession
                .as_ref()
                .map_or(last_claimant, |succession| succession.leader(*id));
            if primary != group.primary {
                out.log(&format!(
                    "{now:.3} group {id}: primary {:?} -> {primary:?}",
                    group.primary
                ));
                group.primary = primary;
                // Once there is a primary, held statements may go at once.
                let held = group.waiting.iter().filter(|_| primary.is_some());
                held.for_each(|w| self.statements.get_mut(w).expect("open").held_until = now);
            }
        }
    }

    /// Returns the member to send a write to while no primary is known: first the listed primary, then the member
    /// with the highest position. Each member is tried once per hold time, with at most half of the executions.
    pub(super) fn next_primary_candidate(&self, s: &Statement, now: f64) -> Option<u32> {
        let few_executions = s.executions.len() * 2 < self.limits.max_executions;
        let eligible = |(id, n): &(u32, &Node)| {
            few_executions && now - n.denied_primary_at >= s.hold_s() && self.can_take(s, *id, now)
        };
        let preference = |n: &Node| (n.listed_primary && n.denied_primary_at == NEVER, n.lsn);
        let candidates = self.members(s.group).filter(eligible);
        candidates
            .max_by(|a, b| {
                preference(a.1)
                    .partial_cmp(&preference(b.1))
                    .expect("no NaN")
            })
            .map(|m| m.0)
    }

    /// Returns whether a statement goes to the primary if it can: writes, reads of the latest data, and reads of a
    /// session that wrote or used the primary a moment ago.
    pub(crate) fn prefers_primary(&self, s: &Statement, now: f64) -> bool {
        match s.workload.consistency {
            Consistency::Primary | Consistency::Latest => true,
            Consistency::OwnWrites => {
                s.wrote_recently
                    || self
                        .sessions
                        .get(&s.session)
                        .is_some_and(|session| session.affinity.is_active(now))
            }
            Consistency::Recent { .. } | Consistency::Loose => false,
        }
    }

    /// Returns whether some member other than the primary can take a read now.
    pub(crate) fn replica_can_serve(&self, s: &Statement, now: f64) -> bool {
        let primary = self.groups[&s.group].primary;
        self.members(s.group)
            .any(|m| Some(m.0) != primary && self.can_take(s, m.0, now))
    }
}
