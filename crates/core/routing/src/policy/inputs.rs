//! Inputs: they record what happened, and touch the statements and groups that it concerns.

use super::{
    HEDGE_UNANSWERED_SHARE, INITIAL_CONCURRENCY_LIMIT, MIN_CONCURRENCY_LIMIT, PRIOR_ANSWERS,
};
use crate::{
    Consistency, ExecutionOutcome, Instance, NodeStatus, PRIMARY_AFFINITY_S, PrimaryAffinity, Role,
};
use crate::{
    state::{
        AnswerContext, Execution, NEVER, Node, ROUNDING_S, Session, Statement, served_value_of,
    },
    succession::Evidence,
};

impl Instance {
    /// A list entry: a node with its status, the time of its last start, and whether it is listed as primary.
    pub fn list_member(
        &mut self,
        now: f64,
        id: u32,
        (group, zone): (u16, u8),
        status: NodeStatus,
        started_at: f64,
        is_primary: bool,
    ) {
        let members = &mut self.groups.entry(group).or_default().members;
        if !members.contains(&id) {
            // A random place: if all routers started their rotation at the same member, they would overload it.
            members.insert(self.rng.usize(0..=members.len()), id);
        }
        let node = self.nodes.entry(id).or_insert_with(|| {
            // Initial latency estimate until the node's own answers are known: half of the shortest SLO time.
            let latency_s = self
                .workloads
                .iter()
                .map(|w| w.slo)
                .fold(f64::INFINITY, f64::min)
                / 2.0;
            Node::new(
                group,
                zone,
                INITIAL_CONCURRENCY_LIMIT / self.routers,
                MIN_CONCURRENCY_LIMIT / self.routers,
                latency_s,
                PRIOR_ANSWERS,
            )
        });
        node.list_number = self.list_number;
        node.listed_primary = is_primary;
        node.set_status(status, now);
        if started_at > node.started_at + ROUNDING_S {
            node.started_at = started_at;
            node.listed_draining = status == NodeStatus::Draining;
            node.suspected_at = None;
            node.faults = 0;
            node.congestion = 0.0;
            node.unanswered_in_a_row = 0;
        }
        self.touched_groups.insert(group);
        self.observe_listing(now, id, status, is_primary);
    }

    /// The list ends. If it is `complete`, nodes that are not in it are gone.
    pub fn list_ends(&mut self, now: f64, complete: bool) {
        let missing = self
            .nodes
            .iter_mut()
            .filter(|n| complete && n.1.list_number != self.list_number);
        let missing = missing.map(|(id, node)| {
            node.set_status(NodeStatus::Gone, now);
            self.touched_groups.insert(node.group);
            *id
        });
        missing
            .collect::<Vec<u32>>()
            .iter()
            .for_each(|id| self.observe_evidence(now, *id, Evidence::ListedAsLeaving));
    }

    /// A statement arrived. `work` is its own expected duration and `write_age` the age of its session's last
    /// write that it carries, both in seconds and 0 if unknown; `deadline` is the time at which its client stops
    /// waiting.
    pub fn arrived(
        &mut self,
        now: f64,
        stmt: u32,
        workload: usize,
        group: u16,
        session: u64,
        tenant: usize,
        work: f64,
        deadline: f64,
        write_age: f64,
    ) {
        let kind = self.workloads[workload];
        let mut s = Statement {
            workload: kind,
            group,
            session,
            arrived_at: now,
            held_until: now,
            deadline,
            last_probe_at: NEVER,
            slo_deadline: now + (kind.slo + kind.slo_stretch * work).min(kind.timeout),
            share_indices: [workload, tenant],
            value: kind.importance * self.quota_value_share(now, tenant),
            ..Statement::default()
        };
        served_value_of(&mut self.served_value, &s).for_each(|value| value.requested += s.value);
        // The carried age may be older than the last write answered by this router: the later of both counts.
        let session_write_lsn = self
            .sessions
            .get(&session)
            .map_or(NEVER, |s| s.last_write_lsn);
        s.session_write_lsn = session_write_lsn;
        s.required_lsn = match kind.consistency {
            Consistency::Latest => now,
            _ if write_age > 0.0 => session_write_lsn.max(now - write_age + ROUNDING_S),
            _ => session_write_lsn,
        };
        s.wrote_recently = write_age > 0.0 && write_age < PRIMARY_AFFINITY_S;
        s.halfway_at = (now + deadline) / 2.0 - 2.0 * self.limits.clock_step_s;
        self.timers.extend(s.timers(stmt, self.limits.clock_step_s));
        s.admission_rank = self.draw_admission_rank(workload);
        s.retry_after_s = self.record_arrival();
        let group_state = self.groups.entry(group).or_default();
        group_state.waiting.insert(stmt);
        group_state.arrivals.count_event(now);
        self.statements.insert(stmt, s);
        self.touched_groups.insert(group);
    }

