//! The grants of a leader: for each service, the server that routers may use as its primary.

use crate::message::PrimaryGrant;
use std::collections::BTreeMap;

/// A grant, with the number of the update to routers that announced it.
#[derive(Clone, Debug)]
struct NumberedGrant {
    grant: PrimaryGrant,
    update_number: u64,
}

/// The newest grant of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    by_service: BTreeMap<String, NumberedGrant>,
    /// For each service without a primary, the time at which its grant was revoked.
    revoked_since: BTreeMap<String, f64>,
}

impl Grants {
    /// Replaces the grant of a service. If this ends an outage, returns the number of seconds for
    /// which the service had no primary.
    pub(super) fn replace(
        &mut self,
        now: f64,
        grant: PrimaryGrant,
        update_number: u64,
    ) -> Option<f64> {
        let service = grant.service.clone();
        let outage_s = if grant.revoking {
            self.revoked_since.entry(service.clone()).or_insert(now);
            None
        } else {
            self.revoked_since.remove(&service).map(|since| now - since)
        };
        let numbered = NumberedGrant {
            grant,
            update_number,
        };
        self.by_service.insert(service, numbered);
        outage_s
    }

    /// Returns the newest grant of this service.
    pub(super) fn get(&self, service: &str) -> Option<&PrimaryGrant> {
        self.by_service.get(service).map(|numbered| &numbered.grant)
    }

    /// Returns whether the grant of any service is revoked.
    pub(super) fn is_any_revoked(&self) -> bool {
        !self.revoked_since.is_empty()
    }

    /// Returns the grants that were announced in updates after the one with this number.
    pub(super) fn announced_after(&self, update_number: u64) -> Vec<PrimaryGrant> {
        self.by_service
            .values()
            .filter(|numbered| numbered.update_number > update_number)
            .map(|numbered| numbered.grant.clone())
            .collect()
    }
}
