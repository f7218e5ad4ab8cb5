//! The phase [`Phase::Completing`](super::Phase::Completing): the target of a planned promotion is
//! primary, and the grant of the old primary is being revoked.

use super::{Failover, FailoverAction, FailoverContext, Primary, ServerCommand};

impl Failover {
    pub(super) fn tick_completing(
        &mut self,
        context: &FailoverContext<'_>,
        promoted: Primary,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.send_command(
            context.now,
            &promoted.server_id,
            self.config.primary_poll_interval,
            ServerCommand::Status,
            actions,
        );
        if self.is_revoked(context) {
            self.grant_primary(context.now, promoted, actions);
        }
    }
}
