//! What was observed of each server: the questions that are sent and the answers that came.

use super::*;

/// How many positions of the primary are kept.
const MAX_TRAIL: usize = 32;

/// What was observed of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observation {
    /// The last status that it answered.
    pub(super) row: Option<ServerStatus>,
    /// When the question to that row was sent.
    pub(super) row_asked: f64,
    /// When it last answered anything.
    pub(super) answered: f64,
    /// When it last answered any router, as far as routers have told.
    pub(super) served: f64,
    /// Since when it doesn't answer.
    pub(super) failing: Option<f64>,
    /// Its address refused the last question.
    pub(super) refused: bool,
    /// When it was last asked.
    pub(super) asked: f64,
    /// Its answer is awaited.
    pub(super) waiting: bool,
    /// Paused at this term, with its log as it was then.
    pub(super) paused: Option<(u64, Position)>,
    /// It was asked to pause at this term, and may have, whatever came back.
    pub(super) pausing: Option<u64>,
    /// Its row shows the term at which it is paused.
    pub(super) shows: bool,
    /// It answered last without a row.
    pub(super) busy: bool,
    /// A status that was asked for at that second, after the answer to the pause, showed it paused still.
    pub(super) pause_confirmed: Option<f64>,
    /// It was asked to receive again, and its answer showed that it holds this term.
    pub(super) resumed: Option<u64>,
}

impl Observation {
    /// It answers, and sees itself as the primary.
    pub(super) fn leads(&self) -> bool {
        self.failing.is_none() && self.row.is_some_and(|r| r.is_primary)
    }

    /// It answered a question that was sent at that second with a status.
    fn record_row(&mut self, now: f64, statement: ServerCommand, row: ServerStatus, asked: f64) {
        self.record_answer(now);
        self.row = Some(row);
        self.row_asked = asked;
        self.busy = false;
        match statement {
            // A primary can't be paused, and says that it leads.
            ServerCommand::Pause(_) if row.is_primary => (self.paused, self.pausing) = (None, None),
            ServerCommand::Pause(primary_term) => {
                self.paused = Some((primary_term, row.received));
                self.pause_confirmed = None;
                self.shows = row.highest_term >= primary_term;
            }
            ServerCommand::Resume => {
                (self.paused, self.pausing) = (None, None);
                self.resumed = Some(row.highest_term);
            }
            ServerCommand::Status | ServerCommand::StepDown(_) => self.record_status(row, asked),
        }
    }

    /// Whether it is paused, by a status that says the term it holds.
    fn record_status(&mut self, row: ServerStatus, asked: f64) {
        match (self.pausing, self.paused) {
            // The answer to the pause was lost, or it came from another try.
            (Some(primary_term), None) if !row.is_primary && row.highest_term >= primary_term => {
                self.paused = Some((primary_term, row.received));
                self.pause_confirmed = None;
            }
            // It restarted, or was resumed by somebody else.
            (_, Some((primary_term, _))) if self.shows && row.highest_term < primary_term => {
                (self.paused, self.pausing) = (None, None);
            }
            (Some(primary_term), None) if self.shows && row.highest_term < primary_term => {
                self.pausing = None
            }
            // Where its log stands now is what counts: a late `RESUME` may have let it go on for a moment.
            (_, Some((primary_term, _))) if !row.is_primary => {
                self.paused = Some((primary_term, row.received));
                self.pause_confirmed = Some(asked);
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, now: f64) {
        self.answered = now;
        self.failing = None;
        self.refused = false;
    }

    /// It didn't answer. Whoever restarted receives again; of whoever is silent it isn't known.
    fn record_failure(&mut self, now: f64, refused: bool) {
        self.paused = None;
        self.busy = false;
        if refused {
            self.pausing = None;
        }
        self.failing.get_or_insert(now);
        self.refused = refused;
    }
}

impl Failover {
    /// A router had an answer of this server at that second.
    pub fn evidence(&mut self, id: &str, at: f64) {
        if self.primary.as_ref().is_some_and(|p| p.id == id) {
            self.evidence = self.evidence.max(at);
        }
        if let Some(seen) = self.seen.get_mut(id) {
            seen.served = seen.served.max(at);
        }
    }

    /// What a question came to.
    pub fn asked(&mut self, now: f64, id: &str, asked: CommandOutcome) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.waiting = false;
        match asked {
            CommandOutcome::Status {
                command: statement,
                status: row,
                sent_at: asked,
            } => {
                seen.record_row(now, statement, row, asked);
                self.record_position(id, row, asked);
            }
            CommandOutcome::Busy => {
                seen.record_answer(now);
                seen.busy = true;
            }
            CommandOutcome::TimedOut => seen.record_failure(now, false),
            CommandOutcome::Refused => seen.record_failure(now, true),
            CommandOutcome::NotSent => {}
        }
    }

    /// Keeps the position of the primary, if the row is its.
    fn record_position(&mut self, id: &str, row: ServerStatus, asked: f64) {
        if !row.is_primary
            || self
                .primary
                .as_ref()
                .is_none_or(|p| p.id != id || p.primary_term != row.primary_term)
        {
            return;
        }
        self.trail.push((asked, row.received));
        if self.trail.len() > MAX_TRAIL {
            self.trail.remove(0);
        }
    }

    /// Asks a server, unless its answer is awaited or it was asked less than `every` seconds ago.
    pub(super) fn ask(
        &mut self,
        now: f64,
        id: &str,
        every: f64,
        statement: ServerCommand,
        actions: &mut Vec<FailoverAction>,
    ) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        if seen.waiting || now - seen.asked < every {
            return;
        }
        seen.waiting = true;
        seen.asked = now;
        if let ServerCommand::Pause(primary_term) = statement {
            seen.pausing = Some(primary_term);
            seen.resumed = None;
        }
        actions.push(FailoverAction::Query(id.to_owned(), statement));
    }

    /// What was observed of this server.
    pub(super) fn observed(&self, id: &str) -> Observation {
        self.seen.get(id).copied().unwrap_or_default()
    }

    /// The highest term that anybody holds.
    pub(super) fn highest_term(&self) -> u64 {
        let rows = self.seen.values().filter_map(|s| s.row);
        let held = rows
            .map(|r| r.primary_term.max(r.highest_term))
            .max()
            .unwrap_or(0);
        held.max(self.primary.as_ref().map_or(0, |p| p.primary_term))
    }

    /// The highest term that anybody led. Pauses raise the term that a server holds, not the one of its log.
    pub(super) fn highest_led(&self) -> u64 {
        let rows = self
            .seen
            .values()
            .filter_map(|s| s.row)
            .map(|r| r.primary_term);
        rows.max()
            .unwrap_or(0)
            .max(self.primary.as_ref().map_or(0, |p| p.primary_term))
    }

    /// Whether the primary is known to have had no more than this when it was asked after that second: whoever was gone
    /// by then has nothing that a copy with this position lacks.
    pub(super) fn covered(&self, since: f64, position: Position) -> bool {
        self.trail
            .iter()
            .any(|(asked, at)| *asked > since && *at <= position)
    }
}
