//! Between the records of an instance and the decisions of `badgerstream-primary-change`: what was told becomes
//! evidence, a statement a wish, a verdict a mark on the statement. It decides nothing; without settings
//! nothing of it acts.

use crate::state::{NEVER, ROUNDING_S, Statement};
use crate::{Consistency, ExecutionOutcome, Instance, NodeStatus, PolicyLimits, Repeat, Role};
use badgerstream_primary_change::{
    Evidence, Next, Phase, Settings, Succession, Verdict, Wish, next,
};

/// How often the outcome of one statement is asked for.
const INQUIRIES: usize = 2;

impl Instance {
    /// With settings, changes of primaries are held over from now on; without, all is as if they never were.
    pub fn succeed(&mut self, settings: Option<Settings>, seed: u64) {
        match (&mut self.succession, settings) {
            (Some(succession), Some(settings)) => succession.reset(settings),
            (none, Some(settings)) => {
                let mut succession = Succession::new(settings, seed, self.routers);
                for (group, of) in &self.groups {
                    for (id, node) in of.members.iter().map(|m| (*m, &self.nodes[m])) {
                        if Some(id) == of.primary {
                            succession.hear(
                                node.claimed_primary_at,
                                *group,
                                id,
                                Evidence::Leads {
                                    at: node.claimed_primary_at,
                                },
                            );
                        } else if node.denied_primary_at > NEVER {
                            succession.hear(
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

    /// The term that a group is in; 0 where terms are not counted.
    pub(crate) fn term(&self, group: u16) -> u64 {
        self.succession
            .as_ref()
            .map_or(0, |succession| succession.term(group))
    }

    /// What a front knows of a statement beyond its routing: its size, and whether it carries a mark by which
    /// its outcome can be asked for.
    pub fn carries(&mut self, stmt: u32, bytes: usize, marked: bool) {
        if let Some(s) = self.statements.get_mut(&stmt) {
            (s.bytes, s.carries_mark) = (bytes, marked);
        }
    }

    /// Whether a node's completion of a statement is the client's: a write's may be of a branch that is given up.
    pub fn vouches(&self, stmt: u32, id: u32) -> bool {
        let (Some(succession), Some(s)) = (&self.succession, self.statements.get(&stmt)) else {
            return true;
        };
        !s.is_write() || succession.vouches(s.group, id)
    }

    /// A node's own word on its log, from a load report: up to where it was taken over, and since when it leads.
    pub fn took_over(&mut self, now: f64, id: u32, branch: f64, promoted: f64) {
        if let (Some(succession), Some(node)) = (&mut self.succession, self.nodes.get(&id)) {
            succession.taken_over(now, node.group, id, branch, promoted);
        }
    }

    /// Turns what was told of a node into evidence; its group is looked at where that moved it.
    pub(crate) fn witness(&mut self, now: f64, id: u32, told: Evidence) {
        let (Some(succession), Some(node)) = (&mut self.succession, self.nodes.get(&id)) else {
            return;
        };
        let (group, before) = (node.group, succession.leader(node.group));
        if !succession.hear(now, group, id, told) {
            return;
        }
        if let Some(old) = before.filter(|old| succession.deposed(group, *old))
            && let Some(node) = self.nodes.get_mut(&old)
        {
            // As a primary it stood at the present: nobody knows where its log stands in the group's.
            node.lsn = NEVER;
        }
        self.touch_group(group);
    }

    /// The position that a node told, unless it is of a log of its own.
    pub(crate) fn position(&self, id: u32, lsn: f64) -> f64 {
        let (Some(succession), Some(node)) = (&self.succession, self.nodes.get(&id)) else {
            return lsn;
        };
        if succession.deposed(node.group, id) {
            NEVER
        } else {
            lsn
        }
    }

    pub(crate) fn witness_role(&mut self, now: f64, id: u32, role: Option<Role>, at: f64) {
        match role {
            Some(Role::Primary) => self.witness(now, id, Evidence::Leads { at }),
            Some(Role::Replica) => self.witness(now, id, Evidence::Follows { at }),
            None => {}
        }
    }

    pub(crate) fn witness_list(&mut self, now: f64, id: u32, at: NodeStatus, leads: bool) {
        if self.succession.is_some() {
            self.witness(
                now,
                id,
                if at == NodeStatus::Ready {
                    Evidence::Stays
                } else {
                    Evidence::Leaving
                },
            );
            if leads && at == NodeStatus::Ready {
                self.witness(now, id, Evidence::Listed);
            }
        }
    }

    /// An execution's end: who refused or broke off is out of reach, and the release learns how it went.
    pub(crate) fn witness_end(
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
            self.witness(now, id, Evidence::Lost);
        }
        if matches!(
            ending,
            ExecutionOutcome::ConnectionLost | ExecutionOutcome::SendInterrupted
        ) {
            self.witness(now, id, Evidence::Broke);
        }
        self.witness_role(now, id, role, now);
        let Some(group) = self.nodes.get(&id).map(|node| node.group) else {
            return;
        };
        let succession = self.succession.as_mut().expect("asked above");
        let completed = ending == ExecutionOutcome::Completed;
        let failed = !completed
            && !matches!(
                ending,
                ExecutionOutcome::Cancelled | ExecutionOutcome::NeverIssued
            );
        succession.executed(now, group, stmt, id, completed, failed);
        if let Some(commit) = commit {
            succession.answered(group, id, commit);
        }
    }

    /// Asks what is to become of a statement that needs a primary, and notes whether it has to wait for one.
    pub(crate) fn verdict(&mut self, stmt: u32, now: f64) -> Verdict {
        let s = &self.statements[&stmt];
        if self
            .succession
            .as_ref()
            .is_none_or(|succession| succession.settled(s.group))
        {
            if s.waits_for_primary {
                self.statements
                    .get_mut(&stmt)
                    .expect("open")
                    .waits_for_primary = false;
            }
            return Verdict::Go;
        }
        let wish = self.wish(s, now);
        // What a replica will do for asks nothing of the change, nor may it take the new primary's room.
        let free = wish.is_none();
        let verdict = match (wish, &mut self.succession) {
            (Some(wish), Some(succession)) => succession.admit(now, stmt, &wish),
            _ => Verdict::Go,
        };
        // A read of any member falls back to the primary as ever, once there is one.
        let led = self
            .succession
            .as_ref()
            .is_some_and(|x| x.phase(s.group) == Phase::Settling);
        let any = led && !s.is_write() && !self.prefers_primary(s, now);
        let s = self.statements.get_mut(&stmt).expect("open");
        s.waits_for_primary = free && !any || verdict != Verdict::Go;
        match verdict {
            // The pace of the release is what it waits for, no pause of its own.
            Verdict::Go if !free => s.held_until = s.held_until.min(now),
            Verdict::Refuse { after } => s.retry_after_s = after,
            Verdict::Go | Verdict::Hold => {}
        }
        verdict
    }

    /// None for what needs no primary now, or could not be sent to one.
    fn wish(&self, s: &Statement, now: f64) -> Option<Wish> {
        // What is out and not late yet is let finish.
        let late = s.in_flight().all(|e| self.overdue(e, now));
        let out = s.in_flight().next().is_some();
        let needs = match s.workload.consistency {
            Consistency::Primary => late && !(out && s.workload.repeat == Repeat::NonIdempotent),
            _ => !out && self.prefers_primary(s, now) && !self.replica_can_serve(s, now),
        };
        // What may neither go again nor be asked about takes no place from who may.
        let stuck = !self.repeatable(s, None, now) && self.next(s, now) != Next::Inquire;
        let led = self
            .succession
            .as_ref()
            .is_some_and(|x| !x.in_doubt(now, s.group));
        let needs = needs && !(stuck && led);
        let tries = !self.limits.probes && s.workload.repeat != Repeat::NonIdempotent;
        needs.then(|| Wish {
            group: s.group,
            session: s.session,
            bytes: s.bytes,
            worth: s.value,
            arrived: s.arrived_at,
            due: s.last_useful_at(),
            doubtful: s.is_write() && s.may_have_run().next().is_some(),
            served: self.groups[&s.group]
                .primary
                .is_some_and(|p| !self.nodes[&p].is_closed(&self.drain, true, now)),
            tries: tries && s.executions.len() * 2 < self.limits.max_executions,
        })
    }

    /// Whether how it ended may still be asked for: now, or once a change that is under way has a new leader.
    pub(crate) fn inquirable(&self, s: &Statement, now: f64) -> bool {
        let Some(succession) = &self.succession else {
            return false;
        };
        let (asked, told) =
            s.executions
                .iter()
                .filter(|e| e.is_inquiry)
                .fold((0, false), |(n, told), e| {
                    (
                        n + 1,
                        told || matches!(e.outcome, Some(ExecutionOutcome::Errored)),
                    )
                });
        let open = asked < INQUIRIES && !told;
        let changing = succession.in_doubt(now, s.group);
        open && (self.next(s, now) == Next::Inquire
            || changing && s.carries_mark && succession.settings().outcomes)
    }

    /// What becomes of a write whose answer is missing.
    pub(crate) fn next(&self, s: &Statement, now: f64) -> Next {
        let (Some(succession), Some(first)) = (&self.succession, s.may_have_run().next()) else {
            return Next::Again;
        };
        let repeat = match s.workload.repeat {
            Repeat::Idempotent => badgerstream_primary_change::Repeat::Harmless,
            Repeat::Deduplicated { .. } if self.repeatable(s, None, now) => {
                badgerstream_primary_change::Repeat::Dropped {
                    until: f64::INFINITY,
                }
            }
            _ => badgerstream_primary_change::Repeat::Harmful,
        };
        let sent = s.may_have_run().map(|e| e.term).max().unwrap_or(first.term);
        let outcomes = succession.settings().outcomes;
        next(
            repeat,
            now,
            outcomes,
            s.carries_mark,
            sent,
            succession.term(s.group),
        )
    }

    /// Whether a read owes a commit that is gone: nothing can show it, and nothing may pretend to.
    pub(crate) fn owes_lost(&self, s: &Statement) -> bool {
        let Some(succession) = self
            .succession
            .as_ref()
            .filter(|_| s.workload.consistency == Consistency::OwnWrites)
        else {
            return false;
        };
        // A carried age was rounded up by one step, and half of one parts neighbours.
        [s.required_lsn - 1.5 * ROUNDING_S, s.session_write_lsn]
            .iter()
            .any(|commit| succession.lost(s.group, *commit))
    }

    /// Whether a position can't tell now that a session's writes are there.
    pub(crate) fn log_in_doubt(&self, s: &Statement) -> bool {
        let owing = s.workload.consistency == Consistency::OwnWrites && s.required_lsn > NEVER;
        owing
            && self
                .succession
                .as_ref()
                .is_some_and(|succession| succession.log_in_doubt(s.group))
    }

    /// Who was given up for worthier ones is looked at now; what there is to tell goes to the log.
    pub(crate) fn settle_succession(&mut self, now: f64, out: &mut dyn crate::Outbox) {
        if let Some(succession) = &mut self.succession {
            let evicted = succession.settle(now);
            succession.lines().iter().for_each(|line| out.log(line));
            evicted.into_iter().for_each(|stmt| self.touch(stmt));
        }
    }

    /// Whether members of its group are asked who leads.
    pub(crate) fn searched(&self, group: u16, now: f64) -> bool {
        self.succession
            .as_ref()
            .is_some_and(|succession| succession.searching(now, group))
    }
}

impl Statement {
    /// The advice that fits both what clients follow and what this statement was told.
    pub(crate) fn advised(&self, limits: &PolicyLimits) -> f64 {
        self.retry_after_s.min(limits.max_retry_after_s)
    }
}
