//! Chooses the command that keeps a server from acknowledging writes that the next primary would
//! lack.
//!
//! A replica is fenced by `PAUSE`: it stops receiving the log, so the primary that it follows gets
//! no acknowledgements from it. A server that considers itself the primary can't be paused; it is
//! made a replica by `STEPDOWN` first. Each phase decides when to send either command. Which of
//! them the server's last status calls for is decided here, for all phases.

use super::{Observation, ServerCommand};

impl Observation {
    /// Returns whether the server reported that it is the primary of a term below this one. It was
    /// replaced, and may not know that yet.
    pub(super) fn is_deposed_by(&self, primary_term: u64) -> bool {
        self.status
            .is_some_and(|status| status.is_primary && status.primary_term < primary_term)
    }

    /// Returns the command that makes the server a replica, if it is reachable and considers itself
    /// the primary. The command carries the lowest term that suffices, so that a command that
    /// arrives late has no effect on a primary of a later term.
    pub(super) fn step_down_command(&self) -> Option<ServerCommand> {
        let status = self.status.filter(|_| self.claims_primary())?;
        Some(ServerCommand::StepDown(status.primary_term + 1))
    }

    /// Returns the command that lets a replica receive the log again, if it may be paused.
    pub(super) fn resume_command(&self) -> ServerCommand {
        if self.pause_requested_term.is_some() && !self.busy {
            ServerCommand::Resume
        } else {
            ServerCommand::Status
        }
    }

    /// Returns the command that pauses a replica at this term. A server that considers itself the
    /// primary, or that was too busy to report a status, is queried instead.
    pub(super) fn pause_command(&self, pause_term: u64) -> ServerCommand {
        if self.claims_primary() || self.busy {
            ServerCommand::Status
        } else {
            ServerCommand::Pause(pause_term)
        }
    }
}