    /// An execution ended at node `id` after `took` seconds. `finished` means that the statement needs no further
    /// execution. `role` and `lsn` are the node's role and position as reported in the answer; `lsn` is minus
    /// infinity if it reported none.
    pub fn executed(
        &mut self,
        now: f64,
        stmt: u32,
        execution: u8,
        id: u32,
        outcome: ExecutionOutcome,
        took: f64,
        finished: bool,
        role: Option<Role>,
        lsn: f64,
    ) {
        let completed = outcome == ExecutionOutcome::Completed;
        let index = usize::from(execution);
        let open = self.statements.get(&stmt);
        let late = open
            .and_then(|s| s.executions.get(index))
            .is_some_and(|e| self.late(e, now));
        let committed = completed && open.is_some_and(Statement::is_write);
        let duration_counts = completed || outcome == ExecutionOutcome::TimedOut;
        let answer_time = open
            .filter(|_| duration_counts)
            .map(|s| (s.share_indices[0], took / s.workload.slo));
        let required_lsn = open
            .and_then(|s| s.position_required_by(index))
            .filter(|_| self.replication.nodes_check_freshness);
        let length = open.and_then(|s| s.executions.get(index)).map(|e| e.length);
        self.learn_lateness(late && duration_counts, !completed);
        if completed {
            self.completions.count_event(now);
        }
        answer_time
            .into_iter()
            .for_each(|(workload, share)| self.learn_answer_time(workload, share));
        let mean_in_flight = self
            .nodes
            .get(&id)
            .map_or(0.0, |n| self.expected_arrivals(n.group, id) * n.latency_s);
        self.observe_execution_end(
            now,
            stmt,
            id,
            outcome,
            role,
            Some(lsn).filter(|_| committed),
        );
        self.record_ending_for_pacing(id, outcome);
        let position = self.trusted_position(id, lsn);
        let max_congestion = self.max_congestion();
        let answers_get_lost = self.unanswered_share > HEDGE_UNANSWERED_SHARE;
        let mut statement = self.statements.get_mut(&stmt);
        if let Some(node) = self.nodes.get_mut(&id) {
            let slo = statement.as_ref().map(|s| s.workload.slo);
            let context = AnswerContext {
                mean_in_flight,
                max_congestion,
                length,
                answers_get_lost,
            };
            node.executed(now, outcome, took, slo, context);
            // A commit's position is rounded up: the node has certainly reached only what lies before it. One
            // ahead of the clock is invalid.
            let lsn = if position <= now + ROUNDING_S {
                position - ROUNDING_S
            } else {
                NEVER
            };
            node.set_position(now, lsn);
            // A node that checks freshness shows by its answer where it stands, also without reporting a position.
            let shown = required_lsn
                .filter(|_| completed || outcome == ExecutionOutcome::NotEligible && lsn == NEVER);
            shown
                .into_iter()
                .for_each(|required| node.record_freshness(now, required, completed));
            match role {
                Some(Role::Primary) => node.claimed_primary_at = node.claimed_primary_at.max(now),
                Some(Role::Replica) => node.denied_primary_at = now,
                None => {}
            }
            self.touched_groups.insert(node.group);
        }
        if let Some(s) = &mut statement {
            if let Some(e) = s.executions.get_mut(index) {
                e.outcome = Some(outcome);
                // A later primary does not have the write, and the nodes of earlier terms no longer lead: those
                // executions never ran and never will.
                let fences = e.is_inquiry && outcome == ExecutionOutcome::NotEligible;
                let term = e.term;
                let earlier = s
                    .executions
                    .iter_mut()
                    .filter(|e| fences && !e.is_inquiry && e.term < term);
                earlier.for_each(|e| e.fenced = true);
            }
            if s.is_write()
                && matches!(
                    outcome,
                    ExecutionOutcome::Rejected
                        | ExecutionOutcome::ConnectFailed
                        | ExecutionOutcome::Errored
                )
            {
                s.held_until = now + s.hold_s();
            }
            // An error may be the statement's own fault. It is the node's once another node completes the same
            // statement.
            let is_node_fault = |e: &&Execution| {
                completed && e.node != id && e.outcome == Some(ExecutionOutcome::Errored)
            };
            for e in s.executions.iter().filter(is_node_fault) {
                self.nodes.get_mut(&e.node).expect("listed").faults += 2;
            }
            s.finished |= finished;
            let value_in_time = if completed && now <= s.slo_deadline {
                s.value
            } else {
                0.0
            };
            served_value_of(&mut self.served_value, s)
                .for_each(|value| value.in_time += value_in_time);
            if committed && s.session != 0 {
                let session = self.sessions.entry(s.session).or_insert(Session {
                    affinity: PrimaryAffinity::at(now),
                    last_write_lsn: lsn,
                });
                session.last_write_lsn = session.last_write_lsn.max(lsn);
            }
            self.touched.insert(stmt);
        }
    }

    /// A probe of node `id` ended. If the node answered, `primary` and `lsn` are its report, see
    /// [`Instance::reported`].
    pub fn probed(&mut self, now: f64, id: u32, answered: bool, primary: Option<bool>, lsn: f64) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.probe_in_flight = false;
        node.faults += 2 * u32::from(!answered);
        if answered {
            node.last_heard_at = now;
            node.trials = 0;
            self.reported(now, id, primary, lsn);
        }
    }

    /// A node reported its state: whether it is the primary, and its position. `lsn` is minus infinity if the report
    /// has no position.
    pub fn reported(&mut self, now: f64, id: u32, primary: Option<bool>, lsn: f64) {
        // A position ahead of the clock is invalid. An old one still holds.
        let lsn = if lsn <= now { lsn } else { NEVER };
        let role = primary.map(|leads| if leads { Role::Primary } else { Role::Replica });
        self.observe_role(now, id, role, lsn);
        let position = self.trusted_position(id, lsn);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.raise_position(now, position);
        match primary {
            // The position of a primary is the present, so it dates the claim, however late the report comes.
            Some(true) => node.claimed_primary_at = node.claimed_primary_at.max(lsn),
            Some(false) if lsn > node.claimed_primary_at => {
                node.denied_primary_at = node.denied_primary_at.max(lsn);
            }
            _ => {}
        }
        self.touched_groups.insert(node.group);
    }
}
