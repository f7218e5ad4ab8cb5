//! The leases that the leading control machine gives to routers.
//!
//! A router uses a primary only while it has a lease. The lease covers all grants that the router
//! knows of. To revoke a grant, the leader sends the update to all routers and waits until every
//! router has acknowledged it or its lease has expired ([`Leases::all_acknowledged`]). A running
//! lease is renewed even while a revocation waits for it, because the revocation waits for the
//! router's acknowledgement anyway. After a lease has expired, a revocation may have been completed
//! on that basis, so the router gets a new lease only once it knows the present grants
//! ([`Leases::may_renew`]).
//!
//! The leader numbers the updates. Times are in seconds of the leader's steady clock.

use std::collections::BTreeMap;

/// Time for which a session is kept after its lease has expired, in seconds.
const SESSION_TTL_S: f64 = 60.0;

/// What the leader knows about one router.
#[derive(Clone, Debug)]
struct Session {
    /// The incarnation of the router's process. A router that restarts has a new incarnation and
    /// has none of the updates that the former one acknowledged.
    process_incarnation: u64,
    /// The number of the newest update that the router has acknowledged.
    acknowledged_update: u64,
    /// The time from which the router certainly has no lease.
    lease_until: f64,
    /// When the router's newest request was received.
    last_request_at: f64,
}

/// The leases of all routers, by router name.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    sessions: BTreeMap<String, Session>,
    /// The time from which no lease given by a former leader is valid.
    former_leases_until: f64,
    /// The number of the newest update that changed or revoked a grant.
    newest_grant_update: u64,
}

impl Leases {
    /// Creates the leases of a newly elected leader. Leases given by former leaders may be valid
    /// until `former_leases_until`.
    pub fn new(former_leases_until: f64) -> Leases {
        Leases {
            sessions: BTreeMap::new(),
            former_leases_until,
            newest_grant_update: 0,
        }
    }

    /// Records a request from a router that has acknowledged all updates up to
    /// `acknowledged_update`, and gives the router a lease of `lease_duration_s` seconds from
    /// `now`; 0 gives no lease.
    pub fn renew(
        &mut self,
        now: f64,
        router: &str,
        process_incarnation: u64,
        acknowledged_update: u64,
        lease_duration_s: f64,
    ) {
        let renewed = Session {
            process_incarnation,
            acknowledged_update,
            lease_until: now + lease_duration_s,
            last_request_at: now,
        };
        let Some(session) = self.sessions.get_mut(router) else {
            self.sessions.insert(router.to_owned(), renewed);
            return;
        };
        if session.process_incarnation == process_incarnation {
            // Requests may arrive out of order. An older one must not reduce what a newer one
            // acknowledged.
            session.acknowledged_update = session.acknowledged_update.max(acknowledged_update);
            session.lease_until = session.lease_until.max(renewed.lease_until);
            session.last_request_at = now;
        } else {
            *session = renewed;
        }
    }

    /// Records that the update `update_number` changes or revokes a grant.
    pub fn record_grant_change(&mut self, update_number: u64) {
        self.newest_grant_update = self.newest_grant_update.max(update_number);
    }

    /// Returns whether a router may be given a lease: its present lease is still valid, or it knows
    /// the present grants.
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
        let newest_known =
            acknowledged_update.max(self.acknowledged_update(router, process_incarnation));
        has_lease || newest_known >= self.newest_grant_update
    }

    /// Returns the number of the newest update that a router has acknowledged in this incarnation,
    /// or 0 if it has acknowledged none.
    pub fn acknowledged_update(&self, router: &str, process_incarnation: u64) -> u64 {
        self.session(router, process_incarnation)
            .map_or(0, |session| session.acknowledged_update)
    }

    /// Returns whether no router can use grants from before the update `update_number`: every
    /// router has acknowledged that update or has no lease.
    pub fn all_acknowledged(&self, now: f64, update_number: u64) -> bool {
        now >= self.former_leases_until
            && self.sessions.values().all(|session| {
                session.acknowledged_update >= update_number || now >= session.lease_until
            })
    }

    /// Returns the number of routers that have a lease.
    pub fn active_count(&self, now: f64) -> usize {
        let has_lease = |session: &&Session| now < session.lease_until;
        self.sessions.values().filter(has_lease).count()
    }

    /// Returns the number of routers that have a lease or sent a request within the last `within_s`
    /// seconds.
    pub fn recently_seen_count(&self, now: f64, within_s: f64) -> usize {
        let is_recent = |session: &&Session| {
            now < session.lease_until || now - session.last_request_at < within_s
        };
        self.sessions.values().filter(is_recent).count()
    }

    /// Returns the time from which no lease given by a former leader is valid.
    pub fn former_leases_until(&self) -> f64 {
        self.former_leases_until
    }

    /// Removes the sessions whose leases expired at least `SESSION_TTL_S` ago.
    pub fn expire(&mut self, now: f64) {
        self.sessions
            .retain(|_, session| now - session.lease_until < SESSION_TTL_S);
    }

    /// Returns the session of a router, if it is of this incarnation.
    fn session(&self, router: &str, process_incarnation: u64) -> Option<&Session> {
        self.sessions
            .get(router)
            .filter(|session| session.process_incarnation == process_incarnation)
    }
}
