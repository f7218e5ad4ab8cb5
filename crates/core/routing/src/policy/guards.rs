//! Guards: what may be sent to whom. Every send passes `permitted`.

use super::{IDLE_S, LEAST_ROOM};
use crate::{
    Currency, Drain, Instance, Repeat, Standing, Within,
    state::{Node, Statement},
};

/// The part of a cold budget under one send that is used: rooms do not see there that a machine is shared.
const COLD_PART: f64 = 0.5;
/// Strain that no further answer confirms fades over this.
const FADE_S: f64 = 10.0;

impl Instance {
    /// `asks`: it is no repeat, but asks how an earlier execution ended.
    pub(super) fn permitted(&self, s: &Statement, id: u32, now: f64, asks: bool) -> bool {
        let node = &self.nodes[&id];
        let last_resort = s.writes() || self.groups[&s.group].primary == Some(id);
        !s.over
            && now < s.due
            && node.group == s.group
            && s.executions.len() < self.allowance.executions
            && (self.allowance.second_copies || s.live().next().is_none())
            && (asks || self.repeatable(s, Some(id), now))
            && !node.closed(&self.drain, last_resort, now)
            && self.bearable(node, id, s, now)
            && self.current(s, id, now)
    }

    /// Guards rule 2: what may have run is repeated only where its repeat is harmless or dropped.
    pub fn repeatable(&self, s: &Statement, to: Option<u32>, now: f64) -> bool {
        let Some(first) = s.may_have_run().next() else {
            return true;
        };
        match s.kind.repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Deduplicated { within, memory } => {
                let (from, to) = (
                    &self.nodes[&first.node],
                    &self.nodes[&to.unwrap_or(first.node)],
                );
                let same =
                    from.group == to.group && (within == Within::Group || from.zone == to.zone);
                let known = within == Within::Anywhere || same;
                // The repeat must also get there: a quarter of the memory is left for that.
                known && now - first.sent < memory * 0.75
            }
        }
    }

    /// Guards rule 4: in any window a cold node gets its part of what warm nodes are seen to bear, no more.
    /// Each router sees its own part of that, so the budgets add up, however far under one send they may be.
    pub fn bearable(&self, node: &Node, id: u32, s: &Statement, now: f64) -> bool {
        let warmth = node.warmth(&self.cold, now);
        if warmth >= 1.0 {
            return true;
        }
        let (window, floor) = (self.cold.window, LEAST_ROOM / self.routers);
        let budget = self.cold.factor * warmth * window * self.borne.1 / self.warm.max(1.0);
        let left =
            budget.max(floor) - node.sends.iter().filter(|at| now - **at < window).count() as f64;
        // What waited would go all at once: it shares with all that came meanwhile.
        let asks = self.asked(s.group, id) * window.max(now - s.arrived);
        (left >= 1.0 || s.lot * asks <= COLD_PART * left)
            && (node.out as f64) < (node.room * warmth).max(1.0)
    }

    /// Statements a second that would ask for this member if all were as good as another.
    pub(super) fn asked(&self, group: u16, id: u32) -> f64 {
        let ready = self
            .members(group)
            .filter(|m| m.1.in_service(&self.drain))
            .count()
            .max(1);
        let parts = if self.groups[&group].primary == Some(id) {
            ready.min(2)
        } else {
            ready
        };
        self.groups[&group].asked.1 / parts as f64
    }

    /// Of many routers each has room for a part of an execution: of what it would have out on average at the
    /// node's strain, the worthiest part goes. Guards against queues full of what nobody waits for any more.
    pub fn has_room(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        // No news is no strain: a node that was down must not stay out of use once it is back.
        let strain = node.strain * (-(now - node.strained_at) / FADE_S).exp();
        if node.room >= 1.0 || strain <= self.most_strain() {
            return (node.out as f64) < node.room.max(1.0);
        }
        node.out == 0 && s.lot * self.asked(s.group, id) * strain * s.kind.slo <= node.room
    }

    /// Guards rule 5: a member not believed primary answers a read only from a position known to do.
    pub fn current(&self, s: &Statement, id: u32, now: f64) -> bool {
        let node = &self.nodes[&id];
        if matches!(s.kind.currency, Currency::Primary | Currency::Loose) {
            return true;
        }
        let needed = s.needs(now);
        let leads = self.groups[&s.group].primary == Some(id) && node.claimed > node.denied;
        // Where nodes check, a likely position will do, or one untold for a second: a miss is cheap.
        let fresh = s.kind.currency != Currency::Latest && now - node.placed >= IDLE_S;
        let likely = fresh || now - 2.0 * node.lag >= needed;
        !self.positions_uncertain(s)
            && (leads || node.lsn >= needed || self.replication.checked && likely)
    }
}

impl Node {
    /// Guards rule 3: nothing new once told that the node drains or is gone. A draining primary may still
    /// take what no other member can for half of the grace, as it hands over only at its end.
    pub fn closed(&self, drain: &Drain, last_resort: bool, now: f64) -> bool {
        let fails = self.suspected.is_some() && !last_resort;
        match self.standing {
            Standing::Ready => false,
            Standing::Draining => !last_resort || now - self.told > drain.grace / 2.0,
            Standing::Gone => self.drained || fails || !drain.only_draining,
        }
    }
}
