//! Commands to database servers: one connection for each server, with a short queue, owned by a
//! task of its own ([`server_commands::run`]).

use super::{ControlNode, config};
use crate::clock;
use crate::server_commands::{self, CommandTarget, CommandTimeouts, FencedCommand};
use async_channel::{Sender, TrySendError};
use badgerstream_control::CommandOutcome;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Commands that wait for the connection to one server; further ones are reported as not sent.
const MAX_QUEUED_COMMANDS: usize = 4;

/// The share of the process's descriptors that idle connections to servers may hold. Beyond it a
/// connection is closed after its answer, as sessions and requests need the rest.
const IDLE_CONNECTIONS_SHARE: f64 = 0.4;

/// The queue of commands for each server, by id and endpoint.
pub(super) type CommandQueues = RefCell<HashMap<String, Sender<FencedCommand>>>;

impl ControlNode {
    /// Queues a command for a server, and opens a connection to it if there is none.
    pub(super) fn send_command(self: &Rc<Self>, target: CommandTarget, command: FencedCommand) {
        let key = format!("{}@{}", target.server_id, target.endpoint);
        let mut queues = self.command_queues.borrow_mut();
        match queues.get(&key).map(|queue| queue.try_send(command)) {
            Some(Ok(())) => return,
            // A second connection beside this one could overtake what waits for it.
            Some(Err(TrySendError::Full(command))) => {
                return self.command_completed(&target, command, CommandOutcome::NotSent);
            }
            Some(Err(TrySendError::Closed(_))) | None => {}
        }
        let idle_s = self.idle_timeout_s(queues.len());
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_COMMANDS);
        // An empty queue takes it.
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
            // Unless a later connection to the same server has its place by now.
            if queues.get(&key).is_some_and(Sender::is_closed) {
                queues.remove(&key);
            }
        };
        self.tasks.spawn(run).detach();
    }

    /// For how long a further connection may stay idle, in seconds, beside so many others.
    fn idle_timeout_s(&self, connections: usize) -> f64 {
        let descriptors = self.settings.limits.file_limit as f64;
        if connections < (IDLE_CONNECTIONS_SHARE * descriptors) as usize {
            server_commands::IDLE_TIMEOUT_S
        } else {
            0.0
        }
    }

    /// Reports the outcome of a command to the controller. What was sent under another fencing
    /// token, in an earlier leadership of this machine, doesn't count any more.
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
