//! The new primary leads: routers let go of the old one.

use super::*;

impl Failover {
    pub(super) fn switch(&mut self, around: &Around<'_>, to: &str, term: u64, acts: &mut Vec<Act>) {
        self.ask(around.now, to, self.timing.ask, Statement::Status, acts);
        if self.given_back(around) {
            self.steady(around.now, to, term, acts);
        }
    }
}
