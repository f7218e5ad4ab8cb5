//! Connects an instance's records with the decisions of `badgerstream-primary-change`.
//!
//! It turns reports about nodes into evidence and statements into requests for admission, and notes each decision on
//! its statement. It decides nothing itself, and does nothing while primary changes are not configured.

use crate::state::{NEVER, ROUNDING_S, Statement};
use crate::{Consistency, ExecutionOutcome, Instance, NodeStatus, PolicyLimits, Repeat, Role};
use badgerstream_primary_change::{
    Admission, AdmissionRequest, Evidence, Phase, RepeatEffect, Resolution, Settings, Succession,
    resolve_doubt,
};

/// Maximum number of inquiries for the outcome of one statement.
const MAX_INQUIRIES: usize = 2;

impl Instance {
    /// Applies settings for primary changes: statements are held during changes from now on. Without settings the
    /// instance behaves as if it had never had any. `seed` is used when there were no settings before.
    pub fn configure_succession(&mut self, settings: Option<Settings>, seed: u64) {
        match (&mut self.succession, settings) {
            (Some(succession), Some(settings)) => succession.set_settings(settings),
            (none, Some(settings)) => {
                let mut succession = Succession::new(settings, seed, self.routers);
                for (group, of) in &self.groups {
                    for (id, node) in of.members.iter().map(|m| (*m, &self.nodes[m])) {
                        if Some(id) == of.primary {
                            succession.observe(
                                node.claimed_primary_at,
                                *group,
                                id,
                                Evidence::Leads {
                                    at: node.claimed_primary_at,
                                },
                            );
                        } else if node.denied_primary_at > NEVER {
                            succession.observe(
                                node.denied_primary_at,
                                *group,
                                id,
                                Evidence::Follows {
                                    at: node.denied_primary_at,
                                },
                            );
                        }
                    }
                }
                *none = Some(succession);
            }
            (some, None) => {
                *some = None;
                self.statements
                    .values_mut()
                    .for_each(|s| s.waits_for_primary = false);
            }
        }
        self.touch_all();
    }

    /// Number of the group's present term; 0 if terms are not counted.
    pub(crate) fn term(&self, group: u16) -> u64 {
        self.succession
            .as_ref()
            .map_or(0, |succession| succession.term(group))
    }

