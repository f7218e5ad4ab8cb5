//! Handles the events of control machines and carries out the outputs of their decisions.

use super::Simulation;
use crate::control::{Delivery, PeerEnvelope};
use crate::edge::Renewal;
use crate::event::{CommandCall, ControlEvent, PlatformEvent, Process, PromotionCall};
use crate::service::{SERVICE, Service};
use badgerstream_control::{Controller, NodeId, Output, PromotionOutcome, ServerCommand};
use std::collections::VecDeque;

/// The interval between ticks of the leader, in seconds.
const LEADER_TICK_INTERVAL_S: f64 = 0.02;

/// The interval between ticks of any other machine, in seconds.
const FOLLOWER_TICK_INTERVAL_S: f64 = 0.05;

impl Simulation {
    pub(super) fn handle_control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::PeerMessageArrived(envelope) => self.peer_message_arrived(envelope),
            ControlEvent::LeaseRequestArrived {
                process, router, ..
            } if self.edge.blocked.contains(&(process.node, router)) => {}
            event => {
                if let Some(event) = self.control.admit(event) {
                    self.handle_admitted(event);
                }
            }
        }
    }

    fn peer_message_arrived(&mut self, envelope: PeerEnvelope) {
        match self.control.deliver(envelope) {
            Delivery::Deferred => {}
            Delivery::OtherIncarnation { receiver, sender } => {
                self.decide(receiver, |controller, _| controller.peer_discovered(sender));
            }
            Delivery::Accepted {
                receiver,
                sender,
                message,
            } => self.decide(receiver, |controller, clock| {
                controller.handle_peer_message(clock, sender, message)
            }),
        }
    }

    fn handle_admitted(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Tick(process) => self.tick(process),
            ControlEvent::PeerMessageArrived(envelope) => self.peer_message_arrived(envelope),
            ControlEvent::PeerConnected { process, peer } => {
                self.decide(process.node, |controller, _| {
                    controller.peer_connected(peer)
                });
            }
            ControlEvent::PersistCompleted(process) => self.persist_completed(process),
            ControlEvent::ReopenDisk(process) => {
                self.control.reopen_disk(&mut self.kernel, process);
            }
            ControlEvent::RequestArrived {
                node,
                request_id,
                request,
            } => self.submit_request(node, request_id, request),
            ControlEvent::ShutdownRequested(node) => self.request_shutdown(node),
            ControlEvent::CommandCompleted {
                process,
                server_id,
                outcome,
            } => self.report(process.node, |controller, clock| {
                controller.command_completed(clock, SERVICE, &server_id, outcome);
            }),
            ControlEvent::LeaseRequestArrived {
                process,
                connection,
                request,
                ..
            } => self.lease_request_arrived(process, connection, request),
            ControlEvent::PromotionDue {
                promotion,
                deadline,
            } => self.promotion_due(promotion, deadline),
            ControlEvent::PromotionCompleted {
                process,
                server_id,
                outcome,
            } => self.report(process.node, |controller, clock| {
                controller.promotion_completed(clock, SERVICE, &server_id, outcome);
            }),
        }
    }

    fn tick(&mut self, process: Process) {
        let node = process.node;
        self.decide(node, Controller::tick);
        let now = self.kernel.now();
        if self.control.members_write_is_due(node, now) {
            self.control.persist_members(node, now);
        }
        let leads = self.control.machines[&node].leading_controller().is_some();
        let interval = if leads {
            LEADER_TICK_INTERVAL_S
        } else {
            FOLLOWER_TICK_INTERVAL_S
        };
        self.kernel.schedule(interval, ControlEvent::Tick(process));
    }

    fn lease_request_arrived(&mut self, process: Process, connection: u64, renewal: Renewal) {
        self.decide(process.node, |controller, clock| match renewal {
            Renewal::Plain(request) => controller.handle_lease_request(clock, connection, request),
            Renewal::Reporting(request) => {
                controller.handle_reporting_lease_request(clock, connection, request)
            }
        });
    }

    /// Sends a promotion request, unless its deadline has passed or the machine has voted in
    /// another term. Both are checked again here, immediately before the request leaves.
    fn promotion_due(&mut self, promotion: PromotionCall, deadline: f64) {
        let kernel = &mut self.kernel;
        let machine = &self.control.machines[&promotion.process.node];
        let voted_term = machine
            .controller
            .as_ref()
            .map(|controller| controller.hard_state().voted_term.0);
        let is_late = machine.clock(kernel.now()) >= deadline;
        if is_late || voted_term != Some(promotion.fencing_token) {
            let not_sent = ControlEvent::PromotionCompleted {
                process: promotion.process,
                server_id: promotion.server_id,
                outcome: PromotionOutcome::NotSent,
            };
            kernel.schedule(0.0, not_sent);
            return;
        }
        let delay = kernel.message_delay();
        let arrived = PlatformEvent::PromotionRequestArrived(promotion);
        kernel.schedule(delay, arrived);
    }

    pub(super) fn persist_completed(&mut self, process: Process) {
        let now = self.kernel.now();
        if let Some(outputs) = self.control.persist_completed(process, now) {
            self.perform_outputs(process.node, outputs);
            self.drain_inbox(process.node);
        }
    }

    /// Handles the events that were queued while a process was stalled.
    pub(super) fn drain_inbox(&mut self, node: NodeId) {
        for event in self.control.take_inbox(node) {
            self.handle_control(event);
            // The oracle checks after each of these events, although they occur at the same time.
            self.check_safety();
        }
    }

    /// Calls the machine's controller and carries out the outputs. Does nothing if the machine's
    /// process isn't running.
    pub fn decide(
        &mut self,
        node: NodeId,
        decision: impl FnOnce(&mut Controller, f64) -> Vec<Output>,
    ) {
        let now = self.kernel.now();
        if let Some(outputs) = self.control.decide(node, now, decision) {
            self.perform_outputs(node, outputs.into());
        }
    }

    /// Reports a result to the controller, which returns no outputs for it.
    fn report(&mut self, node: NodeId, report: impl FnOnce(&mut Controller, f64)) {
        self.decide(node, |controller, clock| {
            report(controller, clock);
            Vec::new()
        });
    }

    /// Carries out the outputs in order. Outputs after a write wait until it has completed.
    fn perform_outputs(&mut self, node: NodeId, mut outputs: VecDeque<Output>) {
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Persist => {
                    let begun = self.control.begin_persist(&mut self.kernel, node, outputs);
                    let Some(rest) = begun else { return };
                    outputs = rest;
                }
                Output::PersistMembers(then) => {
                    if self.control.persist_members(node, self.kernel.now()) {
                        for output in then.into_iter().rev() {
                            outputs.push_front(output);
                        }
                    }
                }
                output => self.perform_output(node, output),
            }
        }
    }

    /// Carries out an output that isn't a write.
    fn perform_output(&mut self, node: NodeId, output: Output) {
        let kernel = &mut self.kernel;
        let process = self.control.machines[&node].process();
        match output {
            Output::Persist | Output::PersistMembers(_) => {
                unreachable!("perform_outputs handles writes")
            }
            Output::SendToPeer(to, message) => {
                self.control.send_to_peer(kernel, node, to, message);
            }
            Output::SendToRouter(connection, message) => {
                self.edge
                    .send_to_router(kernel, process, connection, message);
            }
            Output::SendUpdate(connection, update) => {
                let message = (*update).clone();
                self.edge
                    .send_to_router(kernel, process, connection, message);
            }
            Output::SendCommand {
                server_id,
                endpoint,
                command,
                ..
            } => self.send_command(process, server_id, &endpoint, command),
            Output::Promote {
                server_id,
                fencing_token,
                deadline,
                ..
            } => {
                let promotion = PromotionCall {
                    process,
                    server_id,
                    fencing_token,
                    is_answered: true,
                };
                self.schedule_promotion(promotion, deadline);
            }
            Output::Respond(request_id, response) => self.respond(node, request_id, response),
        }
    }

    fn send_command(
        &mut self,
        process: Process,
        server_id: String,
        endpoint: &str,
        command: ServerCommand,
    ) {
        let node = process.node;
        let call = CommandCall {
            process,
            server_id,
            command,
            sent_at: self.control.machines[&node].clock(self.kernel.now()),
        };
        if self.control.partitioned_from_servers.contains(&node) {
            Service::lose_command(&mut self.kernel, call);
        } else {
            self.service.send_command(&mut self.kernel, call, endpoint);
        }
    }

    fn schedule_promotion(&mut self, promotion: PromotionCall, deadline: f64) {
        let delay = self.kernel.message_delay();
        let due = ControlEvent::PromotionDue {
            promotion,
            deadline,
        };
        self.kernel.schedule(delay, due);
    }
}
