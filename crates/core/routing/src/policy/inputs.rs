//! Inputs: they record facts and note what they touch.

use super::{IN_VAIN, LEAST_ROOM, PRIOR, ROOM};
use crate::{Currency, Ending, Instance, MARK_S, Mark, Role, Standing};
use crate::{
    state::{Execution, NEVER, Node, ROUNDING_S, Signs, Statement, count, shares_of},
    succession::Evidence,
};

impl Instance {
    pub fn member(
        &mut self,
        now: f64,
        id: u32,
        (group, zone): (u16, u8),
        at: Standing,
        since: f64,
        leads: bool,
    ) {
        let members = &mut self.groups.entry(group).or_default().members;
        if !members.contains(&id) {
            // Routers that all began their rotation at one member would meet there.
            members.insert(self.chance.usize(0..=members.len()), id);
        }
        let node = self.nodes.entry(id).or_insert_with(|| {
            let rooms = [ROOM, LEAST_ROOM].map(|room| room / self.routers);
            // Until a node's own answers tell its pace, half of the shortest SLO time stands in.
            let pace = self
                .workloads
                .iter()
                .map(|w| w.slo)
                .fold(f64::INFINITY, f64::min)
                / 2.0;
            Node::new(group, zone, rooms.into(), (pace, PRIOR))
        });
        (node.roll, node.listed_primary) = (self.roll, leads);
        node.stands(at, now);
        if since > node.since + ROUNDING_S {
            (node.since, node.drained) = (since, at == Standing::Draining);
            (node.suspected, node.faults, node.strain, node.missing) = (None, 0, 0.0, 0);
        }
        self.touched_groups.insert(group);
        self.witness_list(now, id, at, leads);
    }

    /// The list is over: a node that a whole one leaves out is gone.
    pub fn listed(&mut self, now: f64, whole: bool) {
        let left = self
            .nodes
            .iter_mut()
            .filter(|n| whole && n.1.roll != self.roll);
        let left = left.map(|(id, node)| {
            node.stands(Standing::Gone, now);
            self.touched_groups.insert(node.group);
            *id
        });
        left.collect::<Vec<u32>>()
            .iter()
            .for_each(|id| self.witness(now, *id, Evidence::Leaving));
    }

    pub fn arrived(
        &mut self,
        now: f64,
        stmt: u32,
        workload: usize,
        group: u16,
        session: u64,
        customer: usize,
        work: f64,
        due: f64,
        write_age: f64,
    ) {
        let (mut s, kind) = (Statement::default(), self.workloads[workload]);
        (s.kind, s.group, s.session) = (kind, group, session);
        (s.arrived, s.held_until, s.due, s.probed) = (now, now, due, NEVER);
        s.slo_end = now + (kind.slo + kind.slo_stretch * work).min(kind.timeout);
        (s.served_as, s.worth) = (
            [workload, customer],
            kind.importance * self.within_quota(now, customer),
        );
        shares_of(&mut self.shares, &s).for_each(|share| share.0 += s.worth);
        // The carried age may be older than the last write answered here: the later one is owed.
        let known = self.sessions.get(&session).map_or(NEVER, |s| s.1);
        s.known = known;
        s.owed = match kind.currency {
            Currency::Latest => now,
            _ if write_age > 0.0 => known.max(now - write_age + ROUNDING_S),
            _ => known,
        };
        s.fresh_age = write_age > 0.0 && write_age < MARK_S;
        s.halfway = (now + due) / 2.0 - 2.0 * self.allowance.step;
        self.timers.extend(s.timers(stmt, self.allowance.step));
        (s.lot, s.advice) = (self.lot(workload), self.record_arrival());
        let asked = self.groups.entry(group).or_default();
        asked.waiting.insert(stmt);
        count(&mut asked.asked, now);
        self.statements.insert(stmt, s);
        self.touched_groups.insert(group);
    }

