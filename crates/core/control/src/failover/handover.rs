//! The phase [`Phase::Handover`]: the primary drains but still serves, while another server is
//! prepared to replace it.

use super::steady::log_drained_unreplaced;
use super::{
    Failover, FailoverAction, FailoverContext, Handover, Phase, Position, PromotionTarget,
    ServerCommand,
};

/// Interval between two attempts to pause a replica.
const PAUSE_INTERVAL_S: f64 = 0.05;
/// Interval between two queries to a paused replica until an answer confirms the pause.
const CONFIRM_INTERVAL_S: f64 = 0.02;
/// Interval between two queries to the target.
const TARGET_QUERY_INTERVAL_S: f64 = 0.04;
/// Maximum time for pausing the other replicas and for the target to catch up.
const HANDOVER_TIMEOUT_S: f64 = 1.5;
/// Minimum time between a handover that timed out and the next one.
const RETRY_BACKOFF_S: f64 = 0.5;

/// The state of pausing the replicas other than the target.
struct PauseProgress {
    /// Every such replica is paused, and an answer has confirmed that.
    complete: bool,
    /// The position of the paused replica that is furthest ahead.
    furthest: Position,
    /// Time of the latest answer of any of the paused replicas.
    last_answered_at: f64,
}

impl Failover {
    /// Begins a handover, if any server can replace the primary.
    pub(super) fn begin_handover(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if context.sync_replicas == 0 {
            // Writes are acknowledged without replicas, so pausing them doesn't keep this primary
            // from acknowledging writes. Its grant must be revoked first.
            self.abandon_primary(actions);
            return;
        }
        let furthest = self.furthest_candidate(context, |member| {
            member.id != primary.server_id && member.draining_since.is_none()
        });
        if let Some(candidate) = furthest {
            let target_id = candidate.server_id.to_owned();
            log::info!(
                "event=handover_started server={} target={target_id}",
                primary.server_id
            );
            self.phase = Phase::Handover(Handover {
                target_id,
                pause_term: self.highest_held_term() + 1,
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
        let now = context.now;
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if self.primary_death(now).is_some() {
            self.abandon_primary(actions);
            return;
        }
        let progress = self.prepare_servers(context, &primary.server_id, handover, actions);
        let target_id = &handover.target_id;
        if progress.complete
            && self.has_caught_up(target_id, &progress)
            && self.has_writes_of_departed(context, &primary.server_id, target_id)
        {
            let target = PromotionTarget {
                server_id: target_id.clone(),
                after_term: self.highest_log_term().max(primary.primary_term),
                planned: true,
            };
            self.propose_target(target, actions);
        } else if self.is_drain_of_server_ending(context, &primary.server_id) {
            log_drained_unreplaced(&primary.server_id);
            self.abandon_primary(actions);
        } else if now - handover.started_at > HANDOVER_TIMEOUT_S {
            log::info!("event=handover_timed_out to={target_id}");
            self.retry_at = now + RETRY_BACKOFF_S;
            self.phase = Phase::Steady;
        }
    }

    /// Queries the primary and the target, and pauses the other replicas.
    fn prepare_servers(
        &mut self,
        context: &FailoverContext<'_>,
        primary_id: &str,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) -> PauseProgress {
        self.send_command(
            context.now,
            primary_id,
            self.config.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        let progress = self.pause_other_replicas(context, primary_id, handover, actions);
        self.send_command(
            context.now,
            &handover.target_id,
            TARGET_QUERY_INTERVAL_S,
            ServerCommand::Status,
            actions,
        );
        progress
    }

    /// Pauses all replicas except the target.
    fn pause_other_replicas(
        &mut self,
        context: &FailoverContext<'_>,
        primary_id: &str,
        handover: &Handover,
        actions: &mut Vec<FailoverAction>,
    ) -> PauseProgress {
        let mut progress = PauseProgress {
            complete: true,
            furthest: (0, 0),
            last_answered_at: f64::NEG_INFINITY,
        };
        let other_replicas = context
            .members_except(Some(primary_id))
            .filter(|member| member.id != handover.target_id);
        for member in other_replicas {
            let observation = self.observed(&member.id);
            match observation.paused {
                Some(pause) if pause.term == handover.pause_term => {
                    progress.furthest = progress.furthest.max(pause.position);
                    progress.last_answered_at =
                        progress.last_answered_at.max(observation.answered_at);
                    if observation.pause_confirmed_at.is_none() {
                        progress.complete = false;
                        self.send_command(
                            context.now,
                            &member.id,
                            CONFIRM_INTERVAL_S,
                            ServerCommand::Status,
                            actions,
                        );
                    }
                }
                _ => {
                    progress.complete &= self.is_paused_under_other_id(context, &member.id);
                    let command = self.fencing_command(&member.id, handover.pause_term);
                    self.send_command(context.now, &member.id, PAUSE_INTERVAL_S, command, actions);
                }
            }
        }
        progress
    }

    /// Returns the command that keeps a server other than the target from receiving more of the log
    /// during the handover. A former primary that doesn't know yet that it was replaced can't be
    /// paused; it must step down first.
    fn fencing_command(&self, server_id: &str, pause_term: u64) -> ServerCommand {
        let observation = self.observed(server_id);
        let primary_term = self.current_primary_term();
        if observation.claims_primary() && observation.is_deposed_by(primary_term) {
            ServerCommand::StepDown(primary_term)
        } else {
            ServerCommand::Pause(pause_term)
        }
    }

    /// Returns whether the target has everything that the paused replicas have, according to a
    /// status that was queried after their last answers.
    fn has_caught_up(&self, target_id: &str, progress: &PauseProgress) -> bool {
        let observation = self.observed(target_id);
        observation.failing_since.is_none()
            && observation
                .status
                .is_some_and(|status| !status.is_primary && status.received >= progress.furthest)
            && (observation.status_queried_at > progress.last_answered_at
                || progress.furthest == (0, 0))
    }

    /// Returns whether the target has all writes that departed servers had.
    fn has_writes_of_departed(
        &self,
        context: &FailoverContext<'_>,
        primary_id: &str,
        target_id: &str,
    ) -> bool {
        let received = self
            .observed(target_id)
            .status
            .map_or((0, 0), |status| status.received);
        !self.may_departed_have_later_writes(context, primary_id, received)
    }
}
