//! Commands of control machines to servers, and the servers' heartbeats.

use super::replicas::Service;
use super::server::{CommandRules, heartbeat};
use crate::event::{CommandCall, ControlEvent, Event, ServerEvent};
use crate::health::Health;
use crate::kernel::Kernel;
use badgerstream_control::{CommandOutcome, Heartbeat, MemberPhase, ServerCommand};

/// The timeout of a command, in seconds.
const COMMAND_TIMEOUT_S: f64 = 0.6;

/// The interval between a server's heartbeats, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 1.2;

/// The delay after which a command is refused if the server's process has ended when it arrives, in
/// seconds.
const REFUSAL_DELAY_S: f64 = 0.001;

impl Service {
    /// Sends a control machine's command to the server, if it is at this address.
    pub(crate) fn send_command(&self, kernel: &mut Kernel, call: CommandCall, endpoint: &str) {
        let server = self.servers.get(&call.server_id);
        let server = server.filter(|server| server.endpoint == endpoint);
        let health = server.map_or(Health::Down, |server| server.health);
        if self.unresponsive_to_control.contains(&call.server_id) {
            Service::lose_command(kernel, call);
            return;
        }
        let is_refused = self.refusing_control.contains(&call.server_id);
        match health {
            Health::Unresponsive => Service::lose_command(kernel, call),
            health if health == Health::Down || is_refused => {
                let round_trip = 2.0 * kernel.message_delay();
                complete(kernel, round_trip, call, CommandOutcome::Refused);
            }
            _ => {
                let delay = kernel.message_delay();
                kernel.schedule(delay, ServerEvent::CommandArrived(call));
            }
        }
    }

    /// Loses a control machine's command: it times out without arriving.
    pub(crate) fn lose_command(kernel: &mut Kernel, call: CommandCall) {
        // Every command draws a delay, so that later draws don't depend on whether it arrives.
        kernel.message_delay();
        complete(kernel, COMMAND_TIMEOUT_S, call, CommandOutcome::TimedOut);
    }

    /// Executes a command that has arrived, and sends its answer or loses it.
    pub(crate) fn command_arrived(&mut self, kernel: &mut Kernel, call: CommandCall) {
        let rules = CommandRules {
            reports_highest_term_seen: self.reports_highest_term_seen,
            rejects_repeated_pause: self.rejects_repeated_pause,
        };
        let server = self.server_mut(&call.server_id);
        if !server.is_up() {
            complete(kernel, REFUSAL_DELAY_S, call, CommandOutcome::Refused);
            return;
        }
        let command = call.command;
        let status = server.execute(command, rules);
        if !matches!(command, ServerCommand::Status) {
            let (node, id) = (call.process.node, &call.server_id);
            kernel.trace(|| format!("control {node} {command:?} {id}: {status:?}"));
        }
        let is_lost = kernel.random.per_mille(self.command_answers_lost_per_mille);
        let delay = kernel.message_delay();
        if is_lost {
            complete(kernel, COMMAND_TIMEOUT_S, call, CommandOutcome::TimedOut);
            return;
        }
        let sent_at = call.sent_at;
        let outcome = status.map_or(CommandOutcome::Busy, |status| CommandOutcome::Status {
            command,
            status,
            sent_at,
        });
        complete(kernel, delay, call, outcome);
    }

    /// Returns the server's next heartbeat.
    pub(crate) fn next_heartbeat(&mut self, id: &str) -> Heartbeat {
        let server = self.server_mut(id);
        server.heartbeat_sequence += 1;
        let phase = if server.draining {
            MemberPhase::Draining
        } else {
            MemberPhase::Ready
        };
        heartbeat(&server.endpoint, server.heartbeat_sequence, phase)
    }

    /// Schedules the server's next heartbeat, unless one is already scheduled: each server has only
    /// one heartbeat timer.
    pub(crate) fn schedule_heartbeat(kernel: &mut Kernel, id: String) {
        let is_same = |event: &Event| match event {
            Event::Server(ServerEvent::HeartbeatDue(of)) => *of == id,
            _ => false,
        };
        if !kernel.is_scheduled(is_same) {
            kernel.schedule(HEARTBEAT_INTERVAL_S, ServerEvent::HeartbeatDue(id));
        }
    }
}

fn complete(kernel: &mut Kernel, after_s: f64, call: CommandCall, outcome: CommandOutcome) {
    let completed = ControlEvent::CommandCompleted {
        process: call.process,
        server_id: call.server_id,
        outcome,
    };
    kernel.schedule(after_s, completed);
}
