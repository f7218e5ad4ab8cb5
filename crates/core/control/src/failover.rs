//! The failover of one service: which server is its primary, when that primary is replaced, and
//! by which replica.
//!
//! [`Failover`] is a state machine without I/O and without a clock. The leading control machine
//! owns one for each service (see `controller::failover_driver`), calls [`Failover::tick`] with a
//! [`FailoverContext`], carries out the [`FailoverAction`]s that come back, and reports what came
//! of them. It never sends anything, never decides about leases, and keeps nothing on disk: what
//! must outlive this leader is proposed as a [`PrimaryRecord`](crate::state::PrimaryRecord).
//!
//! # When a primary is replaced
//!
//! No server reports its own death. A primary counts as dead when it refuses connections, or when
//! neither this machine nor any router has had an answer from it for the primary time-out. Before
//! another server is promoted, every router has acknowledged that the grant is revoked (or its
//! lease has ended), and all other replicas are paused and queried for their position: every write
//! that was acknowledged to a client is then on the replica that is furthest ahead.
//!
//! A draining primary is replaced while it still serves. All replicas but the target are paused,
//! so that whatever is acknowledged from then on is on the target; only once the target is primary
//! do routers give up the old one.
//!
//! # Phases
//!
//! - `Discovering`: to `Steady` when a usable primary is found, to `Revoking` when none turns up
//!   in time.
//! - `Steady`: to `Revoking` when the primary is dead or its drain ends, to `Handover` when it
//!   drains, to `Discovering` when it reports that it isn't primary any more.
//! - `Revoking`: to `Steady` when the primary is back or another is found, to `Proposing` when a
//!   replica is chosen.
//! - `Handover`: to `Proposing` when the target has caught up, to `Steady` when it hasn't in time,
//!   to `Revoking` when the primary dies.
//! - `Proposing`: to `Promoting` when the target is committed, to `Discovering` when it isn't.
//! - `Promoting`: when the target is primary, to `Steady`, or to `Completing` if the promotion is
//!   planned; when the platform refuses, to `Revoking`, or to `Discovering` if it is planned; to
//!   `Revoking` when the target is lost.
//! - `Completing`: to `Steady` when all routers have given up the old primary.
//!
//! Each phase has its module, with the method that [`Failover::tick`] calls in that phase.

mod completing;
mod discovering;
mod fencing;
mod handover;
mod interface;
mod observation;
mod polling;
mod promoting;
mod promotion_target;
mod revocation;
mod revoking;
mod steady;

use crate::promotion::PendingPromotion;
pub use interface::{CommandOutcome, FailoverConfig, Position, ServerCommand, ServerStatus};
pub(crate) use interface::{FailoverAction, FailoverContext, ServerCandidate};
use observation::Observation;
pub(crate) use polling::UnresponsiveRole;
use polling::{PollingDelay, PositionSample};
use revocation::Revocation;
use std::collections::BTreeMap;

/// A server that is the primary of a primary term.
#[derive(Clone, Debug, Default, PartialEq)]
struct Primary {
    server_id: String,
    primary_term: u64,
}

/// The server that is to be the next primary.
#[derive(Clone, Debug, PartialEq)]
struct PromotionTarget {
    server_id: String,
    /// The target counts as promoted once it is the primary of a term above this one.
    after_term: u64,
    /// The old primary still serves while this target takes its place.
    planned: bool,
}

/// The requests to the platform for one promotion target.
#[derive(Clone, Debug, PartialEq)]
struct PromotionAttempt {
    target: PromotionTarget,
    /// The next request follows `promoting::REQUEST_INTERVAL_S` after this second. That is when
    /// the last request was sent, moved by the platform's answer.
    backoff_from: f64,
    /// When the first request was sent.
    started_at: f64,
}

/// A draining primary that is being replaced while it serves.
#[derive(Clone, Debug, PartialEq)]
struct Handover {
    target_id: String,
    /// The primary term at which the other replicas are paused.
    pause_term: u64,
    started_at: f64,
}

/// Where the failover of a service stands.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The primary isn't known; all servers are queried.
    Discovering,
    /// Routers may use a primary, whose health is watched.
    Steady,
    /// The primary is given up: its grant is revoked, and the replicas are paused at this term.
    Revoking { pause_term: u64 },
    /// The primary drains: all replicas but the target are paused while it serves on.
    Handover(Handover),
    /// The control machines are committing the promotion target.
    Proposing(PromotionTarget),
    /// The platform is requested to promote the target.
    Promoting(PromotionAttempt),
    /// The target of a planned promotion is primary; routers are giving up the old one.
    Completing(Primary),
}

