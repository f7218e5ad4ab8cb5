//! The primary: who is believed to be it, who is asked while nobody is, and which reads keep to it.

use crate::{
    Currency, Instance, Outbox,
    state::{NEVER, Node, Statement},
};

impl Instance {
    /// The primary is the last member to answer as primary, until it answers otherwise.
    pub(super) fn believe(&mut self, now: f64, out: &mut dyn Outbox) {
        for id in &self.touched_groups {
            let group = self.groups.get_mut(id).expect("known");
            let members = group.members.iter().map(|m| (&self.nodes[m], *m));
            let claims = members.filter(|(n, _)| n.claimed > n.denied);
            let last = claims
                .max_by(|a, b| a.0.claimed.total_cmp(&b.0.claimed))
                .map(|c| c.1);
            // Where terms are counted, they decide between claimants.
            let last = self
                .succession
                .as_ref()
                .map_or(last, |succession| succession.leader(*id));
            if last != group.primary {
                out.log(&format!(
                    "{now:.3} group {id}: primary {:?} -> {last:?}",
                    group.primary
                ));
                group.primary = last;
                let held = group.waiting.iter().filter(|_| last.is_some());
                held.for_each(|w| self.statements.get_mut(w).expect("open").held_until = now);
            }
        }
    }

    /// No primary is known: the listed one first, then who has most of the log, for a round at most.
    pub(super) fn next_asked(&self, s: &Statement, now: f64) -> Option<u32> {
        let early = s.executions.len() * 2 < self.allowance.executions;
        let able =
            |(id, n): &(u32, &Node)| early && now - n.denied >= s.hold() && self.open(s, *id, now);
        let rank = |n: &Node| (n.listed_primary && n.denied == NEVER, n.lsn);
        let best = self.members(s.group).filter(able);
        best.max_by(|a, b| rank(a.1).partial_cmp(&rank(b.1)).expect("no NaN"))
            .map(|m| m.0)
    }

    pub(crate) fn pinned(&self, s: &Statement, now: f64) -> bool {
        match s.kind.currency {
            Currency::Primary | Currency::Latest => true,
            Currency::OwnWrites => {
                s.fresh_age
                    || self
                        .sessions
                        .get(&s.session)
                        .is_some_and(|s| s.0.marked(now))
            }
            Currency::Recent { .. } | Currency::Loose => false,
        }
    }

    /// Some replica will do for a read now.
    pub(crate) fn read_elsewhere(&self, s: &Statement, now: f64) -> bool {
        let primary = self.groups[&s.group].primary;
        self.members(s.group)
            .any(|m| Some(m.0) != primary && self.open(s, m.0, now))
    }
}
