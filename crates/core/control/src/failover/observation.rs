//! What was observed of each server: the commands that were sent to it, and its answers.

use super::polling::PositionSample;
use super::{CommandOutcome, Failover, FailoverAction, Position, ServerCommand, ServerStatus};

/// How many positions of the primary are kept.
const PRIMARY_POSITIONS_KEPT: usize = 32;

/// A pause of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pause {
    /// The primary term at which it is paused.
    pub(super) term: u64,
    /// The end of its log.
    pub(super) position: Position,
}

/// What was observed of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observation {
    /// The last status that it reported.
    pub(super) status: Option<ServerStatus>,
    /// When the command was sent that was answered with that status.
    pub(super) status_queried_at: f64,
    /// When it last answered this machine, with or without a status.
    pub(super) answered_at: f64,
    /// When it last answered any router, as far as routers have reported.
    pub(super) answered_router_at: f64,
    /// Since when it hasn't answered this machine.
    pub(super) failing_since: Option<f64>,
    /// Its address refused the last command.
    pub(super) refused: bool,
    /// When the last command was sent to it.
    pub(super) commanded_at: f64,
    /// The answer to that command is awaited.
    pub(super) awaiting_answer: bool,
    /// It is paused.
    pub(super) paused: Option<Pause>,
    /// A pause at this term was sent, and may have taken effect whatever came back.
    pub(super) pause_requested_term: Option<u64>,
    /// Its status reports the term at which it is paused. Not all servers do.
    reports_pause_term: bool,
    /// It answered the last command without a status.
    pub(super) busy: bool,
    /// When the query was sent that, after the answer to the pause, showed it still paused.
    pub(super) pause_confirmed_at: Option<f64>,
    /// It was resumed, and its answer showed that it holds this term.
    pub(super) resumed_term: Option<u64>,
}

impl Observation {
    /// The server is reachable and sees itself as the primary.
    pub(super) fn claims_primary(&self) -> bool {
        self.failing_since.is_none() && self.status.is_some_and(|status| status.is_primary)
    }

    /// The server answered a command that was sent at `sent_at` with a status.
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
            // A primary can't be paused, and reports that it is primary.
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

    /// Concludes from the term that a status reports whether the server is paused.
    fn update_pause(&mut self, status: ServerStatus, sent_at: f64) {
        let lost_pause = |term: u64| self.reports_pause_term && status.highest_term < term;
        match (self.pause_requested_term, self.paused) {
            // The answer to the pause was lost, or another attempt paused it.
            (Some(term), None) if !status.is_primary && status.highest_term >= term => {
                self.begin_pause(term, status.received);
            }
            // It restarted, or was resumed by another leader.
            (_, Some(pause)) if lost_pause(pause.term) => self.clear_pause(),
            (Some(term), None) if lost_pause(term) => self.pause_requested_term = None,
            // The position of now counts: a late `RESUME` may have let it go on for a moment.
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

    /// The server didn't answer. One that refuses connections has ended or restarted, and isn't
    /// paused any more; one that times out may still be.
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
    /// A router reported that this server answered it at that second.
    pub(crate) fn health_reported(&mut self, server_id: &str, answered_at: f64) {
        if self.is_primary(server_id) {
            self.primary_reported_at = self.primary_reported_at.max(answered_at);
        }
        if let Some(observation) = self.observations.get_mut(server_id) {
            observation.answered_router_at = observation.answered_router_at.max(answered_at);
        }
    }

    /// A command of [`FailoverAction::SendCommand`] has ended.
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

    /// Records the position that a status reports, if it is the primary's.
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
        if self.primary_positions.len() > PRIMARY_POSITIONS_KEPT {
            self.primary_positions.remove(0);
        }
    }

    /// Sends a command to a server, unless an answer of it is awaited or the last command was sent
    /// less than `interval` seconds ago.
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

    /// What was observed of this server.
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

    /// The highest primary term that any server holds, be it by a pause.
    pub(super) fn highest_held_term(&self) -> u64 {
        self.statuses()
            .map(|status| status.primary_term.max(status.highest_term))
            .fold(self.current_primary_term(), u64::max)
    }

    /// The highest primary term in the log of any server. A pause raises the term that a server
    /// holds, and leaves that of its log.
    pub(super) fn highest_log_term(&self) -> u64 {
        self.statuses()
            .map(|status| status.primary_term)
            .fold(self.current_primary_term(), u64::max)
    }

    /// Whether the primary, queried after the second `since`, had no more than this position: a
    /// server that was down by then has nothing that a replica with this position lacks.
    pub(super) fn is_covered(&self, since: f64, position: Position) -> bool {
        self.primary_positions
            .iter()
            .any(|sample| sample.queried_at > since && sample.position <= position)
    }
}
