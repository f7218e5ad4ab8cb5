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
//! A router whose client has read the success of a commit may be the only one that knows. So the
//! leases also answer up to which position the routers have passed successes on
//! ([`Leases::acknowledged_position`]), and from when on they can't: [`Leases::last_unreported_end`].
//!
//! The leader numbers the updates. Times are in seconds of the leader's steady clock.

use crate::failover::Position;
use crate::message::AcknowledgedPosition;
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
    /// Whether this incarnation of the router has had a lease of this leader.
    had_lease: bool,
    /// What the router reported last.
    report: PositionReport,
}

/// A router's report of the positions up to which it has passed successes on.
#[derive(Clone, Debug, Default)]
struct PositionReport {
    /// The number of the newest update that the router knew when it reported.
    update_number: u64,
    /// What was reported of each service.
    services: BTreeMap<String, AcknowledgedPosition>,
}

impl Session {
    /// Returns the time at which the router's last lease ends; negative infinity if it had none.
    fn lease_end(&self) -> f64 {
        if self.had_lease {
            self.lease_until
        } else {
            f64::NEG_INFINITY
        }
    }
}

impl PositionReport {
    /// Returns the position reported for this service, if the router knew the update
    /// `update_number`.
    fn position(&self, service: &str, update_number: u64) -> Option<Position> {
        let is_current = self.update_number >= update_number;
        self.services
            .get(service)
            .map(|acknowledged| acknowledged.position)
            .filter(|_| is_current)
    }
}

/// The leases of all routers, by router name.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    sessions: BTreeMap<String, Session>,
    /// The time from which no lease given by a former leader is valid.
    former_leases_until: f64,
    /// The number of the newest update that changed or revoked a grant.
    newest_grant_update: u64,
    /// The latest end of the leases of routers that have been removed, or have restarted, since.
    removed_lease_end: f64,
}

impl Leases {
    /// Creates the leases of a newly elected leader. Leases given by former leaders may be valid
    /// until `former_leases_until`.
    pub fn new(former_leases_until: f64) -> Leases {
        Leases {
            sessions: BTreeMap::new(),
            former_leases_until,
            newest_grant_update: 0,
            removed_lease_end: f64::NEG_INFINITY,
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
            had_lease: lease_duration_s > 0.0,
            report: PositionReport::default(),
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
            session.had_lease |= renewed.had_lease;
        } else {
            let former = std::mem::replace(session, renewed);
            self.removed_lease_end = self.removed_lease_end.max(former.lease_end());
        }
    }

    /// Records up to which positions a router has passed successes on, for the services whose grant
    /// is revoked in its view. The router knew all updates up to `update_number`.
    pub fn record_acknowledged_positions(
        &mut self,
        router: &str,
        process_incarnation: u64,
        update_number: u64,
        positions: &[AcknowledgedPosition],
    ) {
        let Some(session) = self
            .sessions
            .get_mut(router)
            .filter(|session| session.process_incarnation == process_incarnation)
        else {
            return;
        };
        if update_number == 0 || update_number < session.report.update_number {
            return;
        }
        session.report = PositionReport {
            update_number,
            services: positions
                .iter()
                .map(|acknowledged| (acknowledged.service.clone(), acknowledged.clone()))
                .collect(),
        };
    }

    /// Returns the highest position in a service up to which any router has passed a success on,
    /// among the routers with a lease that ended after the time `since`. Each of them must have
    /// reported it while it knew the update `update_number`, which revoked the grant; otherwise
    /// returns `None`. Leases that ended before `since` are not covered.
    pub fn acknowledged_position(
        &self,
        service: &str,
        update_number: u64,
        since: f64,
    ) -> Option<Position> {
        if since <= self.former_leases_until.max(self.removed_lease_end) {
            return None;
        }
        self.sessions
            .values()
            .filter(|session| session.lease_end() > since)
            .map(|session| session.report.position(service, update_number))
            .try_fold((0, 0), |highest, position| Some(highest.max(position?)))
    }

    /// Returns the highest position in a service beyond which a commit certainly lies whose success
    /// a client has read, according to the routers' last reports.
    pub fn surpassed_position(&self, service: &str) -> Position {
        self.sessions
            .values()
            .filter_map(|session| session.report.services.get(service))
            .map(|acknowledged| acknowledged.surpassed)
            .fold((0, 0), Position::max)
    }

    /// Returns the latest time at which a lease ended, of this leader or a former one, whose router
    /// can't be expected to report. It may be in the future.
    pub fn last_unreported_end(&self, now: f64) -> f64 {
        let known = self.former_leases_until.max(self.removed_lease_end);
        self.sessions
            .values()
            .map(Session::lease_end)
            .filter(|end| *end <= now)
            .fold(known, f64::max)
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
        let removed_lease_end = &mut self.removed_lease_end;
        self.sessions.retain(|_, session| {
            let is_kept = now - session.lease_until < SESSION_TTL_S;
            if !is_kept {
                *removed_lease_end = removed_lease_end.max(session.lease_end());
            }
            is_kept
        });
    }

    /// Returns the session of a router, if it is of this incarnation.
    fn session(&self, router: &str, process_incarnation: u64) -> Option<&Session> {
        self.sessions
            .get(router)
            .filter(|session| session.process_incarnation == process_incarnation)
    }
}
