//! A token budget that is a share of other work: for example ten hedged requests for each hundred first executions.
//! Such shares add up over routers without coordination. A router that executes only three statements would get a
//! fraction of a token, so each statement earns a whole token at random, with the share as its probability. Over all
//! routers, the tokens earned this way match the share.

use std::collections::VecDeque;

/// Unspent tokens expire after this: tokens saved over a longer time would all be spent in one overload.
const TOKEN_LIFETIME_S: f64 = 10.0;
/// Maximum number of tokens kept.
const MAX_TOKENS: usize = 1000;

/// A token budget earned as a share of first executions.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareBudget {
    share: f64,
    /// When each token was earned, oldest first.
    earned_at: VecDeque<f64>,
}

impl ShareBudget {
    /// `share` is the probability, from 0 to 1, that one execution earns a token.
    pub fn new(share: f64) -> ShareBudget {
        ShareBudget {
            share,
            earned_at: VecDeque::new(),
        }
    }

    /// Records one execution that the budget is a share of. `random` is uniform from 0 to 1.
    pub fn earn(&mut self, now: f64, random: f64) {
        self.expire(now);
        if random < self.share && self.earned_at.len() < MAX_TOKENS {
            self.earned_at.push_back(now);
        }
    }

    fn expire(&mut self, now: f64) {
        while self
            .earned_at
            .pop_front_if(|at| now - *at > TOKEN_LIFETIME_S)
            .is_some()
        {}
    }

    /// Returns whether a token is left.
    pub fn allows(&self, now: f64) -> bool {
        self.earned_at
            .back()
            .is_some_and(|at| now - at <= TOKEN_LIFETIME_S)
    }

    /// Spends the oldest token.
    pub fn spend(&mut self) {
        self.earned_at.pop_front();
    }

    /// Number of tokens kept, including those that have expired since the last execution.
    pub fn tokens(&self) -> usize {
        self.earned_at.len()
    }
}
