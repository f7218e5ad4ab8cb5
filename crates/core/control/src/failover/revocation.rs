//! Grants a service's primary to the routers, and revokes the grant.
//!
//! A router may use a primary only while it holds a lease that covers the grant. A revocation is
//! therefore complete once every router either has acknowledged it or holds no lease.

use super::{Failover, FailoverAction, FailoverContext, Phase, Primary};

/// The state of the revocation of the primary's grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Revocation {
    /// The grant is in force, or no primary was granted yet.
    None,
    /// The revocation was decided, but isn't part of an update to routers yet.
    Unannounced,
    /// The revocation is part of the update to routers with this number.
    Announced(u64),
}

impl Failover {
    /// Records that the grant of the last [`FailoverAction::Grant`] is part of the update to
    /// routers with this number.
    pub(crate) fn grant_announced(&mut self, update_number: u64) {
        if self.revocation == Revocation::Unannounced {
            self.revocation = Revocation::Announced(update_number);
        }
    }

    /// Grants this primary to the routers, and enters [`Phase::Steady`].
    pub(super) fn grant_primary(
        &mut self,
        now: f64,
        primary: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.primary.as_ref() != Some(&primary) {
            self.primary_positions.clear();
            self.unreported_base = None;
        }
        // The log positions at which replicas were paused under an earlier primary are obsolete.
        for observation in self.observations.values_mut() {
            observation.paused = None;
        }
        if let Some(observation) = self.observations.get_mut(&primary.server_id) {
            observation.pause_requested_term = None;
        }
        actions.push(FailoverAction::Grant {
            server_id: primary.server_id.clone(),
            primary_term: primary.primary_term,
            revoking: false,
        });
        self.primary = Some(primary);
        self.revocation = Revocation::None;
        self.revoked_since = None;
        self.promotion_held_by.clear();
        self.held_below = (0, 0);
        // The primary timeout starts now, as routers couldn't report on this primary before.
        self.primary_reported_at = now;
        self.phase = Phase::Steady;
    }

    /// Revokes the grant, unless that was done already.
    pub(super) fn revoke_grant(&mut self, actions: &mut Vec<FailoverAction>) {
        if self.revocation != Revocation::None {
            return;
        }
        self.revocation = Revocation::Unannounced;
        self.revoked_since = None;
        let Primary {
            server_id,
            primary_term,
        } = self.primary.clone().unwrap_or_default();
        actions.push(FailoverAction::Grant {
            server_id,
            primary_term,
            revoking: true,
        });
    }

    /// Revokes the grant and enters [`Phase::Revoking`], so that another server is promoted.
    pub(super) fn abandon_primary(&mut self, actions: &mut Vec<FailoverAction>) {
        let pause_term = self.highest_held_term() + 1;
        self.revoke_grant(actions);
        self.phase = Phase::Revoking { pause_term };
    }

    /// Notes when the revocation is found complete.
    pub(super) fn update_revoked_since(&mut self, context: &FailoverContext<'_>) {
        self.revoked_since = if self.is_revoked(context) {
            self.revoked_since.or(Some(context.now))
        } else {
            None
        };
    }

    /// Returns whether no router can use the primary any more.
    pub(super) fn is_revoked(&self, context: &FailoverContext<'_>) -> bool {
        let acknowledged = match self.revocation {
            Revocation::None => self.primary.is_none(),
            Revocation::Unannounced => false,
            Revocation::Announced(update_number) => (context.all_acknowledged)(update_number),
        };
        acknowledged && context.now >= context.not_before
    }
}