    /// An execution ended. `lsn` is minus infinity where the answer told no position.
    pub fn executed(
        &mut self,
        now: f64,
        stmt: u32,
        execution: u8,
        id: u32,
        ending: Ending,
        took: f64,
        over: bool,
        role: Option<Role>,
        lsn: f64,
    ) {
        let (done, index) = (ending == Ending::Completed, usize::from(execution));
        let open = self.statements.get(&stmt);
        let late = open
            .and_then(|s| s.executions.get(index))
            .is_some_and(|e| self.late(e, now));
        let committed = done && open.is_some_and(Statement::writes);
        let ended = done || ending == Ending::TimedOut;
        let share = open
            .filter(|_| ended)
            .map(|s| (s.served_as[0], took / s.kind.slo));
        let needed = open
            .and_then(|s| s.needed_by(index))
            .filter(|_| self.replication.checked);
        let length = open.and_then(|s| s.executions.get(index)).map(|e| e.length);
        self.learn(late && ended, !done);
        if done {
            count(&mut self.borne, now);
        }
        share
            .into_iter()
            .for_each(|(workload, share)| self.eases(workload, share));
        let usual = self
            .nodes
            .get(&id)
            .map_or(0.0, |n| self.asked(n.group, id) * n.pace);
        self.witness_end(now, stmt, id, ending, role, Some(lsn).filter(|_| committed));
        self.record_ending_for_pacing(id, ending);
        let position = self.position(id, lsn);
        let (strain, lossy) = (self.most_strain(), self.in_vain > IN_VAIN);
        let mut statement = self.statements.get_mut(&stmt);
        if let Some(node) = self.nodes.get_mut(&id) {
            let slo = statement.as_ref().map(|s| s.kind.slo);
            let signs = Signs {
                usual,
                strain,
                length,
                lossy,
            };
            node.executed(now, ending, took, slo, signs);
            // A commit is rounded up: the node is sure to stand only at what lies before, never ahead of now.
            let lsn = if position <= now + ROUNDING_S {
                position - ROUNDING_S
            } else {
                NEVER
            };
            node.stood_at(now, lsn);
            // Who checks what it answers stood there, also where answers tell no position.
            let told = needed.filter(|_| done || ending == Ending::Missed && lsn == NEVER);
            told.into_iter()
                .for_each(|needed| node.showed(now, needed, done));
            match role {
                Some(Role::Primary) => node.claimed = node.claimed.max(now),
                Some(Role::Replica) => node.denied = now,
                None => {}
            }
            self.touched_groups.insert(node.group);
        }
        if let Some(s) = &mut statement {
            if let Some(e) = s.executions.get_mut(index) {
                e.ended = Some(ending);
                // A later primary has not got it, and who was sent it no longer leads.
                let (unrun, term) = (e.asks && ending == Ending::Missed, e.term);
                let earlier = s
                    .executions
                    .iter_mut()
                    .filter(|e| unrun && !e.asks && e.term < term);
                earlier.for_each(|e| e.barred = true);
            }
            if s.writes()
                && matches!(
                    ending,
                    Ending::TurnedAway | Ending::Unconnected | Ending::Errored
                )
            {
                s.held_until = now + s.hold();
            }
            // An error may be the statement's own fault: it is the node's once another completes the same.
            let blamed = |e: &&Execution| done && e.node != id && e.ended == Some(Ending::Errored);
            for e in s.executions.iter().filter(blamed) {
                self.nodes.get_mut(&e.node).expect("listed").faults += 2;
            }
            s.over |= over;
            let met = if done && now <= s.slo_end {
                s.worth
            } else {
                0.0
            };
            shares_of(&mut self.shares, s).for_each(|share| share.1 += met);
            if committed && s.session != 0 {
                let session = self
                    .sessions
                    .entry(s.session)
                    .or_insert((Mark::at(now), lsn));
                session.1 = session.1.max(lsn);
            }
            self.touched.insert(stmt);
        }
    }

    pub fn probed(&mut self, now: f64, id: u32, answered: bool, primary: Option<bool>, lsn: f64) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        (node.probing, node.faults) = (false, node.faults + 2 * u32::from(!answered));
        if answered {
            (node.heard, node.trials) = (now, 0);
            self.reported(now, id, primary, lsn);
        }
    }

    pub fn reported(&mut self, now: f64, id: u32, primary: Option<bool>, lsn: f64) {
        let lsn = if lsn <= now { lsn } else { NEVER }; // Ahead of the clock it is broken; an old one holds.
        let role = primary.map(|leads| if leads { Role::Primary } else { Role::Replica });
        self.witness_role(now, id, role, lsn);
        let position = self.position(id, lsn);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.reached(now, position);
        match primary {
            // A primary stands at the present, so its own position dates the claim, however late the report.
            Some(true) => node.claimed = node.claimed.max(lsn),
            Some(false) if lsn > node.claimed => node.denied = node.denied.max(lsn),
            _ => {}
        }
        self.touched_groups.insert(node.group);
    }
}
