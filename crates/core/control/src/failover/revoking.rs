//! The primary is given up: its grant ends, and the other copies are paused and asked how far they got.

use super::*;

/// Between two questions to the primary that was given up, in seconds.
const ASK_PRIMARY_S: f64 = 0.1;
/// Between two pauses of a copy, in seconds.
const PAUSE_AGAIN_S: f64 = 0.05;
/// Between two questions to a copy that was paused, until one confirms it, in seconds.
const CONFIRM_AGAIN_S: f64 = 0.02;
/// A primary is back if it answered no longer ago than this, in seconds.
const BACK_ANSWERED_S: f64 = 0.3;
/// The same, from when it was asked.
const BACK_ASKED_S: f64 = 0.5;
/// How old the row of a copy that was the primary may be, in seconds.
const FRESH_ROW_S: f64 = 1.0;
/// A copy that has not answered for so long may be left out, in seconds.
const EXCUSED_S: f64 = 0.5;

/// How far the pausing of the copies has come.
struct Pausing {
    /// All are paused that can be asked.
    complete: bool,
    /// Another term has come up meanwhile, and below it nobody pauses.
    outrun: bool,
}

impl Failover {
    pub(super) fn close(
        &mut self,
        context: &FailoverContext<'_>,
        primary_term: u64,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.take_back(context, actions) {
            return;
        }
        let primary = self.primary.as_ref().map(|p| p.id.clone());
        // Once it has given up the lead it is a copy like the others, and so is whoever has its log now.
        let copy = |id: &String| {
            self.is_replica(id, context.now)
                || context.successor(id).is_some()
                || self.is_to_follow(context, id)
        };
        let old = primary.filter(|id| !copy(id));
        // Whoever was promoted before may lead by now.
        let found = self
            .found(context)
            .filter(|found| Some(&found.id) != old.as_ref());
        let given_back = self.given_back(context);
        if let Some(found) = found
            && given_back
        {
            log::info!(
                "event=primary_found id={} term={}",
                found.id,
                found.primary_term
            );
            self.use_primary(context.now, found, actions);
            return;
        }
        self.given_since = if given_back {
            self.given_since.or(Some(context.now))
        } else {
            None
        };
        let pausing = self.pause_copies(context, old.as_deref(), primary_term, given_back, actions);
        if pausing.outrun {
            self.phase = Phase::Revoking {
                primary_term: self.highest_term() + 1,
            };
        } else if pausing.complete && given_back {
            self.choose(context, old.as_deref(), primary_term, actions);
        }
    }

    /// The primary may be back with all that it had: it is used again then.
    fn take_back(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) -> bool {
        let now = context.now;
        let Some(primary) = self.primary.clone() else {
            return false;
        };
        if context.is_member(&primary.id) {
            self.ask(
                now,
                &primary.id,
                ASK_PRIMARY_S,
                ServerCommand::Status,
                actions,
            );
        }
        let seen = self.observed(&primary.id);
        let answers = seen.failing.is_none() && now - seen.answered < BACK_ANSWERED_S;
        let back = answers && seen.row_asked > now - BACK_ASKED_S;
        let leads = seen
            .row
            .is_some_and(|r| r.is_primary && r.primary_term == primary.primary_term);
        let of_record = context
            .record
            .is_none_or(|(id, above)| id == primary.id && primary.primary_term >= above);
        let draining = context.draining_since(&primary.id).is_some();
        if !back || !leads || !of_record || draining || self.highest_led() > primary.primary_term {
            return false;
        }
        log::info!("event=primary_back id={}", primary.id);
        self.use_primary(now, primary, actions);
        true
    }

    /// The primary is back, but another one was agreed on meanwhile, and may have been promoted: it is told to follow, and is a
    /// copy with all that it acknowledged.
    fn is_to_follow(&self, context: &FailoverContext<'_>, id: &str) -> bool {
        let seen = self.observed(id);
        let back = seen.leads() && seen.row_asked > context.now - FRESH_ROW_S;
        let agreed_on_another = context.record.is_some_and(|(of_record, _)| of_record != id);
        back && agreed_on_another && context.is_member(id) && context.draining_since(id).is_none()
    }

    fn is_replica(&self, id: &str, now: f64) -> bool {
        let seen = self.observed(id);
        seen.failing.is_none()
            && seen.row_asked > now - FRESH_ROW_S
            && seen.row.is_some_and(|r| !r.is_primary)
    }

    /// Pauses all copies but the old primary.
    fn pause_copies(
        &mut self,
        context: &FailoverContext<'_>,
        old: Option<&str>,
        primary_term: u64,
        given_back: bool,
        actions: &mut Vec<FailoverAction>,
    ) -> Pausing {
        let now = context.now;
        let mut pausing = Pausing {
            complete: true,
            outrun: false,
        };
        for member in context
            .members
            .iter()
            .filter(|m| Some(m.id.as_str()) != old)
        {
            let seen = self.observed(&member.id);
            if seen.paused.is_some_and(|(at, _)| at >= primary_term) {
                // What the old primary acknowledged to any router before it let go must be at those who are asked.
                let confirmed = given_back && seen.pause_confirmed > self.given_since;
                pausing.complete &= confirmed;
                let every = if given_back && !confirmed {
                    CONFIRM_AGAIN_S
                } else {
                    self.timing.primary_poll_interval
                };
                self.ask(now, &member.id, every, ServerCommand::Status, actions);
                continue;
            }
            let excused = is_excused(context, member, &seen) || self.is_final(&seen);
            pausing.complete &= excused || self.is_represented(context, &member.id);
            pausing.outrun |= seen.failing.is_none()
                && seen
                    .row
                    .is_some_and(|r| r.primary_term.max(r.highest_term) >= primary_term);
            let statement = match seen.leads() {
                // A primary can't be paused: once nobody uses it, it becomes a replica.
                true if given_back => {
                    ServerCommand::StepDown(seen.row.map_or(primary_term, |r| r.primary_term + 1))
                }
                true => ServerCommand::Status,
                false if seen.busy => ServerCommand::Status,
                false => ServerCommand::Pause(primary_term),
            };
            self.ask(now, &member.id, PAUSE_AGAIN_S, statement, actions);
        }
        pausing
    }
}

impl Failover {
    /// Whether this copy, which doesn't answer, may be left out as the primary has told where its log stood when routers had let go of
    /// it: whoever is chosen must have all of that.
    fn is_final(&self, seen: &Observation) -> bool {
        let told_since = |given: f64| self.trail.iter().any(|(asked, _)| *asked > given);
        seen.failing.is_some() && self.given_since.is_some_and(told_since)
    }
}

/// A replica that can't be asked may be left out once it has been gone for a while and the primary went on without it.
fn is_excused(context: &FailoverContext<'_>, member: &ServerCandidate, seen: &Observation) -> bool {
    let Some(since) = seen.failing else {
        return false;
    };
    member.heard < since + EXCUSED_S && context.now - since > EXCUSED_S
}
