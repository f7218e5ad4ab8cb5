//! The release of what was held: the window of statements that are out at the new leader begins small and grows
//! by one with each completion, so it doubles with each round. Many routers that release for one group begin at
//! moments drawn by lot, each with its part of the first window, as the leader may be cold.

use crate::hold::Wish;
use std::collections::BTreeMap;

/// Statements out at a new leader at first, from all routers together.
const FIRST: f64 = 4.0;
/// Beyond this the rooms of the nodes are what binds.
const MOST: f64 = 1024.0;
/// After a failure nothing is released for this long: what turned one away would turn away the next.
const PAUSE_S: f64 = 0.05;
/// The longest that lots may delay a router's release.
const LONGEST_SPREAD_S: f64 = 1.0;

#[derive(Clone, Debug, Default)]
pub struct Pace {
    window: f64,
    /// Released and not ended yet, with their sessions.
    out: BTreeMap<u32, u64>,
    from: f64,
    /// The leader has completed something since the release began.
    pub proved: bool,
}

impl Pace {
    /// A release begins at `now`; `lot` is from 0 to 1.
    pub fn begin(&mut self, now: f64, routers: f64, spread: f64, lot: f64) {
        (self.window, self.proved) = ((FIRST / routers).max(1.0), false);
        self.from = now + lot * (spread * (routers - 1.0)).min(LONGEST_SPREAD_S);
    }

    pub fn begins(&self) -> f64 {
        self.from
    }

    /// How many more may go now.
    pub fn free(&self, now: f64) -> usize {
        if now < self.from {
            0
        } else {
            (self.window as usize).saturating_sub(self.out.len())
        }
    }

    /// Whether it has no need of a place, or must leave it to others: it is out, or another of its session is,
    /// of which one goes at a time. What may have run was out beside the others, and may be so again.
    pub fn blocks(&self, stmt: u32, wish: &Wish) -> bool {
        let beside = || self.out.values().any(|other| *other == wish.session);
        self.out.contains_key(&stmt) || wish.session != 0 && !wish.doubtful && beside()
    }

    pub fn release(&mut self, stmt: u32, session: u64) {
        self.out.insert(stmt, session);
    }

    pub fn is_out(&self, stmt: u32) -> bool {
        self.out.contains_key(&stmt)
    }

    pub fn completed(&mut self) {
        (self.window, self.proved) = ((self.window + 1.0).min(MOST), true);
    }

    /// It was turned away or not answered: half as many from now on.
    pub fn failed(&mut self, now: f64) {
        (self.window, self.from) = ((self.window / 2.0).max(1.0), self.from.max(now + PAUSE_S));
    }

    pub fn leave(&mut self, stmt: u32) {
        self.out.remove(&stmt);
    }
}
