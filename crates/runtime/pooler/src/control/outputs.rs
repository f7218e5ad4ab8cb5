//! Executes the outputs of the controller. This is the only place where decisions become side
//! effects.

use super::platform::Promotion;
use super::{AppliedServices, ControlNode};
use crate::clock;
use crate::server_commands::{CommandTarget, FencedCommand};
use badgerstream_control::{ControlResponse, Output};
use badgerstream_pooler_config::config::Config;
use std::collections::VecDeque;
use std::rc::Rc;

impl ControlNode {
    /// Executes outputs of the controller in order. Only writes to the disk block.
    pub(super) fn execute(self: &Rc<Self>, outputs: Vec<Output>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            // Outputs that follow from a write to the disk are executed before the remaining ones,
            // which don't depend on that write.
            for next in self.execute_one(output).into_iter().rev() {
                queue.push_front(next);
            }
        }
        self.update_sync_replicas();
    }

    /// Executes one output and returns the outputs that follow from it.
    fn execute_one(self: &Rc<Self>, output: Output) -> Vec<Output> {
        match output {
            Output::Persist => return self.persist_hard_state(),
            Output::PersistMembers(then) => {
                let controller = self.controller.borrow();
                if self.members_file.persist(clock::now(), &controller) {
                    return then;
                }
            }
            Output::SendToPeer(to, message) => self.send_to_peer(to, message),
            Output::SendToRouter(session, message) => {
                self.router_sessions.respond(session, message);
            }
            Output::SendUpdate(session, update) => {
                self.counts.record_router_update();
                self.router_sessions.send_update(session, update);
            }
            Output::SendCommand {
                server_id,
                endpoint,
                service,
                command,
                fencing_token,
            } => {
                let command = FencedCommand {
                    command,
                    fencing_token,
                };
                // A server that registered an endpoint which is not a socket address is treated
                // like a server that doesn't answer.
                if let Ok(endpoint) = endpoint.parse() {
                    let target = CommandTarget {
                        server_id,
                        service,
                        endpoint,
                    };
                    self.send_command(target, command);
                }
            }
            Output::Promote {
                service,
                server_id,
                fencing_token,
                deadline,
            } => self.promote(Promotion {
                service,
                server_id,
                fencing_token,
                deadline,
            }),
            Output::Respond(request, response) => self.respond(request, response),
        }
        Vec::new()
    }

    /// Passes the response to the task that waits for it. That task may have ended together with
    /// its connection.
    fn respond(&self, request: u64, response: ControlResponse) {
        if let Some(waiter) = self.pending_requests.borrow_mut().remove(&request) {
            let _ = waiter.try_send(response);
        }
    }

    /// Passes the number of replicas that a commit waits for, by service, to the controller. This
    /// happens when a new configuration is applied and when this machine gains or loses leadership.
    fn update_sync_replicas(&self) {
        let mut controller = self.controller.borrow_mut();
        let current = AppliedServices {
            config_epoch: controller.config().0,
            was_leader: controller.is_leader(),
        };
        if self.applied_services.replace(current) == current {
            return;
        }
        if let Ok(config) = Config::parse(controller.config().1) {
            let sync_replicas = config
                .services
                .iter()
                .map(|service| (service.name.clone(), service.sync_replicas))
                .collect();
            controller.set_sync_replicas(sync_replicas);
        }
    }
}
