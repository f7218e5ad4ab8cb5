//! The grant of a service's primary: how it is given to routers and taken back from them.
//!
//! A router may use a primary only under a lease that covers the grant. Taking a grant back is
//! therefore complete once every router has acknowledged the revocation, or holds no lease.

use super::{Failover, FailoverAction, FailoverContext, Phase, Primary};

/// How far the revocation of the primary's grant has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Revocation {
    /// The grant stands, or none was given yet.
    None,
    /// The revocation was decided on, and has no update number yet.
    Unannounced,
    /// The revocation is part of the update with this number.
    Announced(u64),
}

impl Failover {
    /// The grant of the last [`FailoverAction::Grant`] is part of the update with this number.
    pub(crate) fn grant_announced(&mut self, update_number: u64) {
        if self.revocation == Revocation::Unannounced {
            self.revocation = Revocation::Announced(update_number);
        }
    }

    /// Lets routers use this primary, and enters [`Phase::Steady`].
    pub(super) fn grant_primary(
        &mut self,
        now: f64,
        primary: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.primary.as_ref() != Some(&primary) {
            self.primary_positions.clear();
        }
        // Where the logs of paused replicas ended under another primary decides nothing any more.
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
        // The time-out begins now, as routers have had no occasion to report on it.
        self.primary_reported_at = now;
        self.phase = Phase::Steady;
    }

    /// Takes the grant back, unless that was done already.
    pub(super) fn revoke_grant(&mut self, actions: &mut Vec<FailoverAction>) {
        if self.revocation != Revocation::None {
            return;
        }
        self.revocation = Revocation::Unannounced;
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

    /// Takes the grant back and enters [`Phase::Revoking`]: another server is to be promoted.
    pub(super) fn abandon_primary(&mut self, actions: &mut Vec<FailoverAction>) {
        let pause_term = self.highest_held_term() + 1;
        self.revoke_grant(actions);
        self.revoked_since = None;
        self.phase = Phase::Revoking { pause_term };
    }

    /// Whether no router can use the primary any more.
    pub(super) fn is_revoked(&self, context: &FailoverContext<'_>) -> bool {
        let acknowledged = match self.revocation {
            Revocation::None => self.primary.is_none(),
            Revocation::Unannounced => false,
            Revocation::Announced(update_number) => (context.all_acknowledged)(update_number),
        };
        acknowledged && context.now >= context.not_before
    }
}
