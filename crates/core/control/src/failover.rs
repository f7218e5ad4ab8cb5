//! The failover of one service: decides which server is its primary, when that primary is
//! replaced, and which replica replaces it.
//!
//! [`Failover`] is a state machine without I/O and without a clock; all times are seconds of the
//! caller's steady clock. The leading control machine owns one `Failover` for each service (see
//! `controller::failover_driver`): it calls [`Failover::tick`] with a [`FailoverContext`], carries
//! out the returned [`FailoverAction`]s, and reports their outcomes. A `Failover` sends nothing,
//! decides nothing about leases, and stores nothing on disk: what must outlive this leader is
//! proposed as a [`PrimaryRecord`](crate::state::PrimaryRecord).
//!
//! # When a primary is replaced
//!
//! No server reports its own death. A primary counts as dead when it refuses connections, or when
//! neither this machine nor any router has received an answer from it within the primary timeout.
//! Before another server is promoted, every router must have acknowledged the revocation of the
//! grant (or its lease must have expired). Then it must be proven that the server has every commit
//! whose success a client has read: by the primary's position after that, by the routers' reports
//! of what they have passed on, or else by pausing and comparing all replicas (`coverage_proof`).
//!
//! A draining primary is replaced in the same way. It stays in use until the target is close to the
//! end of its log, and answers for its final position after the revocation.
//!
//! # Phases
//!
//! - `Discovering`: changes to `Steady` when a usable primary is found, and to `Revoking` when none
//!   is found in time.
//! - `Steady`: changes to `Revoking` when the primary is dead or its drain is about to end, to
//!   `Handover` when the primary drains, and to `Discovering` when the primary reports that it is
//!   no longer the primary of its term.
//! - `Revoking`: changes to `Steady` when the primary is back or another primary is found, and to
//!   `Proposing` when a replica is chosen as the promotion target.
//! - `Handover`: changes to `Proposing` when the grant is revoked and the target has everything, to
//!   `Steady` when it hasn't in time, and to `Revoking` when the primary dies or its drain is about
//!   to end.
//! - `Proposing`: changes to `Promoting` when the target is committed, and to `Discovering` when
//!   the proposal fails.
//! - `Promoting`: changes to `Steady` when the target has become primary, and to `Revoking` when the
//!   platform refuses or the target is lost.
//!
//! Each phase has a module with the method that [`Failover::tick`] calls in that phase.

mod coverage_proof;
mod discovering;
mod fencing;
mod handover;
mod interface;
mod log_coverage;
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
use promotion_target::PromotionTarget;
use revocation::Revocation;
use std::collections::BTreeMap;

/// A server, and the primary term in which it is the primary.
#[derive(Clone, Debug, Default, PartialEq)]
struct Primary {
    server_id: String,
    primary_term: u64,
}

/// The requests to the platform to promote one target.
#[derive(Clone, Debug, PartialEq)]
struct PromotionAttempt {
    target: PromotionTarget,
    /// The next request is sent `promoting::REQUEST_INTERVAL_S` after this time: the time of the
    /// last request, shifted according to the platform's answer.
    backoff_from: f64,
    /// Time of the first request.
    started_at: f64,
}

/// The replacement of a draining primary.
#[derive(Clone, Debug, PartialEq)]
struct Handover {
    target_id: String,
    started_at: f64,
}

/// The phase of a service's failover.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The primary isn't known; all servers are queried.
    Discovering,
    /// Routers may use the primary, and its health is monitored.
    Steady,
    /// The primary was given up: its grant is being revoked, and the replicas are being paused at
    /// this term.
    Revoking { pause_term: u64 },
    /// The primary drains, and another server is prepared to replace it.
    Handover(Handover),
    /// The control machines are committing the promotion target.
    Proposing(PromotionTarget),
    /// The platform is being requested to promote the target.
    Promoting(PromotionAttempt),
}

