//! A primary is in use: its health is watched, and its replicas follow it.

use super::*;

/// Between two orders to a server that doesn't follow, in seconds.
const ORDER_AGAIN_S: f64 = 0.1;
/// That a change is complete is told again after this, in seconds.
const SETTLE_AGAIN_S: f64 = 1.0;
/// A draining primary is given up so long before its time is over, in seconds.
pub(super) const DRAIN_MARGIN_S: f64 = 0.7;

/// Why a primary counts as dead.
pub(super) struct Death {
    /// Its address refuses connections.
    refused: bool,
    /// For how long nobody had an answer.
    silent_s: f64,
}

impl Failover {
    pub(super) fn watch(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        let Some(primary) = self.primary.clone() else {
            self.phase = Phase::Finding;
            return;
        };
        self.ask(now, &primary.id, self.timing.ask, Statement::Status, acts);
        for member in around.members.iter().filter(|m| m.id != primary.id) {
            let (statement, every) = self.for_replica(&member.id, primary.term);
            self.ask(now, &member.id, every, statement, acts);
        }
        if let Some(row) = self.changed_itself(&primary) {
            log::info!(
                "event=primary_changed_itself id={} term={}",
                primary.id,
                row.term
            );
            self.revoke(acts);
            self.phase = Phase::Finding;
            return;
        }
        self.settle_record(around, &primary, acts);
        if let Some(Death { refused, silent_s }) = self.primary_death(now) {
            log::info!(
                "event=primary_dead id={} refused={refused} silent_s={silent_s:.2}",
                primary.id
            );
            self.give_up(acts);
        } else if let Some(since) = around.draining_since(&primary.id) {
            self.replace_draining(around, &primary.id, since, acts);
        }
    }

    /// What is sent to a replica of a primary of this term, and how often.
    fn for_replica(&self, id: &str, term: u64) -> (Statement, f64) {
        let seen = self.observed(id);
        let deposed = seen.row.is_some_and(|r| r.leader && r.term < term);
        // Who holds a term above the primary's was paused, by us or by a leader before us.
        let known = seen.resumed.map_or(term, |held| held.max(term));
        let paused =
            seen.pausing.is_some() || seen.row.is_some_and(|r| !r.leader && r.held > known);
        if deposed {
            (Statement::StepDown(term), ORDER_AGAIN_S)
        } else if paused {
            let statement = if seen.busy {
                Statement::Status
            } else {
                Statement::Resume
            };
            (statement, ORDER_AGAIN_S)
        } else {
            (Statement::Status, self.timing.ask_replica)
        }
    }

    /// The row by which the primary no longer leads its term, if it is newer than what routers heard.
    fn changed_itself(&self, primary: &Primary) -> Option<Row> {
        let seen = self.observed(&primary.id);
        let row = seen.row.filter(|r| !r.leader || r.term != primary.term)?;
        (seen.failing.is_none() && seen.row_asked > self.evidence).then_some(row)
    }

    /// Has it agreed on that the change to this primary is complete, unless that is on record.
    fn settle_record(&mut self, around: &Around<'_>, primary: &Primary, acts: &mut Vec<Act>) {
        let open = around
            .record
            .is_some_and(|record| record != (primary.id.as_str(), primary.term));
        if open && around.now > self.settle {
            self.settle = around.now + SETTLE_AGAIN_S;
            acts.push(Act::Settle {
                id: primary.id.clone(),
                term: primary.term,
            });
        }
    }

    /// Whether the primary counts as dead: it refuses connections, or neither we nor any router had an answer.
    pub(super) fn primary_death(&self, now: f64) -> Option<Death> {
        let seen = self.observed(self.primary.as_ref().map_or("", |p| p.id.as_str()));
        let silent_s = now - seen.answered.max(self.evidence);
        let refused = seen.refused && seen.failing.is_some_and(|f| f > self.evidence);
        (refused || silent_s > self.timing.silence).then_some(Death { refused, silent_s })
    }

    /// The primary drains since that second: another takes its place, in time.
    fn replace_draining(&mut self, around: &Around<'_>, id: &str, since: f64, acts: &mut Vec<Act>) {
        if around.now - since > self.timing.drain - DRAIN_MARGIN_S {
            log::info!("event=primary_leaves_unreplaced id={id}");
            self.give_up(acts);
        } else if around.now > self.retry && around.now >= around.not_before {
            self.begin_handing(around, acts);
        }
    }
}
