//! The new primary leads: routers let go of the old one.

use super::*;

impl Failover {
    pub(super) fn switch(&mut self, around: &Around<'_>, to: Primary, acts: &mut Vec<Act>) {
        self.ask(around.now, &to.id, self.timing.ask, Statement::Status, acts);
        if self.given_back(around) {
            self.use_primary(around.now, to, acts);
        }
    }
}
