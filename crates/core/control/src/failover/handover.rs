//! The phase [`Phase::Handover`]: the primary drains, and another server
//! is made ready to take its place while it serves.

use super::{
    Failover, FailoverAction, FailoverContext, Handover, Phase, Position, PromotionTarget,
    ServerCommand,
};

/// Between two attempts to pause a replica.
const PAUSE_INTERVAL_S: f64 = 0.05;
/// Between two queries to a paused replica, until one confirms the pause.
const CONFIRM_INTERVAL_S: f64 = 0.02;
/// Between two queries to the target.
const TARGET_QUERY_INTERVAL_S: f64 = 0.04;
/// The target must be ready within this time.
const HANDOVER_TIMEOUT_S: f64 = 1.5;
/// Between a handover that timed out and the next.
const RETRY_BACKOFF_S: f64 = 0.5;

/// How far the pausing of the replicas other than the target has come.
struct PauseProgress {
    complete: bool,
    /// The furthest position of the paused replicas.
    furthest: Position,
    /// When the last of them answered.
    last_answered_at: f64,
}

impl Failover {
    /// Begins a handover, if any server can take the primary's place.
    pub(super) fn begin_handover(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.primary.clone() else {
            return;
        };
        if context.sync_replicas == 0 {
            // Pausing replicas doesn't keep this primary from acknowledging writes: routers must
            // give it up first.
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
        } else if now - handover.started_at > HANDOVER_TIMEOUT_S {
            log::info!("event=handover_timed_out to={target_id}");
            self.retry_at = now + RETRY_BACKOFF_S;
            self.phase = Phase::Steady;
        }
    }

    /// Queries the primary and the target, and pauses the others.
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
        let progress = self.pause_bystanders(context, primary_id, handover, actions);
        self.send_command(
            context.now,
            &handover.target_id,
            TARGET_QUERY_INTERVAL_S,
            ServerCommand::Status,
            actions,
        );
        progress
    }

    /// Pauses all replicas but the target.
    fn pause_bystanders(
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
        let bystanders = context
            .members_except(Some(primary_id))
            .filter(|member| member.id != handover.target_id);
        for member in bystanders {
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
                    progress.complete &= self.is_represented(context, &member.id);
                    let command = self.bystander_command(&member.id, handover.pause_term);
                    self.send_command(context.now, &member.id, PAUSE_INTERVAL_S, command, actions);
                }
            }
        }
        progress
    }

    /// The command that has a server receive nothing more while the target takes over. A former
    /// primary that doesn't know yet that it was replaced can't be paused, and steps down first.
    fn bystander_command(&self, server_id: &str, pause_term: u64) -> ServerCommand {
        let observation = self.observed(server_id);
        let primary_term = self.current_primary_term();
        if observation.claims_primary() && observation.is_deposed_by(primary_term) {
            ServerCommand::StepDown(primary_term)
        } else {
            ServerCommand::Pause(pause_term)
        }
    }

    /// Whether the target has all that the paused replicas have, by a status that was queried
    /// after they were paused.
    fn has_caught_up(&self, target_id: &str, progress: &PauseProgress) -> bool {
        let observation = self.observed(target_id);
        observation.failing_since.is_none()
            && observation
                .status
                .is_some_and(|status| !status.is_primary && status.received >= progress.furthest)
            && (observation.status_queried_at > progress.last_answered_at
                || progress.furthest == (0, 0))
    }

    /// Whether the target has all that departed servers had. They may have had writes that no
    /// server has now but the primary.
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
        context
            .departed
            .iter()
            .filter(|departed| departed.id != primary_id)
            .all(|departed| self.is_covered(departed.inactive_since, received))
    }
}
