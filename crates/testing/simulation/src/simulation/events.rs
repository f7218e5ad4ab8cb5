//! Dispatches each event to its component.

use super::Simulation;
use crate::event::{Event, OperatorEvent, OracleEvent, PlatformEvent, RouterEvent, ServerEvent};
use crate::oracle::liveness::CHECK_INTERVAL_S;

impl Simulation {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Control(event) => self.handle_control(event),
            Event::Server(event) => self.handle_server(event),
            Event::Router(event) => self.handle_router(event),
            Event::Platform(event) => self.handle_platform(event),
            Event::Operator(event) => self.handle_operator(event),
            Event::Oracle(event) => self.handle_oracle(event),
        }
    }

    fn handle_server(&mut self, event: ServerEvent) {
        let kernel = &mut self.kernel;
        match event {
            ServerEvent::HeartbeatDue(id) => self.heartbeat_due(id),
            ServerEvent::CommandArrived(call) => self.service.command_arrived(kernel, call),
            ServerEvent::StatementArrived(statement) => {
                self.service.statement_arrived(kernel, &statement);
            }
            ServerEvent::ReplicationDue => self.service.replicate(kernel),
            ServerEvent::AppendArrived {
                primary,
                replica,
                primary_term,
                log,
            } => self
                .service
                .append_arrived(kernel, primary, &replica, primary_term, &log),
            ServerEvent::AppendAcknowledged {
                primary,
                primary_term,
                length,
            } => self
                .service
                .append_acknowledged(kernel, &primary, primary_term, length),
            ServerEvent::PromotionTakesEffect(id) => self.service.promote(kernel, &id),
            ServerEvent::DemotionDue {
                server_id,
                primary_term,
            } => self.service.demotion_due(kernel, server_id, primary_term),
        }
    }

    pub(super) fn handle_router(&mut self, event: RouterEvent) {
        let kernel = &mut self.kernel;
        match event {
            RouterEvent::Tick(index) => self.edge.tick(kernel, &self.control, index),
            RouterEvent::MessageArrived {
                router,
                connection,
                message,
            } => {
                let activated = self
                    .edge
                    .message_arrived(kernel, router, connection, message);
                if let Some(activated) = activated {
                    self.oracle
                        .config_activated(kernel, &self.control, &activated);
                }
            }
            RouterEvent::StatementDue(index) => {
                self.edge.statement_due(kernel, &self.service, index);
            }
            RouterEvent::AnswerArrived { router, server_id } => {
                self.edge.answer_arrived(kernel, router, server_id);
            }
            RouterEvent::WriteCommitted(write) => {
                if self.edge.write_committed(kernel, &write) {
                    self.service.acknowledge_write(kernel, &write);
                }
            }
        }
    }

    fn handle_platform(&mut self, event: PlatformEvent) {
        let kernel = &mut self.kernel;
        match event {
            PlatformEvent::PromotionRequestArrived(call) => {
                self.platform
                    .promotion_request_arrived(kernel, &self.service, call);
            }
            PlatformEvent::PromotionRequestRuns(call) => {
                self.platform
                    .promotion_request_runs(kernel, &self.service, call);
            }
        }
    }

    fn handle_operator(&mut self, event: OperatorEvent) {
        let OperatorEvent::ActionDue(index) = event;
        self.operators
            .action_due(&mut self.kernel, &self.control, &mut self.requests, index);
    }

    fn handle_oracle(&mut self, event: OracleEvent) {
        let OracleEvent::LivenessCheckDue = event;
        let now = self.kernel.now();
        self.oracle
            .check_liveness(&self.control, &self.edge, &self.operators, now);
        self.kernel
            .schedule(CHECK_INTERVAL_S, OracleEvent::LivenessCheckDue);
    }
}
