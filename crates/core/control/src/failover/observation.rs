//! What is known about each server from the commands that were sent to it and from its answers.

use super::polling::PositionSample;
use super::{CommandOutcome, Failover, FailoverAction, Position, ServerCommand, ServerStatus};

/// Maximum number of log positions of the primary that are kept.
const MAX_PRIMARY_POSITIONS: usize = 32;

/// The pause of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pause {
    /// The primary term at which the replica is paused.
    pub(super) term: u64,
    /// The end of the replica's log, as last reported while paused.
    pub(super) position: Position,
}

/// What was observed of one server. Times are seconds of this machine's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observation {
    /// The last status that the server reported.
    pub(super) status: Option<ServerStatus>,
    /// Time at which the command answered by `status` was sent.
    pub(super) status_queried_at: f64,
    /// Time of the server's last answer to this machine, with or without a status.
    pub(super) answered_at: f64,
    /// Time of the server's last answer to any router, according to the routers' reports.
    pub(super) answered_router_at: f64,
    /// Time since which the server has failed to answer this machine; `None` if it answered the
    /// last command.
    pub(super) failing_since: Option<f64>,
    /// Whether the last failure was a refused connection.
    pub(super) refused: bool,
    /// Time at which the last command was sent to the server.
    pub(super) commanded_at: f64,
    /// Whether the outcome of that command is still awaited.
    pub(super) awaiting_answer: bool,
    /// The pause of the server, if it is known to be paused.
    pub(super) paused: Option<Pause>,
    /// The term of a pause that was sent. It may have taken effect even if no answer arrived.
    pub(super) pause_requested_term: Option<u64>,
    /// Whether the server's status reports the term at which it is paused. Not all servers do.
    reports_pause_term: bool,
    /// Whether the server answered the last command without a status.
    pub(super) busy: bool,
    /// Time at which the latest query was sent whose answer, after the answer to the pause, showed
    /// the server still paused.
    pub(super) pause_confirmed_at: Option<f64>,
    /// The highest term that the server reported in its answer to `RESUME`.
    pub(super) resumed_term: Option<u64>,
}

impl Observation {
    /// Returns whether the server is reachable and considers itself the primary.
    pub(super) fn claims_primary(&self) -> bool {
        self.failing_since.is_none() && self.status.is_some_and(|status| status.is_primary)
    }

    /// Records that the server answered a command, sent at `sent_at`, with a status.
    fn record_status(
        &mut self,
        now: f64,
        command: ServerCommand,
        status: ServerStatus,
        sent_at: f64,
    ) {
        self.record_answer(now);
        self.status = Some(status);
        self.status_queried_at = sent_at;
        self.busy = false;
        match command {
            // A primary can't be paused; its answer reports that it is the primary.
            ServerCommand::Pause(_) if status.is_primary => self.clear_pause(),
            ServerCommand::Pause(term) => {
                self.begin_pause(term, status.received);
                self.reports_pause_term = status.highest_term >= term;
            }
            ServerCommand::Resume => {
                self.clear_pause();
                self.resumed_term = Some(status.highest_term);
            }
            ServerCommand::Status | ServerCommand::StepDown(_) => {
                self.update_pause(status, sent_at);
            }
        }
    }

    /// Updates whether the server is paused, according to the term that its status reports.
    fn update_pause(&mut self, status: ServerStatus, sent_at: f64) {
        let lost_pause = |term: u64| self.reports_pause_term && status.highest_term < term;
        match (self.pause_requested_term, self.paused) {
            // The answer to the pause was lost, or another attempt paused the server.
            (Some(term), None) if !status.is_primary && status.highest_term >= term => {
                self.begin_pause(term, status.received);
            }
            // The server restarted, or another leader resumed it.
            (_, Some(pause)) if lost_pause(pause.term) => self.clear_pause(),
            (Some(term), None) if lost_pause(term) => self.pause_requested_term = None,
            // The latest position counts: a late `RESUME` may have let the server receive more of
            // the log for a moment.
            (_, Some(pause)) if !status.is_primary => {
                self.paused = Some(Pause {
                    term: pause.term,
                    position: status.received,
                });
                self.pause_confirmed_at = Some(sent_at);
            }
            _ => {}
        }
    }

    fn begin_pause(&mut self, term: u64, position: Position) {
        self.paused = Some(Pause { term, position });
        self.pause_confirmed_at = None;
    }

