//! The phase [`Phase::Steady`]: routers use a primary. Its health is monitored, and replicas that
//! don't follow it are made to do so.

use super::{
    Failover, FailoverAction, FailoverContext, Phase, Primary, ServerCommand, ServerStatus,
};

/// Interval between two commands to a replica that doesn't follow the primary.
const REPLICA_COMMAND_INTERVAL_S: f64 = 0.1;
/// Interval between two proposals to record the completed change.
const RECORD_INTERVAL_S: f64 = 1.0;
/// A draining primary that hasn't been replaced is given up this long before its drain timeout.
const DRAIN_MARGIN_S: f64 = 0.7;

/// Why a primary counts as dead.
pub(super) struct PrimaryDeath {
    /// Whether its address refuses connections.
    refused: bool,
    /// Seconds for which it has answered neither this machine nor any router.
    silent_s: f64,
}

/// A command to be repeated.
struct ScheduledCommand {
    command: ServerCommand,
    /// Seconds between two such commands.
    interval: f64,
}

impl Failover {
    pub(super) fn tick_steady(
        &mut self,
        context: &FailoverContext<'_>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.primary.clone() else {
            self.phase = Phase::Discovering;
            return;
        };
        self.poll_servers(context, &primary, actions);
        if let Some(status) = self.status_of_former_primary(&primary) {
            log::info!(
                "event=primary_changed_itself server={} term={}",
                primary.server_id,
                status.primary_term
            );
            self.revoke_grant(actions);
            self.phase = Phase::Discovering;
            return;
        }
        self.record_completed_change(context, &primary, actions);
        self.examine_departed(context, &primary, actions);
        if let Some(PrimaryDeath { refused, silent_s }) = self.primary_death(context.now) {
            log::info!(
                "event=primary_dead server={} refused={refused} silent_s={silent_s:.2}",
                primary.server_id
            );
            self.abandon_primary(actions);
        } else if context.draining_since(&primary.server_id).is_some() {
            self.replace_draining(context, &primary.server_id, actions);
        }
    }

    /// Queries the primary and its replicas, and sends commands to replicas that don't follow the
    /// primary.
    pub(super) fn poll_servers(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.send_command(
            context.now,
            &primary.server_id,
            self.config.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        for member in context.members_except(Some(&primary.server_id)) {
            let ScheduledCommand { command, interval } =
                self.replica_command(&member.id, primary.primary_term);
            self.send_command(context.now, &member.id, interval, command, actions);
        }
    }

    /// Returns the command to send to a replica of a primary of this term.
    fn replica_command(&self, server_id: &str, primary_term: u64) -> ScheduledCommand {
        let observation = self.observed(server_id);
        // A replica that reports a highest term above the primary's was paused, by this leader or a
        // former one, unless it still reported that term after it was resumed.
        let unpaused_term = observation
            .resumed_term
            .map_or(primary_term, |held| held.max(primary_term));
        let is_paused = observation.pause_requested_term.is_some()
            || observation
                .status
                .is_some_and(|status| !status.is_primary && status.highest_term > unpaused_term);
        let command = if observation.is_deposed_by(primary_term) {
            ServerCommand::StepDown(primary_term)
        } else if !is_paused {
            return ScheduledCommand {
                command: ServerCommand::Status,
                interval: self.config.replica_poll_interval,
            };
        } else if observation.busy {
            ServerCommand::Status
        } else {
            ServerCommand::Resume
        };
        ScheduledCommand {
            command,
            interval: REPLICA_COMMAND_INTERVAL_S,
        }
    }

    /// Returns the status with which the server reported that it is no longer the primary of its
    /// term, unless a router has received an answer from the server since that status was queried.
    fn status_of_former_primary(&self, primary: &Primary) -> Option<ServerStatus> {
        let observation = self.observed(&primary.server_id);
        let status = observation
            .status
            .filter(|status| !status.is_primary || status.primary_term != primary.primary_term)?;
        let is_newest = observation.failing_since.is_none()
            && observation.status_queried_at > self.primary_reported_at;
        is_newest.then_some(status)
    }

    /// Proposes to record that the change to this primary is complete, unless that is recorded.
    fn record_completed_change(
        &mut self,
        context: &FailoverContext<'_>,
        primary: &Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        if context.is_other_primary_recorded(&primary.server_id, primary.primary_term)
            && context.now > self.record_retry_at
        {
            self.record_retry_at = context.now + RECORD_INTERVAL_S;
            actions.push(FailoverAction::RecordComplete {
                server_id: primary.server_id.clone(),
                primary_term: primary.primary_term,
            });
        }
    }

    /// Returns why the primary counts as dead, if it does: it refuses connections, or has answered
    /// neither this machine nor any router within the primary timeout.
    pub(super) fn primary_death(&self, now: f64) -> Option<PrimaryDeath> {
        let primary_id = self
            .primary
            .as_ref()
            .map_or("", |primary| primary.server_id.as_str());
        let observation = self.observed(primary_id);
        let silent_s = now - observation.answered_at.max(self.primary_reported_at);
        // A router may have received an answer after this machine was refused: the server may have
        // restarted in between.
        let refused = observation.refused
            && observation
                .failing_since
                .is_some_and(|since| since > self.primary_reported_at);
        (refused || silent_s > self.config.primary_timeout)
            .then_some(PrimaryDeath { refused, silent_s })
    }

    /// Begins to replace a primary that drains.
    fn replace_draining(
        &mut self,
        context: &FailoverContext<'_>,
        primary_id: &str,
        actions: &mut Vec<FailoverAction>,
    ) {
        if self.is_drain_of_server_ending(context, primary_id) {
            log_drained_unreplaced(primary_id);
            self.abandon_primary(actions);
        } else if context.now > self.retry_at && context.now >= context.not_before {
            self.begin_handover(context);
        }
    }

    /// Returns whether a server drains and is about to reach its drain timeout.
    pub(super) fn is_drain_of_server_ending(
        &self,
        context: &FailoverContext<'_>,
        server_id: &str,
    ) -> bool {
        context
            .draining_since(server_id)
            .is_some_and(|since| context.now - since > self.config.drain_timeout - DRAIN_MARGIN_S)
    }
}

/// Logs that a draining primary is given up before another one is ready.
pub(super) fn log_drained_unreplaced(primary_id: &str) {
    log::info!("event=primary_drained_unreplaced server={primary_id}");
}