/// The failover of one service.
#[derive(Clone, Debug)]
pub(crate) struct Failover {
    config: FailoverConfig,
    phase: Phase,
    observations: BTreeMap<String, Observation>,
    /// The primary that routers may use, or used last.
    primary: Option<Primary>,
    /// How far the revocation of its grant has come.
    revocation: Revocation,
    /// When the primary last answered any router, as far as routers have reported.
    primary_reported_at: f64,
    /// The newest positions of the primary, oldest first.
    primary_positions: Vec<PositionSample>,
    /// No planned replacement and no new discovery ends before this second.
    retry_at: f64,
    /// The completed change of the primary is proposed again after this second.
    record_retry_at: f64,
    polling_delay: PollingDelay,
    /// The requests to the platform that may still take effect.
    pending_promotion: PendingPromotion,
    /// Since when the revocation has been complete.
    revoked_since: Option<f64>,
}

impl Failover {
    /// The failover of a service of which nothing is known yet.
    pub(crate) fn new(config: FailoverConfig) -> Failover {
        Failover {
            config,
            phase: Phase::Discovering,
            observations: BTreeMap::new(),
            primary: None,
            revocation: Revocation::None,
            primary_reported_at: f64::NEG_INFINITY,
            primary_positions: Vec::new(),
            retry_at: 0.0,
            record_retry_at: f64::NEG_INFINITY,
            polling_delay: PollingDelay::default(),
            pending_promotion: PendingPromotion::default(),
            revoked_since: None,
        }
    }

    /// The name of the phase for operators: in the `primaries` JSON, metric labels and log lines.
    ///
    /// These words are documented output (users' pages, dashboards and tests rely on them), and
    /// therefore older than the names in the code: `finding` is [`Phase::Discovering`], `closing`
    /// [`Phase::Revoking`], `handing` [`Phase::Handover`], `agreeing` [`Phase::Proposing`], and
    /// `switching` [`Phase::Completing`].
    pub(crate) fn phase(&self) -> &'static str {
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

    /// Whether a primary is in use and no change is under way.
    pub(crate) fn is_steady(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// Whether exactly this primary is in use and no change is under way.
    pub(crate) fn is_steady_with(&self, server_id: &str, primary_term: u64) -> bool {
        self.is_steady()
            && self.primary.as_ref().is_some_and(|primary| {
                primary.server_id == server_id && primary.primary_term == primary_term
            })
    }

    /// Advances the failover to the second `context.now`, and returns what is to be done.
    pub(crate) fn tick(&mut self, context: &FailoverContext<'_>) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        self.forget_former_members(context);
        match self.phase.clone() {
            Phase::Discovering => self.tick_discovering(context, &mut actions),
            Phase::Steady => self.tick_steady(context, &mut actions),
            Phase::Revoking { pause_term } => {
                self.tick_revoking(context, pause_term, &mut actions);
            }
            Phase::Handover(handover) => self.tick_handover(context, &handover, &mut actions),
            // Nothing to do until `proposal_decided` is called.
            Phase::Proposing(_) => {}
            Phase::Promoting(attempt) => self.tick_promoting(context, attempt, &mut actions),
            Phase::Completing(promoted) => self.tick_completing(context, promoted, &mut actions),
        }
        actions
    }

    /// Drops what was observed of servers that are no members any more, except of the primary: its
    /// position decides which replica may be promoted.
    fn forget_former_members(&mut self, context: &FailoverContext<'_>) {
        let primary = self.primary.as_ref();
        self.observations.retain(|id, _| {
            context.is_member(id) || primary.is_some_and(|primary| primary.server_id == *id)
        });
    }

    /// Whether this server is the primary that routers may use, or used last.
    fn is_primary(&self, server_id: &str) -> bool {
        self.primary
            .as_ref()
            .is_some_and(|primary| primary.server_id == server_id)
    }

    /// The term of the primary that routers may use, or used last; 0 before the first.
    fn current_primary_term(&self) -> u64 {
        self.primary
            .as_ref()
            .map_or(0, |primary| primary.primary_term)
    }
}