    fn clear_pause(&mut self) {
        self.paused = None;
        self.pause_requested_term = None;
    }

    fn record_answer(&mut self, now: f64) {
        self.answered_at = now;
        self.failing_since = None;
        self.refused = false;
    }

    /// Records that the server didn't answer. A server that refuses connections has ended or
    /// restarted, so it isn't paused any more; a server that times out may still be paused.
    fn record_failure(&mut self, now: f64, refused: bool) {
        self.paused = None;
        self.busy = false;
        if refused {
            self.pause_requested_term = None;
        }
        self.failing_since.get_or_insert(now);
        self.refused = refused;
    }
}

impl Failover {
    /// Records a router's report that this server answered it at the time `answered_at`.
    pub(crate) fn health_reported(&mut self, server_id: &str, answered_at: f64) {
        if self.is_primary(server_id) {
            self.primary_reported_at = self.primary_reported_at.max(answered_at);
        }
        if let Some(observation) = self.observations.get_mut(server_id) {
            observation.answered_router_at = observation.answered_router_at.max(answered_at);
        }
    }

    /// Records the outcome of a command of [`FailoverAction::SendCommand`].
    pub(crate) fn command_completed(&mut self, now: f64, server_id: &str, outcome: CommandOutcome) {
        let observation = self.observations.entry(server_id.to_owned()).or_default();
        observation.awaiting_answer = false;
        match outcome {
            CommandOutcome::Status {
                command,
                status,
                sent_at,
            } => {
                observation.record_status(now, command, status, sent_at);
                self.record_primary_position(server_id, status, sent_at);
            }
            CommandOutcome::Busy => {
                observation.record_answer(now);
                observation.busy = true;
            }
            CommandOutcome::TimedOut => observation.record_failure(now, false),
            CommandOutcome::Refused => observation.record_failure(now, true),
            CommandOutcome::NotSent => {}
        }
    }

    /// Records the log position of a status, if it is the status of the current primary at its
    /// term.
    fn record_primary_position(&mut self, server_id: &str, status: ServerStatus, sent_at: f64) {
        let is_current = self.primary.as_ref().is_some_and(|primary| {
            primary.server_id == server_id && primary.primary_term == status.primary_term
        });
        if !status.is_primary || !is_current {
            return;
        }
        self.primary_positions.push(PositionSample {
            queried_at: sent_at,
            position: status.received,
        });
        if self.primary_positions.len() > MAX_PRIMARY_POSITIONS {
            self.primary_positions.remove(0);
        }
    }

    /// Sends a command to a server, unless the outcome of the last command is still awaited or that
    /// command was sent less than `interval` seconds ago.
    pub(super) fn send_command(
        &mut self,
        now: f64,
        server_id: &str,
        interval: f64,
        command: ServerCommand,
        actions: &mut Vec<FailoverAction>,
    ) {
        let observation = self.observations.entry(server_id.to_owned()).or_default();
        if observation.awaiting_answer || now - observation.commanded_at < interval {
            return;
        }
        observation.awaiting_answer = true;
        observation.commanded_at = now;
        if let ServerCommand::Pause(term) = command {
            observation.pause_requested_term = Some(term);
            observation.resumed_term = None;
        }
        actions.push(FailoverAction::SendCommand {
            server_id: server_id.to_owned(),
            command,
        });
    }

    /// Returns what was observed of this server.
    pub(super) fn observed(&self, server_id: &str) -> Observation {
        self.observations
            .get(server_id)
            .copied()
            .unwrap_or_default()
    }

    fn statuses(&self) -> impl Iterator<Item = ServerStatus> + '_ {
        self.observations
            .values()
            .filter_map(|observation| observation.status)
    }

    /// Returns the highest primary term that any server reports, in its log or as the highest term
    /// that it has seen, such as that of a pause.
    pub(super) fn highest_held_term(&self) -> u64 {
        self.statuses()
            .map(|status| status.primary_term.max(status.highest_term))
            .fold(self.current_primary_term(), u64::max)
    }

    /// Returns the highest primary term in the log of any server. A pause raises the highest term
    /// that a server has seen, but not the term of its log.
    pub(super) fn highest_log_term(&self) -> u64 {
        self.statuses()
            .map(|status| status.primary_term)
            .fold(self.current_primary_term(), u64::max)
    }
}
