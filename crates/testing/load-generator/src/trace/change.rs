//! A trace cut, scaled and multiplied. Sessions stay whole: who began within the cut stays to its end, scaling
//! keeps the order of all rows, and a copy's sessions and keys are its own.

use super::{Row, named};
use crate::soonest::Soonest;
use std::collections::HashSet;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Twice as fast is 2.
    pub speed: f64,
    /// Sessions, and rows of none, that begin from here on, in milliseconds of the trace; they then begin at 0.
    pub from_ms: f64,
    /// Those that begin before this.
    pub until_ms: f64,
    /// As many copies of all, the first one unchanged.
    pub times: u32,
    /// A copy's sessions begin up to so much later, each by its own lot.
    pub spread_ms: f64,
    /// Clients' own further attempts are sent as well.
    pub retries: bool,
    pub seed: u64,
}

impl Default for Change {
    fn default() -> Change {
        Change {
            speed: 1.0,
            from_ms: 0.0,
            until_ms: f64::INFINITY,
            times: 1,
            spread_ms: 0.0,
            retries: false,
            seed: 0,
        }
    }
}

impl Change {
    /// What is wrong with it.
    pub fn problem(&self) -> Option<&'static str> {
        if !self.speed.is_finite() || self.speed <= 0.0 {
            return Some("the speed is no positive number");
        }
        if !(0.0..f64::INFINITY).contains(&self.from_ms) || self.until_ms <= self.from_ms {
            return Some("the cut ends before it begins");
        }
        if self.times == 0 {
            return Some("no copy is sent");
        }
        if !(0.0..f64::INFINITY).contains(&self.spread_ms) {
            return Some("the spread is no time");
        }
        None
    }

    /// A session's copy begins so much later.
    fn later(&self, session: u64, copy: u32) -> f64 {
        if copy == 0 || self.spread_ms == 0.0 {
            return 0.0;
        }
        let lot = self.seed ^ session.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(copy) << 32);
        fastrand::Rng::with_seed(lot).f64() * self.spread_ms
    }
}

/// Changed rows in the order in which they are due. What is held back is what the spread covers.
pub struct Changed<R> {
    rows: R,
    change: Change,
    /// Sessions that began before the cut: their later rows go with them.
    before: HashSet<u64>,
    /// Those that began within it.
    within: HashSet<u64>,
    pending: Soonest<Row>,
    number: u64,
    /// Up to here, in changed time, nothing more can come.
    safe: f64,
    over: bool,
    /// Rows left out as clients' own further attempts.
    pub retries_left_out: u64,
}

impl<R: Iterator<Item = Row>> Changed<R> {
    pub fn new(rows: R, change: Change) -> Changed<R> {
        Changed {
            rows,
            change,
            before: HashSet::new(),
            within: HashSet::new(),
            pending: Soonest::default(),
            number: 0,
            safe: f64::NEG_INFINITY,
            over: false,
            retries_left_out: 0,
        }
    }

    /// Whether the cut has it.
    fn belongs(&mut self, row: &Row) -> bool {
        let (from, until) = (self.change.from_ms, self.change.until_ms);
        let session = named(&row.session);
        if session == 0 {
            return (from..until).contains(&row.at_ms);
        }
        // Without a cut there is nothing to remember.
        if from == 0.0 && until == f64::INFINITY {
            return true;
        }
        if row.at_ms < from {
            self.before.insert(session);
            return false;
        }
        if self.before.contains(&session) {
            return false;
        }
        if row.at_ms < until {
            self.within.insert(session);
        }
        self.within.contains(&session)
    }

    fn take(&mut self, row: Row) {
        let at = (row.at_ms - self.change.from_ms) / self.change.speed;
        self.safe = at;
        if row.retry && !self.change.retries {
            self.retries_left_out += 1;
            return;
        }
        if !self.belongs(&row) {
            return;
        }
        for copy in 0..self.change.times {
            let mut row = row.clone();
            // A row of no session is one of its own.
            let session = if row.session.is_empty() {
                self.number + 1
            } else {
                named(&row.session)
            };
            row.at_ms = at + self.change.later(session, copy);
            if copy > 0 {
                row.key = format!("{}.{copy}", row.key);
                if !row.session.is_empty() {
                    row.session = format!("{}.{copy}", row.session);
                }
            }
            self.pending.push(row.at_ms, self.number, row);
            self.number += 1;
        }
    }
}

impl<R: Iterator<Item = Row>> Iterator for Changed<R> {
    type Item = Row;

    fn next(&mut self) -> Option<Row> {
        loop {
            let ready = self
                .pending
                .at()
                .is_some_and(|first| self.over || first < self.safe);
            if ready || self.over {
                return self.pending.pop();
            }
            match self.rows.next() {
                Some(row) => self.take(row),
                None => self.over = true,
            }
        }
    }
}
