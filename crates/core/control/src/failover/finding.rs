//! Nobody is known to lead: the server that does is looked for.

use super::*;

/// How many heartbeats are waited for before a primary counts as missing.
const HEARTBEATS: f64 = 2.5;
/// How old the answer of a server that leads may be, in seconds.
const FRESH_S: f64 = 1.0;
/// Servers that don't answer are waited for so long, in seconds.
const UNKNOWN_S: f64 = 1.0;

impl Failover {
    pub(super) fn find(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        for member in around.members {
            self.ask(now, &member.id, self.timing.ask, Statement::Status, acts);
        }
        if around.members.is_empty() {
            return;
        }
        if let Some(found) = self.found(around) {
            self.use_found(around, found, acts);
            return;
        }
        // Nobody leads whom we may use: after a while somebody is to be promoted. Beats of all must have had their time.
        let patience = self.timing.silence.max(HEARTBEATS * self.timing.heartbeat);
        let waited = now - self.asked_since(around) > patience;
        if waited && now > around.not_before && now > self.retry {
            if self.primary.is_none() && self.revocation == Revocation::None {
                // Nothing is granted by us, and the grants of those before us have ended.
                self.revocation = Revocation::Announced(0);
            }
            log::info!("event=primary_missing top={}", self.highest_led());
            self.give_up(acts);
        }
    }

    /// Uses the primary that was found, once routers use no other.
    fn use_found(&mut self, around: &Around<'_>, found: Primary, acts: &mut Vec<Act>) {
        match (&self.primary, self.revocation) {
            (Some(old), Revocation::None) if *old != found => {
                // Routers may still use the one before.
                self.revoke(acts);
                return;
            }
            // Under the leader before us routers may have used another until a moment ago.
            (None, Revocation::None)
                if around
                    .record
                    .is_some_and(|record| record != (found.id.as_str(), found.term))
                    && !(around.all_know)(0) =>
            {
                return;
            }
            (_, Revocation::Unannounced | Revocation::Announced(_)) if !self.given_back(around) => {
                return;
            }
            _ => {}
        }
        self.use_primary(around.now, found, acts);
    }

    /// The server that leads and may be used.
    pub(super) fn found(&self, around: &Around<'_>) -> Option<Primary> {
        let top = self.highest_led();
        let found = around.members.iter().find_map(|m| {
            let seen = self.observed(&m.id);
            let fresh = around.now - seen.answered < FRESH_S;
            let row = seen
                .row
                .filter(|r| seen.leads() && fresh && r.term >= top)?;
            Some(Primary {
                id: m.id.clone(),
                term: row.term,
            })
        })?;
        let of_record = match around.record {
            Some(_) => around.is_of_record(&found.id, found.term),
            // Nobody was promoted by us: whoever leads is the primary, once all that are known were asked.
            None => {
                let known = around
                    .members
                    .iter()
                    .all(|m| self.observed(&m.id).row.is_some());
                known || around.now - self.asked_since(around) > UNKNOWN_S
            }
        };
        of_record.then_some(found)
    }
}
