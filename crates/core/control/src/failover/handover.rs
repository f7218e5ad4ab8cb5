//! The phase [`Phase::Handover`]: the primary drains, and another server is prepared to replace it.
//!
//! The primary stays in use until the target is close to the end of its log. Then the grant is
//! revoked, and once the target has everything that the primary or the routers report, it is
//! proposed. Writes pause from the revocation to the grant of the target: a replica that no control
//! machine knows could otherwise go on confirming commits that the target lacks.

use super::steady::log_drained_unreplaced;
use super::{
    Failover, FailoverAction, FailoverContext, Handover, Phase, Primary, Revocation, ServerCommand,
};

/// Interval between two queries to the primary and to the target.
const QUERY_INTERVAL_S: f64 = 0.04;
/// Interval between these queries once the grant is revoked.
const REVOKED_QUERY_INTERVAL_S: f64 = 0.02;
/// The grant is revoked once the target has what the primary had this long ago.
const MAX_TARGET_LAG_S: f64 = 0.3;
/// Maximum time for which the target may be further behind than that, or an earlier call at the
/// platform may still run.
const PREPARATION_TIMEOUT_S: f64 = 1.5;
/// Maximum time for the target to reach the end of the log once the revocation is complete.
const CATCH_UP_TIMEOUT_S: f64 = 1.5;
/// Minimum time between a handover that timed out and the next one.
const RETRY_BACKOFF_S: f64 = 0.5;

impl Failover {
    /// Begins a handover, if any server can replace the primary.
    pub(super) fn begin_handover(&mut self, context: &FailoverContext<'_>) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        let furthest = self.furthest_candidate(context, |member| {
            member.id != primary.server_id && member.draining_since.is_none()
        });
        if let Some(target_id) = furthest.map(str::to_owned) {
            log::info!(
                "event=handover_started server={} target={target_id}",
                primary.server_id
            );
            self.phase = Phase::Handover(Handover {
                target_id,
                started_at: context.now,
            });
        }
    }

    pub(super) fn tick_handover(
        &mut self,
        context: &FailoverContext<'_>,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if self.primary_death(context.now).is_some() {
            self.abandon_primary(actions);
            return;
        }
        self.query_for_handover(context.now, &primary.server_id, handover, actions);
        self.poll_servers(context, &primary, actions);
        if self.revocation == Revocation::None {
            self.prepare_target(context, &primary, handover, actions);
        } else {
            self.complete_handover(context, primary, handover, actions);
        }
    }

    fn query_for_handover(
        &mut self,
        now: f64,
        primary_id: &str,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) {
        let interval = if self.revoked_since.is_some() {
            REVOKED_QUERY_INTERVAL_S
        } else {
            QUERY_INTERVAL_S
        };
        for server_id in [primary_id, &handover.target_id] {
            self.send_command(now, server_id, interval, ServerCommand::Status, actions);
        }
    }

    /// Waits until the target is close to the end of the primary's log and the platform may be called,
    /// and then revokes the grant.
    fn prepare_target(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) {
        let target_id = &handover.target_id;
        if self.is_close_to_primary(context.now, target_id)
            && self.may_call_platform(context.now, target_id)
        {
            self.revoke_grant(actions);
        } else if self.is_drain_of_server_ending(context, &primary.server_id) {
            log_drained_unreplaced(&primary.server_id);
            self.abandon_primary(actions);
        } else if context.now - handover.started_at > PREPARATION_TIMEOUT_S {
            self.give_up_handover(context.now, handover);
            self.phase = Phase::Steady;
        }
    }

    /// Proposes the target once it is proven to have all acknowledged commits. If it doesn't get
    /// there in time, the primary is used again, unless its drain is about to end.
    fn complete_handover(
        &mut self,
        context: &FailoverContext<'_>,
        primary: Primary,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) {
        let is_late = self
            .revoked_since
            .is_some_and(|since| context.now - since > CATCH_UP_TIMEOUT_S);
        if let Some(proof) = self.prove_by_reports(context, &handover.target_id) {
            let after_term = self.highest_log_term().max(primary.primary_term);
            self.propose_target(context.now, &proof, after_term, actions);
        } else if is_late && self.is_drain_of_server_ending(context, &primary.server_id) {
            log_drained_unreplaced(&primary.server_id);
            self.abandon_primary(actions);
        } else if is_late {
            self.give_up_handover(context.now, handover);
            self.grant_primary(context.now, primary, actions);
        }
    }

    fn give_up_handover(&mut self, now: f64, handover: &Handover) {
        log::info!("event=handover_timed_out to={}", handover.target_id);
        self.retry_at = now + RETRY_BACKOFF_S;
    }

    /// Returns whether the target answers, and has everything that the primary had a short while
    /// ago.
    fn is_close_to_primary(&self, now: f64, target_id: &str) -> bool {
        let recent_position = self.first_primary_position(now - MAX_TARGET_LAG_S);
        recent_position.is_some_and(|position| self.has_received(target_id, position))
    }
}
