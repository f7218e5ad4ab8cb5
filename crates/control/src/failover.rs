//! The primary of one service: who it is, when it is to be replaced, and by whom.
//!
//! Nobody tells that a primary is dead. It counts as dead when it refuses connections, or when neither we nor any router
//! has had an answer from it for a while. Before another is promoted, all routers have given up the old one, and all
//! other copies are paused and asked how far they got: what a client was promised is then at the furthest of them.
//!
//! A primary that is to leave is replaced while it goes on: all copies but the coming primary are paused, so that whatever
//! is acknowledged from then on is there; only once it leads do the routers let go of the old one.
mod closing;
mod finding;
mod grant;
mod handing_over;
mod observation;
mod promoting;
mod switching;
mod types;
mod watching;

use observation::Seen;
use std::collections::BTreeMap;
pub(crate) use types::{Act, Around, Candidate};
pub use types::{Asked, Position, Row, Statement, Timing};

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Who leads isn't known.
    Finding,
    Steady,
    /// The primary is given up: routers let go, and the others are paused.
    Closing {
        term: u64,
    },
    /// The primary leaves: all but the coming one are paused.
    Handing {
        to: String,
        term: u64,
        since: f64,
    },
    /// What is to be promoted is being agreed on.
    Agreeing {
        to: String,
        above: u64,
        planned: bool,
    },
    /// The platform is asked.
    Promoting {
        to: String,
        above: u64,
        planned: bool,
        posted: f64,
        tries: u32,
        since: f64,
    },
    /// The new one leads; routers let go of the old one.
    Switching {
        to: String,
        term: u64,
    },
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Failover {
    timing: Timing,
    phase: Phase,
    seen: BTreeMap<String, Seen>,
    /// The primary in use or last in use, and its term.
    primary: Option<(String, u64)>,
    /// The grant was taken back with news of this number; none while it stands.
    closed: Option<u64>,
    /// The last answer of the primary that any router told of.
    evidence: f64,
    /// Positions of the primary, with when it was asked.
    trail: Vec<(f64, Position)>,
    /// A planned change that came to nothing is tried again after this.
    retry: f64,
    /// That a change is complete is told again after this.
    settle: f64,
}

impl Failover {
    pub fn new(timing: Timing) -> Failover {
        Failover {
            timing,
            phase: Phase::Finding,
            seen: BTreeMap::new(),
            primary: None,
            closed: None,
            evidence: f64::NEG_INFINITY,
            trail: Vec::new(),
            retry: 0.0,
            settle: f64::NEG_INFINITY,
        }
    }

    /// The name of the phase, for logs.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Finding => "finding",
            Phase::Steady => "steady",
            Phase::Closing { .. } => "closing",
            Phase::Handing { .. } => "handing",
            Phase::Agreeing { .. } => "agreeing",
            Phase::Promoting { .. } => "promoting",
            Phase::Switching { .. } => "switching",
        }
    }

    /// Whether just this primary is in use, in steady order.
    pub fn is_steady(&self, id: &str, term: u64) -> bool {
        self.phase == Phase::Steady && self.primary.as_ref().is_some_and(|p| p.0 == id && p.1 == term)
    }

    /// Lets time pass.
    pub fn tick(&mut self, around: &Around<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        let known: Vec<String> = around.members.iter().map(|m| m.id.clone()).collect();
        self.seen.retain(|id, _| known.contains(id) || self.primary.as_ref().is_some_and(|p| p.0 == *id));
        match self.phase.clone() {
            Phase::Finding => self.find(around, &mut acts),
            Phase::Steady => self.watch(around, &mut acts),
            Phase::Closing { term } => self.close(around, term, &mut acts),
            Phase::Handing { to, term, since } => self.hand(around, &to, term, since, &mut acts),
            Phase::Agreeing { .. } => {}
            Phase::Promoting { to, above, planned, posted, tries, since } => {
                self.promote(around, &to, above, planned, (posted, tries, since), &mut acts);
            }
            Phase::Switching { to, term } => self.switch(around, &to, term, &mut acts),
        }
        acts
    }
}
