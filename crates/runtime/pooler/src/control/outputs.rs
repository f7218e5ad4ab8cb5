//! Executing the outputs of the controller: the one place where decisions become side effects.

use super::platform::Promotion;
use super::{AppliedServices, ControlNode};
use crate::clock;
use crate::server_commands::{CommandTarget, FencedCommand};
use badgerstream_control::{ControlResponse, Output};
use badgerstream_pooler_config::config::Config;
use std::collections::VecDeque;
use std::rc::Rc;

impl ControlNode {
    /// Executes what the controller decided, in order. Nothing here waits but for the disk.
    pub(super) fn execute(self: &Rc<Self>, outputs: Vec<Output>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            // What relies on the disk goes before the rest, which doesn't.
            for next in self.execute_one(output).into_iter().rev() {
                queue.push_front(next);
            }
        }
        self.update_sync_replicas();
    }

    /// Executes one output; returns those that follow from it.
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
                self.counts.router_updated();
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
                // An endpoint that is no address is the server's own mistake: it is as if it didn't
                // answer.
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

    /// Gives the response to the task that waits for it; that task may have ended with its
    /// connection.
    fn respond(&self, request: u64, response: ControlResponse) {
        if let Some(waiter) = self.pending_requests.borrow_mut().remove(&request) {
            let _ = waiter.try_send(response);
        }
    }

    /// Gives the controller of each new configuration how many replicas a commit waits for; again
    /// when this machine becomes leader.
    fn update_sync_replicas(&self) {
        let mut controller = self.controller.borrow_mut();
        let current = AppliedServices {
            config_epoch: controller.config().0,
            as_leader: controller.is_leader(),
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
