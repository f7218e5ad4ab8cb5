//! The routers' sessions with the leading control machine, and the leases that they hold.
//!
//! A router uses a primary only under a lease, which covers all grants that it was told of. Whoever takes a grant back
//! tells all routers and waits until each has said that it knows, or can hold no lease any more. A lease that runs may be
//! prolonged meanwhile, as it is waited for; one that has run out may have been relied on, and is given again only to a router
//! that knows all grants as they are.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Session {
    process_incarnation: u64,
    known: u64,
    /// Its lease has ended for certain at this second of our clock.
    until: f64,
    /// When it last asked.
    asked: f64,
}

/// Leases by the routers' names.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    all: BTreeMap<String, Session>,
    /// Leases that leaders before us gave may run until then.
    before_us: f64,
    /// The number of the newest change of a grant.
    changed: u64,
}

impl Leases {
    /// A machine begins to lead: leases of those before it may run until `before_us`.
    pub fn new(before_us: f64) -> Leases {
        Leases {
            all: BTreeMap::new(),
            before_us,
            changed: 0,
        }
    }

    /// A router asks and is given the lease for so many seconds, 0 for none; it knows all news up to `known`.
    pub fn renew(
        &mut self,
        now: f64,
        router: &str,
        process_incarnation: u64,
        known: u64,
        lease: f64,
    ) {
        let renewed = Session {
            process_incarnation,
            known,
            until: now + lease,
            asked: now,
        };
        let Some(session) = self.all.get_mut(router) else {
            self.all.insert(router.to_owned(), renewed);
            return;
        };
        if session.process_incarnation == process_incarnation {
            // A call that was overtaken takes nothing back of what is known.
            session.known = session.known.max(known);
            session.until = session.until.max(renewed.until);
            session.asked = now;
        } else {
            *session = renewed;
        }
    }

    /// A grant is changed, or taken back, with news of this number.
    pub fn grant_changed(&mut self, number: u64) {
        self.changed = self.changed.max(number);
    }

    /// Whether this router, in this life, may be given a lease: the one that it has runs, or it knows all grants as they are.
    pub fn may_renew(&self, now: f64, router: &str, process_incarnation: u64, known: u64) -> bool {
        let session = self
            .all
            .get(router)
            .filter(|session| session.process_incarnation == process_incarnation);
        let runs = session.is_some_and(|session| now < session.until);
        runs || known.max(self.acknowledged(router, process_incarnation)) >= self.changed
    }

    /// Up to which number this router has said, in this life, that it knows the news.
    pub fn acknowledged(&self, router: &str, process_incarnation: u64) -> u64 {
        self.all
            .get(router)
            .filter(|session| session.process_incarnation == process_incarnation)
            .map_or(0, |session| session.known)
    }

    /// Whether no router can act on anything older than this number.
    pub fn all_acknowledged(&self, now: f64, number: u64) -> bool {
        now >= self.before_us
            && self
                .all
                .values()
                .all(|s| s.known >= number || now >= s.until)
    }

    /// How many routers hold a lease.
    pub fn active(&self, now: f64) -> usize {
        self.all.values().filter(|s| now < s.until).count()
    }

    /// How many routers hold a lease or asked for one within so many seconds.
    pub fn recently_seen(&self, now: f64, within: f64) -> usize {
        self.all
            .values()
            .filter(|s| now < s.until || now - s.asked < within)
            .count()
    }

    /// When leases from before this machine led have ended.
    pub fn former_leases_until(&self) -> f64 {
        self.before_us
    }

    /// Forgets whose lease ended long ago.
    pub fn expire(&mut self, now: f64) {
        self.all.retain(|_, s| now - s.until < 60.0);
    }
}
