//! Requests to control machines and their responses.

use super::Simulation;
use crate::event::ServerEvent;
use crate::requests::{Requester, Response};
use crate::service::Service;
use badgerstream_control::{ControlRequest, ControlResponse, NodeId};
use std::rc::Rc;

/// The delay before a server repeats a heartbeat that was not acknowledged, in seconds.
const HEARTBEAT_RETRY_S: f64 = 0.05;

impl Simulation {
    /// Submits a request to this control machine. The response to a test's request is stored in
    /// [`Simulation::responses`] under `request_id`.
    pub fn submit_request(&mut self, node: NodeId, request_id: u64, request: ControlRequest) {
        self.decide(node, |controller, clock| {
            controller.handle_request(clock, request_id, request)
        });
    }

    /// Delivers a control machine's response to the requester.
    pub(super) fn respond(&mut self, node: NodeId, request_id: u64, response: ControlResponse) {
        let clock = self.control.machines[&node].clock(self.kernel.now());
        let response = if clock < response.valid_until {
            response
        } else {
            unavailable()
        };
        match self.requests.complete(request_id) {
            Some(Requester::Operator(index)) => {
                self.respond_to_operator(index, request_id, &response);
            }
            Some(Requester::Server(id)) => {
                if response.status != 200 {
                    let retry = ServerEvent::HeartbeatDue(id);
                    self.kernel.schedule(HEARTBEAT_RETRY_S, retry);
                }
            }
            None => {
                let first = self.responses.entry(request_id);
                first.or_insert_with(|| Response {
                    status: response.status,
                    body: response.body.to_vec(),
                });
            }
        }
    }

    fn respond_to_operator(&mut self, index: usize, request_id: u64, response: &ControlResponse) {
        let kernel = &mut self.kernel;
        let operators = &mut self.operators;
        if kernel.random.per_mille(operators.responses_lost_per_mille) {
            return;
        }
        let observation = operators.response_arrived(kernel, index, request_id, response);
        if let Some(observation) = observation {
            self.oracle
                .response_observed(kernel, &self.control, operators, observation);
        }
    }

    /// Sends a heartbeat from the server to a random reachable control machine, if the server is up
    /// and sends heartbeats.
    pub(super) fn heartbeat_due(&mut self, id: String) {
        let server = &self.service.servers[&id];
        if server.departed {
            return;
        }
        if server.is_up()
            && server.sends_heartbeats
            && let Some(node) = self.control.random_reachable_machine(&mut self.kernel)
        {
            let request_id = self.requests.register(Requester::Server(id.clone()));
            let request = ControlRequest::Heartbeat {
                server_id: id.clone(),
                heartbeat: self.service.next_heartbeat(&id),
            };
            self.submit_request(node, request_id, request);
        }
        Service::schedule_heartbeat(&mut self.kernel, id);
    }
}

/// Returns the response that replaces one whose validity has expired, because the machine has lost
/// contact with a majority since.
fn unavailable() -> ControlResponse {
    ControlResponse {
        status: 503,
        body: Rc::from([]),
        valid_until: f64::INFINITY,
    }
}