/// The failover of one service.
#[derive(Clone, Debug)]
pub(crate) struct Failover {
    config: FailoverConfig,
    phase: Phase,
    observations: BTreeMap<String, Observation>,
    /// The primary that was last granted to routers.
    primary: Option<Primary>,
    /// The state of the revocation of that primary's grant.
    revocation: Revocation,
    /// Time of the primary's last answer to any router, according to the routers' reports, or time
    /// of the grant if that is later.
    primary_reported_at: f64,
    /// The newest log positions of the primary, oldest first.
    primary_positions: Vec<PositionSample>,
    /// A position of the primary that covers what routers passed on that can't report it any more.
    unreported_base: Option<PositionSample>,
    /// Time of the last query to each departed server whose log may be missing elsewhere.
    departed_queried_at: BTreeMap<String, f64>,
    /// The servers for which the last promotion was held back: they may have writes that the
    /// replica to be promoted lacks.
    promotion_held_by: Vec<String>,
    /// The position for which the last promotion was held back: a router has passed on a success
    /// beyond it.
    held_below: Position,
    /// Until this time no handover begins, and no primary counts as missing.
    retry_at: f64,
    /// Until this time the completed change of the primary is not proposed again.
    record_retry_at: f64,
    polling_delay: PollingDelay,
    /// The requests to the platform that may still take effect.
    pending_promotion: PendingPromotion,
    /// When this machine found the revocation complete; `None` while it isn't.
    revoked_since: Option<f64>,
}

impl Failover {
    /// Creates the failover of a service about which nothing is known yet.
    pub(crate) fn new(config: FailoverConfig) -> Failover {
        Failover {
            config,
            phase: Phase::Discovering,
            observations: BTreeMap::new(),
            primary: None,
            revocation: Revocation::None,
            primary_reported_at: f64::NEG_INFINITY,
            primary_positions: Vec::new(),
            unreported_base: None,
            departed_queried_at: BTreeMap::new(),
            promotion_held_by: Vec::new(),
            held_below: (0, 0),
            retry_at: 0.0,
            record_retry_at: f64::NEG_INFINITY,
            polling_delay: PollingDelay::default(),
            pending_promotion: PendingPromotion::default(),
            revoked_since: None,
        }
    }

    /// Returns the name of the phase for operators, used in the `primaries` JSON, in metric labels
    /// and in log lines.
    ///
    /// These names are documented output that users' pages, dashboards and tests rely on, so they
    /// stay although the code uses other names: `finding` is [`Phase::Discovering`], `closing` is
    /// [`Phase::Revoking`], `handing` is [`Phase::Handover`], and `agreeing` is
    /// [`Phase::Proposing`].
    pub(crate) fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Discovering => "finding",
            Phase::Steady => "steady",
            Phase::Revoking { .. } => "closing",
            Phase::Handover(_) => "handing",
            Phase::Proposing(_) => "agreeing",
            Phase::Promoting(_) => "promoting",
        }
    }

    /// Returns whether a primary is in use and no change is under way.
    pub(crate) fn is_steady(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// Returns whether this server, at this term, is the primary in use and no change is under way.
    pub(crate) fn is_steady_with(&self, server_id: &str, primary_term: u64) -> bool {
        self.is_steady()
            && self.primary.as_ref().is_some_and(|primary| {
                primary.server_id == server_id && primary.primary_term == primary_term
            })
    }

    /// Advances the failover to the time `context.now`, and returns the actions to carry out.
    pub(crate) fn tick(&mut self, context: &FailoverContext<'_>) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        self.discard_former_members(context);
        self.update_revoked_since(context);
        self.update_unreported_base(context);
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
        }
        actions
    }

    /// Discards the observations of servers that are no longer members. The primary's are kept,
    /// because its log position decides which replica may be promoted.
    fn discard_former_members(&mut self, context: &FailoverContext<'_>) {
        let primary = self.primary.as_ref();
        self.observations.retain(|id, _| {
            context.is_member(id) || primary.is_some_and(|primary| primary.server_id == *id)
        });
    }

    /// Returns whether this server is the primary that was last granted to routers.
    fn is_primary(&self, server_id: &str) -> bool {
        self.primary
            .as_ref()
            .is_some_and(|primary| primary.server_id == server_id)
    }

    /// Returns the term of the primary that was last granted to routers; 0 before the first grant.
    fn current_primary_term(&self) -> u64 {
        self.primary
            .as_ref()
            .map_or(0, |primary| primary.primary_term)
    }
}
