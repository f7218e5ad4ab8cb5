//! The new primary leads: routers let go of the old one.

use super::*;

impl Failover {
    pub(super) fn switch(
        &mut self,
        context: &FailoverContext<'_>,
        to: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.ask(
            context.now,
            &to.id,
            self.timing.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        if self.given_back(context) {
            self.use_primary(context.now, to, actions);
        }
    }
}
