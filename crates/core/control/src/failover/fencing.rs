//! Which command keeps a server from acknowledging writes that the coming primary would lack.
//!
//! A replica is fenced by `PAUSE`: it receives nothing more, so the primary that it follows gets
//! no acknowledgement of it. A server that sees itself as primary can't be paused; it is made a
//! replica by `STEPDOWN` first. Each phase decides when either is due; how a command follows from
//! what was observed of the server is decided here, in one place for all phases.

use super::{Observation, ServerCommand};

impl Observation {
    /// The server reported itself as primary of a term below this one: it was replaced, and may
    /// not know it.
    pub(super) fn is_deposed_by(&self, primary_term: u64) -> bool {
        self.status
            .is_some_and(|status| status.is_primary && status.primary_term < primary_term)
    }

    /// For a server that is reachable and sees itself as primary: the command that makes it a
    /// replica. It carries the lowest term that does, so that it has no effect on a primary of a
    /// later term when it arrives late.
    pub(super) fn step_down_command(&self) -> Option<ServerCommand> {
        let status = self.status.filter(|_| self.claims_primary())?;
        Some(ServerCommand::StepDown(status.primary_term + 1))
    }

    /// The command that pauses a replica at this term. A server that sees itself as primary, or
    /// that was too busy to report a status, is queried instead.
    pub(super) fn pause_command(&self, pause_term: u64) -> ServerCommand {
        if self.claims_primary() || self.busy {
            ServerCommand::Status
        } else {
            ServerCommand::Pause(pause_term)
        }
    }
}
