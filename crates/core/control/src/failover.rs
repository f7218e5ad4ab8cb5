//! The primary of one service: who it is, when it is to be replaced, and by whom.
//!
//! Nobody tells that a primary is dead. It counts as dead when it refuses connections, or when neither we nor any router
//! has had an answer from it for a while. Before another is promoted, all routers have given up the old one, and all
//! other copies are paused and asked how far they got: what a client was promised is then at the furthest of them.
//!
//! A primary that is to leave is replaced while it goes on: all copies but the coming primary are paused, so that whatever
//! is acknowledged from then on is there; only once it leads do the routers let go of the old one.
mod completing;
mod discovering;
mod handing_over;
mod interface;
mod observation;
mod polling;
mod promoting;
mod promotion_target;
mod revocation;
mod revoking;
mod steady;

use crate::promotion::{PendingPromotion, PromotionOutcome};
pub use interface::{CommandOutcome, FailoverConfig, Position, ServerCommand, ServerStatus};
pub(crate) use interface::{FailoverAction, FailoverContext, ServerCandidate};
use observation::Observation;
pub(crate) use polling::Unheard;
use revocation::Revocation;
use std::collections::BTreeMap;

/// A server that leads a term.
#[derive(Clone, Debug, Default, PartialEq)]
struct Primary {
    id: String,
    primary_term: u64,
}

/// The server that is to be the next primary.
#[derive(Clone, Debug, PartialEq)]
struct PromotionTarget {
    to: String,
    /// It must lead a term above this one.
    above: u64,
    /// The primary is replaced while it serves.
    planned: bool,
}

/// A call to the platform that promotes a server.
#[derive(Clone, Debug, PartialEq)]
struct PromotionAttempt {
    choice: PromotionTarget,
    /// When the platform was asked last; a second later it is asked again.
    posted: f64,
    /// When it was asked first.
    since: f64,
}

/// A primary that is being replaced while it serves.
#[derive(Clone, Debug, PartialEq)]
struct Handover {
    to: String,
    /// The term at which the other copies are paused.
    primary_term: u64,
    since: f64,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Who leads isn't known.
    Discovering,
    /// A primary is in use.
    Steady,
    /// The primary is given up: routers let go, and the others are paused at this term.
    Revoking { primary_term: u64 },
    /// The primary leaves: all but the coming one are paused.
    Handover(Handover),
    /// What is to be promoted is being agreed on.
    Proposing(PromotionTarget),
    /// The platform is asked.
    Promoting(PromotionAttempt),
    /// The new one leads; routers let go of the old one.
    Completing(Primary),
}

/// The failover of one service.
#[derive(Clone, Debug)]
pub(crate) struct Failover {
    timing: FailoverConfig,
    phase: Phase,
    seen: BTreeMap<String, Observation>,
    /// The primary in use or last in use.
    primary: Option<Primary>,
    /// Whether its grant was taken back.
    revocation: Revocation,
    /// The last answer of the primary that any router told of.
    evidence: f64,
    /// Positions of the primary, with when it was asked.
    trail: Vec<(f64, Position)>,
    /// A planned change that came to nothing is tried again after this.
    retry: f64,
    /// That a change is complete is told again after this.
    settle: f64,
    pace: polling::Pace,
    /// The calls to the platform that may still take effect.
    pending: PendingPromotion,
    /// Since when the grant is given back by all.
    given_since: Option<f64>,
}

impl Failover {
    /// A service of which nothing is known yet.
    pub fn new(timing: FailoverConfig) -> Failover {
        Failover {
            timing,
            phase: Phase::Discovering,
            seen: BTreeMap::new(),
            primary: None,
            revocation: Revocation::None,
            evidence: f64::NEG_INFINITY,
            trail: Vec::new(),
            retry: 0.0,
            settle: f64::NEG_INFINITY,
            pace: polling::Pace::default(),
            pending: PendingPromotion::default(),
            given_since: None,
        }
    }

    /// The name of the phase, for logs and operators.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Discovering => "finding",
            Phase::Steady => "steady",
            Phase::Revoking { .. } => "closing",
            Phase::Handover(_) => "handing",
            Phase::Proposing(_) => "agreeing",
            Phase::Promoting(_) => "promoting",
            Phase::Completing(_) => "switching",
        }
    }

    /// Whether just this primary is in use, in steady order.
    pub fn is_steady(&self, id: &str, primary_term: u64) -> bool {
        self.phase == Phase::Steady
            && self
                .primary
                .as_ref()
                .is_some_and(|p| p.id == id && p.primary_term == primary_term)
    }

    /// Lets time pass.
    pub fn tick(&mut self, context: &FailoverContext<'_>) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        let primary = &self.primary;
        self.seen
            .retain(|id, _| context.is_member(id) || primary.as_ref().is_some_and(|p| p.id == *id));
        match self.phase.clone() {
            Phase::Discovering => self.find(context, &mut actions),
            Phase::Steady => self.watch(context, &mut actions),
            Phase::Revoking { primary_term } => self.close(context, primary_term, &mut actions),
            Phase::Handover(handing) => self.hand_over(context, &handing, &mut actions),
            Phase::Proposing(_) => {}
            Phase::Promoting(promotion) => self.promote(context, promotion, &mut actions),
            Phase::Completing(to) => self.switch(context, to, &mut actions),
        }
        actions
    }
}
