//! The grant of the service: given to a primary, taken back, and returned by all routers.

use super::*;

/// Whether the grant of the primary was taken back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Revocation {
    /// It stands, or there is none yet.
    None,
    /// It was taken back just now; the number of the news isn't known yet.
    Unannounced,
    /// It was taken back with news of this number.
    Announced(u64),
}

impl Failover {
    /// The grant was told to the routers under this number.
    pub fn told(&mut self, number: u64) {
        if self.revocation == Revocation::Unannounced {
            self.revocation = Revocation::Announced(number);
        }
    }

    /// Grants this primary to the routers.
    pub(super) fn use_primary(
        &mut self,
        now: f64,
        primary: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.primary.as_ref() != Some(&primary) {
            self.trail.clear();
        }
        for seen in self.seen.values_mut() {
            seen.paused = None;
        }
        if let Some(seen) = self.seen.get_mut(&primary.id) {
            seen.pausing = None;
        }
        actions.push(FailoverAction::Grant {
            server_id: primary.id.clone(),
            primary_term: primary.primary_term,
            revoking: false,
        });
        self.primary = Some(primary);
        self.revocation = Revocation::None;
        self.evidence = now;
        self.phase = Phase::Steady;
    }

    /// Takes the grant back, unless that was done.
    pub(super) fn revoke(&mut self, actions: &mut Vec<FailoverAction>) {
        if self.revocation != Revocation::None {
            return;
        }
        self.revocation = Revocation::Unannounced;
        let Primary { id, primary_term } = self.primary.clone().unwrap_or_default();
        actions.push(FailoverAction::Grant {
            server_id: id,
            primary_term,
            revoking: true,
        });
    }

    /// Gives the primary up: another is to be promoted.
    pub(super) fn give_up(&mut self, actions: &mut Vec<FailoverAction>) {
        let primary_term = self.highest_term() + 1;
        self.revoke(actions);
        self.given_since = None;
        self.phase = Phase::Revoking { primary_term };
    }

    /// Whether the grant, if there was one, is given back by all.
    pub(super) fn given_back(&self, context: &FailoverContext<'_>) -> bool {
        let known = match self.revocation {
            Revocation::None => self.primary.is_none(),
            Revocation::Unannounced => false,
            Revocation::Announced(number) => (context.all_know)(number),
        };
        known && context.now >= context.not_before
    }
}
