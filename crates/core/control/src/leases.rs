//! The leases that the leading control machine gives to routers.
//!
//! A router uses a primary only while it has a lease. The lease covers all grants that the router
//! knows of. To revoke a grant, the leader sends the update to all routers and waits until each has
//! acknowledged it or can have no lease any more ([`Leases::all_acknowledged`]). A running lease is
//! renewed meanwhile, as the revocation waits for it anyway. Once a lease has expired, a revocation
//! may have relied on that, so the router gets a new one only when it knows all grants as they are
//! ([`Leases::may_renew`]).
//!
//! Updates are numbered by the leader. Times are in seconds of the leader's steady clock.

use std::collections::BTreeMap;

/// A session is forgotten so many seconds after its lease has ended.
const SESSION_TTL_S: f64 = 60.0;

/// What the leader knows of one router.
#[derive(Clone, Debug)]
struct Session {
    /// A router that restarts has a new incarnation, and knows nothing of what its former one
    /// acknowledged.
    process_incarnation: u64,
    /// The number of the newest update that it has acknowledged.
    acknowledged_update: u64,
    /// When its lease has ended for certain.
    lease_until: f64,
    last_request_at: f64,
}

/// The leases, by the names of the routers.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    sessions: BTreeMap<String, Session>,
    former_leases_until: f64,
    /// The number of the newest update that changed or revoked a grant.
    newest_grant_update: u64,
}

impl Leases {
    /// The leases of a machine that begins to lead. Leases that former leaders gave may run until
    /// `former_leases_until`.
    pub fn new(former_leases_until: f64) -> Leases {
        Leases {
            sessions: BTreeMap::new(),
            former_leases_until,
            newest_grant_update: 0,
        }
    }

    /// Records a request of a router that has acknowledged all updates up to `acknowledged_update`.
    /// It is given a lease of `lease_duration` seconds from now; 0 for none.
    pub fn renew(
        &mut self,
        now: f64,
        router: &str,
        process_incarnation: u64,
        acknowledged_update: u64,
        lease_duration: f64,
    ) {
        let renewed = Session {
            process_incarnation,
            acknowledged_update,
            lease_until: now + lease_duration,
            last_request_at: now,
        };
        let Some(session) = self.sessions.get_mut(router) else {
            self.sessions.insert(router.to_owned(), renewed);
            return;
        };
        if session.process_incarnation == process_incarnation {
            // An older request may arrive after a newer one: what the newer one acknowledged stays
            // acknowledged.
            session.acknowledged_update = session.acknowledged_update.max(acknowledged_update);
            session.lease_until = session.lease_until.max(renewed.lease_until);
            session.last_request_at = now;
        } else {
            *session = renewed;
        }
    }

    /// Records that the update `number` changes or revokes a grant.
    pub fn grant_changed(&mut self, number: u64) {
        self.newest_grant_update = self.newest_grant_update.max(number);
    }

    /// Whether a router may be given a lease: its present one still runs, or it knows all grants as
    /// they are.
    pub fn may_renew(
        &self,
        now: f64,
        router: &str,
        process_incarnation: u64,
        acknowledged_update: u64,
    ) -> bool {
        let has_lease = self
            .session(router, process_incarnation)
            .is_some_and(|session| now < session.lease_until);
        let newest_known = acknowledged_update.max(self.acknowledged(router, process_incarnation));
        has_lease || newest_known >= self.newest_grant_update
    }

    /// The number of the newest update that a router has acknowledged in this incarnation; 0 if
    /// none.
    pub fn acknowledged(&self, router: &str, process_incarnation: u64) -> u64 {
        self.session(router, process_incarnation)
            .map_or(0, |session| session.acknowledged_update)
    }

    /// Whether no router can act by grants older than the update `number`: each has acknowledged it
    /// or has no lease.
    pub fn all_acknowledged(&self, now: f64, number: u64) -> bool {
        now >= self.former_leases_until
            && self
                .sessions
                .values()
                .all(|session| session.acknowledged_update >= number || now >= session.lease_until)
    }

    /// The number of routers with a lease.
    pub fn active(&self, now: f64) -> usize {
        let has_lease = |session: &&Session| now < session.lease_until;
        self.sessions.values().filter(has_lease).count()
    }

    /// The number of routers that have a lease or sent a request within the last `within` seconds.
    pub fn recently_seen(&self, now: f64, within: f64) -> usize {
        let is_recent = |session: &&Session| {
            now < session.lease_until || now - session.last_request_at < within
        };
        self.sessions.values().filter(is_recent).count()
    }

    /// When all leases that former leaders gave have ended.
    pub fn former_leases_until(&self) -> f64 {
        self.former_leases_until
    }

    /// Forgets the routers whose leases ended long ago.
    pub fn expire(&mut self, now: f64) {
        self.sessions
            .retain(|_, session| now - session.lease_until < SESSION_TTL_S);
    }

    fn session(&self, router: &str, process_incarnation: u64) -> Option<&Session> {
        self.sessions
            .get(router)
            .filter(|session| session.process_incarnation == process_incarnation)
    }
}
