//! The phase [`Phase::Discovering`](super::Phase::Discovering): no primary is known, and all
//! servers are queried to find it.

use super::{Failover, FailoverAction, FailoverContext, Primary, Revocation, ServerCommand};

/// The primary counts as missing after this many heartbeat intervals at the earliest.
const PRIMARY_MISSING_AFTER_HEARTBEATS: f64 = 2.5;
/// Maximum age of the last answer of a server that is accepted as the primary.
const ANSWER_MAX_AGE_S: f64 = 1.0;
/// Maximum time to wait for members that don't report a status, if no primary is recorded.
const UNREACHABLE_WAIT_S: f64 = 1.0;

impl Failover {
    pub(super) fn tick_discovering(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        for member in context.members {
            self.send_command(
                context.now,
                &member.id,
                self.config.primary_poll_interval,
                ServerCommand::Status,
                actions,
            );
        }
        if context.members.is_empty() {
            return;
        }
        if let Some(found) = self.find_primary(context) {
            self.adopt_primary(context, found, actions);
        } else if self.is_primary_missing(context) {
            if self.primary.is_none() && self.revocation == Revocation::None {
                // This leader has granted nothing, and the leases on grants of former leaders have
                // expired.
                self.revocation = Revocation::Announced(0);
            }
            log::info!(
                "event=primary_missing highest_term={}",
                self.highest_log_term()
            );
            self.abandon_primary(actions);
        }
    }

    /// Returns whether the primary counts as missing, so that another server is to be promoted: no
    /// usable primary was found in the time within which the heartbeats of all servers arrive.
    fn is_primary_missing(&self, context: &FailoverContext<'_>) -> bool {
        let timeout = self
            .config
            .primary_timeout
            .max(PRIMARY_MISSING_AFTER_HEARTBEATS * self.config.heartbeat_interval);
        context.now - self.polling_since(context) > timeout
            && context.now > context.not_before
            && context.now > self.retry_at
    }

    /// Grants the primary that was found, as soon as no router can use another one.
    fn adopt_primary(
        &mut self,
        context: &FailoverContext<'_>,
        found: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        match (&self.primary, self.revocation) {
            // Routers may still use the previous primary.
            (Some(old), Revocation::None) if *old != found => self.revoke_grant(actions),
            // Routers may still hold leases of the former leader that cover another primary.
            (None, Revocation::None)
                if context.is_other_primary_recorded(&found.server_id, found.primary_term)
                    && !(context.all_acknowledged)(0) => {}
            (_, Revocation::Unannounced | Revocation::Announced(_))
                if !self.is_revoked(context) => {}
            _ => self.grant_primary(context.now, found, actions),
        }
    }

    /// Returns the server that is primary, if routers may use it.
    pub(super) fn find_primary(&self, context: &FailoverContext<'_>) -> Option<Primary> {
        let highest_log_term = self.highest_log_term();
        let found = context.members.iter().find_map(|member| {
            let observation = self.observed(&member.id);
            let is_recent = context.now - observation.answered_at < ANSWER_MAX_AGE_S;
            let status = observation.status.filter(|status| {
                observation.claims_primary() && is_recent && status.primary_term >= highest_log_term
            })?;
            Some(Primary {
                server_id: member.id.clone(),
                primary_term: status.primary_term,
            })
        })?;
        let may_be_used = match context.recorded_primary {
            Some(_) => context.is_recorded_primary(&found.server_id, found.primary_term),
            // The control machines haven't promoted any server, so whichever server is primary may
            // be used, once all members have had time to report whether they are primary.
            None => {
                self.all_reported(context)
                    || context.now - self.polling_since(context) > UNREACHABLE_WAIT_S
            }
        };
        may_be_used.then_some(found)
    }

    /// Returns whether all members have reported a status.
    fn all_reported(&self, context: &FailoverContext<'_>) -> bool {
        context
            .members
            .iter()
            .all(|member| self.observed(&member.id).status.is_some())
    }
}
