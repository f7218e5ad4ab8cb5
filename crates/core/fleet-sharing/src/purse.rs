//! A budget as a share of what is done in any case: so many copies for each hundred first executions. It adds up
//! over routers by itself; what is hard is the router that does three of them, whose share is a part of one. So
//! each earns a whole one by lot: over all routers together as many are earned as their parts make together.

use std::collections::VecDeque;

/// What was earned and not spent is gone after this: saved for long, it would all go in one jam.
const KEEPS_S: f64 = 10.0;
/// And no more is kept than this.
const MOST: usize = 1000;

#[derive(Clone, Debug, PartialEq)]
pub struct Purse {
    share: f64,
    /// When each that is held was earned.
    held: VecDeque<f64>,
}

impl Purse {
    pub fn new(share: f64) -> Purse {
        Purse {
            share,
            held: VecDeque::new(),
        }
    }

    /// One was done that the budget is a share of; `lot` is even from 0 to 1.
    pub fn earn(&mut self, now: f64, lot: f64) {
        self.fade(now);
        if lot < self.share && self.held.len() < MOST {
            self.held.push_back(now);
        }
    }

    fn fade(&mut self, now: f64) {
        while self.held.pop_front_if(|at| now - *at > KEEPS_S).is_some() {}
    }

    /// Whether one may be done now.
    pub fn allows(&self, now: f64) -> bool {
        self.held.back().is_some_and(|at| now - at <= KEEPS_S)
    }

    /// One was done.
    pub fn spend(&mut self) {
        self.held.pop_front();
    }

    pub fn held(&self) -> usize {
        self.held.len()
    }
}
