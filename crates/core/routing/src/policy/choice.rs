//! Choice of a node for a statement: the primary, the next replica, or a member to probe first.

use super::{CHECK_INTERVAL_S, MAX_PROBE_COST_SHARE, MAX_SILENCE_S, SEARCH_INTERVAL_S};
use crate::{
    Consistency, ExecutionOutcome, Instance, PRIMARY_AFFINITY_S, Repeat, Workload,
    state::{Execution, Node, Statement},
};

/// A suspect gets its first trial execution after this time. The time doubles with each trial, up to eightfold.
const FIRST_TRIAL_S: f64 = 0.5;

impl Instance {
    /// Returns the node that a statement should be sent to now, if any: steps 1 to 5 of the design.
    pub fn choose(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let known_primary = self.groups[&s.group].primary;
        let primary = known_primary.filter(|p| !s.waits_for_primary && self.can_take(s, *p, now));
        match s.workload.consistency {
            Consistency::Primary if known_primary.is_none() => self
                .next_primary_candidate(s, now)
                .filter(|_| !s.waits_for_primary),
            Consistency::Primary => primary,
            // The design's relief of the primary: a replica whose position is known to suffice takes the read if
            // the primary is full, or if another member answers in less than half the primary's time.
            _ if self.prefers_primary(s, now) => {
                let quick_primary =
                    primary.filter(|p| self.nodes[p].latency_s <= 2.0 * self.best_latency(s.group));
                quick_primary
                    .or_else(|| self.next_replica(stmt, now))
                    .or(primary)
            }
            _ => self.choose_replica_or_primary(stmt, primary, now),
        }
    }

    /// Returns the next replica. The primary is used only if there is none, and if no probe, in flight or still
    /// allowed, may find one.
    pub(super) fn choose_replica_or_primary(
        &mut self,
        stmt: u32,
        primary: Option<u32>,
        now: f64,
    ) -> Option<u32> {
        let replica = self.next_replica(stmt, now);
        let s = &self.statements[&stmt];
        let probing = || {
            now - s.last_probe_at < CHECK_INTERVAL_S
                && self.members(s.group).any(|m| m.1.probe_in_flight)
        };
        replica.or_else(|| primary.filter(|_| !probing() && self.member_to_probe(s, now).is_none()))
    }

    /// Returns the replicas that reads of any age are restricted to; empty if there is no restriction. Once a
    /// replica is too far behind for the other reads, a third of the replicas, the same at every router, takes the
    /// reads of any age: long ones can keep a replica from applying the log, and spread evenly they would hold back
    /// all replicas. The drawback: less capacity for these reads.
    fn gathering_replicas(&self, s: &Statement, now: f64) -> Vec<u32> {
        let max_lag_s = self
            .workloads
            .iter()
            .filter_map(Workload::max_age_s)
            .fold(PRIMARY_AFFINITY_S, f64::min)
            / 2.0;
        let lags = |n: &Node| n.lag > max_lag_s && now - n.lag_known_at < n.lag;
        let any_age = s.workload.consistency == Consistency::Loose;
        let primary = self.groups[&s.group].primary;
        let replica =
            |m: &(u32, &Node)| any_age && Some(m.0) != primary && m.1.in_service(&self.drain);
        let mut replicas: Vec<(u32, &Node)> = self.members(s.group).filter(replica).collect();
        let gathering = if replicas.iter().any(|m| lags(m.1)) {
            replicas.len().div_ceil(3)
        } else {
            0
        };
        replicas.sort_unstable_by_key(|m| m.0);
        replicas[..gathering].iter().map(|m| m.0).collect()
    }

