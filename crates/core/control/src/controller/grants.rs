//! The grants of a leader: which server routers may use as the primary of each service.

use crate::message::PrimaryGrant;
use std::collections::BTreeMap;

/// A grant, with the number of the update that announced it.
#[derive(Clone, Debug)]
struct NumberedGrant {
    grant: PrimaryGrant,
    update_number: u64,
}

/// The newest grant of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    by_service: BTreeMap<String, NumberedGrant>,
    /// Since when each service whose grant was revoked has had no primary.
    revoked_since: BTreeMap<String, f64>,
}

impl Grants {
    /// Replaces the grant of a service. If this ends an outage, returns for how many seconds the
    /// service had no primary.
    pub(super) fn replace(
        &mut self,
        now: f64,
        grant: PrimaryGrant,
        update_number: u64,
    ) -> Option<f64> {
        let service = grant.service.clone();
        let outage = if grant.revoking {
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
        outage
    }

    /// The grant of this service.
    pub(super) fn get(&self, service: &str) -> Option<&PrimaryGrant> {
        self.by_service.get(service).map(|numbered| &numbered.grant)
    }

    /// The grants that were announced after the update with this number.
    pub(super) fn announced_after(&self, update_number: u64) -> Vec<PrimaryGrant> {
        self.by_service
            .values()
            .filter(|numbered| numbered.update_number > update_number)
            .map(|numbered| numbered.grant.clone())
            .collect()
    }
}
