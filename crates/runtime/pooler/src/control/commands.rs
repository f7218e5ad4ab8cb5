//! Commands to database servers. Each server has one connection with a short queue, owned by a task
//! that runs [`server_commands::run`].

use super::{ControlNode, config};
use crate::clock;
use crate::server_commands::{self, CommandTarget, CommandTimeouts, FencedCommand};
use async_channel::{Sender, TrySendError};
use badgerstream_control::CommandOutcome;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of commands that wait for the connection to one server. Further commands are
/// reported as not sent.
const MAX_QUEUED_COMMANDS: usize = 4;

/// Maximum share of the process's file descriptors that idle connections to servers may hold. Above
/// it, a new connection is closed as soon as its command is answered, because sessions and requests
/// need the remaining descriptors.
const MAX_IDLE_CONNECTIONS_SHARE: f64 = 0.4;

/// The command queue of each server, keyed by `id@endpoint`.
pub(super) type CommandQueues = RefCell<HashMap<String, Sender<FencedCommand>>>;

impl ControlNode {
    /// Queues a command for a server. Opens a connection to the server if there is none.
    pub(super) fn send_command(self: &Rc<Self>, target: CommandTarget, command: FencedCommand) {
        let key = format!("{}@{}", target.server_id, target.endpoint);
        let mut queues = self.command_queues.borrow_mut();
        match queues.get(&key).map(|queue| queue.try_send(command)) {
            Some(Ok(())) => return,
            // Commands on a second connection could overtake those that wait for this one.
            Some(Err(TrySendError::Full(command))) => {
                return self.command_completed(&target, command, CommandOutcome::NotSent);
            }
            Some(Err(TrySendError::Closed(_))) | None => {}
        }
        let idle_s = self.idle_timeout_s(queues.len());
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_COMMANDS);
        // The queue is new and empty, so this can't fail.
        let _ = sender.try_send(command);
        queues.insert(key.clone(), sender);
        let timeouts = CommandTimeouts {
            answer_s: config::control_config(&self.settings)
                .failover
                .query_timeout,
            idle_s,
        };
        let node = self.clone();
        let run = async move {
            let may_act = |command: FencedCommand| {
                let controller = node.controller.borrow();
                controller.may_act_with(clock::now(), command.fencing_token)
            };
            let report = |command: FencedCommand, outcome| {
                node.command_completed(&target, command, outcome);
            };
            server_commands::run(target.clone(), receiver, timeouts, may_act, report).await;
            let mut queues = node.command_queues.borrow_mut();
            // By now, the entry may belong to a later connection to the same server.
            if queues.get(&key).is_some_and(Sender::is_closed) {
                queues.remove(&key);
            }
        };
        self.tasks.spawn(run).detach();
    }

    /// Returns how long a new connection may stay idle, in seconds, when `connection_count` others
    /// exist.
    fn idle_timeout_s(&self, connection_count: usize) -> f64 {
        let max_descriptors = self.settings.limits.file_limit as f64;
        if connection_count < (MAX_IDLE_CONNECTIONS_SHARE * max_descriptors) as usize {
            server_commands::IDLE_TIMEOUT_S
        } else {
            0.0
        }
    }

    /// Reports the outcome of a command to the controller. The outcome is ignored if the command
    /// was sent under another fencing token, during an earlier leadership of this machine.
    fn command_completed(
        &self,
        target: &CommandTarget,
        command: FencedCommand,
        outcome: CommandOutcome,
    ) {
        let mut controller = self.controller.borrow_mut();
        if controller.leads_with(command.fencing_token) {
            let now = clock::now();
            controller.command_completed(now, &target.service, &target.server_id, outcome);
        }
    }
}
