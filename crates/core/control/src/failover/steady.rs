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
    pub(super) fn watch(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let now = context.now;
        let Some(primary) = self.primary.clone() else {
            self.phase = Phase::Discovering;
            return;
        };
        self.ask(
            now,
            &primary.id,
            self.timing.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        for member in context.members.iter().filter(|m| m.id != primary.id) {
            let (statement, every) = self.for_replica(&member.id, primary.primary_term);
            self.ask(now, &member.id, every, statement, actions);
        }
        if let Some(row) = self.changed_itself(&primary) {
            log::info!(
                "event=primary_changed_itself id={} term={}",
                primary.id,
                row.primary_term
            );
            self.revoke(actions);
            self.phase = Phase::Discovering;
            return;
        }
        self.settle_record(context, &primary, actions);
        if let Some(Death { refused, silent_s }) = self.primary_death(now) {
            log::info!(
                "event=primary_dead id={} refused={refused} silent_s={silent_s:.2}",
                primary.id
            );
            self.give_up(actions);
        } else if let Some(since) = context.draining_since(&primary.id) {
            self.replace_draining(context, &primary.id, since, actions);
        }
    }

    /// What is sent to a replica of a primary of this term, and how often.
    fn for_replica(&self, id: &str, primary_term: u64) -> (ServerCommand, f64) {
        let seen = self.observed(id);
        let deposed = seen
            .row
            .is_some_and(|r| r.is_primary && r.primary_term < primary_term);
        // Who holds a term above the primary's was paused, by us or by a leader before us.
        let known = seen
            .resumed
            .map_or(primary_term, |held| held.max(primary_term));
        let paused = seen.pausing.is_some()
            || seen
                .row
                .is_some_and(|r| !r.is_primary && r.highest_term > known);
        if deposed {
            (ServerCommand::StepDown(primary_term), ORDER_AGAIN_S)
        } else if paused {
            let statement = if seen.busy {
                ServerCommand::Status
            } else {
                ServerCommand::Resume
            };
            (statement, ORDER_AGAIN_S)
        } else {
            (ServerCommand::Status, self.timing.replica_poll_interval)
        }
    }

    /// The row by which the primary no longer leads its term, if it is newer than what routers heard.
    fn changed_itself(&self, primary: &Primary) -> Option<ServerStatus> {
        let seen = self.observed(&primary.id);
        let row = seen
            .row
            .filter(|r| !r.is_primary || r.primary_term != primary.primary_term)?;
        (seen.failing.is_none() && seen.row_asked > self.evidence).then_some(row)
    }

    /// Has it agreed on that the change to this primary is complete, unless that is on record.
    fn settle_record(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        let open = context
            .record
            .is_some_and(|record| record != (primary.id.as_str(), primary.primary_term));
        if open && context.now > self.settle {
            self.settle = context.now + SETTLE_AGAIN_S;
            actions.push(FailoverAction::RecordComplete {
                server_id: primary.id.clone(),
                primary_term: primary.primary_term,
            });
        }
    }

    /// Whether the primary counts as dead: it refuses connections, or neither we nor any router had an answer.
    pub(super) fn primary_death(&self, now: f64) -> Option<Death> {
        let seen = self.observed(self.primary.as_ref().map_or("", |p| p.id.as_str()));
        let silent_s = now - seen.answered.max(self.evidence);
        let refused = seen.refused && seen.failing.is_some_and(|f| f > self.evidence);
        (refused || silent_s > self.timing.primary_timeout).then_some(Death { refused, silent_s })
    }

    /// The primary drains since that second: another takes its place, in time.
    fn replace_draining(
        &mut self,
        context: &FailoverContext<'_>,
        id: &str,
        since: f64,
        actions: &mut Vec<FailoverAction>,
    ) {
        if context.now - since > self.timing.drain_timeout - DRAIN_MARGIN_S {
            log::info!("event=primary_leaves_unreplaced id={id}");
            self.give_up(actions);
        } else if context.now > self.retry && context.now >= context.not_before {
            self.begin_handing(context, actions);
        }
    }
}
