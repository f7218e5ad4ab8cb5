//! What was observed of each server: the questions that are sent and the answers that came.

use super::*;

/// What is known of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    pub(super) row: Option<Row>,
    /// When the question to that row was sent.
    pub(super) row_asked: f64,
    pub(super) answered: f64,
    pub(super) failing: Option<f64>,
    pub(super) refused: bool,
    pub(super) asked: f64,
    pub(super) waiting: bool,
    /// Paused at this term, with its log as it was then.
    pub(super) paused: Option<(u64, Position)>,
    /// It was asked to pause at this term, and may have, whatever came back.
    pub(super) pausing: Option<u64>,
    /// Its row shows the term at which it is paused.
    pub(super) shows: bool,
    /// It answered last without a row.
    pub(super) busy: bool,
    /// It was asked to receive again, and answered.
    pub(super) resumed: bool,
}

impl Failover {
    /// A router had an answer of this server at that second.
    pub fn evidence(&mut self, id: &str, at: f64) {
        if self.primary.as_ref().is_some_and(|(p, _)| p == id) {
            self.evidence = self.evidence.max(at);
        }
    }

    /// What a question came to.
    pub fn asked(&mut self, now: f64, id: &str, asked: Asked) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.waiting = false;
        match asked {
            Asked::Row { statement, row, asked } => {
                seen.answered = now;
                seen.failing = None;
                seen.refused = false;
                seen.row = Some(row);
                seen.row_asked = asked;
                seen.busy = false;
                match statement {
                    Statement::Pause(term) => {
                        seen.paused = Some((term, row.received));
                        seen.shows = row.held >= term;
                    }
                    Statement::Resume => {
                        (seen.paused, seen.pausing) = (None, None);
                        seen.resumed = true;
                    }
                    _ => match (seen.pausing, seen.paused) {
                        // The answer to the pause was lost, or it came from another try.
                        (Some(term), None) if !row.leader && row.held >= term => {
                            seen.paused = Some((term, row.received));
                        }
                        // It restarted, or was resumed by somebody else.
                        (_, Some((term, _))) if seen.shows && row.held < term => {
                            (seen.paused, seen.pausing) = (None, None);
                        }
                        (Some(term), None) if seen.shows && row.held < term => seen.pausing = None,
                        _ => {}
                    },
                }
                if row.leader && self.primary.as_ref().is_some_and(|(p, t)| p == id && *t == row.term) {
                    self.trail.push((asked, row.received));
                    if self.trail.len() > 32 {
                        self.trail.remove(0);
                    }
                }
            }
            Asked::Busy => {
                seen.busy = true;
                seen.answered = now;
                seen.failing = None;
                seen.refused = false;
            }
            Asked::Silent | Asked::Refused => {
                // Whoever restarted receives again; of whoever is silent it isn't known.
                seen.paused = None;
                seen.busy = false;
                if asked == Asked::Refused {
                    seen.pausing = None;
                }
                seen.failing.get_or_insert(now);
                seen.refused = asked == Asked::Refused;
            }
        }
    }

    pub(super) fn ask(&mut self, now: f64, id: &str, every: f64, statement: Statement, acts: &mut Vec<Act>) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        if seen.waiting || now - seen.asked < every {
            return;
        }
        seen.waiting = true;
        seen.asked = now;
        if let Statement::Pause(term) = statement {
            seen.pausing = Some(term);
            seen.resumed = false;
        }
        acts.push(Act::Ask(id.to_owned(), statement));
    }

    pub(super) fn row(&self, id: &str) -> Option<Row> {
        self.seen.get(id).and_then(|s| s.row)
    }

    pub(super) fn highest_term(&self) -> u64 {
        let rows = self.seen.values().filter_map(|s| s.row);
        let told = rows.map(|r| r.term.max(r.held)).max().unwrap_or(0);
        told.max(self.primary.as_ref().map_or(0, |p| p.1))
    }

    /// The highest term that anybody led. Pauses raise the term that a server holds, not the one of its log.
    pub(super) fn highest_led(&self) -> u64 {
        let rows = self.seen.values().filter_map(|s| s.row).map(|r| r.term);
        rows.max().unwrap_or(0).max(self.primary.as_ref().map_or(0, |p| p.1))
    }
}