    /// Records a statement's size in bytes, and whether it carries a mark by which its outcome can be inquired.
    pub fn describe_statement(&mut self, stmt: u32, bytes: usize, marked: bool) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            s.bytes = bytes;
            s.carries_mark = marked;
        }
    }

    /// Returns whether a node's completion of a statement may be passed on to the client. A write may have completed
    /// on a branch of the log that is given up.
    pub fn trusts_completion(&self, stmt: u32, id: u32) -> bool {
        let (Some(succession), Some(s)) = (&self.succession, self.statements.get(&stmt)) else {
            return true;
        };
        !s.is_write() || succession.trusts_completion(s.group, id)
    }

    /// Records what a node's load report says of its log: the position `branch` up to which its primary took the log
    /// over, and the time `promoted` since when that primary leads, both in seconds.
    pub fn record_promotion(&mut self, now: f64, id: u32, branch: f64, promoted: f64) {
        if let (Some(succession), Some(node)) = (&mut self.succession, self.nodes.get(&id)) {
            succession.record_promotion(now, node.group, id, branch, promoted);
        }
    }

    /// Records evidence about a node, and looks again at the statements of its group if that changed the group's
    /// leadership.
    pub(crate) fn observe_evidence(&mut self, now: f64, id: u32, evidence: Evidence) {
        let (Some(succession), Some(node)) = (&mut self.succession, self.nodes.get(&id)) else {
            return;
        };
        let group = node.group;
        let leader_before = succession.leader(group);
        if !succession.observe(now, group, id, evidence) {
            return;
        }
        if let Some(old) = leader_before.filter(|old| succession.is_deposed(group, *old))
            && let Some(node) = self.nodes.get_mut(&old)
        {
            // As the primary it counted as up to date. Where its log stands in the group's log is now unknown.
            node.lsn = NEVER;
        }
        self.touch_group(group);
    }

    /// Returns the position that a node reported, or `NEVER` if the node is deposed and so may have a diverged log.
    pub(crate) fn trusted_position(&self, id: u32, lsn: f64) -> f64 {
        let (Some(succession), Some(node)) = (&self.succession, self.nodes.get(&id)) else {
            return lsn;
        };
        if succession.is_deposed(node.group, id) {
            NEVER
        } else {
            lsn
        }
    }

    /// Records the role that a node said it had at `at`.
    pub(crate) fn observe_role(&mut self, now: f64, id: u32, role: Option<Role>, at: f64) {
        match role {
            Some(Role::Primary) => self.observe_evidence(now, id, Evidence::Leads { at }),
            Some(Role::Replica) => self.observe_evidence(now, id, Evidence::Follows { at }),
            None => {}
        }
    }

    /// Records a node's entry in the list: its standing, and whether it is listed as the primary.
    pub(crate) fn observe_listing(&mut self, now: f64, id: u32, standing: NodeStatus, leads: bool) {
        if self.succession.is_some() {
            self.observe_evidence(
                now,
                id,
                if standing == NodeStatus::Ready {
                    Evidence::ListedInService
                } else {
                    Evidence::ListedAsLeaving
                },
            );
            if leads && standing == NodeStatus::Ready {
                self.observe_evidence(now, id, Evidence::ListedAsPrimary);
            }
        }
    }

    /// Records the end of an execution: what it says of the node, of the release and of commits. A node that refused
    /// the connection is unreachable.
    pub(crate) fn observe_execution_end(
        &mut self,
        now: f64,
        stmt: u32,
        id: u32,
        ending: ExecutionOutcome,
        role: Option<Role>,
        commit: Option<f64>,
    ) {
        if self.succession.is_none() {
            return;
        }
        if ending == ExecutionOutcome::ConnectFailed {
            self.observe_evidence(now, id, Evidence::Unreachable);
        }
        if matches!(
            ending,
            ExecutionOutcome::ConnectionLost | ExecutionOutcome::SendInterrupted
        ) {
            self.observe_evidence(now, id, Evidence::ConnectionBroke);
        }
        self.observe_role(now, id, role, now);
        let Some(group) = self.nodes.get(&id).map(|node| node.group) else {
            return;
        };
        let succession = self.succession.as_mut().expect("checked above");
        let completed = ending == ExecutionOutcome::Completed;
        let failed = !completed
            && !matches!(
                ending,
                ExecutionOutcome::Cancelled | ExecutionOutcome::NeverIssued
            );
        succession.record_execution_end(now, group, stmt, id, completed, failed);
        if let Some(commit) = commit {
            succession.record_acknowledged(group, id, commit);
        }
    }

    /// Decides whether a statement may be sent as far as the primary change is concerned, and notes on the statement
    /// whether it waits for a primary. Statements that need no primary now may always be sent.
    pub(crate) fn admit_statement(&mut self, stmt: u32, now: f64) -> Admission {
        let s = &self.statements[&stmt];
        if self
            .succession
            .as_ref()
            .is_none_or(|succession| succession.is_settled(s.group))
        {
            if s.waits_for_primary {
                self.statements
                    .get_mut(&stmt)
                    .expect("open")
                    .waits_for_primary = false;
            }
            return Admission::Send;
        }
        let request = self.admission_request(s, now);
        // A statement that a replica can take needs no admission, and may not take the new primary's capacity.
        let needs_no_primary = request.is_none();
        let admission = match (request, &mut self.succession) {
            (Some(request), Some(succession)) => succession.admit(now, stmt, &request),
            _ => Admission::Send,
        };
        // A read that any member may answer falls back to the primary as usual, once there is one.
        let has_new_leader = self
            .succession
            .as_ref()
            .is_some_and(|succession| succession.phase(s.group) == Phase::Settling);
        let may_use_primary = has_new_leader && !s.is_write() && !self.prefers_primary(s, now);
        let s = self.statements.get_mut(&stmt).expect("open");
        s.waits_for_primary = needs_no_primary && !may_use_primary || admission != Admission::Send;
        match admission {
            // The release was paced already: the statement waits for no delay of its own.
            Admission::Send if !needs_no_primary => s.held_until = s.held_until.min(now),
            Admission::Reject { retry_after_s } => s.retry_after_s = retry_after_s,
            Admission::Send | Admission::Hold => {}
        }
        admission
    }

    /// Returns the request for admission of a statement; `None` if the statement needs no primary now, or could not be
    /// sent to one.
    fn admission_request(&self, s: &Statement, now: f64) -> Option<AdmissionRequest> {
        // An execution in flight that is not overdue is left to finish.
        let all_overdue = s.in_flight().all(|e| self.overdue(e, now));
        let in_flight = s.in_flight().next().is_some();
        let needs_primary = match s.workload.consistency {
            Consistency::Primary => {
                all_overdue && !(in_flight && s.workload.repeat == Repeat::NonIdempotent)
            }
            _ => !in_flight && self.prefers_primary(s, now) && !self.replica_can_serve(s, now),
        };
        // A statement that may neither be sent again nor inquired about takes no place from those that may.
        let stuck =
            !self.repeatable(s, None, now) && self.doubt_resolution(s, now) != Resolution::Inquire;
        let leader_certain = self
            .succession
            .as_ref()
            .is_some_and(|succession| !succession.leader_uncertain(now, s.group));
        let needs_primary = needs_primary && !(stuck && leader_certain);
        let may_be_trial = !self.limits.probes && s.workload.repeat != Repeat::NonIdempotent;
        needs_primary.then(|| AdmissionRequest {
            group: s.group,
            session: s.session,
            bytes: s.bytes,
            worth: s.value,
            arrived: s.arrived_at,
            deadline: s.last_useful_at(),
            may_have_run: s.is_write() && s.may_have_run().next().is_some(),
            taken_by_draining_leader: self.groups[&s.group]
                .primary
                .is_some_and(|p| !self.nodes[&p].is_closed(&self.drain, true, now)),
            may_be_trial: may_be_trial && s.executions.len() * 2 < self.limits.max_executions,
        })
    }

    /// Returns whether the outcome of a statement may still be inquired: now, or once the present change has brought a
    /// new leader.
    pub(crate) fn may_inquire(&self, s: &Statement, now: f64) -> bool {
        let Some(succession) = &self.succession else {
            return false;
        };
        let (inquiries, errored) = s.executions.iter().filter(|e| e.is_inquiry).fold(
            (0, false),
            |(inquiries, errored), e| {
                (
                    inquiries + 1,
                    errored || matches!(e.outcome, Some(ExecutionOutcome::Errored)),
                )
            },
        );
        // An inquiry that ended in an error says that the outcome can't be told: another one would not either.
        let open = inquiries < MAX_INQUIRIES && !errored;
        let changing = succession.leader_uncertain(now, s.group);
        open && (self.doubt_resolution(s, now) == Resolution::Inquire
            || changing && s.carries_mark && succession.settings().outcomes)
    }

    /// Decides what to do with a write whose answer is missing.
    pub(crate) fn doubt_resolution(&self, s: &Statement, now: f64) -> Resolution {
        let (Some(succession), Some(first)) = (&self.succession, s.may_have_run().next()) else {
            return Resolution::Resend;
        };
        let repeat = match s.workload.repeat {
            Repeat::Idempotent => RepeatEffect::Harmless,
            Repeat::Deduplicated { .. } if self.repeatable(s, None, now) => RepeatEffect::Dropped {
                until: f64::INFINITY,
            },
            _ => RepeatEffect::Harmful,
        };
        let sent_term = s.may_have_run().map(|e| e.term).max().unwrap_or(first.term);
        let inquiries_supported = succession.settings().outcomes;
        resolve_doubt(
            repeat,
            now,
            inquiries_supported,
            s.carries_mark,
            sent_term,
            succession.term(s.group),
        )
    }

    /// Returns whether a read must see a commit that is lost: no node can show it, and none may pretend to.
    pub(crate) fn requires_lost_commit(&self, s: &Statement) -> bool {
        let Some(succession) = self
            .succession
            .as_ref()
            .filter(|_| s.workload.consistency == Consistency::OwnWrites)
        else {
            return false;
        };
        // The age that a statement carries was rounded up by one step; half a step more tells neighbours apart.
        [s.required_lsn - 1.5 * ROUNDING_S, s.session_write_lsn]
            .iter()
            .any(|commit| succession.is_lost(s.group, *commit))
    }

    /// Returns whether a node's position does not prove at present that the node has the writes of the statement's
    /// session.
    pub(crate) fn positions_uncertain(&self, s: &Statement) -> bool {
        let needs_own_writes =
            s.workload.consistency == Consistency::OwnWrites && s.required_lsn > NEVER;
        needs_own_writes
            && self
                .succession
                .as_ref()
                .is_some_and(|succession| succession.positions_uncertain(s.group))
    }

    /// Settles groups whose change is over, looks again at statements evicted from the queue, and writes the log.
    pub(crate) fn settle_succession(&mut self, now: f64, out: &mut dyn crate::Outbox) {
        if let Some(succession) = &mut self.succession {
            let evicted = succession.settle(now);
            succession
                .take_log_lines()
                .iter()
                .for_each(|line| out.log(line));
            evicted.into_iter().for_each(|stmt| self.touch(stmt));
        }
    }

    /// Returns whether the members of a group are probed to find its leader.
    pub(crate) fn needs_leader_probes(&self, group: u16, now: f64) -> bool {
        self.succession
            .as_ref()
            .is_some_and(|succession| succession.needs_leader_probes(now, group))
    }
}

impl Statement {
    /// Seconds after which a rejected client should try again: this statement's own, within the maximum that clients
    /// follow.
    pub(crate) fn retry_after(&self, limits: &PolicyLimits) -> f64 {
        self.retry_after_s.min(limits.max_retry_after_s)
    }
}
