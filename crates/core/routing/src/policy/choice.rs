//! Choosing a node for a statement: the primary, the next replica, or whom to ask first.

use super::{BEAT_S, IDLE_S, PROBE_SHARE, SEARCH_S};
use crate::{
    Currency, Ending, Instance, MARK_S, Repeat, Workload,
    state::{Execution, Node, Statement},
};

/// A suspect's first trial comes after this, and none after more than eight times as long.
const TRIAL_S: f64 = 0.5;

impl Instance {
    /// The design's steps 1 to 5.
    pub fn choose(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let believed = self.groups[&s.group].primary;
        let primary = believed.filter(|p| !s.waits && self.open(s, *p, now));
        match s.kind.currency {
            Currency::Primary if believed.is_none() => self.next_asked(s, now).filter(|_| !s.waits),
            Currency::Primary => primary,
            // The design's relief: a replica known past the write, when the primary is full or its peers
            // answer in half the time.
            _ if self.pinned(s, now) => {
                let spare = primary.filter(|p| self.nodes[p].pace <= 2.0 * self.pace(s.group));
                spare.or_else(|| self.rotate(stmt, now)).or(primary)
            }
            _ => self.spread(stmt, primary, now),
        }
    }

    /// A replica; the primary only when no probe may still tell of one.
    pub(super) fn spread(&mut self, stmt: u32, primary: Option<u32>, now: f64) -> Option<u32> {
        let (replica, s) = (self.rotate(stmt, now), &self.statements[&stmt]);
        let asked = || now - s.probed < BEAT_S && self.members(s.group).any(|m| m.1.probing);
        replica.or_else(|| primary.filter(|_| !asked() && self.unknown(s, now).is_none()))
    }

    /// Where replicas are too far behind for the rest, a third of them, the same at every router, takes the reads
    /// of any age: long ones can keep a replica from applying, and spread evenly they hold back all. Harm: less
    /// room for them.
    fn gathers(&self, s: &Statement, now: f64) -> Vec<u32> {
        let most = self
            .workloads
            .iter()
            .filter_map(Workload::bound)
            .fold(MARK_S, f64::min)
            / 2.0;
        let late = |n: &Node| n.lag > most && now - n.placed < n.lag;
        let (loose, primary) = (
            s.kind.currency == Currency::Loose,
            self.groups[&s.group].primary,
        );
        let replica =
            |m: &(u32, &Node)| loose && Some(m.0) != primary && m.1.in_service(&self.drain);
        let mut replicas: Vec<(u32, &Node)> = self.members(s.group).filter(replica).collect();
        let third = if replicas.iter().any(|m| late(m.1)) {
            replicas.len().div_ceil(3)
        } else {
            0
        };
        replicas.sort_unstable_by_key(|m| m.0);
        replicas[..third].iter().map(|m| m.0).collect()
    }

    /// The member to probe next for what a statement waits to know, if its worth bears the price.
    pub(super) fn unknown(&self, s: &Statement, now: f64) -> Option<u32> {
        let dear = (s.probes + 1.0) * self.allowance.probe_price > PROBE_SHARE;
        if dear || now - s.probed < SEARCH_S || s.live().next().is_some() {
            return None;
        }
        let trusted = |n: &Node| n.suspected.is_none() && n.in_service(&self.drain);
        let led = self.groups[&s.group]
            .primary
            .filter(|p| trusted(&self.nodes[p]));
        let (pinned, loose) = (self.pinned(s, now), s.kind.currency == Currency::Loose);
        let known = if pinned {
            led.is_some()
        } else {
            self.replication.checked || loose
        };
        let idle = if pinned { SEARCH_S } else { IDLE_S };
        let asks = |(id, n): &(u32, &Node)| {
            let tells = pinned || Some(*id) != led && trusted(n) && !self.current(s, *id, now);
            !known && tells && n.in_service(&self.drain) && !n.probing && now - n.probed >= idle
        };
        let unasked = |n: &Node| (n.probed.max(n.denied), !n.listed_primary);
        let members = self.members(s.group).filter(asks);
        members
            .min_by(|a, b| unasked(a.1).partial_cmp(&unasked(b.1)).expect("no NaN"))
            .map(|m| m.0)
    }

    /// The next eligible replica of the group's rotation.
    fn rotate(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let group = &self.groups[&s.group];
        let (size, mut rotation) = (group.members.len(), group.rotation);
        let gathers = self.gathers(s, now);
        let within = |id: u32| gathers.is_empty() || gathers.contains(&id);
        let replica = |i: usize| Some(group.members[i]) != group.primary;
        let able = |i: usize| {
            replica(i) && within(group.members[i]) && self.open(s, group.members[i], now)
        };
        // Who keeps to some replicas takes any other where none of these will do.
        let kept = |i: usize| self.uses_replica(s.group, group.members[i]) && able(i);
        let next = rotation
            .next(size, kept)
            .or_else(|| rotation.next(size, able))?;
        let chosen = group.members[next];
        self.groups.get_mut(&s.group).expect("known").rotation = rotation;
        Some(chosen)
    }

    /// Whether a node may be chosen now: in health or on trial, with room, and not met in vain.
    pub(super) fn open(&self, s: &Statement, id: u32, now: f64) -> bool {
        self.open_for(s, id, now, false)
    }

    pub(super) fn open_for(&self, s: &Statement, id: u32, now: f64, asks: bool) -> bool {
        let (node, leads) = (&self.nodes[&id], self.groups[&s.group].primary == Some(id));
        let again = |e: &Execution| match e.ended {
            // Only the primary will do for some: what it answered may have got lost on the way.
            None => leads && self.overdue(e, now),
            Some(Ending::Missed) => s.writes() || now - e.sent > s.hold(),
            Some(_) => s.writes(),
        };
        let met = s.executions.iter().any(|e| e.node == id && !again(e));
        // A suspect is tried by one execution at a time, each trial later than the one before.
        let due = now - node.trial_at >= TRIAL_S * 2f64.powi(node.trials.min(3));
        let trial = due && s.kind.repeat != Repeat::NonIdempotent && self.may_try_suspect(id, now);
        // A whole group that looks bad shares one trouble: suspicion alone never leaves it without a member.
        let bad = |m: (u32, &Node)| m.1.suspected.is_some() || !m.1.in_service(&self.drain);
        let trusted = node.suspected.is_none() || trial || self.members(s.group).all(bad);
        !met && trusted
            && self.pacing_allows_send(id, now)
            && self.has_room(s, id, now)
            && self.permitted(s, id, now, asks)
    }
}