    /// Returns the member to probe next for a statement that waits to know the primary or the position of a replica,
    /// if its value justifies the cost of the probe.
    pub(super) fn member_to_probe(&self, s: &Statement, now: f64) -> Option<u32> {
        let too_expensive =
            (s.probe_count + 1.0) * self.limits.probe_cost_share > MAX_PROBE_COST_SHARE;
        if too_expensive
            || now - s.last_probe_at < SEARCH_INTERVAL_S
            || s.in_flight().next().is_some()
        {
            return None;
        }
        let trusted = |n: &Node| n.suspected_at.is_none() && n.in_service(&self.drain);
        let trusted_primary = self.groups[&s.group]
            .primary
            .filter(|p| trusted(&self.nodes[p]));
        let needs_primary = self.prefers_primary(s, now);
        let any_age = s.workload.consistency == Consistency::Loose;
        let nothing_to_learn = if needs_primary {
            trusted_primary.is_some()
        } else {
            self.replication.nodes_check_freshness || any_age
        };
        let interval_s = if needs_primary {
            SEARCH_INTERVAL_S
        } else {
            MAX_SILENCE_S
        };
        let worth_probing = |(id, n): &(u32, &Node)| {
            let can_tell = needs_primary
                || Some(*id) != trusted_primary && trusted(n) && !self.fresh_enough(s, *id, now);
            !nothing_to_learn
                && can_tell
                && n.in_service(&self.drain)
                && !n.probe_in_flight
                && now - n.last_probe_at >= interval_s
        };
        // First the member whose last probe, or last report that it is not the primary, is the oldest; among
        // equals, the listed primary.
        let order = |n: &Node| (n.last_probe_at.max(n.denied_primary_at), !n.listed_primary);
        let members = self.members(s.group).filter(worth_probing);
        members
            .min_by(|a, b| order(a.1).partial_cmp(&order(b.1)).expect("no NaN"))
            .map(|m| m.0)
    }

    /// Returns the next replica in the group's rotation that can take a statement.
    fn next_replica(&mut self, stmt: u32, now: f64) -> Option<u32> {
        let s = &self.statements[&stmt];
        let group = &self.groups[&s.group];
        let size = group.members.len();
        let mut rotation = group.rotation;
        let gathering = self.gathering_replicas(s, now);
        let within = |id: u32| gathering.is_empty() || gathering.contains(&id);
        let is_replica = |i: usize| Some(group.members[i]) != group.primary;
        let able = |i: usize| {
            is_replica(i) && within(group.members[i]) && self.can_take(s, group.members[i], now)
        };
        // A router that keeps to a subset of the replicas uses any other if none of these can take the statement.
        let in_subset = |i: usize| self.uses_replica(s.group, group.members[i]) && able(i);
        let next = rotation
            .next(size, in_subset)
            .or_else(|| rotation.next(size, able))?;
        let chosen = group.members[next];
        self.groups.get_mut(&s.group).expect("known").rotation = rotation;
        Some(chosen)
    }

    /// Returns whether a node can take a statement now: it is trusted or due for a trial, has capacity, and has not
    /// already failed to answer this statement.
    pub(super) fn can_take(&self, s: &Statement, id: u32, now: f64) -> bool {
        self.can_take_execution(s, id, now, false)
    }

    /// As [`Instance::can_take`], also for an inquiry about an earlier execution (`is_inquiry`).
    pub(super) fn can_take_execution(
        &self,
        s: &Statement,
        id: u32,
        now: f64,
        is_inquiry: bool,
    ) -> bool {
        let node = &self.nodes[&id];
        let is_primary = self.groups[&s.group].primary == Some(id);
        let may_try_again = |e: &Execution| match e.outcome {
            // Some statements can only go to the primary, and its answer may have been lost on the way.
            None => is_primary && self.overdue(e, now),
            Some(ExecutionOutcome::NotEligible) => s.is_write() || now - e.sent_at > s.hold_s(),
            Some(_) => s.is_write(),
        };
        let tried_before = s
            .executions
            .iter()
            .any(|e| e.node == id && !may_try_again(e));
        // A suspect gets one trial execution at a time, each after a longer wait than the one before.
        let trial_due = now - node.last_trial_at >= FIRST_TRIAL_S * 2f64.powi(node.trials.min(3));
        let trial = trial_due
            && s.workload.repeat != Repeat::NonIdempotent
            && self.may_try_suspect(id, now);
        // If all members of a group look bad, they share one cause: suspicion alone never leaves a group without
        // members.
        let bad = |m: (u32, &Node)| m.1.suspected_at.is_some() || !m.1.in_service(&self.drain);
        let trusted = node.suspected_at.is_none() || trial || self.members(s.group).all(bad);
        !tried_before
            && trusted
            && self.pacing_allows_send(id, now)
            && self.has_capacity(s, id, now)
            && self.permitted(s, id, now, is_inquiry)
    }
}
