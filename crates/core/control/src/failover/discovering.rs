//! Nobody is known to lead: the server that does is looked for.

use super::*;

/// How many heartbeats are waited for before a primary counts as missing.
const HEARTBEATS: f64 = 2.5;
/// How old the answer of a server that leads may be, in seconds.
const FRESH_S: f64 = 1.0;
/// Servers that don't answer are waited for so long, in seconds.
const UNKNOWN_S: f64 = 1.0;

impl Failover {
    pub(super) fn find(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let now = context.now;
        for member in context.members {
            self.ask(
                now,
                &member.id,
                self.timing.primary_poll_interval,
                ServerCommand::Status,
                actions,
            );
        }
        if context.members.is_empty() {
            return;
        }
        if let Some(found) = self.found(context) {
            self.use_found(context, found, actions);
            return;
        }
        // Nobody leads whom we may use: after a while somebody is to be promoted. Beats of all must have had their time.
        let patience = self
            .timing
            .primary_timeout
            .max(HEARTBEATS * self.timing.heartbeat_interval);
        let waited = now - self.asked_since(context) > patience;
        if waited && now > context.not_before && now > self.retry {
            if self.primary.is_none() && self.revocation == Revocation::None {
                // Nothing is granted by us, and the grants of those before us have ended.
                self.revocation = Revocation::Announced(0);
            }
            log::info!("event=primary_missing top={}", self.highest_led());
            self.give_up(actions);
        }
    }

    /// Uses the primary that was found, once routers use no other.
    fn use_found(
        &mut self,
        context: &FailoverContext<'_>,
        found: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        match (&self.primary, self.revocation) {
            (Some(old), Revocation::None) if *old != found => {
                // Routers may still use the one before.
                self.revoke(actions);
                return;
            }
            // Under the leader before us routers may have used another until a moment ago.
            (None, Revocation::None)
                if context
                    .record
                    .is_some_and(|record| record != (found.id.as_str(), found.primary_term))
                    && !(context.all_know)(0) =>
            {
                return;
            }
            (_, Revocation::Unannounced | Revocation::Announced(_))
                if !self.given_back(context) =>
            {
                return;
            }
            _ => {}
        }
        self.use_primary(context.now, found, actions);
    }

    /// The server that leads and may be used.
    pub(super) fn found(&self, context: &FailoverContext<'_>) -> Option<Primary> {
        let top = self.highest_led();
        let found = context.members.iter().find_map(|m| {
            let seen = self.observed(&m.id);
            let fresh = context.now - seen.answered < FRESH_S;
            let row = seen
                .row
                .filter(|r| seen.leads() && fresh && r.primary_term >= top)?;
            Some(Primary {
                id: m.id.clone(),
                primary_term: row.primary_term,
            })
        })?;
        let of_record = match context.record {
            Some(_) => context.is_of_record(&found.id, found.primary_term),
            // Nobody was promoted by us: whoever leads is the primary, once all that are known were asked.
            None => {
                let known = context
                    .members
                    .iter()
                    .all(|m| self.observed(&m.id).row.is_some());
                known || context.now - self.asked_since(context) > UNKNOWN_S
            }
        };
        of_record.then_some(found)
    }
}
